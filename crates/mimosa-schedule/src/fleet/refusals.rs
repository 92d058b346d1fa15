//! Refusal of queued requests that cannot start in time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use mimosa_protocol::Timestamp;

use super::FleetScheduler;
use super::endpoint::FleetEndpoint;
use super::message::Action;
use super::message::PlacementRefusal;
use super::queue::QueuedRequest;

/// Longest time after which clients are told to retry when all endpoints are limited. Limits change as
/// endpoints recover.
const MAX_LIMIT_DELAY: Duration = Duration::from_secs(5);

impl FleetScheduler {
    /// Refuses requests that are expected to wait for decode memory until their deadline. A queued
    /// request gets memory when as many running requests have ended as are queued before it.
    pub(super) fn refuse_unservable(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.waits_for_memory(now) {
            return;
        }
        let ends = self.expected_ends(now);
        let retry_after = self.time_to_capacity(now);
        let mut index = 0;
        self.refuse_unless(now, actions, retry_after, |each| {
            let end = ends.get(index).or(ends.last());
            let keeps = end.is_none_or(|end| *end <= each.refuse_at);
            index += usize::from(keeps);
            keeps
        });
    }

    /// Refuses requests that cannot start before their deadline because all decode endpoints are
    /// limited. Each queued request starts in one of the next slots of these endpoints.
    pub(super) fn refuse_beyond_limits(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let open = self.endpoints.values().filter(|each| each.is_open);
        let decodes = open.filter(|each| each.is_decode());
        let slots: Option<Vec<_>> = decodes
            .map(|each| each.is_limited(now).then(|| each.next_slot(now)))
            .collect();
        let Some(slots) = slots.filter(|slots| !slots.is_empty()) else {
            return;
        };
        let mut next_slots: BinaryHeap<_> = slots.into_iter().flatten().map(Reverse).collect();
        let mut starts = Vec::new();
        while starts.len() <= self.queue.len()
            && let Some(Reverse((start, interval))) = next_slots.pop()
        {
            starts.push(start);
            next_slots.push(Reverse((start + interval, interval)));
        }
        let backoff = self.settings.no_capacity_backoff;
        let retry_after = starts
            .last()
            .map_or(MAX_LIMIT_DELAY, |start| start.since(now));
        let retry_after = retry_after.clamp(backoff, MAX_LIMIT_DELAY);
        let mut starts = starts.into_iter().peekable();
        self.refuse_unless(now, actions, retry_after, |each| {
            let is_in_time = |start: &Timestamp| *start <= each.refuse_at;
            starts.next_if(is_in_time).is_some()
        });
    }

    /// Refuses the queued requests for which `keeps` returns false.
    pub(super) fn refuse_unless(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<Action>,
        retry_after: Duration,
        mut keeps: impl FnMut(&QueuedRequest) -> bool,
    ) {
        let sharing = &mut self.sharing;
        self.queue.retain(|each| {
            let is_kept = keeps(each);
            if !is_kept {
                if let Some(sharing) = sharing {
                    sharing.record_told(now, each, now + retry_after);
                }
                actions.push(Action::Refuse {
                    id: each.request.id.clone(),
                    reason: PlacementRefusal::TooLate,
                    retry_after,
                });
            }
            is_kept
        });
    }

    /// Whether requests are queued although a prefill endpoint is available.
    pub(super) fn waits_for_memory(&self, now: Timestamp) -> bool {
        let is_open = |(_, each, _): &(_, &FleetEndpoint, _)| each.is_open;
        !self.queue.is_empty() && self.free_prefills(now).any(|each| is_open(&each))
    }

    /// Refuses requests past their deadline and moves requests that will miss their target to the
    /// end of the queue.
    pub(super) fn refuse_expired(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let after_prefill = self.estimates.prefill_latency() + self.settings.first_output_time;
        for each in &mut self.queue {
            let needs = self.estimates.prefill_time(each.request.prompt) + after_prefill;
            each.is_late = now + needs > each.target;
        }
        self.queue.sort_by_key(QueuedRequest::order);
        if self.queue.iter().all(|each| now < each.refuse_at) {
            return;
        }
        let retry_after = self.time_to_capacity(now);
        self.refuse_unless(now, actions, retry_after, |each| now < each.refuse_at);
    }

    /// Expected end times of the running requests in ascending order.
    pub(super) fn expected_ends(&self, now: Timestamp) -> Vec<Timestamp> {
        let mut expected_ends: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(_, each)| !each.loads.is_empty())
            .flat_map(|(id, each)| {
                let token_time = self.token_time_at(now, id, each.loads.len());
                let loads = each.loads.values();
                loads.map(move |load| load.end(now, token_time))
            })
            .collect();
        expected_ends.sort_unstable();
        expected_ends
    }

    /// Expected time until enough running requests have ended for all queued requests and one more.
    pub(super) fn time_to_capacity(&self, now: Timestamp) -> Duration {
        let expected_ends = self.expected_ends(now);
        let needed = self.queue.len().min(expected_ends.len().saturating_sub(1));
        let time = expected_ends.get(needed).map(|end| end.since(now));
        time.unwrap_or_default()
            .max(self.settings.no_capacity_backoff)
    }
}
