//! The `demo` command, which runs a whole system in one process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::Arg;
use lexopt::Parser;
use miette::IntoDiagnostic;
use mimosa_config::EntrySettings;
use mimosa_config::InstanceSettings;
use mimosa_config::LogLevel;
use mimosa_config::LogSettings;
use mimosa_control::ControlServer;
use mimosa_entry::EntryServer;
use mimosa_entry::ProcessLimits;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::secret::Secret;
use mimosa_standin::Engine;
use mimosa_standin::EngineSettings;
use mimosa_standin::Plain;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use super::Command;
use super::key::generate_operator_key;
use super::operator::client::AdminClient;
use super::usage_error;
use crate::logging;
use crate::runtime;

pub const COMMAND: Command = Command {
    name: "demo",
    description: "Runs the whole system with stand-in endpoints in one process on loopback",
    usage: "[--gateway]",
    details: "All ports are free ones and the data folder is a temporary one. SIGINT ends it.\n  \
              --gateway  a gateway and a control instance with routes, instead of entries\n\n",
    examples: &["demo", "demo --gateway"],
    run,
};

mod gateway;

const CLUSTER: &str = "demo";
const OPERATOR: &str = "demo";
const ACCOUNT: &str = "orchid";
const DATA_CENTRES: [&str; 2] = ["north", "south"];
/// Interval between two tokens of the stand-in engines.
const TOKEN_GAP: Duration = Duration::from_millis(20);

fn run(mut args: Parser) -> miette::Result<ExitCode> {
    let mut with_gateway = false;
    while let Some(arg) = args
        .next()
        .map_err(|e| usage_error(COMMAND.name, e.to_string()))?
    {
        match arg {
            Arg::Long("help") | Arg::Short('h') => {
                print!("{}", COMMAND.help());
                return Ok(ExitCode::SUCCESS);
            }
            Arg::Long("gateway") => with_gateway = true,
            other => {
                return Err(usage_error(COMMAND.name, other.unexpected().to_string()).into());
            }
        }
    }
    logging::start(&LogSettings {
        level: LogLevel::Warn,
        ..LogSettings::default()
    })?;
    if with_gateway {
        runtime::run(gateway::demo())
    } else {
        runtime::run(demo())
    }
}

/// The stand-in endpoints of one data centre: two for the model, one for the plain service.
struct Endpoints {
    prefill: Engine,
    decode: Engine,
    plain: Plain,
}

async fn demo() -> miette::Result<ExitCode> {
    let data_folder = TempDir::new().into_diagnostic()?;
    let operator = generate_operator_key()?;
    let control = ControlServer::start(mimosa_control::Settings {
        instance: instance_id("control-1")?,
        cluster: CLUSTER.to_owned(),
        data_folder: data_folder.path().to_owned(),
        operators: [(OPERATOR.parse()?, operator.digest())].into(),
        ..mimosa_control::Settings::default()
    })
    .await?;
    let admin_url = format!("http://{}", control.admin_address());
    let mut orders = OrderSequence::new(AdminClient::with_urls(
        [admin_url.clone()],
        operator.clone(),
    ));
    let mut endpoints = Vec::new();
    let mut entries = Vec::new();
    for data_centre in DATA_CENTRES {
        endpoints.push(start_endpoints().await?);
        entries.push(start_entry(data_centre, control.entry_address()).await?);
    }
    let key = configure(&mut orders, &endpoints).await?;
    let caller_addresses: Vec<_> = entries.iter().map(mimosa_entry::Running::address).collect();
    wait_until_ready(&caller_addresses).await;
    print_addresses(&admin_url, &operator, &caller_addresses, &key);
    runtime::shutdown_signal().await?;
    for entry in entries {
        entry.shutdown().await;
    }
    control.shutdown().await;
    Ok(ExitCode::SUCCESS)
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn instance_id(text: &str) -> Result<InstanceId, mimosa_protocol::Error> {
    text.parse()
}

async fn start_endpoints() -> miette::Result<Endpoints> {
    let settings = EngineSettings {
        output: mimosa_protocol::Tokens(24),
        ..EngineSettings::default()
    };
    let decode = EngineSettings {
        token_gap: TOKEN_GAP,
        ..settings.clone()
    };
    Ok(Endpoints {
        prefill: Engine::start(any_loopback_port(), settings).await?,
        decode: Engine::start(any_loopback_port(), decode).await?,
        plain: Plain::start(any_loopback_port()).await?,
    })
}

async fn start_entry(
    data_centre: &str,
    control: SocketAddr,
) -> miette::Result<mimosa_entry::Running> {
    let instance = InstanceSettings {
        id: instance_id(&format!("entry-{data_centre}"))?,
        data_centre: data_centre.parse::<DataCentreId>()?,
        cluster: CLUSTER.to_owned(),
    };
    let settings = EntrySettings {
        listen: any_loopback_port(),
        peer_listen: any_loopback_port(),
        control: vec![control],
        ..EntrySettings::default()
    };
    Ok(EntryServer::start(instance, ProcessLimits::default(), settings).await?)
}

/// Sends orders with increasing numbers.
struct OrderSequence {
    admin: AdminClient,
    last_number: u64,
}

impl OrderSequence {
    fn new(admin: AdminClient) -> Self {
        Self {
            admin,
            last_number: 0,
        }
    }

    /// Plans and confirms an intent. Returns the plan.
    async fn apply(&mut self, intent: Value) -> miette::Result<Value> {
        self.last_number += 1;
        let order = json!({"number": self.last_number, "intent": intent});
        let plan = self.admin.post("/v1/plans", &order).await?;
        self.last_number += 1;
        let confirm = json!({"number": self.last_number});
        let path = format!("/v1/plans/{}/confirm", plan["plan"]);
        self.admin.post(&path, &confirm).await?;
        Ok(plan)
    }
}

/// Creates an account, a key, two services and their endpoints. Returns the key.
async fn configure(orders: &mut OrderSequence, endpoints: &[Endpoints]) -> miette::Result<Secret> {
    orders
        .apply(json!({"put_account": {"account": ACCOUNT, "rate": 2_000, "burst": 20_000}}))
        .await?;
    let plan = orders
        .apply(json!({"create_key": {"key": "orchid-1", "account": ACCOUNT}}))
        .await?;
    let secret = plan["secret"].as_str().unwrap_or_default();
    for (service, kind) in [("verse", "model"), ("orders", "plain")] {
        orders
            .apply(json!({"put_service": {"service": service, "kind": kind}}))
            .await?;
    }
    for (data_centre, endpoints) in DATA_CENTRES.into_iter().zip(endpoints) {
        orders
            .apply(json!({"put_data_centre": {"data_centre": data_centre}}))
            .await?;
        for (role, service, address) in [
            ("prefill", "verse", endpoints.prefill.address()),
            ("decode", "verse", endpoints.decode.address()),
            ("plain", "orders", endpoints.plain.address()),
        ] {
            let endpoint = json!({
                "endpoint": format!("{role}-{data_centre}"),
                "service": service,
                "data_centre": data_centre,
                "address": address,
                "role": role,
            });
            orders.apply(json!({"put_endpoint": endpoint})).await?;
        }
    }
    Ok(Secret::new(secret))
}

/// Waits up to 10 s per entry until it is ready. The demo starts either way.
async fn wait_until_ready(caller_addresses: &[SocketAddr]) {
    for address in caller_addresses {
        for _ in 0..100 {
            if is_ready(*address).await {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    use hyper_util::client::legacy::Client;
    use hyper_util::rt::TokioExecutor;

    let client: Client<_, http_body_util::Empty<hyper::body::Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let Ok(uri) = format!("http://{address}/readyz").parse() else {
        return false;
    };
    client
        .get(uri)
        .await
        .is_ok_and(|resp| resp.status().is_success())
}

fn print_addresses(admin: &str, operator: &Secret, caller_addresses: &[SocketAddr], key: &Secret) {
    println!("The whole system runs in this process until Ctrl-C.\n");
    for (data_centre, address) in DATA_CENTRES.iter().zip(caller_addresses) {
        println!("entry in {data_centre}: http://{address}");
    }
    println!("control instance: {admin}\n");
    println!("A first request:\n");
    println!(
        "  curl -s http://{}/v1/chat/completions -H 'Authorization: Bearer {}' \\\n    \
         -d '{{\"model\": \"verse\", \"messages\": [{{\"role\": \"user\", \"content\": \"A verse for a bride\"}}]}}'\n",
        caller_addresses[0],
        key.expose_secret()
    );
    println!("A first operator command:\n");
    println!("  export MIMOSASWITCH_ADMIN={admin}");
    println!(
        "  export MIMOSASWITCH_OPERATOR_KEY={}",
        operator.expose_secret()
    );
    println!("  mimosaswitch plan set-rate account={ACCOUNT} rate=1000 burst=5000");
}
