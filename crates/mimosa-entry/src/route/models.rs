//! `GET /v1/models`

use std::sync::Arc;

use axum::Extension;
use axum::Json;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use mimosa_protocol::configuration::ServiceKind;
use serde::Serialize;

use crate::access::Caller;
use crate::access::authorise;
use crate::shared::Shared;

#[derive(Serialize)]
struct List {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// Lists the models that the caller may use.
pub(crate) async fn list(
    State(shared): State<Arc<Shared>>,
    Extension(caller): Extension<Caller>,
) -> Response {
    let current = shared.configuration.load();
    let data = current
        .configuration
        .services
        .values()
        .filter(|service| service.kind == ServiceKind::Model)
        .filter(|service| authorise(&shared, &caller, service).is_ok())
        .map(|service| Model {
            id: service.id.to_string(),
            object: "model",
            owned_by: "mimosaswitch",
        })
        .collect();
    Json(List {
        object: "list",
        data,
    })
    .into_response()
}
