//! Assigns the request id, counts and logs refusals, and echoes the id that the caller sent.

use std::sync::Arc;

use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::middleware::Next;
use axum::response::Response;
use mimosa_protocol::RequestId;

use crate::problem::RefusalInfo;
use crate::shared::Shared;
use crate::shared::new_request_id;

/// Header for the request id. A response has the caller's own, or the assigned one without it.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Maximum length of a caller's request id that is echoed. Callers that send a longer one get the
/// assigned id instead.
const MAX_ECHO_BYTES: usize = 128;

/// The random id that this entry assigned to the request. Logs and schedulers use it, never the
/// caller's own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AssignedId(pub(crate) RequestId);

pub(crate) async fn filter(
    State(shared): State<Arc<Shared>>,
    mut req: Request,
    next: Next,
) -> Response {
    let request = new_request_id();
    let caller_id = req.headers_mut().remove(REQUEST_ID);
    let caller_id = caller_id.filter(|value| value.len() <= MAX_ECHO_BYTES);
    let assigned_id =
        HeaderValue::from_str(&request.to_string()).expect("hexadecimal digits are ASCII");
    let method = req.method().clone();
    req.extensions_mut().insert(AssignedId(request));
    let mut response = next.run(req).await;
    if let Some(RefusalInfo(reason, ran)) = response.extensions().get().copied() {
        shared.metrics.count_refusal(reason, ran);
        log::info!("request={request} method={method} outcome={reason} ran={ran}");
    }
    response
        .headers_mut()
        .insert(REQUEST_ID, caller_id.unwrap_or(assigned_id));
    response
}
