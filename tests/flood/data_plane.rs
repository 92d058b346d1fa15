//! A gateway or an entry with a control instance and endpoints, and requests in the form that it takes.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use mimosa_soak::list::EndpointList;
use mimosa_soak::list::ListEntry;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::caller::Call;
use crate::clients::MAX_BODY_BYTES;
use crate::endpoint::Endpoint;
use crate::process::Process;
use crate::setup::ReservedAddress;
use crate::setup::write_settings;
use crate::system::MAX_POLLS;
use crate::system::POLL_INTERVAL;
use crate::system::System;

const HOST: &str = "shop.example";
const KEY: &str = "key-orchid";
/// Limits of the machine that the tests assume.
const LIMITS: &str = "[limits]\nmemory = \"40MB\"\ndescriptors = 512\n";
/// A hang of an ordinary request.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(60);

/// A data plane under test.
pub struct DataPlane {
    kind: Kind,
    address: SocketAddr,
    endpoints: Vec<Endpoint>,
}

enum Kind {
    Gateway {
        gateway: Process,
        control: Process,
        _reserved: [ReservedAddress; 2],
        _folder: TempDir,
    },
    Entry(Box<System>),
}

impl DataPlane {
    pub async fn start_gateway() -> Self {
        let endpoint = Endpoint::start().await;
        let list = EndpointList::default();
        list.add(ListEntry {
            id: "plain-1".to_owned(),
            service: "desk",
            address: endpoint.address,
            data_centre: 0,
            stage: None,
            draining_since: None,
            started_at_ms: 1,
        });
        let list = list.serve().await.unwrap();
        let folder = TempDir::new().unwrap();
        let for_gateways = ReservedAddress::new();
        let peers = ReservedAddress::new();
        let mut control = start_control(&folder, &for_gateways.address, &peers.address, list);
        let admin = control.read_value("admin");
        let mut gateway = start_gateway(&folder, &for_gateways.address);
        let address = gateway.read_value("callers").parse().unwrap();
        put_document(&admin).await;
        let data_plane = Self {
            kind: Kind::Gateway {
                gateway,
                control,
                _reserved: [for_gateways, peers],
                _folder: folder,
            },
            address,
            endpoints: vec![endpoint],
        };
        for _ in 0..MAX_POLLS {
            if data_plane.ordinary_status().await == 200 {
                return data_plane;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("the gateway does not answer:\n{}", data_plane.log());
    }

    pub async fn start_entry() -> Self {
        let limits = format!("body = {MAX_BODY_BYTES}\n\n{LIMITS}");
        let names = [("a", "north")];
        let mut system = System::start_with_limits(1, &names, &limits).await;
        let mut endpoints = Vec::new();
        for role in ["plain", "prefill", "decode"] {
            let endpoint = Endpoint::start().await;
            system.replace_endpoint(role, endpoint.address.to_string());
            endpoints.push(endpoint);
        }
        system.set_up_client_and_services().await;
        let address = system.entry_addresses()["a"].parse().unwrap();
        Self {
            kind: Kind::Entry(Box::new(system)),
            address,
            endpoints,
        }
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    pub const fn name(&self) -> &'static str {
        match self.kind {
            Kind::Gateway { .. } => "gateway",
            Kind::Entry(_) => "entry",
        }
    }

    /// The process that serves the clients.
    pub fn process(&self) -> &Process {
        match &self.kind {
            Kind::Gateway { gateway, .. } => gateway,
            Kind::Entry(system) => system.process("a"),
        }
    }

    /// Logs of the process that serves the clients, and of a gateway's control instance.
    fn log(&self) -> String {
        let control = match &self.kind {
            Kind::Gateway { control, .. } => control.log(),
            Kind::Entry(_) => String::new(),
        };
        self.process().log() + &control
    }

    /// Ends what the endpoints withhold.
    pub fn release_endpoints(&self) {
        self.endpoints.iter().for_each(Endpoint::release);
    }

    /// Request line and header lines of a request to the plain service.
    pub fn plain_head(&self, path: &str, number: usize) -> String {
        match &self.kind {
            Kind::Gateway { .. } => format!(
                "POST /stock/{path} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n\
                 X-Attempt-Id: flood-{number}\r\n"
            ),
            Kind::Entry(system) => format!(
                "PUT /services/orders/{path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {}\r\n\
                 X-Number: {number}\r\n",
                system.caller_key()
            ),
        }
    }

    /// Request line and header lines of a completion.
    pub fn completion_head(&self, number: usize) -> String {
        let Kind::Entry(system) = &self.kind else {
            panic!("a gateway collects no completions");
        };
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {}\r\n\
             X-Number: {number}\r\n",
            system.caller_key()
        )
    }

    /// Sends a small request, which must be answered.
    pub async fn expect_answers_ordinary_request(&self, when: &str) {
        let status = timeout(MAX_RESPONSE_TIME, self.ordinary_status()).await;
        assert_eq!(status, Ok(200), "{when}, log:\n{}", self.log());
    }

    async fn ordinary_status(&self) -> u16 {
        let address = self.address.to_string();
        let response = match &self.kind {
            Kind::Gateway { .. } => {
                let call = Call::post("/stock/1", "letter");
                let call = call.header("host", HOST).header("x-api-key", KEY);
                let call = call.header("x-attempt-id", "ordinary");
                call.send(&address, "").await
            }
            Kind::Entry(system) => {
                let call = Call::post("/services/orders/1", "letter");
                system.send("a", &call).await
            }
        };
        response.status
    }
}

/// Starts a control instance for gateways.
pub fn start_control(
    folder: &TempDir,
    for_gateways: &str,
    peers: &str,
    list: SocketAddr,
) -> Process {
    let text = format!(
        r#"
[instance]
id = "127.0.0.1"
data_centre = "zone-0"
cluster = "flood"

[control]
data_folder = "{}"
admin_listen = "127.0.0.1:0"
peer_listen = "{peers}"
entry_listen = "{for_gateways}"

[control.routing]
seeds = ["127.0.0.1"]
found = true
endpoint_list = "{list}"
tolerated_losses = 0

[limits]
memory = "256MB"
descriptors = 512
"#,
        folder.path().join("data").display()
    );
    Process::start(&["control", &write_settings(folder, "control", &text)])
}

fn start_gateway(folder: &TempDir, for_gateways: &str) -> Process {
    let (_, port) = for_gateways.rsplit_once(':').unwrap();
    let text = format!(
        r#"
[instance]
id = "gateway-1"
data_centre = "zone-0"
cluster = "flood"

[runtime]
threads = 1

[gateway]
listen = "127.0.0.1:0"
readiness = "127.0.0.1:0"
seeds = ["127.0.0.1"]
control_port = {port}

{LIMITS}"#
    );
    Process::start(&["gateway", &write_settings(folder, "gateway", &text)])
}

/// Uploads the routing document, until the control instance has a leader.
pub async fn put_document(admin: &str) {
    let call = Call::new(Method::PUT, "/api/config", &document(1).to_string());
    for _ in 0..MAX_POLLS {
        if call.send(admin, "").await.status == 200 {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("the control instance does not take the document");
}

/// A routing document.
pub fn document(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "stock", "host": HOST, "path_prefix": "/stock/", "kind": "safe",
            "timeout_ms": 60_000, "priority": 1, "service": "desk", "max_attempts": 2,
        }],
        "services": [{"name": "desk"}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": MAX_BODY_BYTES,
                   "header_timeout_ms": 30_000, "idle_timeout_ms": 30_000},
        "tenants": [{"name": "orchid", "api_keys": [KEY], "rate_per_s": 10_000, "burst": 50_000}],
    })
}
