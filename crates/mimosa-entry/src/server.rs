//! The entry process: accepts callers, runs the background tasks and drains on shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use axum::Router;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use mimosa_config::EntrySettings;
use mimosa_config::InstanceSettings;
use mimosa_config::MembershipTimes;
use mimosa_membership::Identity;
use mimosa_membership::Membership;
use mimosa_membership::freshness;
use mimosa_memory::sizes::ProcessLimits;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Result;
use mimosa_transport::accept;
use mimosa_transport::bounded_connections::Closable;
use mimosa_transport::clock::Clock;
use mimosa_transport::datagram::ClusterTag;
use mimosa_transport::datagram::Socket;
use mimosa_transport::socket;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::configuration_store::ConfigurationStore;
use crate::connection::Connection;
use crate::engine::http::HttpEngineClient;
use crate::follow;
use crate::follow::ControlLink;
use crate::holds::Holds;
use crate::memory;
use crate::memory::EntryMemory;
use crate::metrics::Metrics;
use crate::peers::beat;
use crate::peers::network::Network;
use crate::peers::serve;
use crate::place::RequestQueues;
use crate::probe;
use crate::rate_limits::RateLimits;
use crate::retry::RetryBudgets;
use crate::route;
use crate::shared::Shared;
use crate::suspects::QuarantineTracker;

/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const MAX_BIND_ATTEMPTS: u32 = 8;
/// Maximum number of headers of a request; HTTP requests with more are rejected.
const MAX_HEADERS: usize = 100;
/// Delay after a failed accept, which fails again at once when the process is out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The server of an entry; see [`EntryServer::start`].
pub struct EntryServer;

/// A running entry. Dropping it does not stop the entry; [`Running::shutdown`] does.
pub struct Running {
    address: SocketAddr,
    peer_address: SocketAddr,
    shared: Arc<Shared>,
    stop: Arc<Notify>,
    accept_task: JoinHandle<()>,
    background_tasks: Vec<JoinHandle<()>>,
}

impl EntryServer {
    /// Starts an entry on the current Tokio runtime, within the limits of the process. It listens when this returns, and is ready
    /// (`GET /readyz`) once it has a confirmed configuration and the roles of its data centre are
    /// assigned.
    ///
    /// # Errors
    ///
    /// [`Error::Network`](mimosa_protocol::Error::Network) if an address cannot be bound.
    pub async fn start(
        instance: InstanceSettings,
        limits: ProcessLimits,
        settings: EntrySettings,
    ) -> Result<Running> {
        let (listener, address) = accept::bind(settings.listen).await?;
        let (control, ledger_requests) = ControlLink::new();
        let (peer_listener, peer_address, socket) =
            bind_peers(settings.peer_listen, &instance.cluster).await?;
        let clock = Clock::start();
        let memory = EntryMemory::new(limits, settings.limits.connections, clock);
        let shared = new_shared(instance, settings, memory, control, peer_address);
        shared.network.connect_to(&shared.instance.data_centre);
        let background_tasks = vec![
            tokio::spawn(follow::run(Arc::clone(&shared), ledger_requests)),
            tokio::spawn(probe::run(Arc::clone(&shared))),
            tokio::spawn(memory::watch(Arc::clone(&shared))),
            tokio::spawn(serve::run(peer_listener, Arc::clone(&shared))),
            tokio::spawn(beat::run(socket, peer_address, Arc::clone(&shared))),
        ];
        let stop = Arc::new(Notify::new());
        let accept_task = tokio::spawn(accept(listener, Arc::clone(&shared), Arc::clone(&stop)));
        Ok(Running {
            address,
            peer_address,
            shared,
            stop,
            accept_task,
            background_tasks,
        })
    }
}

fn new_shared(
    instance: InstanceSettings,
    settings: EntrySettings,
    memory: EntryMemory,
    control: ControlLink,
    peer_address: SocketAddr,
) -> Arc<Shared> {
    let clock = memory.process.clock;
    let incarnation = Incarnation(clock.now().as_micros());
    let instance_id = instance.id.clone();
    let data_centre = instance.data_centre.clone();
    let cluster = instance.cluster.clone();
    let network = Arc::new(Network::new(
        instance_id.clone(),
        incarnation,
        cluster,
        &settings.peers,
    ));
    let membership = membership_settings(&settings.membership);
    let freshness = freshness::Settings {
        key_lease: settings.limits.key_lease,
    };
    Arc::new_cyclic(|weak_self| Shared {
        weak_self: Weak::clone(weak_self),
        started_at: clock.now(),
        members: Mutex::new(new_members(&instance, incarnation, membership)),
        rate_limits: RateLimits::new(data_centre.clone(), instance_id.clone(), incarnation),
        holds: Holds::new(instance_id, incarnation, &membership),
        quarantine: QuarantineTracker::new(),
        retry_budgets: RetryBudgets::default(),
        queues: RequestQueues::new(clock, data_centre, Arc::clone(&network)),
        engine_client: Arc::new(HttpEngineClient::new(
            settings.limits.endpoint_silence,
            memory.is_limited(),
        )),
        freshness: Mutex::new(freshness::Freshness::new(freshness)),
        configuration: ConfigurationStore::default(),
        metrics: Metrics::new(),
        memory,
        drain_started: watch::Sender::default(),
        failed_endpoints: Mutex::default(),
        peer_address,
        network,
        control,
        instance,
        settings,
        clock,
    })
}

fn membership_settings(times: &MembershipTimes) -> mimosa_membership::Settings {
    mimosa_membership::Settings {
        heartbeat: times.heartbeat,
        lease: times.lease,
        suspect_after: times.lease + times.heartbeat,
        join_after: times.lease + times.heartbeat,
        round_timeout: times.heartbeat,
        ..mimosa_membership::Settings::default()
    }
}

fn new_members(
    instance: &InstanceSettings,
    incarnation: Incarnation,
    membership: mimosa_membership::Settings,
) -> Membership {
    let identity = Identity {
        instance: instance.id.clone(),
        incarnation,
    };
    Membership::new(identity, instance.data_centre.clone(), membership)
}

/// Binds the peer address for TCP and for UDP. A port chosen by the system for TCP may be in use
/// for UDP, so several are tried.
async fn bind_peers(
    listen: SocketAddr,
    cluster: &str,
) -> Result<(TcpListener, SocketAddr, Socket)> {
    let mut last_error = None;
    for _ in 0..MAX_BIND_ATTEMPTS {
        let (listener, address) = accept::bind(listen).await?;
        match Socket::bind(address, ClusterTag::of(cluster)).await {
            Ok(socket) => return Ok((listener, address, socket)),
            Err(e) => last_error = Some(e),
        }
    }
    Err(last_error.expect("at least one attempt was made"))
}

impl Running {
    /// The address that callers connect to, with the port chosen by the system if the setting has
    /// port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address that other entries use, over TCP and UDP, with the port chosen by the system if
    /// the setting has port 0.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Refuses new requests, waits until the requests in flight have finished, at most for the
    /// drain time of the settings, and stops. Requests on connections that are still open then are
    /// not awaited.
    pub async fn shutdown(self) {
        self.shared.drain();
        self.stop.notify_one();
        if let Err(e) = self.accept_task.await {
            log::error!("the task that accepts callers failed: {e}");
        }
        for task in self.background_tasks {
            task.abort();
        }
    }
}

/// Accepts connections until `stop` is notified, and then drains. While the maximum number of
/// connections is open and none can be closed, further ones wait in the listener's backlog.
async fn accept(listener: TcpListener, shared: Arc<Shared>, stop: Arc<Notify>) {
    let router = route::router(&shared);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.notified() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let is_stopped = tokio::select! {
                    () = shared.memory.connections.wait_for_room(&shared.memory.process) => false,
                    () = stop.notified() => true,
                };
                tokio::spawn(serve_connection(stream, router.clone(), &shared, &graceful));
                if is_stopped {
                    break;
                }
            }
            Err(e) => {
                log::warn!(
                    "cannot accept a connection: {e}; trying again in {ACCEPT_RETRY_DELAY:?}"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drain(listener, router, &shared, graceful).await;
}

/// Lets requests in flight finish within the drain time. Requests on new connections are refused as
/// draining.
async fn drain(
    listener: TcpListener,
    router: Router,
    shared: &Arc<Shared>,
    connections: GracefulShutdown,
) {
    let late_connections = GracefulShutdown::new();
    let finished = tokio::time::timeout(shared.settings.limits.drain_time, connections.shutdown());
    tokio::pin!(finished);
    loop {
        tokio::select! {
            result = &mut finished => {
                if result.is_err() {
                    log::warn!(
                        "requests in flight did not finish within the drain time of {:?}",
                        shared.settings.limits.drain_time
                    );
                }
                return;
            }
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve_connection(stream, router.clone(), shared, &late_connections));
                }
            }
        }
    }
}

fn serve_connection(
    stream: TcpStream,
    router: Router,
    shared: &Arc<Shared>,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + use<> {
    let limits = &shared.settings.limits;
    socket::configure_for_slow_reader(&stream);
    if let Some(bytes) = shared.memory.receive_buffer() {
        socket::bound_receive_buffer(&stream, bytes);
    }
    let tracked = Connection::new(shared);
    let open = shared
        .memory
        .connections
        .add(Arc::clone(&tracked) as Arc<dyn Closable>);
    let stream = tracked.track(stream);
    let closing = tracked.closing().clone();
    let router = TowerToHyperService::new(router);
    let service = service_fn(move |mut req: Request<Incoming>| {
        tracked.set_busy();
        let version = req.version();
        req.extensions_mut().insert(Arc::clone(&tracked));
        let response = router.call(req);
        let tracked = Arc::clone(&tracked);
        async move {
            let response = response.await;
            response.map(|response| {
                tracked.expect(response.headers());
                response.map(|body| tracked.track_body(version, body))
            })
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(usize::try_from(limits.head.0).unwrap_or(usize::MAX))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    async move {
        tokio::select! {
            ended = connection => {
                if let Err(e) = ended {
                    log::debug!("connection from a caller failed: {e}");
                }
            }
            () = closing.wait() => {
                log::debug!("closing the connection of a caller: reason=\"room is needed\"");
            }
        }
        drop(open);
    }
}
