//! What the ledger records of a request: its intent, its end and its answer.

use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use mimosa_memory::Reservation;
use mimosa_protocol::ExecutionStatus;
use mimosa_protocol::message::LedgerEnd;
use mimosa_protocol::message::LedgerKey;
use mimosa_protocol::message::RecordedAnswer;

use crate::attempt::AttemptFailure;
use crate::plain::ServiceRequest;

/// A recorded body, and its bytes in the memory account.
struct HeldAnswer {
    body: Vec<u8>,
    _holder: Reservation,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// The response with a recorded answer, which `holder` counts until the client has read it.
pub(crate) fn recorded_response(answer: RecordedAnswer, holder: Reservation) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let body = HeldAnswer {
        body: answer.body,
        _holder: holder,
    };
    let mut response = (status, Bytes::from_owner(body)).into_response();
    let content_type = answer
        .content_type
        .and_then(|text| HeaderValue::from_str(&text).ok());
    match content_type {
        Some(value) => response.headers_mut().insert(CONTENT_TYPE, value),
        None => response.headers_mut().remove(CONTENT_TYPE),
    };
    response
}

/// A recorded intent whose end is not recorded yet. If it is dropped first, as when the caller
/// disconnects, the end is recorded as unknown.
pub(crate) struct LedgerIntent<'a> {
    pub(crate) service_request: &'a ServiceRequest,
    pub(crate) key: Option<LedgerKey>,
}

impl LedgerIntent<'_> {
    /// Records the end, unless it is recorded.
    pub(crate) fn end(&mut self, end: LedgerEnd) {
        if let Some(key) = self.key.take() {
            self.service_request.finish(key, end);
        }
    }
}

impl Drop for LedgerIntent<'_> {
    fn drop(&mut self) {
        self.end(LedgerEnd::Unknown);
    }
}

/// The end that a failed attempt is recorded with.
pub(crate) fn end_of_failure(failed: &AttemptFailure) -> LedgerEnd {
    match failed.failure.ran {
        ExecutionStatus::No => LedgerEnd::NotRun,
        ExecutionStatus::Failed | ExecutionStatus::Unknown => LedgerEnd::Unknown,
    }
}
