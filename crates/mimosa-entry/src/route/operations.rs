//! Routes for the platform: health, readiness and metrics.

use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use mimosa_protocol::Revision;

use crate::shared::Shared;

/// Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// `GET /healthz`: the process is running.
pub(crate) async fn healthz() -> &'static str {
    "ok\n"
}

/// `GET /readyz`: whether the process accepts new requests, or why it does not.
pub(crate) async fn readyz(State(shared): State<Arc<Shared>>) -> (StatusCode, &'static str) {
    if shared.is_draining() {
        (StatusCode::SERVICE_UNAVAILABLE, "draining\n")
    } else if shared.configuration.load().revision() == Revision::ZERO {
        (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n")
    } else if !shared.was_ever_fresh() {
        (
            StatusCode::SERVICE_UNAVAILABLE,
            "configuration not confirmed yet\n",
        )
    } else if !shared.queues.is_ready() || !shared.rate_limits.is_ready(&shared) {
        (
            StatusCode::SERVICE_UNAVAILABLE,
            "the data centre's roles are not settled yet\n",
        )
    } else {
        (StatusCode::OK, "ready\n")
    }
}

/// `GET /metrics`: the Prometheus metrics of this entry.
pub(crate) async fn metrics(State(shared): State<Arc<Shared>>) -> Response {
    let now = shared.now();
    let queues = shared.queues.all();
    shared.metrics.set_keys_honoured(shared.is_fresh());
    let ages = queues.iter().flat_map(|queue| queue.running_durations(now));
    let text = shared.metrics.render(ages);
    ([(CONTENT_TYPE, METRICS_CONTENT_TYPE)], text).into_response()
}
