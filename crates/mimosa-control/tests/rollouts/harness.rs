//! Three control instances in one process, and gateways that are simulated over real connections.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use mimosa_consensus::VoterPolicy;
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
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::secret::Secret;
use mimosa_rollout::OutcomeCounts;
use mimosa_rollout::RolloutPhase;
use mimosa_rollout::RolloutView;
use mimosa_rollout::permits::Permits;
use mimosa_rollout::permits::REPORT_INTERVAL;
use mimosa_route::DocumentFormat;
use mimosa_route::DocumentVersion;
use mimosa_route::InvalidConfiguration;
use mimosa_route::ListedEndpoint;
use mimosa_route::RoutedService;
use mimosa_route::RoutingConfiguration;
use mimosa_route::message::ControlMessage;
use mimosa_route::message::ControlState;
use mimosa_route::message::GatewayMessage;
use mimosa_state::rollouts::Rollout;
use mimosa_transport::frame;
use mimosa_transport::reserved_buffer::ProcessMemory;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Key of the operator.
pub const OPERATOR_KEY: &str = "mso-ada";
const GATEWAYS: u32 = 10;
/// Requests of each gateway: one per interval.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const ROUTES: [&str; 2] = ["shop.example/", "shop.example/b/"];
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: u32 = 1_500;

pub fn shop() -> ServiceId {
    "shop".parse().unwrap()
}

/// Parses every document to one plain service.
struct ShopFormat;

impl DocumentFormat for ShopFormat {
    fn read(&self, _: &[u8]) -> Result<RoutingConfiguration, InvalidConfiguration> {
        Ok(RoutingConfiguration {
            version: DocumentVersion(1),
            services: vec![RoutedService {
                id: shop(),
                health_path: "/".to_owned(),
                max_connections: 8,
                cold_start: Default::default(),
                engine: None,
            }],
            ..RoutingConfiguration::default()
        })
    }
}

/// Four endpoints of each version.
struct TwoVersions;

impl EndpointSource for TwoVersions {
    fn list<'a>(
        &'a self,
        _: &'a ProcessMemory,
    ) -> BoxFuture<'a, Result<Vec<ListedEndpoint>, ListError>> {
        let endpoints = (0..8).map(|number| ListedEndpoint {
            id: format!("i-{number}").parse().unwrap(),
            service: shop(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "north".parse().unwrap(),
            role: EndpointRole::Plain,
            state: EndpointState::Active,
            slots: 8,
            cold_remaining: Duration::ZERO,
            started_at_ms: 1,
            version: Some(if number < 4 { "v1" } else { "v2" }.parse().unwrap()),
        });
        let endpoints = endpoints.collect();
        Box::pin(async move { Ok(endpoints) })
    }
}

struct NoEngines;

impl EngineControl for NoEngines {
    fn accepted_orders(&self, _: &ListedEndpoint) -> BoxFuture<'_, Result<u64, EngineError>> {
        Box::pin(async { Ok(0) })
    }

    fn change_role(
        &self,
        _: &ListedEndpoint,
        _: EndpointRole,
        _: OrderFencing,
    ) -> BoxFuture<'_, Result<(), EngineError>> {
        Box::pin(async { Ok(()) })
    }
}

struct CapturedOrders(mpsc::UnboundedSender<RoutingOrders>);

impl OperatorInterface for CapturedOrders {
    fn router(&self, orders: RoutingOrders) -> Router {
        self.0.send(orders).ok();
        Router::new()
    }
}

/// Whether a request to the new version fails: time since the order, route, number of the request.
pub type IsBad = fn(Duration, usize, u64) -> bool;

/// What the gateways did and saw.
#[derive(Default)]
pub struct Observed {
    pub requests: AtomicU64,
    pub new_requests: AtomicU64,
    pub bad_responses: AtomicU64,
    fiftieth_bad: Mutex<Option<Instant>>,
    last_new: Mutex<Option<Instant>>,
}

impl Observed {
    /// Checks both bounds on the requests to a bad version.
    pub fn assert_within_exposure(&self) {
        let new = self.new_requests.load(Ordering::Relaxed);
        let limit = 50 + self.requests.load(Ordering::Relaxed) / 10;
        assert!(
            new <= limit,
            "{new} requests to the new version, limit {limit}"
        );
        let fiftieth = *self.fiftieth_bad.lock().unwrap();
        let last = *self.last_new.lock().unwrap();
        if let (Some(fiftieth), Some(last)) = (fiftieth, last) {
            let late = last.saturating_duration_since(fiftieth);
            assert!(
                late <= Duration::from_secs(5),
                "a request {late:?} too late"
            );
        }
    }
}

/// Clusters that run at a time. More of them delay each other's elections and requests.
static RUNNING: Semaphore = Semaphore::const_new(3);

pub struct Cluster {
    _permit: SemaphorePermit<'static>,
    instances: BTreeMap<InstanceId, (Running, RoutingOrders)>,
    _folders: Vec<TempDir>,
    gateways: JoinSet<()>,
    pub observed: Arc<Observed>,
}

impl Cluster {
    /// Starts three control instances and the gateways.
    pub async fn start(is_bad: IsBad) -> Self {
        let permit = RUNNING.acquire().await.unwrap();
        let ips: Vec<IpAddr> = (1..=3)
            .map(|last| IpAddr::from([127, 0, 0, last]))
            .collect();
        let names: BTreeSet<InstanceId> = ips
            .iter()
            .map(|ip| ip.to_string().parse().unwrap())
            .collect();
        // Instances that discover each other share the port of their peers.
        let port = {
            let probe = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            probe.local_addr().unwrap().port()
        };
        let mut instances = BTreeMap::new();
        let mut folders = Vec::new();
        for ip in ips {
            let folder = tempfile::tempdir().unwrap();
            let name: InstanceId = ip.to_string().parse().unwrap();
            let settings = Settings {
                instance: name.clone(),
                data_folder: folder.path().to_owned(),
                bootstrap: true,
                initial_voters: names.clone(),
                discovery: Some(Discovery {
                    seeds: names.clone(),
                    port,
                }),
                voter_policy: Some(VoterPolicy {
                    voters: 3,
                    replace_voter_after: Duration::from_secs(60),
                    remove_learner_after: Duration::from_secs(60),
                }),
                peer_listen: SocketAddr::new(ip, port),
                election_timeout: Duration::from_millis(500),
                heartbeat: Duration::from_millis(500),
                operators: BTreeMap::from([(
                    "ada".parse().unwrap(),
                    Secret::new(OPERATOR_KEY).digest(),
                )]),
                ..Settings::default()
            };
            let (tx, mut captured) = mpsc::unbounded_channel();
            let bound = ControlServer::bind(settings).await.unwrap();
            let running = bound
                .start_for_gateways(Integration {
                    format: Arc::new(ShopFormat),
                    source: Arc::new(TwoVersions),
                    operators: Arc::new(CapturedOrders(tx)),
                    engines: Arc::new(NoEngines),
                    list_interval: Duration::from_millis(100),
                })
                .await
                .unwrap();
            let orders = captured.recv().await.unwrap();
            instances.insert(name, (running, orders));
            folders.push(folder);
        }
        let mut cluster = Self {
            _permit: permit,
            instances,
            _folders: folders,
            gateways: JoinSet::new(),
            observed: Arc::default(),
        };
        cluster
            .wait_for("a document", |cluster| {
                let orders = cluster.any_orders();
                Box::pin(async move { orders.adopt(b"the document").await.is_ok() })
            })
            .await;
        let addresses: BTreeMap<InstanceId, SocketAddr> = cluster
            .instances
            .iter()
            .map(|(name, (running, _))| (name.clone(), running.entry_address()))
            .collect();
        for number in 0..GATEWAYS {
            let gateway = SimulatedGateway {
                name: format!("gateway-{number}").parse().unwrap(),
                addresses: addresses.clone(),
                observed: Arc::clone(&cluster.observed),
                is_bad,
                started: Instant::now(),
                state: Mutex::default(),
            };
            cluster.gateways.spawn(Arc::new(gateway).run());
        }
        cluster
    }

    /// Address of an instance's operator API.
    pub fn any_admin(&self) -> SocketAddr {
        self.instances.values().next().unwrap().0.admin_address()
    }

    pub fn any_orders(&self) -> RoutingOrders {
        self.instances.values().next().unwrap().1.clone()
    }

    /// Sends an order as an operator does: to one instance after the other until it is answered.
    pub async fn order(&self, duration: Duration) {
        for _ in 0..MAX_POLLS {
            for (_, orders) in self.instances.values() {
                let to = "v2".parse().unwrap();
                if orders.start_rollout(shop(), to, duration).await.is_ok() {
                    return;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("the order was not confirmed");
    }

    /// Kills the leader.
    pub async fn kill_leader(&mut self) {
        let leader = self.leader().await;
        let (running, _) = self.instances.remove(&leader).unwrap();
        running.kill().await;
    }

    async fn leader(&self) -> InstanceId {
        for _ in 0..MAX_POLLS {
            let leading = self
                .instances
                .iter()
                .find(|(_, (_, orders))| orders.replicator.status().role == "leader");
            if let Some((name, _)) = leading {
                return name.clone();
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("no instance leads");
    }

    /// The rollout as any instance proves it to be.
    pub async fn rollout(&self) -> Rollout {
        for _ in 0..MAX_POLLS {
            for (_, orders) in self.instances.values() {
                if let Ok(Some(rollout)) = orders.rollout(&shop()).await {
                    return rollout;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("no instance knows the rollout");
    }

    /// Waits until the rollout is in a phase that `is_awaited` accepts.
    pub async fn wait_for_phase(&self, is_awaited: fn(RolloutPhase) -> bool) -> Rollout {
        for _ in 0..MAX_POLLS {
            let rollout = self.rollout().await;
            if is_awaited(rollout.phase) {
                return rollout;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("the rollout did not reach the phase");
    }

    async fn wait_for(&self, what: &str, condition: impl Fn(&Self) -> BoxFuture<'static, bool>) {
        for _ in 0..MAX_POLLS {
            if condition(self).await {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("waited in vain for {what}");
    }
}

/// A gateway that serves requests without endpoints and counts what it would have sent.
struct SimulatedGateway {
    name: InstanceId,
    addresses: BTreeMap<InstanceId, SocketAddr>,
    observed: Arc<Observed>,
    is_bad: IsBad,
    started: Instant,
    state: Mutex<GatewayState>,
}

#[derive(Default)]
struct GatewayState {
    control: Option<ControlState>,
    leader: Option<(u64, InstanceId)>,
    view: Option<(RolloutView, Instant)>,
    permits: Option<Permits>,
    outcomes: BTreeMap<(bool, usize), OutcomeCounts>,
    requests: u64,
}

impl SimulatedGateway {
    async fn run(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        for instance in self.addresses.keys() {
            tasks.spawn(Arc::clone(&self).follow(instance.clone()));
        }
        loop {
            sleep(REQUEST_INTERVAL).await;
            self.serve_request();
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_secs(50) + self.started.elapsed()
    }

    /// Keeps a connection to an instance, and reports to it while it leads.
    async fn follow(self: Arc<Self>, instance: InstanceId) {
        loop {
            if let Ok(stream) = TcpStream::connect(self.addresses[&instance]).await {
                let (mut reader, mut writer) = stream.into_split();
                let hello = GatewayMessage::Hello {
                    cluster: "mimosaswitch".to_owned(),
                    instance: self.name.clone(),
                    data_centre: "north".parse().unwrap(),
                    incarnation: Incarnation(1),
                };
                if frame::write(&mut writer, &hello).await.is_ok() {
                    let read = async {
                        while let Ok(Some(message)) = frame::read(&mut reader).await {
                            self.handle(&message);
                        }
                    };
                    tokio::select! {
                        () = read => {}
                        () = self.report(&instance, writer) => {}
                    }
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn handle(&self, message: &ControlMessage) {
        let mut state = self.state.lock().unwrap();
        match message {
            ControlMessage::State(control) => {
                if let Some(leader) = &control.leader
                    && state
                        .leader
                        .as_ref()
                        .is_none_or(|(term, _)| *term <= control.term)
                {
                    state.leader = Some((control.term, leader.clone()));
                }
                let known = state
                    .control
                    .as_ref()
                    .map_or(0, |known| known.routing_index);
                if control.routing_index < known {
                    return;
                }
                state.control = Some(control.clone());
                if let Some(view) = control.rollouts.first() {
                    let is_new = state
                        .view
                        .as_ref()
                        .is_none_or(|(v, _)| v.number != view.number);
                    let since = match &state.view {
                        Some((_, since)) if !is_new => *since,
                        _ => Instant::now(),
                    };
                    if is_new {
                        state.permits = Some(Permits::new(view.number));
                    }
                    state.view = Some((view.clone(), since));
                }
            }
            ControlMessage::GrantPermits(grant) => {
                let now = self.now();
                if let Some(permits) = &mut state.permits {
                    permits.on_grant(now, grant);
                }
            }
            _ => {}
        }
    }

    async fn report(&self, instance: &InstanceId, mut writer: OwnedWriteHalf) {
        loop {
            sleep(REPORT_INTERVAL).await;
            let report = {
                let mut state = self.state.lock().unwrap();
                let leads = state
                    .leader
                    .as_ref()
                    .is_some_and(|(_, name)| name == instance);
                let view = state.view.as_ref().map(|(view, _)| view.clone());
                let view = view.filter(|view| leads && view.phase.is_running());
                let outcomes = state.outcomes.values().cloned().collect();
                view.and_then(|view| {
                    let mut report = state.permits.as_mut()?.report(self.now(), &view);
                    report.outcomes = outcomes;
                    Some(report)
                })
            };
            let Some(report) = report else { continue };
            let message = GatewayMessage::ReportRollout(report);
            if frame::write(&mut writer, &message).await.is_err() {
                return;
            }
        }
    }

    fn serve_request(&self) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        state.requests += 1;
        let number = state.requests;
        let Some((view, since)) = state.view.clone() else {
            return;
        };
        let observed = &self.observed;
        if view.phase.is_running() {
            observed.requests.fetch_add(1, Ordering::Relaxed);
        }
        let permits = state.permits.as_mut().unwrap();
        permits.count_request();
        let is_new = match view.phase {
            RolloutPhase::Testing => permits.take(now),
            RolloutPhase::Moving | RolloutPhase::Completed => true,
            RolloutPhase::RolledBack => false,
        };
        let route = usize::from(number.is_multiple_of(2));
        let fails = is_new && (self.is_bad)(since.elapsed(), route, number);
        if is_new {
            observed.new_requests.fetch_add(1, Ordering::Relaxed);
            *observed.last_new.lock().unwrap() = Some(Instant::now());
        }
        if fails && observed.bad_responses.fetch_add(1, Ordering::Relaxed) == 49 {
            *observed.fiftieth_bad.lock().unwrap() = Some(Instant::now());
        }
        let cell = state.outcomes.entry((is_new, route));
        let cell = cell.or_insert_with(|| OutcomeCounts {
            is_new,
            route: ROUTES[route].to_owned(),
            data_centre: "north".parse().unwrap(),
            complete: 0,
            failed: 0,
            refused: 0,
            durations: Default::default(),
        });
        match fails {
            true => cell.failed += 1,
            false => {
                cell.complete += 1;
                cell.durations
                    .record(Duration::from_millis(20 + number % 9));
            }
        }
    }
}
