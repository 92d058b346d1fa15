//! Replaces the caller's key by its digest, so that the key never leaves this filter.

use std::sync::Arc;

use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use axum::middleware::Next;
use axum::response::Response;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::secret::Secret;

use crate::access::Caller;
use crate::access::identify;
use crate::problem;
use crate::shared::Shared;

const BEARER_PREFIX: &str = "Bearer ";

pub(crate) async fn filter(
    State(shared): State<Arc<Shared>>,
    mut req: Request,
    next: Next,
) -> Response {
    let caller = take_key(req.headers_mut());
    let authenticated = caller.and_then(|caller| {
        identify(&shared, &caller)?;
        let open = shared.configuration.load().has_open_services();
        match caller {
            Caller::Anonymous if !open => Err(Refusal::not_run(RefusalReason::Unauthenticated)),
            caller => Ok(caller),
        }
    });
    match authenticated {
        Ok(caller) => {
            req.extensions_mut().insert(caller);
            next.run(req).await
        }
        Err(refusal) => problem::response(&refusal),
    }
}

/// Removes the key from the headers, so that no later stage can forward it. Without an
/// `authorization` header the caller is anonymous; a header without a bearer key is refused.
fn take_key(headers: &mut HeaderMap) -> Result<Caller, Refusal> {
    const UNREADABLE: Refusal = Refusal::not_run(RefusalReason::Unauthenticated);
    let Some(value) = headers.remove(AUTHORIZATION) else {
        return Ok(Caller::Anonymous);
    };
    let text = value.to_str().map_err(|_| UNREADABLE)?;
    let key = text.strip_prefix(BEARER_PREFIX).ok_or(UNREADABLE)?;
    Ok(Caller::Key(Secret::new(key.trim()).digest()))
}
