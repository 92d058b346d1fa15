//! Gateway start, client connections, readiness probe, and graceful shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use log::debug;
use log::info;
use log::warn;
use mimosa_metrics::MetricsServer;
use mimosa_protocol::Result;
use mimosa_route::ClientLimits;
use mimosa_route::DocumentFormat;
use mimosa_transport::accept;
use mimosa_transport::socket;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::client_connection::ActivityTracker;
use crate::client_connections::ClientConnections;
use crate::connection::EndpointSockets;
use crate::control_link;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::memory;
use crate::memory::GatewayMemory;
use crate::response;
use crate::response::Body;
use crate::rollout;
use crate::serve;
use crate::settings::Reloadable;
use crate::settings::Settings;
use crate::shared::Shared;

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes above the head limit that are still read, so that the gateway can respond to an oversized
/// head with its own error document.
const EXTRA_HEAD_BYTES: usize = 8 << 10;
/// Smallest read buffer that hyper accepts.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;
/// Time within which the head of a readiness probe must arrive.
const READINESS_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts gateways; see [`Gateway::start`].
pub struct Gateway;

/// Handle of a running gateway. Only [`Running::shutdown`] stops it; dropping the handle does not.
pub struct Running {
    address: SocketAddr,
    readiness: SocketAddr,
    metrics: Option<SocketAddr>,
    shared: Arc<Shared>,
    stop: Arc<Notify>,
    accepting: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Starts a gateway. It becomes ready once it has received routes and endpoints.
    ///
    /// # Errors
    ///
    /// [`mimosa_protocol::Error::Network`] if an address cannot be bound.
    pub async fn start(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        format: Arc<dyn DocumentFormat>,
    ) -> Result<Running> {
        let (listener, address) = accept::bind(settings.listen).await?;
        let (readiness_listener, readiness) = accept::bind(settings.readiness).await?;
        let memory = GatewayMemory::new(settings.limits);
        let directory = Directory::new(format, EndpointSockets::new(&memory));
        let shared = Arc::new(Shared::new(settings, dialect, directory, memory));
        info!(
            "event=start role=gateway instance={} callers={address} readiness={readiness}",
            shared.settings.instance
        );
        let stop = Arc::new(Notify::new());
        let mut background = vec![
            tokio::spawn(control_link::run(Arc::clone(&shared))),
            tokio::spawn(rollout::run(Arc::clone(&shared))),
            tokio::spawn(serve_readiness(readiness_listener, Arc::clone(&shared))),
            tokio::spawn(memory::watch(Arc::clone(&shared))),
        ];
        let mut metrics_address = None;
        if let Some(address) = shared.settings.metrics {
            let registry = shared.metrics.registry.clone();
            let metrics = MetricsServer::bind(address, registry).await?;
            metrics_address = Some(metrics.address());
            background.push(tokio::spawn(metrics.run()));
        }
        let accepting = tokio::spawn(accept_clients(
            listener,
            Arc::clone(&shared),
            Arc::clone(&stop),
        ));
        Ok(Running {
            address,
            readiness,
            metrics: metrics_address,
            shared,
            stop,
            accepting,
            background,
        })
    }
}

impl Running {
    /// Bound listen address for clients.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bound listen address of the readiness probe.
    pub const fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Bound listen address of the metrics server; `None` if the settings disable it.
    pub const fn metrics(&self) -> Option<SocketAddr> {
        self.metrics
    }

    /// Whether routes and endpoints are known and the gateway is not draining.
    pub fn is_ready(&self) -> bool {
        is_ready(&self.shared)
    }

    /// Whether the gateway is connected to the control leader.
    pub fn has_leader(&self) -> bool {
        self.shared.placement.has_leader()
    }

    /// Replaces the reloadable settings. Connections to control instances that are no longer seeds
    /// stay open.
    pub fn reload(&self, reloadable: Reloadable) {
        self.shared.reload(reloadable);
    }

    /// Reports not ready, lets requests in flight finish within the drain time, and stops.
    pub async fn shutdown(self) {
        info!(
            "event=stop role=gateway instance={}",
            self.shared.settings.instance
        );
        self.shared.drain();
        self.stop.notify_one();
        if let Err(e) = self.accepting.await {
            warn!("the task that accepts clients failed: {e}");
        }
        for task in self.background {
            task.abort();
        }
    }
}

async fn accept_clients(listener: TcpListener, shared: Arc<Shared>, stop: Arc<Notify>) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.notified() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                serve_client(stream, &shared, &graceful);
            }
            Err(e) => {
                warn!("cannot accept a client connection: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drain(listener, &shared, graceful).await;
}

/// Finishes requests in flight. The platform may open new connections until it notices that this
/// instance is not ready; those are served as well, one request each.
async fn drain(listener: TcpListener, shared: &Arc<Shared>, graceful: GracefulShutdown) {
    let end = Instant::now() + shared.reloadable().drain_time;
    let late_connections = GracefulShutdown::new();
    let finished = timeout_at(end, graceful.shutdown());
    tokio::pin!(finished);
    loop {
        tokio::select! {
            result = &mut finished => {
                if result.is_err() {
                    warn!(
                        "requests in flight did not finish within the drain time of {:?}; they end \
                         with the process",
                        shared.reloadable().drain_time
                    );
                }
                break;
            }
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    serve_client(stream, shared, &late_connections);
                }
            }
        }
    }
    // Refuses further connections, which would wait in the backlog until the process ends.
    drop(listener);
    if timeout_at(end, late_connections.shutdown()).await.is_err() {
        warn!(
            "requests accepted while draining did not finish within the drain time of {:?}; \
             they end with the process",
            shared.reloadable().drain_time
        );
    }
}

/// Serves a new connection in a task of its own, or closes it if there are too many.
fn serve_client(stream: TcpStream, shared: &Arc<Shared>, graceful: &GracefulShutdown) {
    let tracker = ActivityTracker::new(shared);
    if let Some(open) = ClientConnections::admit(shared, &tracker) {
        let serving = serve_connection(stream, tracker, shared, graceful);
        tokio::spawn(async move {
            serving.await;
            drop(open);
        });
    }
}

fn serve_connection(
    stream: TcpStream,
    tracker: Arc<ActivityTracker>,
    shared: &Arc<Shared>,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + use<> {
    socket::configure_for_slow_reader(&stream);
    if let Some(bytes) = shared.memory.receive_buffer() {
        socket::bound_receive_buffer(&stream, bytes);
    }
    let table = shared.directory.table();
    let limits = table.map_or_else(ClientLimits::default, |table| table.configuration().limits);
    let shared = Arc::clone(shared);
    let service_tracker = Arc::clone(&tracker);
    let stream = tracker.track(stream);
    let service = service_fn(move |request: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        let version = request.version();
        let tracker = Arc::clone(&service_tracker);
        tracker.set_busy();
        async move {
            let result = serve::handle(shared, &tracker, request).await;
            result.map(|response| response.map(|body| tracker.idle_after(version, body)))
        }
    });
    let max_head = usize::try_from(limits.max_head.0).unwrap_or(usize::MAX);
    let connection = http1::Builder::new()
        // Slightly oversized heads are read, so that the response is this gateway's error document.
        .max_buf_size(
            max_head
                .saturating_add(EXTRA_HEAD_BYTES)
                .max(MIN_READ_BUFFER_BYTES),
        )
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    async move {
        tokio::select! {
            ended = connection => {
                if let Err(e) = ended {
                    debug!("client connection ended: {e}");
                }
            }
            expired = tracker.expired(limits) => {
                debug!("closing client connection: overdue={expired:?}");
            }
            () = tracker.closed() => {
                debug!("closing client connection: reason=\"room is needed\"");
            }
        }
    }
}

async fn serve_readiness(listener: TcpListener, shared: Arc<Shared>) {
    accept::run(listener, "the platform", |stream| {
        serve_readiness_connection(stream, Arc::clone(&shared))
    })
    .await;
}

async fn serve_readiness_connection(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(move |request| {
        let response = readiness(&shared, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(READINESS_HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(e) = connection.await {
        debug!("readiness probe connection ended: {e}");
    }
}

fn is_ready(shared: &Shared) -> bool {
    !shared.is_draining() && shared.directory.is_complete()
}

fn readiness(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let status = if !shared.dialect.is_readiness_path(request.uri().path()) {
        StatusCode::NOT_FOUND
    } else if is_ready(shared) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut response = Response::new(response::full_body(
        shared.dialect.problem_body(status, "readiness"),
    ));
    *response.status_mut() = status;
    response
}
