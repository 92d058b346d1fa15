//! The gateway process: accepts callers, follows control instances, drains at the end.

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
use mimosa_route::CallerLimits;
use mimosa_route::DocumentFormat;
use mimosa_transport::accept;
use mimosa_transport::socket;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::answer;
use crate::answer::Body;
use crate::caller::Watch;
use crate::caller::WatchedStream;
use crate::control_link;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::serve;
use crate::settings::Reloadable;
use crate::settings::Settings;
use crate::shared::Shared;

/// Pause after a failed accept, as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes by which a head may be too large and still be read, to be refused with an answer of the
/// gateway's own.
const HEAD_ROOM: usize = 8 << 10;
/// The smallest read buffer that the HTTP library takes, in bytes.
const MIN_HEAD_BUFFER: usize = 8 << 10;
/// Time to send the head of a question for readiness.
const READINESS_HEAD_TIME: Duration = Duration::from_secs(5);

/// Starts gateways.
pub struct Gateway;

/// A running gateway.
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
    /// Starts a gateway; it is ready once it knows routes and endpoints.
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
        let (asked, readiness) = accept::bind(settings.readiness).await?;
        let shared = Arc::new(Shared::new(settings, dialect, Directory::new(format)));
        info!(
            "event=start role=gateway instance={} callers={address} readiness={readiness}",
            shared.settings.instance
        );
        let stop = Arc::new(Notify::new());
        let mut background = vec![
            tokio::spawn(control_link::run(Arc::clone(&shared))),
            tokio::spawn(answer_readiness(asked, Arc::clone(&shared))),
        ];
        let mut served_at = None;
        if let Some(address) = shared.settings.metrics {
            let registry = shared.metrics.registry.clone();
            let metrics = MetricsServer::bind(address, registry).await?;
            served_at = Some(metrics.address());
            background.push(tokio::spawn(metrics.run()));
        }
        let accepting = tokio::spawn(accept_callers(
            listener,
            Arc::clone(&shared),
            Arc::clone(&stop),
        ));
        Ok(Running {
            address,
            readiness,
            metrics: served_at,
            shared,
            stop,
            accepting,
            background,
        })
    }
}

impl Running {
    /// Where callers connect.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where the platform asks whether it is ready.
    pub const fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Where metrics are served, if anywhere.
    pub const fn metrics(&self) -> Option<SocketAddr> {
        self.metrics
    }

    /// Whether it knows routes and endpoints and does not drain.
    pub fn is_ready(&self) -> bool {
        is_ready(&self.shared)
    }

    /// Whether it is connected to the control instance that leads.
    pub fn has_leader(&self) -> bool {
        self.shared.dispatch.has_leader()
    }

    /// Takes the settings that may change anew.
    pub fn reload(&self, reloadable: Reloadable) {
        self.shared.reload(reloadable);
    }

    /// Is not ready any more, lets work in hand finish within the drain time, and stops.
    pub async fn shutdown(self) {
        info!(
            "event=stop role=gateway instance={}",
            self.shared.settings.instance
        );
        self.shared.drain();
        self.stop.notify_one();
        if let Err(e) = self.accepting.await {
            warn!("the accepting task failed: {e}");
        }
        for task in self.background {
            task.abort();
        }
    }
}

async fn accept_callers(listener: TcpListener, shared: Arc<Shared>, stop: Arc<Notify>) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.notified() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(converse(stream, &shared, &graceful));
            }
            Err(e) => {
                warn!("cannot accept a connection: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drain(listener, &shared, graceful).await;
}

/// Finishes what is in hand. The platform may still send new connections until it has seen that
/// this instance is not ready: they are served too, one request each.
async fn drain(listener: TcpListener, shared: &Arc<Shared>, graceful: GracefulShutdown) {
    let late = GracefulShutdown::new();
    let finished = timeout(shared.reloadable().drain_time, graceful.shutdown());
    tokio::pin!(finished);
    loop {
        tokio::select! {
            result = &mut finished => {
                if result.is_err() {
                    warn!("work in hand did not finish within the drain time");
                }
                break;
            }
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(converse(stream, shared, &late));
                }
            }
        }
    }
    if timeout(shared.reloadable().drain_time, late.shutdown())
        .await
        .is_err()
    {
        warn!("late work did not finish within the drain time");
    }
}

fn converse(
    stream: TcpStream,
    shared: &Arc<Shared>,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + use<> {
    socket::configure(&stream);
    let table = shared.directory.table();
    let limits = table.map_or_else(CallerLimits::default, |table| table.configuration().limits);
    let shared = Arc::clone(shared);
    let watch = Watch::new();
    let watched = Arc::clone(&watch);
    let stream = WatchedStream {
        stream,
        watch: Arc::clone(&watch),
    };
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        let watch = Arc::clone(&watched);
        watch.busy();
        async move {
            let answered = serve::answer(shared, request).await;
            answered.map(|response| response.map(|body| watch.idle_after(body)))
        }
    });
    let most = usize::try_from(limits.head.0).unwrap_or(usize::MAX);
    let connection = http1::Builder::new()
        // Heads that are a little too large are answered with a problem by this instance.
        .max_buf_size(most.saturating_add(HEAD_ROOM).max(MIN_HEAD_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    async move {
        tokio::select! {
            ended = connection => {
                if let Err(e) = ended {
                    debug!("a connection ended: {e}");
                }
            }
            why = watch.overdue(limits) => debug!("a connection is closed: overdue={why:?}"),
        }
    }
}

async fn answer_readiness(listener: TcpListener, shared: Arc<Shared>) {
    accept::run(listener, "the platform", |stream| {
        converse_about_readiness(stream, Arc::clone(&shared))
    })
    .await;
}

async fn converse_about_readiness(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(move |request| {
        let response = readiness(&shared, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(READINESS_HEAD_TIME)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(e) = connection.await {
        debug!("a connection for readiness ended: {e}");
    }
}

fn is_ready(shared: &Shared) -> bool {
    !shared.is_draining() && shared.directory.is_complete()
}

fn readiness(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let status = if !shared.dialect.is_readiness(request.uri().path()) {
        StatusCode::NOT_FOUND
    } else if is_ready(shared) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut response = Response::new(answer::full(shared.dialect.problem(status, "readiness")));
    *response.status_mut() = status;
    response
}
