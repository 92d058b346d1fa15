//! The leader's schedulers, over the connections of gateways that the test plays.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use googletest::prelude::*;
use mimosa_control::ControlServer;
use mimosa_control::Running;
use mimosa_control::Settings;
use mimosa_control::replicator::BoxFuture;
use mimosa_control::routing::EndpointSource;
use mimosa_control::routing::EngineControl;
use mimosa_control::routing::EngineError;
use mimosa_control::routing::Integration;
use mimosa_control::routing::ListError;
use mimosa_control::routing::OperatorInterface;
use mimosa_control::routing::OrderFencing;
use mimosa_control::routing::RoutingOrders;
use mimosa_control::settings::Discovery;
use mimosa_protocol::ByteRate;
use mimosa_protocol::ByteSize;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_route::DocumentFormat;
use mimosa_route::DocumentVersion;
use mimosa_route::EngineSpec;
use mimosa_route::InvalidConfiguration;
use mimosa_route::ListedEndpoint;
use mimosa_route::RoutedService;
use mimosa_route::RoutingConfiguration;
use mimosa_route::message::ControlMessage;
use mimosa_route::message::GatewayMessage;
use mimosa_schedule::fleet::GatewayRequestId;
use mimosa_schedule::fleet::PlacementRequest;
use mimosa_schedule::fleet::RunEnd;
use mimosa_transport::frame;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

const MEMORY: Tokens = Tokens(10_000);

/// Any document stands for the same configuration: one model on one endpoint.
struct OneModel;

impl DocumentFormat for OneModel {
    fn read(&self, _: &[u8]) -> std::result::Result<RoutingConfiguration, InvalidConfiguration> {
        Ok(RoutingConfiguration {
            version: DocumentVersion(1),
            services: vec![RoutedService {
                id: "verse".parse().unwrap(),
                health_path: "/".to_owned(),
                max_connections: 8,
                cold_start: Default::default(),
                engine: Some(EngineSpec {
                    slots: 64,
                    kv_capacity: MEMORY,
                    bytes_per_token: ByteSize(1),
                    link_rate: ByteRate(1),
                    kv_ttl: Duration::from_secs(1),
                    role_change_time: Duration::ZERO,
                    tokens_per_event: Tokens(1),
                }),
            }],
            ..RoutingConfiguration::default()
        })
    }
}

/// Endpoints by name: `p-` ones prefill, `d-` ones decode.
struct Endpoints(&'static [&'static str]);

const ONE_DECODE: Endpoints = Endpoints(&["d-1"]);

impl EndpointSource for Endpoints {
    fn list(&self) -> BoxFuture<'_, std::result::Result<Vec<ListedEndpoint>, ListError>> {
        let endpoints = self.0.iter().map(|name| ListedEndpoint {
            id: name.parse().unwrap(),
            service: "verse".parse().unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "north".parse().unwrap(),
            role: match name.starts_with('p') {
                true => EndpointRole::Prefill,
                false => EndpointRole::Decode,
            },
            state: EndpointState::Active,
            slots: 64,
            cold_remaining: Duration::ZERO,
            started_at_ms: 1,
        });
        let endpoints = endpoints.collect();
        Box::pin(async move { Ok(endpoints) })
    }
}

/// Orders that accept everything and tell the test of it.
struct Accepting(mpsc::UnboundedSender<(String, EndpointRole, OrderFencing)>);

impl EngineControl for Accepting {
    fn accepted_orders(
        &self,
        _: &ListedEndpoint,
    ) -> BoxFuture<'_, std::result::Result<u64, EngineError>> {
        Box::pin(async { Ok(7) })
    }

    fn change_role(
        &self,
        endpoint: &ListedEndpoint,
        role: EndpointRole,
        fencing: OrderFencing,
    ) -> BoxFuture<'_, std::result::Result<(), EngineError>> {
        self.0.send((endpoint.id.to_string(), role, fencing)).ok();
        Box::pin(async { Ok(()) })
    }
}

/// Hands the orders to the test.
struct Handed(mpsc::UnboundedSender<RoutingOrders>);

impl OperatorInterface for Handed {
    fn router(&self, orders: RoutingOrders) -> Router {
        self.0.send(orders).ok();
        Router::new()
    }
}

async fn start() -> (Running, TempDir) {
    let (orders, _) = mpsc::unbounded_channel();
    start_with(ONE_DECODE, Accepting(orders)).await
}

async fn start_with(endpoints: Endpoints, engines: Accepting) -> (Running, TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let own: InstanceId = "127.0.0.1".parse().unwrap();
    let settings = Settings {
        instance: own.clone(),
        data_folder: folder.path().to_owned(),
        bootstrap: true,
        initial_voters: BTreeSet::from([own.clone()]),
        discovery: Some(Discovery {
            seeds: BTreeSet::from([own]),
            port: 1,
        }),
        order_lease: Duration::from_millis(100),
        ..Settings::default()
    };
    let (tx, mut handed) = mpsc::unbounded_channel();
    let bound = ControlServer::bind(settings).await.unwrap();
    let running = bound
        .start_for_gateways(Integration {
            format: Arc::new(OneModel),
            source: Arc::new(endpoints),
            operators: Arc::new(Handed(tx)),
            engines: Arc::new(engines),
            list_interval: Duration::from_millis(20),
        })
        .await
        .unwrap();
    let orders = handed.recv().await.unwrap();
    orders.adopt(b"the document").await.unwrap();
    (running, folder)
}

struct Gateway {
    name: InstanceId,
    stream: TcpStream,
}

impl Gateway {
    async fn connect(control: &Running, name: &str) -> Self {
        let stream = TcpStream::connect(control.entry_address()).await.unwrap();
        let mut gateway = Self {
            name: name.parse().unwrap(),
            stream,
        };
        let hello = GatewayMessage::Hello {
            cluster: "mimosaswitch".to_owned(),
            instance: gateway.name.clone(),
            data_centre: "north".parse().unwrap(),
        };
        gateway.say(hello).await;
        gateway
    }

    async fn say(&mut self, message: GatewayMessage) {
        frame::write(&mut self.stream, &message).await.unwrap();
    }

    /// Asks for the memory of the whole endpoint.
    async fn ask(&mut self, number: u64) {
        let ask = PlacementRequest {
            id: GatewayRequestId {
                gateway: self.name.clone(),
                number,
            },
            account: None,
            prompt: Tokens(6_000),
            max_output: Tokens(3_000),
            expected_output: Some(Tokens(3_000)),
            priority: 1,
            time_to_target: Duration::from_secs(60),
            time_to_timeout: Duration::from_secs(60),
            data_centre: "north".parse().unwrap(),
            avoid: Vec::new(),
            kv_cache_at: None,
        };
        let service = "verse".parse().unwrap();
        self.say(GatewayMessage::RequestPlacement { service, ask })
            .await;
    }

    /// The next answer to an ask: whether it was placed, and its number.
    async fn answer(&mut self) -> (bool, u64) {
        loop {
            let message = frame::read(&mut self.stream).await.unwrap().unwrap();
            match message {
                ControlMessage::Placed { number, .. } => return (true, number),
                ControlMessage::Queued { number } => return (false, number),
                ControlMessage::Rejected {
                    number,
                    reason: why,
                    ..
                } => {
                    panic!("{number} was refused: {why:?}")
                }
                _ => {}
            }
        }
    }
}

#[googletest::test]
#[tokio::test]
async fn a_request_waits_until_the_one_before_it_ended() {
    let (control, _folder) = start().await;
    let mut gateway = Gateway::connect(&control, "10.0.0.1").await;
    gateway.ask(1).await;
    // The leader may still wait for what others hold, and says so first.
    while gateway.answer().await != (true, 1) {}
    gateway.ask(2).await;
    expect_that!(gateway.answer().await, eq((false, 2)));
    let end = RunEnd::Aborted;
    gateway.say(GatewayMessage::Ended { number: 1, end }).await;
    expect_that!(gateway.answer().await, eq((true, 2)));
}

/// The end of a run is lost with the connection. The gateway's next list of what it holds frees the
/// endpoint.
#[googletest::test]
#[tokio::test]
async fn what_a_gateway_no_longer_holds_is_over() {
    let (control, _folder) = start().await;
    let mut gateway = Gateway::connect(&control, "10.0.0.1").await;
    gateway.ask(1).await;
    while gateway.answer().await != (true, 1) {}
    drop(gateway);
    let mut again = Gateway::connect(&control, "10.0.0.1").await;
    again.ask(2).await;
    expect_that!(again.answer().await, eq((false, 2)));
    again
        .say(GatewayMessage::ReportActive { numbers: vec![2] })
        .await;
    expect_that!(again.answer().await, eq((true, 2)));
}

/// A gateway that is gone for good frees what it held after a while.
#[googletest::test]
#[tokio::test]
async fn what_a_lost_gateway_held_is_over() {
    let (control, _folder) = start().await;
    let mut lost = Gateway::connect(&control, "10.0.0.1").await;
    lost.ask(1).await;
    while lost.answer().await != (true, 1) {}
    drop(lost);
    let mut other = Gateway::connect(&control, "10.0.0.2").await;
    other.ask(1).await;
    expect_that!(other.answer().await, eq((false, 1)));
    expect_that!(other.answer().await, eq((true, 1)));
}

/// Decode endpoints are full while prefill endpoints idle: one of these is ordered to decode, once.
#[googletest::test]
#[tokio::test]
async fn an_idle_prefill_endpoint_is_ordered_to_decode() {
    let (tx, mut orders) = mpsc::unbounded_channel();
    let endpoints = Endpoints(&["d-1", "d-2", "p-1", "p-2", "p-3", "p-4"]);
    let (control, _folder) = start_with(endpoints, Accepting(tx)).await;
    let mut gateway = Gateway::connect(&control, "10.0.0.1").await;
    for number in 1..=30 {
        gateway.ask(number).await;
        while gateway.answer().await != (true, number) {}
        let took = Duration::from_millis(10);
        gateway
            .say(GatewayMessage::Prefilled { number, took })
            .await;
        gateway.say(GatewayMessage::Started { number }).await;
        tokio::time::sleep(Duration::from_millis(60)).await;
        let end = RunEnd::Complete(Tokens(3_000));
        gateway.say(GatewayMessage::Ended { number, end }).await;
    }
    let (endpoint, role, fencing) = orders.recv().await.unwrap();
    expect_that!(endpoint, starts_with("p-"));
    expect_that!(role, eq(EndpointRole::Decode));
    expect_that!(fencing.holder.as_str(), eq("127.0.0.1"));
    expect_that!(fencing.token.get(), gt(0));
    expect_that!(fencing.expected_accepted, eq(7));
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_true!(orders.try_recv().is_err());
}
