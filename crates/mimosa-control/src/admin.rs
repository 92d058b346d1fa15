//! The operator HTTP API.
//!
//! Every route except `/healthz` and `/readyz` requires `Authorization: Bearer mso-...`. Errors are
//! `application/problem+json` with a stable `code` and with `ran`: `no` if nothing changed,
//! `unknown` if the operator must resend the same order to learn its outcome.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::middleware;
use axum::routing::get;
use axum::routing::post;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use log::debug;
use log::warn;
use mimosa_transport::bounded_connections::Closable;
use mimosa_transport::socket;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::admin::body::BodyLimits;
use crate::admin::connection::OperatorConnection;
use crate::entry_registry::EntryRegistry;
use crate::memory::ControlMemory;
use crate::replicator::Replicator;
use crate::settings::Settings;
use crate::shared::SharedState;

pub mod auth;
pub mod body;
pub mod connection;
pub mod orders;
pub mod problem;
pub mod reads;
pub mod secret;
pub mod view;

/// Largest body of a request of this API.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// Time for the head of a request, also after an earlier request on the connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// State shared by the request handlers.
#[derive(Clone)]
pub struct Admin {
    /// The settings of this instance, with the operators and the digests of their keys.
    pub settings: Arc<Settings>,
    /// The replicated log, to which orders are proposed.
    pub replicator: Arc<dyn Replicator>,
    /// The applied state, from which reads are answered.
    pub shared: Arc<SharedState>,
    /// The revision in force at each entry.
    pub entry_registry: Arc<EntryRegistry>,
}

/// Serves HTTP until `stopped` becomes true, then finishes running requests. A client that sends its
/// head or body too slowly loses its connection. `max_body` is the largest body that any route takes.
pub async fn serve(
    router: Router,
    listener: TcpListener,
    memory: ControlMemory,
    max_body: usize,
    mut stopped: watch::Receiver<bool>,
) {
    let limits = BodyLimits::new(memory.process.clone(), max_body);
    let router = router.layer(middleware::from_fn_with_state(limits, body::read));
    let connections = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let is_stopped = tokio::select! {
                    () = memory.connections.wait_for_room(&memory.process) => false,
                    _ = stopped.wait_for(|stopped| *stopped) => true,
                };
                if is_stopped {
                    break;
                }
                tokio::spawn(serve_connection(
                    stream,
                    router.clone(),
                    &memory,
                    &connections,
                ));
            }
            Err(e) => {
                warn!("cannot accept a connection from an operator: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    connections.shutdown().await;
}

fn serve_connection(
    stream: TcpStream,
    router: Router,
    memory: &ControlMemory,
    connections: &GracefulShutdown,
) -> impl Future<Output = ()> + use<> {
    if let Some(bytes) = memory.receive_buffer() {
        socket::bound_receive_buffer(&stream, bytes);
    }
    let operator = OperatorConnection::new(memory.process.clock);
    let open = memory
        .connections
        .add(Arc::clone(&operator) as Arc<dyn Closable>);
    let closing = operator.closing().clone();
    let router = TowerToHyperService::new(router);
    let service = service_fn(move |request: Request<Incoming>| {
        let running = operator.start_request();
        let response = router.call(request);
        async move {
            let response = response.await;
            drop(running);
            response
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let connection = connections.watch(connection);
    async move {
        tokio::select! {
            ended = connection => {
                if let Err(e) = ended {
                    debug!("connection from an operator ended: {e}");
                }
            }
            () = closing.wait() => {
                debug!("closing the connection of an operator: reason=\"room is needed\"");
            }
        }
        drop(open);
    }
}

impl Admin {
    /// The routes, with authentication and a limit of 256 KiB on request bodies.
    pub fn router(self) -> Router {
        let operators = self.clone().operator_routes();
        Router::new()
            .route("/healthz", get(reads::healthz))
            .route("/readyz", get(reads::readyz))
            .fallback(problem::not_found)
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(self)
            .merge(operators)
    }

    /// The routes for operators only, which an instance for gateways serves beside those of its
    /// platform.
    pub fn operator_routes(self) -> Router {
        Router::new()
            .route("/v1/plans", get(reads::plans).post(orders::plan))
            .route("/v1/plans/{id}/confirm", post(orders::confirm))
            .route("/v1/configuration", get(reads::configuration))
            .route("/v1/status", get(reads::status))
            .route("/v1/audit", get(reads::audit))
            .route("/v1/rollouts", get(reads::rollouts))
            .layer(middleware::from_fn_with_state(
                self.clone(),
                auth::authenticate,
            ))
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(self)
    }
}
