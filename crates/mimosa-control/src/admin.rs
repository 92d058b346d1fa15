//! The operator HTTP API.
//!
//! Every route except `/healthz` and `/readyz` requires `Authorization: Bearer mso-...`. Errors are
//! `application/problem+json` with a stable `code` and with `ran`: `no` if nothing changed,
//! `unknown` if the operator must resend the same order to learn its outcome.

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::middleware;
use axum::routing::get;
use axum::routing::post;
use log::warn;
use tokio::net::TcpListener;
use tokio::sync::watch;

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

/// Serves HTTP until `stopped` becomes true, then finishes running requests.
pub async fn serve(router: Router, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
    let stop = async move {
        stopped.wait_for(|stopped| *stopped).await.ok();
    };
    let served = axum::serve(listener, router)
        .with_graceful_shutdown(stop)
        .await;
    if let Err(e) = served {
        warn!("operator HTTP server failed: {e}");
    }
}

impl Admin {
    /// The routes, with authentication and a limit of 256 KiB on request bodies.
    pub fn router(self) -> Router {
        let authenticated = Router::new()
            .route("/v1/plans", get(reads::plans).post(orders::plan))
            .route("/v1/plans/{id}/confirm", post(orders::confirm))
            .route("/v1/configuration", get(reads::configuration))
            .route("/v1/status", get(reads::status))
            .route("/v1/audit", get(reads::audit))
            .layer(middleware::from_fn_with_state(
                self.clone(),
                auth::authenticate,
            ));
        Router::new()
            .route("/healthz", get(reads::healthz))
            .route("/readyz", get(reads::readyz))
            .merge(authenticated)
            .fallback(problem::not_found)
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(self)
    }
}
