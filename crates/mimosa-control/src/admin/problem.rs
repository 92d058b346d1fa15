//! Refusals as `application/problem+json`.

use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use mimosa_protocol::ExecutionStatus;
use mimosa_state::Refusal;
use serde::Serialize;

use crate::replicator::NotCurrent;
use crate::replicator::ProposeError;

/// A refusal.
#[derive(Debug, Serialize)]
pub struct Problem {
    title: String,
    status: u16,
    code: String,
    detail: String,
    ran: ExecutionStatus,
}

impl Problem {
    /// A refusal of something that changed nothing.
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
        let status = StatusCode::from_u16(self.status).expect("it was made from a status");
        let body = serde_json::to_string(&self).expect("a problem has plain fields");
        (status, [(CONTENT_TYPE, "application/problem+json")], body).into_response()
    }
}

impl From<Refusal> for Problem {
    fn from(refused: Refusal) -> Self {
        let status = match refused {
            Refusal::UnknownAccount(_)
            | Refusal::UnknownKey(_)
            | Refusal::UnknownService(_)
            | Refusal::UnknownDataCentre(_)
            | Refusal::UnknownEndpoint(_)
            | Refusal::UnknownPlan(_) => StatusCode::NOT_FOUND,
            Refusal::BadValue { .. } | Refusal::RoleMismatch { .. } => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            _ => StatusCode::CONFLICT,
        };
        Self::not_run(status, refused.code(), refused.to_string())
    }
}

impl From<ProposeError> for Problem {
    fn from(e: ProposeError) -> Self {
        let detail = e.to_string();
        match e {
            ProposeError::NoQuorum => {
                Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_quorum", detail)
            }
            ProposeError::Unclear => Self {
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

/// The answer to an unknown path.
pub async fn no_route() -> Problem {
    Problem::not_run(StatusCode::NOT_FOUND, "not_found", "there is no such path")
}
