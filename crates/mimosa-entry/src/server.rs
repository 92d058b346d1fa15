//! The entry process: accepts callers, follows a control instance, drains at the end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
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
use mimosa_protocol::Incarnation;
use mimosa_protocol::Result;
use mimosa_transport::accept;
use mimosa_transport::clock::Clock;
use mimosa_transport::datagram::ClusterTag;
use mimosa_transport::datagram::Socket;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use crate::engine::http::HttpEngine;
use crate::follow;
use crate::follow::ControlLink;
use crate::holds::Holds;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::peers::beat;
use crate::peers::network::Network;
use crate::peers::serve;
use crate::place::Placers;
use crate::probe;
use crate::retry::Budgets;
use crate::route;
use crate::shared::Shared;
use crate::suspects::Suspects;
use crate::table::CurrentTable;

/// Tries to find a port that is free for TCP and for UDP.
const BIND_TRIES: u32 = 8;
/// Most headers of a request.
const MAX_HEADERS: usize = 100;
/// Pause after a failed accept, as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Starts entries.
pub struct EntryServer;

/// A running entry.
pub struct Running {
    address: SocketAddr,
    peer_address: SocketAddr,
    shared: Arc<Shared>,
    stop: Arc<Notify>,
    accepting: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
}

impl EntryServer {
    /// Starts an entry; it is ready once it has a configuration.
    ///
    /// # Errors
    ///
    /// [`Error::Network`] if its address cannot be bound.
    pub async fn start(instance: InstanceSettings, settings: EntrySettings) -> Result<Running> {
        let (listener, address) = accept::bind(settings.listen).await?;
        let (control, asks) = ControlLink::new();
        let (peer_listener, peer_address, socket) =
            bind_peers(settings.peer_listen, &instance.cluster).await?;
        let shared = new_shared(instance, settings, control, peer_address);
        shared.network.open_all(&shared.instance.data_centre);
        let background = vec![
            tokio::spawn(follow::run(Arc::clone(&shared), asks)),
            tokio::spawn(probe::run(Arc::clone(&shared))),
            tokio::spawn(serve::run(peer_listener, Arc::clone(&shared))),
            tokio::spawn(beat::run(socket, peer_address, Arc::clone(&shared))),
        ];
        let stop = Arc::new(Notify::new());
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared), Arc::clone(&stop)));
        Ok(Running {
            address,
            peer_address,
            shared,
            stop,
            accepting,
            background,
        })
    }
}

fn new_shared(
    instance: InstanceSettings,
    settings: EntrySettings,
    control: ControlLink,
    peer_address: SocketAddr,
) -> Arc<Shared> {
    let clock = Clock::start();
    let life = Incarnation(clock.now().as_micros());
    let me = instance.id.clone();
    let data_centre = instance.data_centre.clone();
    let cluster = instance.cluster.clone();
    let network = Arc::new(Network::new(me.clone(), life, cluster, &settings.peers));
    let membership = membership_settings(&settings.membership);
    let freshness = freshness::Settings {
        key_lease: settings.limits.key_lease,
    };
    Arc::new_cyclic(|own| Shared {
        own: Weak::clone(own),
        started: clock.now(),
        members: Mutex::new(new_members(&instance, life, membership)),
        limits: Limits::new(data_centre.clone(), me.clone(), life),
        holds: Holds::new(me, life, &membership),
        suspects: Suspects::new(),
        budgets: Budgets::default(),
        placers: Placers::new(clock, data_centre, Arc::clone(&network)),
        engine: Arc::new(HttpEngine::new(settings.limits.endpoint_silence)),
        freshness: Mutex::new(freshness::Freshness::new(freshness)),
        table: CurrentTable::default(),
        metrics: Metrics::new(),
        draining: AtomicBool::new(false),
        doubted: Mutex::default(),
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
    life: Incarnation,
    membership: mimosa_membership::Settings,
) -> Membership {
    let identity = Identity {
        instance: instance.id.clone(),
        incarnation: life,
    };
    Membership::new(identity, instance.data_centre.clone(), membership)
}

/// Binds the address of the entries for TCP and for UDP.
async fn bind_peers(
    listen: SocketAddr,
    cluster: &str,
) -> Result<(TcpListener, SocketAddr, Socket)> {
    let mut last = None;
    for _ in 0..BIND_TRIES {
        let (listener, address) = accept::bind(listen).await?;
        match Socket::bind(address, ClusterTag::of(cluster)).await {
            Ok(socket) => return Ok((listener, address, socket)),
            Err(e) => last = Some(e),
        }
    }
    Err(last.expect("there was at least one try"))
}

impl Running {
    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where other entries connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Refuses new work, lets work in hand finish within the drain time, and stops.
    pub async fn shutdown(self) {
        self.shared.drain();
        self.stop.notify_one();
        if let Err(e) = self.accepting.await {
            log::error!("the accepting task failed: {e}");
        }
        for task in self.background {
            task.abort();
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, stop: Arc<Notify>) {
    let router = route::router(&shared);
    let places = Arc::new(Semaphore::new(shared.settings.limits.connections as usize));
    let graceful = GracefulShutdown::new();
    loop {
        let place = Arc::clone(&places).acquire_owned();
        let place = tokio::select! {
            place = place => place.expect("the semaphore is never closed"),
            () = stop.notified() => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.notified() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = converse(stream, router.clone(), &shared, &graceful);
                tokio::spawn(async move {
                    connection.await;
                    drop(place);
                });
            }
            Err(e) => {
                log::warn!("cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drain(listener, router, &shared, graceful).await;
}

/// Serves what is in hand; new connections are answered that the instance shuts down.
async fn drain(
    listener: TcpListener,
    router: Router,
    shared: &Arc<Shared>,
    work: GracefulShutdown,
) {
    let refusing = GracefulShutdown::new();
    let finished = tokio::time::timeout(shared.settings.limits.drain_time, work.shutdown());
    tokio::pin!(finished);
    loop {
        tokio::select! {
            result = &mut finished => {
                if result.is_err() {
                    log::warn!("work in hand did not finish within the drain time");
                }
                return;
            }
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(converse(stream, router.clone(), shared, &refusing));
                }
            }
        }
    }
}

fn converse(
    stream: TcpStream,
    router: Router,
    shared: &Shared,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + use<> {
    let limits = &shared.settings.limits;
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {e}");
    }
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(usize::try_from(limits.head.0).unwrap_or(usize::MAX))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    let connection = graceful.watch(connection);
    async move {
        if let Err(e) = connection.await {
            log::debug!("a connection ended: {e}");
        }
    }
}
