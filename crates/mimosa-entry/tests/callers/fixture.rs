//! An entry with stand-in endpoints and a fake control instance, run as tasks of the test.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use mimosa_config::EntryLimits;
use mimosa_config::EntrySettings;
use mimosa_config::InstanceSettings;
use mimosa_config::MembershipTimes;
use mimosa_entry::EntryServer;
use mimosa_entry::ProcessLimits;
use mimosa_entry::Running;
use mimosa_protocol::ByteRate;
use mimosa_protocol::Change;
use mimosa_protocol::Configuration;
use mimosa_protocol::Revision;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::change::Delta;
use mimosa_protocol::configuration::Capacity;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_protocol::configuration::DataCentre;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::configuration::Key;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::configuration::ServiceKind;
use mimosa_protocol::secret::Secret;
use mimosa_standin::Engine;
use mimosa_standin::EngineSettings;
use mimosa_standin::Plain;

use crate::control::FakeControl;
use crate::http::Answer;
use crate::http::Call;

/// The key of the account `orchid`.
pub const KEY: &str = "msk-orchid";
/// Maximum number of polls for an expected state: 10 s.
const MAX_POLLS: u32 = 1_000;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An entry with one prefill engine, two decode engines and two plain endpoints.
pub struct Fixture {
    pub entry: Running,
    pub control: FakeControl,
    pub prefill: Engine,
    pub decodes: [Engine; 2],
    pub plains: [Plain; 2],
}

/// Options of the fixture.
#[derive(Default)]
pub struct Setup {
    pub engine: EngineSettings,
    pub limits: EntryLimits,
    pub rate: Option<(TokenRate, Tokens)>,
    pub process: ProcessLimits,
}

impl Fixture {
    pub async fn start(setup: Setup) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let engine = || Engine::start(any, setup.engine.clone());
        let prefill = engine().await.expect("a free port");
        let decodes = [engine().await, engine().await].map(|engine| engine.expect("a free port"));
        let plains = [Plain::start(any).await, Plain::start(any).await];
        let plains = plains.map(|plain| plain.expect("a free port"));
        let endpoints = [
            endpoint(
                "prefill-1",
                "verse",
                prefill.address(),
                EndpointRole::Prefill,
            ),
            endpoint(
                "decode-1",
                "verse",
                decodes[0].address(),
                EndpointRole::Decode,
            ),
            endpoint(
                "decode-2",
                "verse",
                decodes[1].address(),
                EndpointRole::Decode,
            ),
            endpoint(
                "plain-1",
                "orders",
                plains[0].address(),
                EndpointRole::Plain,
            ),
            endpoint(
                "plain-2",
                "orders",
                plains[1].address(),
                EndpointRole::Plain,
            ),
            endpoint(
                "open-1",
                "catalogue",
                plains[0].address(),
                EndpointRole::Plain,
            ),
        ];
        let control = FakeControl::start(configuration(&setup, endpoints)).await;
        let instance = InstanceSettings {
            id: "entry-1".parse().expect("a valid name"),
            data_centre: "north".parse().expect("a valid name"),
            cluster: "test".to_owned(),
        };
        let settings = EntrySettings {
            listen: any,
            peer_listen: any,
            control: vec![control.address],
            limits: setup.limits,
            membership: MembershipTimes {
                heartbeat: Duration::from_millis(50),
                lease: Duration::from_millis(300),
            },
            ..EntrySettings::default()
        };
        let entry = EntryServer::start(instance, setup.process, settings)
            .await
            .expect("a free port");
        let fixture = Self {
            entry,
            control,
            prefill,
            decodes,
            plains,
        };
        fixture.wait_until_ready().await;
        fixture
    }

    pub async fn call(&self, call: Call) -> Answer {
        call.send(self.entry.address()).await
    }

    async fn wait_until_ready(&self) {
        for _ in 0..MAX_POLLS {
            if self.call(Call::get("/readyz")).await.status == 200 {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!(
            "the entry is not ready: {}",
            self.call(Call::get("/readyz")).await.body
        );
    }

    /// Waits until the metrics contain the line. Panics with the metrics if they do not in time.
    pub async fn wait_for_metric(&self, line: &str) {
        for _ in 0..MAX_POLLS {
            let metrics = self.call(Call::get("/metrics")).await;
            if metrics.body.lines().any(|seen| seen == line) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!(
            "the metrics do not contain '{line}':\n{}",
            self.call(Call::get("/metrics")).await.body
        );
    }

    /// Waits until no engine holds memory. Panics with what is still held if that does not happen.
    pub async fn wait_until_no_holds(&self) {
        let engines = || std::iter::once(&self.prefill).chain(&self.decodes);
        for _ in 0..MAX_POLLS {
            if engines().all(|engine| engine.kv_allocations().is_empty()) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let held: Vec<_> = engines().flat_map(Engine::kv_allocations).collect();
        panic!("the engines still hold memory: {held:?}");
    }

    /// Applies a change and waits until the entry has it.
    pub async fn change(&self, change: Change) {
        let revision = self.control.configuration().revision.next();
        self.control.change(&Delta {
            revision,
            changes: vec![change],
        });
        self.wait_for_metric(&format!("mimosa_revision {revision}"))
            .await;
    }

    /// All header lines received by endpoints.
    pub fn headers_seen_by_endpoints(&self) -> Vec<String> {
        let engines = std::iter::once(&self.prefill).chain(&self.decodes);
        let engines = engines.flat_map(Engine::received_headers);
        engines
            .chain(self.plains.iter().flat_map(Plain::received_headers))
            .collect()
    }
}

/// An active endpoint in the fixture's data centre.
pub fn endpoint(id: &str, service: &str, address: SocketAddr, role: EndpointRole) -> Endpoint {
    Endpoint {
        id: id.parse().expect("a valid name"),
        service: service.parse().expect("a valid name"),
        data_centre: "north".parse().expect("a valid name"),
        address,
        role,
        state: EndpointState::Active,
        capacity: Capacity::default(),
        checks_fencing: true,
    }
}

fn service(id: &str, kind: ServiceKind, open: bool) -> Service {
    Service {
        id: id.parse().expect("a valid name"),
        kind,
        open,
        first_token_target: Duration::from_secs(30),
        token_gap_target: Duration::from_secs(5),
        max_queue_time: Duration::from_secs(30),
    }
}

/// The key of the fixture's account.
pub fn key() -> Key {
    Key {
        id: "orchid-1".parse().expect("a valid name"),
        account: "orchid".parse().expect("a valid name"),
        digest: Secret::new(KEY).digest(),
        withdrawn: None,
    }
}

fn configuration(setup: &Setup, endpoints: impl IntoIterator<Item = Endpoint>) -> Configuration {
    let (rate, burst) = setup
        .rate
        .unwrap_or((TokenRate(1_000_000), Tokens(1_000_000)));
    let account = ClientAccount {
        id: "orchid".parse().expect("a valid name"),
        rate,
        burst,
        weight: 1,
        services: Vec::new(),
        serve_when_cut_off: false,
    };
    let data_centre = DataCentre {
        id: "north".parse().expect("a valid name"),
        state: DataCentreState::In,
        link_rate: ByteRate(10_000_000_000),
    };
    let services = [
        service("verse", ServiceKind::Model, false),
        service("orders", ServiceKind::Plain, false),
        service("catalogue", ServiceKind::Plain, true),
    ];
    let mut changes = vec![
        Change::PutDataCentre(data_centre),
        Change::PutAccount(account),
        Change::PutKey(key()),
    ];
    changes.extend(services.map(Change::PutService));
    changes.extend(endpoints.into_iter().map(Change::PutEndpoint));
    let mut configuration = Configuration::default();
    configuration.apply(&Delta {
        revision: Revision(1),
        changes,
    });
    configuration
}
