//! The schedulers of the leader, driven through the connections of simulated gateways.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use googletest::prelude::*;
use mimosa_control::ControlServer;
use mimosa_control::Running;
use mimosa_control::Settings;
use mimosa_control::peer::PeerMessage;
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
use mimosa_hold::part_quarantine::PartQuarantine;
use mimosa_hold::part_quarantine::RequestParts;
use mimosa_hold::part_quarantine::Suspects;
use mimosa_hold::quarantine::CrashId;
use mimosa_hold::quarantine::Fingerprint;
use mimosa_protocol::ByteRate;
use mimosa_protocol::ByteSize;
use mimosa_protocol::Features;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
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
use mimosa_state::Operation;
use mimosa_transport::frame;
use mimosa_transport::reserved_buffer::ProcessMemory;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// Time within which a replaced connection is closed after its next message.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);
const KV_CAPACITY: Tokens = Tokens(10_000);

/// Parses every document to the same configuration with one model service.
struct SingleModelFormat;

impl DocumentFormat for SingleModelFormat {
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
                    kv_capacity: KV_CAPACITY,
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

/// A fixed list of endpoints; names with `p-` are prefill endpoints, those with `d-` decode
/// endpoints.
struct StaticEndpoints(&'static [&'static str]);

const ONE_DECODE_ENDPOINT: StaticEndpoints = StaticEndpoints(&["d-1"]);

impl EndpointSource for StaticEndpoints {
    fn list<'a>(
        &'a self,
        _: &'a ProcessMemory,
    ) -> BoxFuture<'a, std::result::Result<Vec<ListedEndpoint>, ListError>> {
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
            version: None,
        });
        let endpoints = endpoints.collect();
        Box::pin(async move { Ok(endpoints) })
    }
}

/// Engines that accept every order and pass it to the test.
struct AcceptingEngines(mpsc::UnboundedSender<(String, EndpointRole, OrderFencing)>);

impl EngineControl for AcceptingEngines {
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

/// Passes the [`RoutingOrders`] to the test.
struct CapturedOrders(mpsc::UnboundedSender<RoutingOrders>);

impl OperatorInterface for CapturedOrders {
    fn router(&self, orders: RoutingOrders) -> Router {
        self.0.send(orders).ok();
        Router::new()
    }
}

async fn start() -> (Running, TempDir) {
    let (orders, _) = mpsc::unbounded_channel();
    start_with(ONE_DECODE_ENDPOINT, AcceptingEngines(orders)).await
}

async fn start_with(endpoints: StaticEndpoints, engines: AcceptingEngines) -> (Running, TempDir) {
    let features = Features::default();
    let (running, folder, _) = start_with_all(endpoints, engines, features).await;
    (running, folder)
}

async fn start_with_orders() -> (Running, TempDir, RoutingOrders) {
    let (orders, _) = mpsc::unbounded_channel();
    let features = Features::default();
    start_with_all(ONE_DECODE_ENDPOINT, AcceptingEngines(orders), features).await
}

async fn start_with_all(
    endpoints: StaticEndpoints,
    engines: AcceptingEngines,
    features: Features,
) -> (Running, TempDir, RoutingOrders) {
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
        features,
        ..Settings::default()
    };
    let (tx, mut captured) = mpsc::unbounded_channel();
    let bound = ControlServer::bind(settings).await.unwrap();
    let running = bound
        .start_for_gateways(Integration {
            format: Arc::new(SingleModelFormat),
            source: Arc::new(endpoints),
            operators: Arc::new(CapturedOrders(tx)),
            engines: Arc::new(engines),
            list_interval: Duration::from_millis(20),
        })
        .await
        .unwrap();
    let orders = captured.recv().await.unwrap();
    orders.adopt(b"the document").await.unwrap();
    (running, folder, orders)
}

struct Gateway {
    name: InstanceId,
    stream: TcpStream,
}

impl Gateway {
    async fn connect(control: &Running, name: &str) -> Self {
        Self::connect_process(control, name, Incarnation(1)).await
    }

    /// Connects a certain process of a gateway.
    async fn connect_process(control: &Running, name: &str, incarnation: Incarnation) -> Self {
        let stream = TcpStream::connect(control.entry_address()).await.unwrap();
        let mut gateway = Self {
            name: name.parse().unwrap(),
            stream,
        };
        let hello = GatewayMessage::Hello {
            cluster: "mimosaswitch".to_owned(),
            instance: gateway.name.clone(),
            data_centre: "north".parse().unwrap(),
            incarnation,
        };
        gateway.send(hello).await;
        gateway
    }

    async fn send(&mut self, message: GatewayMessage) {
        frame::write(&mut self.stream, &message).await.unwrap();
    }

    /// Requests 9 000 of the endpoint's 10 000 tokens, so that no second request fits.
    async fn request_placement(&mut self, number: u64) {
        self.request_placement_of(None, number).await;
    }

    /// The same for a request of an account.
    async fn request_placement_of(&mut self, account: Option<&str>, number: u64) {
        let ask = PlacementRequest {
            id: GatewayRequestId {
                gateway: self.name.clone(),
                number,
            },
            account: account.map(|account| account.parse().unwrap()),
            prompt: Tokens(6_000),
            max_output: Tokens(3_000),
            expected_output: Some(Tokens(3_000)),
            priority: 1,
            time_to_target: Duration::from_secs(60),
            time_to_timeout: Duration::from_secs(60),
            data_centre: "north".parse().unwrap(),
            avoid: Vec::new(),
            exclude: Vec::new(),
            kv_cache_at: None,
            resumes: None,
            fingerprint: None,
        };
        let service = "verse".parse().unwrap();
        self.send(GatewayMessage::RequestPlacement { service, ask })
            .await;
    }

    async fn next_message(&mut self) -> ControlMessage {
        frame::read(&mut self.stream).await.unwrap().unwrap()
    }

    /// Waits for the next placement answer: whether the request was placed, and its number.
    async fn next_answer(&mut self) -> (bool, u64) {
        loop {
            match self.next_message().await {
                ControlMessage::Placed { number, .. } => return (true, number),
                ControlMessage::Queued { number } => return (false, number),
                ControlMessage::Rejected { number, reason, .. } => {
                    panic!("{number} was refused: {reason:?}")
                }
                _ => {}
            }
        }
    }
}

impl Gateway {
    /// Reports that a request with this part was lost with an endpoint at the start of its answer,
    /// this long ago.
    async fn report_lost(&mut self, number: u64, part: &str, age: Duration) {
        let message = GatewayMessage::ReportLostRun {
            service: "verse".parse().unwrap(),
            process: CrashId {
                endpoint: format!("d-{number}").parse().unwrap(),
                incarnation: Incarnation(number),
            },
            ran_for: Duration::from_millis(100),
            age,
            parts: parts(&number.to_string(), part),
        };
        self.send(message).await;
    }

    /// Reports that a request with this part got past the start of its answer.
    async fn report_sound(&mut self, number: u64, part: &str) {
        let service = "verse".parse().unwrap();
        let parts = parts(&number.to_string(), part);
        self.send(GatewayMessage::ReportSoundRun { service, parts })
            .await;
    }

    /// Waits for suspects of which one is quarantined.
    async fn next_quarantine(&mut self) -> Suspects {
        loop {
            if let ControlMessage::Suspects(suspects) = self.next_message().await
                && suspects
                    .suspects
                    .iter()
                    .any(|(_, each)| each.is_quarantined)
            {
                return suspects;
            }
        }
    }
}

fn parts(name: &str, part: &str) -> RequestParts {
    RequestParts {
        whole: Fingerprint::of_part(name.as_bytes()),
        parts: vec![Fingerprint::of_part(part.as_bytes())],
    }
}

fn rejects(suspects: &Suspects, part: &str) -> bool {
    let now = Timestamp::from_secs(50);
    let mut quarantine = PartQuarantine::default();
    quarantine.merge(now, suspects);
    let request = parts("a new request", part);
    quarantine.quarantined_until(now, &request).is_some()
}

/// Ages of crashes that happened one after the other; the gaps exceed any delay of their reports.
fn age_of(number: u64) -> Duration {
    Duration::from_secs(100 * (3 - number))
}

/// Guards against crashes that count once because a slow link delivers their reports together.
#[googletest::test]
#[tokio::test]
async fn crashes_whose_reports_arrive_together_count_by_when_they_happened() {
    let (control, _folder) = start().await;
    let mut gateway = Gateway::connect(&control, "10.0.0.1").await;
    for number in [3, 1, 2] {
        gateway.report_lost(number, "bad", age_of(number)).await;
    }
    for number in 11..=12 {
        gateway.report_sound(number, "sound").await;
    }
    expect_that!(rejects(&gateway.next_quarantine().await, "bad"), eq(true));
}

/// Each gateway sees a single crash, so that none could tell the cause alone.
#[googletest::test]
#[tokio::test]
async fn a_part_that_crashes_endpoints_through_different_gateways_is_quarantined_at_all_of_them() {
    let (control, _folder) = start().await;
    let mut gateways = Vec::new();
    for number in 1..=3 {
        gateways.push(Gateway::connect(&control, &format!("10.0.0.{number}")).await);
    }
    for (gateway, number) in gateways.iter_mut().zip(1..) {
        gateway.report_lost(number, "bad", age_of(number)).await;
        gateway.report_sound(number + 10, "sound").await;
    }
    for gateway in &mut gateways {
        let suspects = gateway.next_quarantine().await;
        expect_that!(rejects(&suspects, "bad"), eq(true));
        expect_that!(rejects(&suspects, "sound"), eq(false));
    }
    // A gateway that connects later.
    let mut late = Gateway::connect(&control, "10.0.0.9").await;
    let suspects = late.next_quarantine().await;
    expect_that!(rejects(&suspects, "bad"), eq(true));
}

/// Guards against a message to each gateway for each report of each gateway.
#[googletest::test]
#[tokio::test]
async fn suspects_that_change_often_are_sent_together() {
    const PARTS: u64 = 40;
    /// Minimum interval of the messages.
    const INTERVAL: Duration = Duration::from_millis(50);
    let (control, _folder) = start().await;
    let mut gateway = Gateway::connect(&control, "10.0.0.1").await;
    let started = Instant::now();
    for part in 0..PARTS {
        for number in 1..=2 {
            let id = 10 * part + number;
            let part = format!("part-{part}");
            gateway.report_lost(id, &part, age_of(number)).await;
        }
        sleep(Duration::from_millis(2)).await;
    }
    let mut messages = 0;
    loop {
        if let ControlMessage::Suspects(known) = gateway.next_message().await {
            messages += 1;
            if known.suspects.len() as u64 == PARTS {
                break;
            }
        }
    }
    expect_that!(started.elapsed(), ge(INTERVAL * (messages - 1)));
}

/// A new leader knows nothing of the crashes before its time.
#[googletest::test]
#[tokio::test]
async fn a_new_leader_takes_over_the_suspects_that_a_gateway_knows() {
    let (first, _folder) = start().await;
    let mut gateway = Gateway::connect(&first, "10.0.0.1").await;
    for number in 1..=3 {
        gateway.report_lost(number, "bad", age_of(number)).await;
        gateway.report_sound(number + 10, "sound").await;
    }
    let suspects = gateway.next_quarantine().await;
    let (successor, _folder) = start().await;
    let mut gateway = Gateway::connect(&successor, "10.0.0.1").await;
    let mut other = Gateway::connect(&successor, "10.0.0.2").await;
    gateway.send(GatewayMessage::ReportSuspects(suspects)).await;
    expect_that!(rejects(&other.next_quarantine().await, "bad"), eq(true));
}

#[googletest::test]
#[tokio::test]
async fn request_waits_in_the_queue_until_the_previous_one_ends() {
    let (control, _folder) = start().await;
    let mut gateway = Gateway::connect(&control, "10.0.0.1").await;
    gateway.request_placement(1).await;
    // The new leader first waits for reports of running requests, and answers that this one is
    // queued.
    while gateway.next_answer().await != (true, 1) {}
    gateway.request_placement(2).await;
    expect_that!(gateway.next_answer().await, eq((false, 2)));
    let end = RunEnd::Aborted;
    gateway.send(GatewayMessage::Ended { number: 1, end }).await;
    expect_that!(gateway.next_answer().await, eq((true, 2)));
}

/// Guards against a leader that does not hand the weights to its schedulers, or does so without being
/// asked to: the request of another account goes before the backlog only with fair shares.
#[googletest::test]
#[tokio::test]
async fn the_backlog_of_an_account_delays_others_only_without_fair_shares() {
    for (fair_shares, expected) in [(false, 2), (true, 4)] {
        let (orders, _) = mpsc::unbounded_channel();
        let features = Features {
            fair_shares,
            ..Features::default()
        };
        let engines = AcceptingEngines(orders);
        let (control, _folder, _) = start_with_all(ONE_DECODE_ENDPOINT, engines, features).await;
        let mut gateway = Gateway::connect(&control, "10.0.0.1").await;
        gateway.request_placement_of(Some("hot"), 1).await;
        while gateway.next_answer().await != (true, 1) {}
        for (account, number) in [("hot", 2), ("hot", 3), ("usual", 4)] {
            gateway.request_placement_of(Some(account), number).await;
            expect_that!(gateway.next_answer().await, eq((false, number)));
        }
        let end = RunEnd::Complete(Tokens(3_000));
        gateway.send(GatewayMessage::Ended { number: 1, end }).await;
        expect_that!(gateway.next_answer().await, eq((true, expected)));
    }
}

/// The report of a request's end can be lost with the connection. Guards against an endpoint that
/// stays occupied: the gateway's next report of its active requests frees it.
#[googletest::test]
#[tokio::test]
async fn request_missing_from_a_report_of_active_requests_is_ended() {
    let (control, _folder) = start().await;
    let mut gateway = Gateway::connect(&control, "10.0.0.1").await;
    gateway.request_placement(1).await;
    while gateway.next_answer().await != (true, 1) {}
    drop(gateway);
    let mut reconnected = Gateway::connect(&control, "10.0.0.1").await;
    reconnected.request_placement(2).await;
    expect_that!(reconnected.next_answer().await, eq((false, 2)));
    reconnected
        .send(GatewayMessage::ReportActive { numbers: vec![2] })
        .await;
    expect_that!(reconnected.next_answer().await, eq((true, 2)));
}

/// Guards against requests that wait for a leader that does not know them, as after a change of leadership that
/// the gateway missed: the leader tells the gateway, which submits them again.
#[googletest::test]
#[tokio::test]
async fn a_waiting_request_that_the_leader_does_not_know_is_returned_to_the_gateway() {
    let (control, _folder) = start().await;
    let mut gateway = Gateway::connect(&control, "10.0.0.1").await;
    gateway.request_placement(1).await;
    while gateway.next_answer().await != (true, 1) {}
    let numbers = vec![1, 7];
    gateway.send(GatewayMessage::ReportActive { numbers }).await;
    let returned = async {
        loop {
            if let ControlMessage::NotLeader { number } = gateway.next_message().await {
                return number;
            }
        }
    };
    let returned = timeout(CLOSE_TIMEOUT, returned).await;
    expect_that!(returned, ok(eq(&7)));
}

/// Guards against an endpoint that stays occupied by requests of a gateway that never reconnects.
#[googletest::test]
#[tokio::test]
async fn requests_of_a_lost_gateway_are_ended() {
    let (control, _folder) = start().await;
    let mut lost = Gateway::connect(&control, "10.0.0.1").await;
    lost.request_placement(1).await;
    while lost.next_answer().await != (true, 1) {}
    drop(lost);
    let mut other = Gateway::connect(&control, "10.0.0.2").await;
    other.request_placement(1).await;
    expect_that!(other.next_answer().await, eq((false, 1)));
    expect_that!(other.next_answer().await, eq((true, 1)));
}

/// With busy decode endpoints and idle prefill endpoints, exactly one prefill endpoint is ordered
/// to decode.
#[googletest::test]
#[tokio::test]
async fn idle_prefill_endpoint_is_ordered_to_decode_when_decode_is_the_bottleneck() {
    let (tx, mut orders) = mpsc::unbounded_channel();
    let endpoints = StaticEndpoints(&["d-1", "d-2", "p-1", "p-2", "p-3", "p-4"]);
    let (control, _folder) = start_with(endpoints, AcceptingEngines(tx)).await;
    let mut gateway = Gateway::connect(&control, "10.0.0.1").await;
    for number in 1..=30 {
        gateway.request_placement(number).await;
        while gateway.next_answer().await != (true, number) {}
        let took = Duration::from_millis(10);
        gateway
            .send(GatewayMessage::Prefilled { number, took })
            .await;
        gateway.send(GatewayMessage::Started { number }).await;
        sleep(Duration::from_millis(60)).await;
        let end = RunEnd::Complete(Tokens(3_000));
        gateway.send(GatewayMessage::Ended { number, end }).await;
    }
    let (endpoint, role, fencing) = orders.recv().await.unwrap();
    expect_that!(endpoint, starts_with("p-"));
    expect_that!(role, eq(EndpointRole::Decode));
    expect_that!(fencing.holder.as_str(), eq("127.0.0.1"));
    expect_that!(fencing.token.get(), gt(0));
    expect_that!(fencing.expected_accepted, eq(7));
    sleep(Duration::from_secs(2)).await;
    expect_true!(orders.try_recv().is_err());
}

/// Guards against messages that a frozen leader reads from a connection that was replaced meanwhile.
#[tokio::test]
async fn messages_of_a_replaced_gateway_connection_are_ignored() {
    let (control, _folder) = start().await;
    let mut old = Gateway::connect(&control, "10.0.0.1").await;
    old.request_placement(1).await;
    while old.next_answer().await != (true, 1) {}
    let mut new = Gateway::connect(&control, "10.0.0.1").await;
    new.request_placement(2).await;
    assert_that!(new.next_answer().await, eq((false, 2)));
    let end = RunEnd::Aborted;
    old.send(GatewayMessage::Ended { number: 1, end }).await;
    old.send(GatewayMessage::ReportActive {
        numbers: Vec::new(),
    })
    .await;
    let closed = async {
        while let Ok(Some(ControlMessage::State(_))) = frame::read(&mut old.stream).await {}
    };
    assert_that!(timeout(CLOSE_TIMEOUT, closed).await, ok(anything()));
    new.request_placement(3).await;
    // The end of the first request would have placed the second one before.
    assert_that!(new.next_answer().await, eq((false, 3)));
    // Only the newest connection reports what ended.
    let numbers = vec![2, 3];
    new.send(GatewayMessage::ReportActive { numbers }).await;
    assert_that!(new.next_answer().await, eq((true, 2)));
}

/// Guards against a placement of an earlier process that reaches a request of the next one.
#[tokio::test]
async fn requests_of_an_earlier_process_of_a_gateway_are_ended() {
    let (control, _folder) = start().await;
    let mut old = Gateway::connect_process(&control, "10.0.0.1", Incarnation(1)).await;
    old.request_placement(1).await;
    while old.next_answer().await != (true, 1) {}
    old.request_placement(2).await;
    assert_that!(old.next_answer().await, eq((false, 2)));
    let mut new = Gateway::connect_process(&control, "10.0.0.1", Incarnation(2)).await;
    // The numbers start again.
    new.request_placement(1).await;
    assert_that!(new.next_answer().await, eq((true, 1)));
}

/// Guards against commands that a frozen leader reads from a connection that was replaced meanwhile.
#[tokio::test]
async fn commands_of_a_replaced_connection_between_control_instances_are_ignored() {
    let (control, _folder, orders) = start_with_orders().await;
    let connect = || async {
        let mut stream = TcpStream::connect(control.peer_address()).await.unwrap();
        let hello = PeerMessage::Hello {
            cluster: "mimosaswitch".to_owned(),
            instance: "127.0.0.2".parse().unwrap(),
        };
        frame::write(&mut stream, &hello).await.unwrap();
        // The reply shows that the hello was handled.
        frame::write(&mut stream, &PeerMessage::Ping).await.unwrap();
        let reply: Option<PeerMessage> = frame::read(&mut stream).await.unwrap();
        assert_that!(reply, some(eq(&PeerMessage::Pong)));
        stream
    };
    let take_out = |name: &str| PeerMessage::Propose {
        call_id: 1,
        operation: Operation::SetDataCentreOut {
            data_centre: name.parse().unwrap(),
            out: true,
        },
    };
    let mut old = connect().await;
    let mut new = connect().await;
    frame::write(&mut old, &take_out("old")).await.unwrap();
    let closed = timeout(CLOSE_TIMEOUT, frame::read::<PeerMessage>(&mut old)).await;
    assert_that!(closed.unwrap().unwrap_or_default(), none());
    frame::write(&mut new, &take_out("new")).await.unwrap();
    let mut routing = orders.shared.routing_changes();
    let is_out = |name: &str| {
        let name = name.parse().unwrap();
        orders
            .shared
            .read(|machine| machine.routing().data_centres_out().contains(&name))
    };
    while !is_out("new") {
        routing.changed().await.unwrap();
    }
    assert_that!(is_out("old"), eq(false));
}
