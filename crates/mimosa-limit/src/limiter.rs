//! The rate limiter interface that an entry calls for each request.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::data;

data! {
    /// The result of a reservation.
    #[derive(Copy)]
    pub enum Admission {
        /// The tokens are reserved.
        Admitted,
        /// The tokens are not available yet: reserve again after this time, within the request's
        /// queue time.
        Wait(Duration),
        /// The account is over its rate: reject the request and report this time as the earliest
        /// retry.
        Rejected(Duration),
    }
}

/// Decides whether requests are within the rates of their accounts. Each entry has one.
pub trait RateLimiter: Send {
    /// Reserves the cost of a request in tokens: its prompt and its largest possible output. A
    /// request that has a reservation is admitted again without a further charge.
    fn reserve(
        &mut self,
        now: Timestamp,
        request: RequestId,
        account: &AccountId,
        cost: Tokens,
    ) -> Admission;

    /// Ends a reservation and refunds the tokens beyond `used`, or removes a request that still
    /// waits from the queue. Repeated calls have no effect.
    fn settle(&mut self, now: Timestamp, request: RequestId, used: Tokens);
}
