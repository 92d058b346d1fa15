//! The operators' HTTP.
//!
//! Every route but the probes wants `Authorization: Bearer mso-...`. Refusals are
//! `application/problem+json` with a stable `code` and with `ran`: `no` if nothing changed,
//! `unknown` if a resend of the same order has to find out.

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
use crate::shared::Shared;

pub mod auth;
pub mod orders;
pub mod problem;
pub mod reads;
pub mod secret;
pub mod view;

/// Largest accepted body, in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;

/// What every request needs.
#[derive(Clone)]
pub struct Admin {
    /// The settings.
    pub settings: Arc<Settings>,
    /// The replicated log.
    pub replicator: Arc<dyn Replicator>,
    /// The applied state.
    pub shared: Arc<Shared>,
    /// Which entry follows which revision.
    pub in_force: Arc<EntryRegistry>,
}

/// Serves operators until the stop signal, then finishes requests in hand.
pub async fn serve(router: Router, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
    let stop = async move {
        stopped.wait_for(|stopped| *stopped).await.ok();
    };
    let served = axum::serve(listener, router)
        .with_graceful_shutdown(stop)
        .await;
    if let Err(e) = served {
        warn!("the admin HTTP ended: {e}");
    }
}

impl Admin {
    /// The routes.
    pub fn router(self) -> Router {
        let known = Router::new()
            .route("/v1/plans", get(reads::plans).post(orders::plan))
            .route("/v1/plans/{id}/confirm", post(orders::confirm))
            .route("/v1/configuration", get(reads::configuration))
            .route("/v1/status", get(reads::status))
            .route("/v1/audit", get(reads::audit))
            .layer(middleware::from_fn_with_state(self.clone(), auth::check));
        Router::new()
            .route("/healthz", get(reads::healthz))
            .route("/readyz", get(reads::readyz))
            .merge(known)
            .fallback(problem::no_route)
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(self)
    }
}
