//! Requests that are queued for placement.

use std::cmp::Ordering;

use mimosa_protocol::Timestamp;

use super::PlacementRequest;
use super::Settings;
use crate::fair_share::Rank;
use crate::fair_share::Waiting;

/// A request in the queue, with its deadlines on the scheduler's clock.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: PlacementRequest,
    /// Latency target of the first output.
    pub(super) target: Timestamp,
    /// Deadline at which the request is refused.
    pub(super) refuse_at: Timestamp,
    /// Whether the request will miss its target.
    pub(super) is_late: bool,
    /// Whether no capacity was found for it since capacity was last freed.
    pub(super) was_tried: bool,
    /// Position by fair shares; `None` if they are disabled.
    pub(super) rank: Option<Rank>,
    /// Expected cost in token-seconds for fair shares.
    pub(super) cost: f64,
    /// Whether its client was refused before and returned when it was told to.
    pub(super) is_returning: bool,
    /// When a third of the time to its target has passed. From then on, its priority no longer decides,
    /// and with fair shares nothing is placed before it while it is first. The rest of the time
    /// covers its prefill.
    urgent_at: Timestamp,
}

impl QueuedRequest {
    pub(super) fn new(now: Timestamp, request: PlacementRequest, settings: &Settings) -> Self {
        let max_wait = request.time_to_timeout * settings.late_wait_permille / 1_000;
        let wait = match request.kv_cache_at {
            Some(_) => request.time_to_timeout,
            None => max_wait.max(request.time_to_target.min(request.time_to_timeout)),
        };
        Self {
            target: now + request.time_to_target,
            refuse_at: now + wait,
            is_late: false,
            was_tried: false,
            rank: None,
            cost: 0.0,
            is_returning: false,
            urgent_at: now + request.time_to_target / 3,
            request,
        }
    }

    /// Order of the queue: by fair shares if they are enabled.
    pub(super) fn compare(&self, other: &Self) -> Ordering {
        match (&self.rank, &other.rank) {
            (Some(rank), Some(other)) => rank.cmp(other),
            _ => self.order().cmp(&other.order()),
        }
    }

    /// Whether it has waited for a third of the time to its target.
    pub(super) fn is_urgent(&self, now: Timestamp) -> bool {
        now >= self.urgent_at
    }

    /// The request as the fair shares see it.
    pub(super) fn waiting(&self, now: Timestamp) -> Waiting<'_> {
        Waiting {
            account: &self.request.account,
            priority: self.request.priority,
            is_urgent: self.is_urgent(now),
            cost: self.cost,
            is_late: self.is_late,
            has_kv_cache: self.request.kv_cache_at.is_some(),
            is_returning: self.is_returning,
            target: self.target,
        }
    }

    /// Sort key of the queue without fair shares: requests that can still meet their target first, then
    /// those with a KV cache, which expires soon, then by priority and by target.
    pub(super) const fn order(&self) -> (bool, bool, u8, Timestamp) {
        let has_no_cache = self.request.kv_cache_at.is_none();
        (
            self.is_late,
            has_no_cache,
            self.request.priority,
            self.target,
        )
    }
}
