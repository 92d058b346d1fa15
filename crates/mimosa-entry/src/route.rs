//! The HTTP routes for callers and for the platform.

use std::sync::Arc;

use axum::Router;
use axum::middleware::from_fn_with_state;
use axum::routing::any;
use axum::routing::get;
use axum::routing::post;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use tower::ServiceBuilder;

use crate::filter;
use crate::problem;
use crate::shared::Shared;

mod completions;
mod models;
mod operations;
mod services;

/// Builds the router with its middleware. The routes for the platform bypass the middleware, so
/// that they need no key and answer while the instance drains.
pub(crate) fn router(shared: &Arc<Shared>) -> Router {
    let filters = ServiceBuilder::new()
        .layer(from_fn_with_state(
            Arc::clone(shared),
            filter::record::filter,
        ))
        .layer(from_fn_with_state(
            Arc::clone(shared),
            filter::drain::filter,
        ))
        .layer(from_fn_with_state(
            Arc::clone(shared),
            filter::identify::filter,
        ));
    Router::new()
        .route("/v1/chat/completions", post(completions::chat))
        .route("/v1/completions", post(completions::text))
        .route("/v1/models", get(models::list))
        .route("/services/{name}", any(services::call))
        .route("/services/{name}/", any(services::call))
        .route("/services/{name}/{*path}", any(services::call))
        .fallback(not_found)
        .method_not_allowed_fallback(wrong_method)
        .layer(filters)
        .route("/healthz", get(operations::healthz))
        .route("/readyz", get(operations::readyz))
        .route("/metrics", get(operations::metrics))
        .with_state(Arc::clone(shared))
}

async fn not_found() -> axum::response::Response {
    problem::response(&Refusal::not_run(RefusalReason::NotFound))
}

/// The router adds the `allow` header.
async fn wrong_method() -> axum::response::Response {
    problem::response(&Refusal::not_run(RefusalReason::WrongMethod))
}
