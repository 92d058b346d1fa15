//! The operator HTTP API.
//!
//! Every route except `/healthz` and `/readyz` requires `Authorization: Bearer mso-...`. Errors are
//! `application/problem+json` with a stable `code` and with `ran`: `no` if nothing changed,
//! `unknown` if the operator must resend the same order to learn its outcome.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::DefaultBodyLimit;
use axum::extract::Request;
use axum::http::StatusCode;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use log::debug;
use log::warn;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::entry_registry::EntryRegistry;
use crate::replicator::Replicator;
use crate::settings::Settings;
use crate::shared::SharedState;

pub mod auth;
pub mod orders;
pub mod problem;
pub mod reads;
pub mod secret;
pub mod view;

const MAX_BODY_BYTES: usize = 256 << 10;
/// Time for the head of a request, also after an earlier request on the connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
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
/// head or body too slowly loses its connection.
pub async fn serve(router: Router, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
    let router = router.layer(middleware::from_fn(limit_body_time));
    let connections = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEAD_TIMEOUT)
                    .serve_connection(
                        TokioIo::new(stream),
                        TowerToHyperService::new(router.clone()),
                    );
                let connection = connections.watch(connection);
                tokio::spawn(async move {
                    if let Err(e) = connection.await {
                        debug!("connection from an operator ended: {e}");
                    }
                });
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

/// Answers 408 unless the body arrives in time. The size of the body is limited by the handlers.
async fn limit_body_time(request: Request, next: Next) -> Response {
    let deadline = Instant::now() + BODY_TIMEOUT;
    let (head, body) = request.into_parts();
    let is_late = Arc::new(AtomicBool::new(false));
    let late = Arc::clone(&is_late);
    let chunks = stream::unfold(body, move |mut body| {
        let late = Arc::clone(&late);
        async move {
            match timeout_at(deadline, body.frame()).await {
                Ok(frame) => frame.map(|frame| (frame.map_err(axum::Error::new), body)),
                Err(e) => {
                    late.store(true, Ordering::Relaxed);
                    Some((Err(axum::Error::new(e)), Body::empty()))
                }
            }
        }
    });
    let body = Body::new(StreamBody::new(chunks));
    let response = next.run(Request::from_parts(head, body)).await;
    match is_late.load(Ordering::Relaxed) {
        true => StatusCode::REQUEST_TIMEOUT.into_response(),
        false => response,
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
