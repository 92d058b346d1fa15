//! The entry's side: slices of accounts' rates, and what is reserved from them.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::data;

data! {
    /// The answer to a reservation.
    #[derive(Copy)]
    pub enum Admission {
        /// The tokens are reserved.
        Admitted,
        /// Not now: ask again after this time, within the request's queue time.
        Wait(Duration),
        /// Over the rate: refuse, and tell the caller when to come back.
        Rejected(Duration),
    }
}

/// Decides whether a request is inside its account's rate. One for each entry.
pub trait RateLimiter: Send {
    /// Reserves the cost of a request: prompt and largest output.
    fn reserve(
        &mut self,
        now: Timestamp,
        request: RequestId,
        account: &AccountId,
        cost: Tokens,
    ) -> Admission;

    /// Settles a request once with what it used; the rest is refunded. A repeat changes nothing.
    fn settle(&mut self, now: Timestamp, request: RequestId, used: Tokens);
}
