//! Reserves a request's cost of its account's rate, and settles it once.

use std::sync::Arc;

use mimosa_limit::limiter::Admission;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::ClientAccount;

use crate::shared::Shared;

/// A reserved cost. Dropping it settles it with what was used.
pub(crate) struct Ticket {
    shared: Arc<Shared>,
    request: RequestId,
    used: Tokens,
}

impl Ticket {
    /// Notes what the request has used so far.
    pub(crate) fn use_up_to(&mut self, used: Tokens) {
        self.used = self.used.max(used);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.limits.settle(now, self.request, self.used);
    }
}

/// Reserves a cost, waiting for as long as the gate asks.
///
/// # Errors
///
/// A refusal if the account is over its rate, or the cost over its burst.
pub(crate) async fn reserve(
    shared: &Arc<Shared>,
    request: RequestId,
    account: &ClientAccount,
    cost: Tokens,
) -> Result<Ticket, Refusal> {
    if cost > account.burst {
        return Err(Refusal::not_run(RefusalReason::OverBurst));
    }
    let ticket = Ticket {
        shared: Arc::clone(shared),
        request,
        used: Tokens::ZERO,
    };
    loop {
        let admission = shared.limits.reserve(shared, request, &account.id, cost);
        match admission {
            Admission::Admitted => return Ok(ticket),
            Admission::Wait(time) => shared.limits.wait_for_grant(time).await,
            Admission::Rejected(time) => {
                return Err(Refusal::not_run(RefusalReason::OverRate).retry_after(time));
            }
        }
    }
}
