//! Encodes refusals as `application/problem+json` responses (RFC 9457) and as stream events.

use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::http::header::RETRY_AFTER;
use axum::response::IntoResponse;
use axum::response::Response;
use mimosa_protocol::ExecutionStatus;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use serde::Serialize;

/// Response extension with the refusal, for logs and metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusalInfo(pub(crate) RefusalReason, pub(crate) ExecutionStatus);

#[derive(Serialize)]
struct Problem {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    ran: ExecutionStatus,
    reason: RefusalReason,
}

/// Builds the response for a refusal. `retry-after` is rounded up to whole seconds.
pub(crate) fn response(refusal: &Refusal) -> Response {
    let status = status_of(refusal);
    let problem = Problem {
        kind: format!("urn:mimosaswitch:refusal:{}", refusal.reason),
        title: title(refusal.reason),
        status: status.as_u16(),
        ran: refusal.ran,
        reason: refusal.reason,
    };
    let body = serde_json::to_vec(&problem).expect("a problem is plain data");
    let mut response = (status, body).into_response();
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(time) = refusal.retry_after {
        let secs = time.as_millis().div_ceil(1_000);
        headers.insert(RETRY_AFTER, HeaderValue::from(secs as u64));
    }
    response
        .extensions_mut()
        .insert(RefusalInfo(refusal.reason, refusal.ran));
    response
}

/// Encodes a refusal as the last event of a stream that has already started.
pub(crate) fn stream_event(refusal: &Refusal) -> String {
    format!(
        "data: {{\"error\":{{\"ran\":\"{}\",\"reason\":\"{}\",\"message\":\"{}\"}}}}\n\n",
        refusal.ran,
        refusal.reason,
        title(refusal.reason)
    )
}

/// Status of a refusal. Clients take 408, 421, 429 and 503 as a promise that the request was not executed.
fn status_of(refusal: &Refusal) -> StatusCode {
    let status = status(refusal.reason);
    let promises_not_run = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    match refusal.ran {
        ExecutionStatus::Failed | ExecutionStatus::Unknown if promises_not_run => {
            StatusCode::BAD_GATEWAY
        }
        _ => status,
    }
}

fn status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Unauthenticated => StatusCode::UNAUTHORIZED,
        RefusalReason::Forbidden => StatusCode::FORBIDDEN,
        RefusalReason::NotFound => StatusCode::NOT_FOUND,
        RefusalReason::Malformed => StatusCode::BAD_REQUEST,
        RefusalReason::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
        // A status that clients do not retry: the same request can never succeed.
        RefusalReason::TooLarge | RefusalReason::OverBurst => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::SlowSender | RefusalReason::Cancelled => StatusCode::REQUEST_TIMEOUT,
        RefusalReason::OverRate => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::IdempotencyConflict => StatusCode::CONFLICT,
        RefusalReason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::EndpointFailed => StatusCode::BAD_GATEWAY,
        RefusalReason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::TooLate
        | RefusalReason::QueueFull
        | RefusalReason::MemoryFull
        | RefusalReason::NoEndpoint
        | RefusalReason::Draining
        | RefusalReason::DataCentreOut
        | RefusalReason::NoQuorum
        | RefusalReason::Stale => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn title(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Unauthenticated => "no key in force was shown",
        RefusalReason::Forbidden => "the account may not use this service",
        RefusalReason::NotFound => "there is no such service or path",
        RefusalReason::Malformed => "the request is malformed",
        RefusalReason::TooLarge => "the request is too large",
        RefusalReason::SlowSender => "the request was sent too slowly",
        RefusalReason::OverBurst => "the request costs more than the account's whole burst",
        RefusalReason::WrongMethod => "the path does not take this method",
        RefusalReason::OverRate => "the account is over its rate and burst",
        RefusalReason::TooLate => "the latency target can no longer be met",
        RefusalReason::QueueFull => "the queue of the service is full",
        RefusalReason::MemoryFull => "this instance has no memory for the request at present",
        RefusalReason::NoEndpoint => "no endpoint can take the request",
        RefusalReason::Draining => "this instance is shutting down",
        RefusalReason::DataCentreOut => "the data centre is taken out",
        RefusalReason::Quarantined => "the request crashed endpoints and is quarantined",
        RefusalReason::IdempotencyConflict => "the idempotency key was used for other content",
        RefusalReason::NoQuorum => "the intent could not be recorded",
        RefusalReason::Stale => "this instance cannot confirm that its configuration is fresh",
        RefusalReason::EndpointFailed => "the endpoint failed",
        RefusalReason::Timeout => "the endpoint did not end in time",
        RefusalReason::Cancelled => "the caller left",
    }
}
