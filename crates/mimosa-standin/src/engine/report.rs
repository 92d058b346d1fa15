//! Handlers for load reports, cache events, cancellation and orders.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use serde_json::Value;
use serde_json::json;

use super::Shared;
use super::api::Cancel;
use super::api::Load;
use super::api::Order;

pub(super) async fn load(State(shared): State<Arc<Shared>>) -> Json<Load> {
    let state = shared.state();
    let running = u32::try_from(state.allocations().len()).unwrap_or(u32::MAX);
    let used_blocks = state.used_blocks().0;
    Json(Load {
        incarnation: state.incarnation,
        running,
        waiting: 0,
        used_blocks,
        runs: state.runs,
    })
}

pub(super) async fn cache_events(State(shared): State<Arc<Shared>>) -> Json<Value> {
    let state = shared.state();
    Json(
        json!({"sequence": state.cache_sequence, "stored": state.cached_prefix_bytes, "evicted": []}),
    )
}

pub(super) async fn cancel(
    State(shared): State<Arc<Shared>>,
    Json(cancel): Json<Cancel>,
) -> Json<Value> {
    let cancelled = shared.state().cancel(&cancel.request);
    Json(json!({"cancelled": cancelled}))
}

pub(super) async fn order(
    State(shared): State<Arc<Shared>>,
    Json(order): Json<Order>,
) -> Result<Json<Value>, StatusCode> {
    let mut state = shared.state();
    if shared.settings.checks_fencing && order.fencing < state.fencing_token {
        return Err(StatusCode::CONFLICT);
    }
    state.fencing_token = order.fencing;
    state.last_order = order.order;
    Ok(Json(
        json!({"fencing": state.fencing_token, "order": state.last_order}),
    ))
}
