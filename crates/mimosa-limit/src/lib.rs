//! Rates and bursts in tokens, held across all instances together by leased slices.
//!
//! An entry asks its [`limiter::RateLimiter`] before it queues a request and settles when the request ends.
//! * [`local`] is the gate of one entry alone, [`leased`] the one that shares with others.
//! * [`keeper`] cuts slices for entries from the base share of its data centre ([`share`]), and
//!   lends to and borrows from the keepers of other data centres.
//! * [`message`] lists what they say to each other.

pub mod amount;
pub mod bucket;
pub mod keeper;
pub mod leased;
pub mod ledger;
pub mod limiter;
pub mod line;
pub mod local;
pub mod message;
pub mod purse;
pub mod quota;
pub mod settings;
pub mod share;
