//! Errors as `application/problem+json`.

use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use mimosa_protocol::ExecutionStatus;
use mimosa_state::Refusal;
use serde::Serialize;

use crate::replicator::NotCurrent;
use crate::replicator::ProposeError;

/// The body of an error response.
#[derive(Debug, Serialize)]
pub struct Problem {
    title: String,
    status: u16,
    code: String,
    detail: String,
    ran: ExecutionStatus,
}

impl Problem {
    /// An error of a request that changed nothing. `code` is a stable identifier for programs.
    pub fn not_run(status: StatusCode, code: &str, detail: impl Into<String>) -> Self {
        Self {
            title: status.canonical_reason().unwrap_or("Refused").to_owned(),
            status: status.as_u16(),
            code: code.to_owned(),
            detail: detail.into(),
            ran: ExecutionStatus::No,
        }
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let status =
            StatusCode::from_u16(self.status).expect("the number comes from a `StatusCode`");
        let body = serde_json::to_string(&self).expect("a problem consists of strings and numbers");
        (status, [(CONTENT_TYPE, "application/problem+json")], body).into_response()
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let status = match refusal {
            Refusal::UnknownAccount(_)
            | Refusal::UnknownKey(_)
            | Refusal::UnknownService(_)
            | Refusal::UnknownDataCentre(_)
            | Refusal::UnknownEndpoint(_)
            | Refusal::NoRollout(_)
            | Refusal::UnknownPlan(_) => StatusCode::NOT_FOUND,
            Refusal::BadValue { .. } | Refusal::RoleMismatch { .. } => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            _ => StatusCode::CONFLICT,
        };
        Self::not_run(status, refusal.code(), refusal.to_string())
    }
}

impl From<ProposeError> for Problem {
    fn from(e: ProposeError) -> Self {
        let detail = e.to_string();
        match e {
            ProposeError::NoQuorum => {
                Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_quorum", detail)
            }
            ProposeError::OutcomeUnknown => Self {
                ran: ExecutionStatus::Unknown,
                ..Self::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "unclear",
                    format!("{detail}; send the same order again under the same number"),
                )
            },
        }
    }
}

impl From<NotCurrent> for Problem {
    fn from(e: NotCurrent) -> Self {
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_current",
            format!("{e}; ask another one"),
        )
    }
}

/// The response to an unknown path: status 404 with the code `not_found`.
pub async fn not_found() -> Problem {
    Problem::not_run(StatusCode::NOT_FOUND, "not_found", "there is no such path")
}
