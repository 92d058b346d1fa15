//! Refuses new requests while the instance drains, and answers those that its end would cut off.

use std::sync::Arc;

use axum::extract::Request;
use axum::extract::State;
use axum::middleware::Next;
use axum::response::Response;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;

use crate::problem;
use crate::shared::Shared;

pub(crate) async fn filter(
    State(shared): State<Arc<Shared>>,
    req: Request,
    next: Next,
) -> Response {
    if shared.is_draining() {
        let refusal = Refusal::not_run(RefusalReason::Draining);
        return problem::response(&refusal.retry_after(Shared::RETRY_DELAY));
    }
    tokio::select! {
        biased;
        response = next.run(req) => response,
        // Dropping the request cancels it at its endpoint, which may have executed it.
        () = shared.last_answer_due() => {
            problem::response(&Refusal::unknown(RefusalReason::Draining))
        }
    }
}
