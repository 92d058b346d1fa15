//! Token rate limits with bursts, enforced across all instances through leased slices.
//!
//! An entry reserves the cost of a request at its [`limiter::RateLimiter`] before it queues the
//! request, and settles the reservation when the request ends.
//! * [`local`] is the limiter of a single entry, [`leased`] the one that shares limits with others.
//! * [`keeper`] allocates slices of its data centre's base share ([`share`]) to entries, lends
//!   unused tokens to the keepers of other data centres and borrows from them.
//! * [`message`] defines the messages between entries and keepers.

pub mod account;
pub mod bucket;
pub mod held;
pub mod keeper;
pub mod leaderless;
pub mod leased;
pub mod limiter;
pub mod local;
pub mod message;
pub mod micro_tokens;
pub mod quota;
pub mod settings;
pub mod share;
pub mod wait_queue;
