//! The measured system: a control instance, an entry and the stand-in servers in this process, each
//! on its own threads so that their CPU time can be measured separately.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use miette::IntoDiagnostic;
use miette::Result;
use miette::miette;
use mimosa_config::EntryLimits;
use mimosa_config::EntrySettings;
use mimosa_config::InstanceSettings;
use mimosa_config::MembershipTimes;
use mimosa_control::ControlServer;
use mimosa_entry::EntryServer;
use mimosa_entry::ProcessLimits;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::Tokens;
use mimosa_protocol::secret::OPERATOR_KEY_PREFIX;
use mimosa_protocol::secret::Secret;
use mimosa_standin::Engine;
use mimosa_standin::EngineSettings;
use mimosa_standin::Plain;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;

use crate::client::Target;
use crate::meter::Component;

/// Worker threads of the entry; its target rate is stated for four cores.
pub const ENTRY_THREADS: usize = 4;
/// Worker threads of the stand-in servers, and of the load generator.
pub const OTHER_THREADS: usize = 2;
/// Interval between two tokens of the long streams.
const STREAM_TOKEN_GAP: Duration = Duration::from_secs(2);
/// Tokens of a long stream.
const STREAM_TOKENS: u64 = 100;
/// KV blocks of each stand-in engine: enough that no request waits for memory.
const STAND_IN_BLOCKS: u64 = 10_000;
/// Concurrency limit of each endpoint, in requests.
const CONCURRENCY: u32 = 2_000;
/// Rate limit of the account, also its burst in tokens.
const ACCOUNT_TOKENS_PER_S: u64 = 100_000_000;
/// Latency targets and queue time limit of the services: so high that no request is shed.
const SERVICE_LIMITS_MS: u64 = 10_000;
/// Limit for draining the entry at shutdown.
const DRAIN_TIME: Duration = Duration::from_secs(1);
/// Polls of the entry's readiness before giving up.
const READY_POLLS: u32 = 200;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

const CLUSTER: &str = "load";
const DATA_CENTRE: &str = "north";
const ACCOUNT: &str = "orchid";

/// The same request, sent directly to the stand-in server and through the entry.
#[derive(Clone, Debug)]
pub struct Targets {
    /// To the stand-in server, without a key.
    pub direct: Target,
    /// To the entry, with the account's key.
    pub via_entry: Target,
}

/// One runtime per component, so that CPU time can be read by thread name. The caller runs the load
/// generator on a runtime of its own.
#[derive(Clone, Debug)]
pub struct Runtimes {
    /// Runs the control instance.
    pub control: Handle,
    /// Runs the entry under test.
    pub entry: Handle,
    /// Runs the stand-in servers, those for direct requests included.
    pub stand_in: Handle,
}

/// The running system. [`System::stop`] ends it in order.
pub struct System {
    /// A completion of one token, not streamed.
    pub completion: Targets,
    /// A POST to a plain service, which echoes it.
    pub plain: Targets,
    /// A completion without tokens at the engine with the long streams.
    pub stream_warm_up: Target,
    /// A stream of 100 tokens, one every 2 s, so that it stays open while memory is measured.
    pub stream: Targets,
    _stand_ins: [StandIns; 2],
    entry: mimosa_entry::Running,
    control: mimosa_control::Running,
    runtimes: Runtimes,
    _folder: TempDir,
}

impl System {
    /// Starts and configures all components and waits until the entry is ready.
    ///
    /// # Errors
    ///
    /// If a component does not start, an order is rejected or the entry does not become ready in
    /// time.
    pub async fn start(runtimes: Runtimes) -> Result<Self> {
        let folder = TempDir::new().into_diagnostic()?;
        let operator = Secret::from_random(OPERATOR_KEY_PREFIX, &[7; 24]);
        let settings = mimosa_control::Settings {
            cluster: CLUSTER.to_owned(),
            data_folder: folder.path().to_owned(),
            operators: [("load".parse()?, operator.digest())].into(),
            ..mimosa_control::Settings::default()
        };
        let control = runtimes.control.spawn(ControlServer::start(settings));
        let control = control.await.into_diagnostic()??;
        let entry_stand_ins = runtimes.stand_in.spawn(StandIns::start());
        let entry_stand_ins = entry_stand_ins.await.into_diagnostic()??;
        // Direct requests go to separate stand-ins: an endpoint behind the entry would otherwise
        // report more running requests than the entry sent.
        let direct_stand_ins = runtimes.stand_in.spawn(StandIns::start());
        let direct_stand_ins = direct_stand_ins.await.into_diagnostic()??;
        let entry = runtimes.entry.spawn(start_entry(control.entry_address()));
        let entry = entry.await.into_diagnostic()??;
        let mut admin = AdminClient::new(control.admin_address(), operator);
        let key = admin.configure(&entry_stand_ins).await?;
        admin.wait_until_ready(entry.address()).await?;
        let chat = "/v1/chat/completions";
        let completion = Target::new(
            direct_stand_ins.fast.address(),
            chat,
            &body("verse", 1, false),
        );
        let stream = Target::new(
            direct_stand_ins.slow.address(),
            chat,
            &body("epic", STREAM_TOKENS, true),
        );
        let empty = Target::new(
            direct_stand_ins.slow.address(),
            chat,
            &body("epic", 0, false),
        );
        let call = Target::new(
            direct_stand_ins.plain.address(),
            "/call",
            &json!({"order": 1}),
        );
        let targets = |direct: Target, path: &str| Targets {
            via_entry: direct.via_entry(entry.address(), path, &key),
            direct,
        };
        Ok(Self {
            completion: targets(completion, chat),
            plain: targets(call, "/services/orders/call"),
            stream_warm_up: empty.via_entry(entry.address(), chat, &key),
            stream: targets(stream, chat),
            _stand_ins: [entry_stand_ins, direct_stand_ins],
            entry,
            control,
            runtimes,
            _folder: folder,
        })
    }

    /// Shuts down the entry and then the control instance that it depends on.
    ///
    /// # Errors
    ///
    /// If a shutdown task panics.
    pub async fn stop(self) -> Result<()> {
        let entry = self.runtimes.entry.spawn(self.entry.shutdown());
        entry.await.into_diagnostic()?;
        let control = self.runtimes.control.spawn(self.control.shutdown());
        control.await.into_diagnostic()
    }
}

/// A runtime whose threads are named after a component.
///
/// # Errors
///
/// If the runtime cannot be created.
pub fn runtime(component: Component, threads: usize) -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(component.name())
        .enable_all()
        .build()
        .into_diagnostic()
}

fn body(model: &str, tokens: u64, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": "A verse for a bride"}],
        "max_tokens": tokens,
        "stream": stream,
    })
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// An engine that responds at once, an engine with long streams and a plain service.
struct StandIns {
    fast: Engine,
    slow: Engine,
    plain: Plain,
}

impl StandIns {
    async fn start() -> Result<Self> {
        let fast = EngineSettings {
            blocks: KvBlocks(STAND_IN_BLOCKS),
            ..EngineSettings::default()
        };
        let slow = EngineSettings {
            model: "epic".to_owned(),
            output: Tokens(STREAM_TOKENS),
            token_gap: STREAM_TOKEN_GAP,
            ..fast.clone()
        };
        Ok(Self {
            fast: Engine::start(any_loopback_port(), fast).await?,
            slow: Engine::start(any_loopback_port(), slow).await?,
            plain: Plain::start(any_loopback_port()).await?,
        })
    }
}

async fn start_entry(control: SocketAddr) -> Result<mimosa_entry::Running> {
    let instance = InstanceSettings {
        id: "entry-1".parse()?,
        data_centre: DATA_CENTRE.parse()?,
        cluster: CLUSTER.to_owned(),
    };
    let settings = EntrySettings {
        listen: any_loopback_port(),
        peer_listen: any_loopback_port(),
        control: vec![control],
        membership: MembershipTimes {
            heartbeat: Duration::from_millis(50),
            lease: Duration::from_millis(300),
        },
        limits: EntryLimits {
            drain_time: DRAIN_TIME,
            ..EntryLimits::default()
        },
        ..EntrySettings::default()
    };
    Ok(EntryServer::start(instance, ProcessLimits::default(), settings).await?)
}

/// Client of the admin API. Each intent is planned and confirmed, with increasing order numbers.
struct AdminClient {
    client: Client<HttpConnector, Full<Bytes>>,
    admin: SocketAddr,
    operator: Secret,
    order_number: u64,
}

impl AdminClient {
    fn new(admin: SocketAddr, operator: Secret) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            admin,
            operator,
            order_number: 0,
        }
    }

    /// Creates an account with a key, the services and their endpoints. Returns the key.
    async fn configure(&mut self, stand_ins: &StandIns) -> Result<String> {
        self.apply(json!({"put_account": {"account": ACCOUNT, "rate": ACCOUNT_TOKENS_PER_S, "burst": ACCOUNT_TOKENS_PER_S}}))
            .await?;
        let key = json!({"create_key": {"key": "orchid-1", "account": ACCOUNT}});
        let plan = self.apply(key).await?;
        self.apply(json!({"put_data_centre": {"data_centre": DATA_CENTRE}}))
            .await?;
        for (service, kind, role, address) in [
            ("verse", "model", "decode", stand_ins.fast.address()),
            ("epic", "model", "decode", stand_ins.slow.address()),
            ("orders", "plain", "plain", stand_ins.plain.address()),
        ] {
            let spec = json!({
                "service": service,
                "kind": kind,
                "first_token_target_ms": SERVICE_LIMITS_MS,
                "token_gap_target_ms": SERVICE_LIMITS_MS,
                "max_queue_time_ms": SERVICE_LIMITS_MS,
            });
            self.apply(json!({"put_service": spec})).await?;
            let endpoint = json!({
                "endpoint": format!("{service}-1"),
                "service": service,
                "data_centre": DATA_CENTRE,
                "address": address,
                "role": role,
                "capacity": {"blocks": STAND_IN_BLOCKS, "concurrency": CONCURRENCY},
            });
            self.apply(json!({"put_endpoint": endpoint})).await?;
        }
        let secret = plan["secret"].as_str();
        secret
            .map(str::to_owned)
            .ok_or_else(|| miette!("the plan for create_key contains no secret"))
    }

    /// Plans and confirms an intent. Returns the plan.
    async fn apply(&mut self, intent: Value) -> Result<Value> {
        self.order_number += 1;
        let order = json!({"number": self.order_number, "intent": intent});
        let plan = self.post("/v1/plans", &order).await?;
        self.order_number += 1;
        let confirm = json!({"number": self.order_number});
        let path = format!("/v1/plans/{}/confirm", plan["plan"]);
        self.post(&path, &confirm).await?;
        Ok(plan)
    }

    async fn post(&self, path: &str, body: &Value) -> Result<Value> {
        let req = Request::post(format!("http://{}{path}", self.admin))
            .header(
                "authorization",
                format!("Bearer {}", self.operator.expose_secret()),
            )
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .into_diagnostic()?;
        let response = self.client.request(req).await.into_diagnostic()?;
        let status = response.status();
        let response = response
            .into_body()
            .collect()
            .await
            .into_diagnostic()?
            .to_bytes();
        if status != 200 {
            let response = String::from_utf8_lossy(&response);
            return Err(miette!(
                "POST {path} of {body} failed with status {status}: {response}"
            ));
        }
        serde_json::from_slice(&response).into_diagnostic()
    }

    async fn wait_until_ready(&self, entry: SocketAddr) -> Result<()> {
        for _ in 0..READY_POLLS {
            let uri = format!("http://{entry}/readyz").parse().into_diagnostic()?;
            let response = self.client.get(uri).await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(miette!(
            "the entry at {entry} did not become ready within 10 s"
        ))
    }
}
