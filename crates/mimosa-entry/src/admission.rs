//! Reserves a request's cost from its account's rate limit and settles it when the request ends.

use std::sync::Arc;

use mimosa_limit::limiter::Admission;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::ClientAccount;

use crate::shared::Shared;

/// A reservation at the rate limiter. Dropping it settles the account: the difference between the
/// reserved and the used tokens is returned.
pub(crate) struct Reservation {
    shared: Arc<Shared>,
    request: RequestId,
    used: Tokens,
}

impl Reservation {
    /// Records the tokens used so far. The value never decreases.
    pub(crate) fn record_usage(&mut self, used: Tokens) {
        self.used = self.used.max(used);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.rate_limits.settle(now, self.request, self.used);
    }
}

/// Reserves a cost, waiting for as long as the rate limiter asks.
///
/// # Errors
///
/// [`RefusalReason::OverBurst`] if the cost exceeds the account's burst, so that waiting cannot
/// help; [`RefusalReason::OverRate`], with the time of the earliest retry, if the account is over
/// its rate.
pub(crate) async fn reserve(
    shared: &Arc<Shared>,
    request: RequestId,
    account: &ClientAccount,
    cost: Tokens,
) -> Result<Reservation, Refusal> {
    if cost > account.burst {
        return Err(Refusal::not_run(RefusalReason::OverBurst));
    }
    let reservation = Reservation {
        shared: Arc::clone(shared),
        request,
        used: Tokens::ZERO,
    };
    loop {
        let admission = shared
            .rate_limits
            .reserve(shared, request, &account.id, cost);
        match admission {
            Admission::Admitted => return Ok(reservation),
            Admission::Wait(timeout) => shared.rate_limits.wait_for_grant(timeout).await,
            Admission::Rejected(retry_after) => {
                return Err(Refusal::not_run(RefusalReason::OverRate).retry_after(retry_after));
            }
        }
    }
}
