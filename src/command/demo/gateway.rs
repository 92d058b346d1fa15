//! The demo with a gateway: routes to a model with separate prefill and decode, and to a plain
//! service.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use miette::IntoDiagnostic;
use mimosa_control::ControlServer;
use mimosa_control::routing::Integration;
use mimosa_control::settings::Discovery;
use mimosa_gateway::Gateway;
use mimosa_gateway::settings::DEFAULT_ENDPOINT_BODIES;
use mimosa_gateway::settings::ProcessLimits;
use mimosa_gateway::settings::Reloadable;
use mimosa_platform::EngineClient;
use mimosa_platform::OperatorApi;
use mimosa_platform::PlatformDocument;
use mimosa_platform::PlatformHeaders;
use mimosa_platform::demo_endpoint;
use mimosa_platform::demo_endpoint::StaticEndpointSource;
use mimosa_protocol::InstanceId;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_route::ListedEndpoint;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use super::CLUSTER;
use super::any_loopback_port;
use crate::runtime;

const DATA_CENTRE: &str = "north";
const HOST: &str = "shop.example";
const KEY: &str = "demo-key";
/// Polls of the gateway's readiness before the demo starts regardless.
const READY_POLLS: u32 = 100;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of heartbeats and of reads of the endpoint list: short, as everything runs in one
/// process.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);

pub async fn demo() -> miette::Result<ExitCode> {
    let data_folder = TempDir::new().into_diagnostic()?;
    // Control instances found by seeds are named after their IP addresses.
    let control_id: InstanceId = "127.0.0.1".parse()?;
    let endpoints = [
        start_endpoint("plain-1", "desk", EndpointRole::Plain).await?,
        start_endpoint("prefill-1", "verse", EndpointRole::Prefill).await?,
        start_endpoint("decode-1", "verse", EndpointRole::Decode).await?,
    ];
    let control = ControlServer::bind(mimosa_control::Settings {
        instance: control_id.clone(),
        cluster: CLUSTER.to_owned(),
        data_folder: data_folder.path().to_owned(),
        bootstrap: true,
        initial_voters: BTreeSet::from([control_id.clone()]),
        discovery: Some(Discovery {
            seeds: BTreeSet::from([control_id.clone()]),
            ..Discovery::default()
        }),
        heartbeat: SYNC_INTERVAL,
        ..mimosa_control::Settings::default()
    });
    let control = control.await?.start_for_gateways(Integration {
        format: Arc::new(PlatformDocument),
        source: Arc::new(StaticEndpointSource(endpoints.into())),
        operators: Arc::new(OperatorApi),
        engines: Arc::new(EngineClient::default()),
        list_interval: SYNC_INTERVAL,
    });
    let control = control.await?;
    let gateway = Gateway::start(
        mimosa_gateway::Settings {
            instance: "gateway-1".parse()?,
            cluster: CLUSTER.to_owned(),
            data_centre: DATA_CENTRE.parse()?,
            listen: any_loopback_port(),
            readiness: any_loopback_port(),
            metrics: Some(any_loopback_port()),
            control_port: control.entry_address().port(),
            limits: ProcessLimits::default(),
            endpoint_bodies: DEFAULT_ENDPOINT_BODIES,
            features: mimosa_protocol::Features::default(),
            reloadable: Reloadable {
                seeds: BTreeSet::from([control_id]),
                ..Reloadable::default()
            },
        },
        Arc::new(PlatformHeaders),
        Arc::new(PlatformDocument),
    );
    let gateway = gateway.await?;
    put_routing_document(control.admin_address()).await?;
    for _ in 0..READY_POLLS {
        if gateway.is_ready() && gateway.has_leader() {
            break;
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    print_addresses(&gateway, control.admin_address());
    runtime::shutdown_signal().await?;
    gateway.shutdown().await;
    control.shutdown().await;
    Ok(ExitCode::SUCCESS)
}

async fn start_endpoint(
    id: &str,
    service: &str,
    role: EndpointRole,
) -> miette::Result<ListedEndpoint> {
    Ok(ListedEndpoint {
        id: id.parse()?,
        service: service.parse()?,
        address: demo_endpoint::start(role).await?,
        data_centre: DATA_CENTRE.parse()?,
        role,
        state: EndpointState::Active,
        slots: 8,
        cold_remaining: Duration::ZERO,
        started_at_ms: 0,
        version: None,
    })
}

/// Uploads the routing document through the admin API.
async fn put_routing_document(control: SocketAddr) -> miette::Result<()> {
    use http_body_util::Full;
    use hyper::body::Bytes;
    use hyper_util::client::legacy::Client;
    use hyper_util::rt::TokioExecutor;

    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = hyper::Request::put(format!("http://{control}/api/config"))
        .body(Full::new(Bytes::from(routing_document().to_string())))
        .into_diagnostic()?;
    let response = client.request(request).await.into_diagnostic()?;
    if response.status().is_success() {
        Ok(())
    } else {
        miette::bail!(
            "the control instance rejected the routing document: {}",
            response.status()
        )
    }
}

fn routing_document() -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
               "timeout_ms": 10_000, "target_latency_ms": 500, "priority": 1,
               "service": service, "max_attempts": 2, "sticky": kind == "streaming",
               "resumable": kind == "streaming", "gap_target_ms": 300})
    };
    json!({
        "version": 1,
        "routes": [
            route("stock", "/stock/", "safe", "desk"),
            route("verses", "/verses/", "streaming", "verse"),
        ],
        "services": [
            {"name": "desk"},
            {"name": "verse", "engine": {"slots": 8, "kv_capacity_tokens": 100_000,
                                         "handle_ttl_s": 5.0}},
        ],
        "tenants": [{"name": "orchid", "api_keys": [KEY], "unit": "token",
                     "uncached_tokens": 10, "rate_per_s": 1_000, "burst": 5_000}],
    })
}

fn print_addresses(gateway: &mimosa_gateway::Running, control: SocketAddr) {
    let callers = gateway.address();
    println!("A gateway and its control instance run in this process until Ctrl-C.\n");
    println!("gateway: http://{callers}");
    if let Some(metrics) = gateway.metrics() {
        println!("metrics: http://{metrics}");
    }
    println!("control instance: http://{control}\n");
    println!("A first request, and a first stream:\n");
    let headers = format!("-H 'Host: {HOST}' -H 'X-Api-Key: {KEY}'");
    println!("  curl -s http://{callers}/stock/1 {headers}");
    println!(
        "  curl -sN http://{callers}/verses/1 {headers} -H 'X-Token-Count: 100,200' -d letter\n"
    );
    println!("The routes, as the operator sent them:\n");
    println!("  curl -s http://{control}/api/config");
}
