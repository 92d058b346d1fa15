//! Requests of one account that wait for tokens, in order of arrival, so that later small requests
//! do not starve a large one.

use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

use crate::micro_tokens::MicroTokens;

/// How late a waiting request may ask again before it loses its position.
const RETRY_GRACE: Duration = Duration::from_millis(250);

#[derive(Clone, Debug, PartialEq, Eq)]
struct Waiter {
    request: RequestId,
    cost: MicroTokens,
    enqueued_at: Timestamp,
    expires_at: Timestamp,
}

/// The position of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePosition {
    /// The total cost of the requests before it.
    pub cost_ahead: MicroTokens,
    /// When the request first asked.
    pub enqueued_at: Timestamp,
}

/// The waiting requests of one account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitQueue {
    waiters: VecDeque<Waiter>,
}

impl WaitQueue {
    /// The position of a request, or the one it would get if it were enqueued now.
    pub fn position(&mut self, now: Timestamp, request: RequestId) -> QueuePosition {
        self.waiters
            .retain(|waiter| waiter.expires_at >= now || waiter.request == request);
        let cost_ahead = self
            .waiters
            .iter()
            .take_while(|waiter| waiter.request != request)
            .fold(MicroTokens::ZERO, |sum, waiter| sum.plus(waiter.cost));
        let enqueued_at = self
            .waiters
            .iter()
            .find(|waiter| waiter.request == request)
            .map_or(now, |waiter| waiter.enqueued_at);
        QueuePosition {
            cost_ahead,
            enqueued_at,
        }
    }

    /// Enqueues a request that will ask again after `wait`; a queued request keeps its position.
    pub fn enqueue(
        &mut self,
        now: Timestamp,
        request: RequestId,
        cost: MicroTokens,
        wait: Duration,
    ) {
        let expires_at = now + wait + RETRY_GRACE;
        match self.waiters.iter_mut().find(|w| w.request == request) {
            Some(waiter) => waiter.expires_at = expires_at,
            None => self.waiters.push_back(Waiter {
                request,
                cost,
                enqueued_at: now,
                expires_at,
            }),
        }
    }

    /// Removes a request that was admitted or rejected, or has ended.
    pub fn remove(&mut self, request: RequestId) {
        self.waiters.retain(|waiter| waiter.request != request);
    }

    /// Drops the requests that did not ask again in time and returns the total cost of the others.
    pub fn total_cost(&mut self, now: Timestamp) -> MicroTokens {
        self.waiters.retain(|waiter| waiter.expires_at >= now);
        self.waiters
            .iter()
            .fold(MicroTokens::ZERO, |sum, waiter| sum.plus(waiter.cost))
    }

    /// The cost of the first request, even if its retry is overdue; zero if the queue is empty.
    pub fn head_cost(&self) -> MicroTokens {
        self.waiters
            .front()
            .map_or(MicroTokens::ZERO, |waiter| waiter.cost)
    }

    /// Whether no request is queued, not even one whose retry is overdue.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
