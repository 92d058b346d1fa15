//! Bound of the request bodies that an endpoint holds for all its senders together.
//!
//! As with [`crate::rate_limit`], senders do not coordinate: each keeps an even share.

use mimosa_protocol::ByteSize;

use crate::rate_limit::Senders;

/// Whether a sender whose requests in flight at an endpoint have bodies of `held` bytes may send one of
/// `body` bytes. A sender may always have one request there, or bodies above its share were never sent.
pub fn allows_body(bound: ByteSize, senders: Senders, held: ByteSize, body: ByteSize) -> bool {
    let share = bound.0 / u64::from(senders.count.max(1));
    held.0 == 0 || held.0.saturating_add(body.0) <= share
}
