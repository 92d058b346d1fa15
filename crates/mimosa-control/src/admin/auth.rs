//! Authentication of operators.

use axum::extract::Request;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header::AUTHORIZATION;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use mimosa_protocol::OperatorId;
use mimosa_protocol::secret::Secret;

use crate::admin::Admin;
use crate::admin::problem::Problem;

/// The operator whose key authenticated a request.
#[derive(Clone, Debug)]
pub struct Operator(pub OperatorId);

/// Adds the [`Operator`] to a request with a valid key; answers 401 to any other.
pub async fn authenticate(State(admin): State<Admin>, mut req: Request, next: Next) -> Response {
    let secret = req
        .headers_mut()
        .remove(AUTHORIZATION)
        .and_then(|value| value.to_str().map(str::to_owned).ok())
        .and_then(|value| value.strip_prefix("Bearer ").map(Secret::new));
    match secret.and_then(|secret| admin.find_operator(&secret)) {
        Some(operator) => {
            req.extensions_mut().insert(Operator(operator));
            next.run(req).await
        }
        None => Problem::not_run(
            StatusCode::UNAUTHORIZED,
            "unauthenticated",
            "give an operator's key as 'Authorization: Bearer mso-...'",
        )
        .into_response(),
    }
}

impl Admin {
    /// The operator of a key. Compares every digest in constant time, so that the response time
    /// reveals nothing about the keys.
    fn find_operator(&self, secret: &Secret) -> Option<OperatorId> {
        let digest = secret.digest();
        self.settings
            .operators
            .iter()
            .fold(None, |found, (operator, key_digest)| {
                if key_digest.constant_time_eq(&digest) {
                    Some(operator.clone())
                } else {
                    found
                }
            })
    }
}
