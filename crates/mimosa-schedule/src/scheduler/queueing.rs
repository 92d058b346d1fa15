//! Submission, cancellation and shedding of requests.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

use super::DispatchNeed;
use super::Scheduler;
use super::is_in_service;
use crate::Action;
use crate::Submission;
use crate::queue::QueuedRequest;

/// Lower limit of the retry hint in refusals.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Upper limit of the retry hint in refusals.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

impl Scheduler {
    pub(super) fn on_submit(
        &mut self,
        now: Timestamp,
        submission: Submission,
        actions: &mut Vec<Action>,
    ) -> DispatchNeed {
        let request = submission.request;
        if self.superseded || self.queue.contains(request) || self.attempts.contains_key(&request) {
            return DispatchNeed::Skip;
        }
        if let Some(reason) = self.permanent_blocker(&submission) {
            let after = self.retry_after(&submission.account);
            actions.push(refuse(request, reason, after));
            return DispatchNeed::Skip;
        }
        let queued = self.to_queued(submission);
        if self.settings.queue.shed_early && self.exceeds_wait_limit(now, &queued) {
            self.refuse_queued(&queued, RefusalReason::TooLate, actions);
            return DispatchNeed::Skip;
        }
        self.queue.push(queued);
        self.shed_overflow(actions);
        self.shed_expired(now, actions);
        DispatchNeed::Dispatch
    }

    /// Reason why a request can never run here; `None` if it can.
    fn permanent_blocker(&self, submission: &Submission) -> Option<RefusalReason> {
        let view = self.view.as_ref()?;
        if !is_in_service(view) {
            return Some(RefusalReason::DataCentreOut);
        }
        let summary = self.pool.summary();
        let tokens = submission.prompt.saturating_add(submission.max_output);
        let too_large = summary
            .max_request_tokens
            .is_some_and(|max_request_tokens| tokens > max_request_tokens);
        let no_prefill = summary.disaggregated && summary.active_prefill == 0;
        let impossible = summary.active_decode == 0 || no_prefill || too_large;
        impossible.then_some(RefusalReason::NoEndpoint)
    }

    pub(super) fn to_queued(&self, submission: Submission) -> QueuedRequest {
        let output = self.output_ratio.expect(submission.max_output);
        QueuedRequest {
            latest_start: self.latest_start(&submission),
            cost: submission.prompt.saturating_add(output),
            submission,
        }
    }

    /// Whether the expected wait of a new request is too long. It waits for the prefill of the
    /// prompts ahead of it and for a free stream. Streams become free at the rate at which attempts
    /// end.
    fn exceeds_wait_limit(&self, now: Timestamp, queued: &QueuedRequest) -> bool {
        let ahead = self.queue.count_ahead_of(&queued.submission.account);
        let streams_short = ahead.saturating_sub(self.pool.free_streams());
        // Endpoints in ramp-up will run more attempts than now.
        let running = self.attempts.len().max(self.pool.summary().concurrency);
        let per_stream = self.holding_time.time_to_next_end(running);
        let stream_wait = per_stream.saturating_mul(saturating_u32(streams_short));
        let wait = stream_wait.max(self.prefill_wait(queued, ahead));
        let slack = queued.latest_start.since(now);
        wait > slack.saturating_mul(self.settings.queue.wait_permille) / 1_000
    }

    /// Prefill time of the prompts ahead, assuming that they are about as long as this one.
    fn prefill_wait(&self, queued: &QueuedRequest, ahead: usize) -> Duration {
        let summary = self.pool.summary();
        let prompt = self.profile.prefill_time(queued.submission.prompt);
        prompt
            .saturating_mul(saturating_u32(ahead))
            .checked_div(saturating_u32(summary.active_prefill))
            .filter(|_| summary.disaggregated)
            .unwrap_or_default()
    }

    /// Time after which the first token would be late even on idle endpoints. If the target is
    /// unreachable from the start, the request may wait for the maximum queue time of the service.
    fn latest_start(&self, submission: &Submission) -> Timestamp {
        let Some(view) = &self.view else {
            return Timestamp(u64::MAX);
        };
        let service = &view.service;
        let queue_deadline = submission.arrived + service.max_queue_time;
        let needed_time =
            self.profile.first_token_time(submission.prompt) + self.settings.queue.start_margin;
        let slack = service.first_token_target.checked_sub(needed_time);
        slack
            .filter(|_| self.settings.queue.shed_late)
            .map_or(queue_deadline, |slack| {
                queue_deadline.min(submission.arrived + slack)
            })
    }

    /// Deadline of the KV cache transfer for a first token on time. There is no deadline if the
    /// target is unreachable from the start.
    pub(super) fn transfer_target(&self, submission: &Submission) -> Timestamp {
        let view = self.view.as_ref();
        let service = view.map(|view| &view.service);
        let target = service.and_then(|service| {
            let needed_time = self.profile.first_token_time(submission.prompt);
            let target = service.first_token_target;
            // A token gap close to the first-token target would leave no time for the prompt.
            let limit = target - service.token_gap_target.min(target / 2);
            let reachable = needed_time + self.settings.queue.start_margin <= target;
            reachable.then_some(submission.arrived + limit)
        });
        target
            .filter(|_| self.settings.queue.shed_late)
            .unwrap_or(Timestamp(u64::MAX))
    }

    pub(super) fn on_cancel(
        &mut self,
        now: Timestamp,
        request: RequestId,
        actions: &mut Vec<Action>,
    ) -> DispatchNeed {
        if self.queue.remove(request).is_some() {
            let refusal = Refusal::not_run(RefusalReason::Cancelled);
            actions.push(Action::Refuse { request, refusal });
        } else if self.attempts.contains_key(&request) {
            self.abort(now, request, actions);
        }
        DispatchNeed::Skip
    }

    pub(super) fn shed_expired(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.superseded {
            return;
        }
        while let Some(queued) = self.queue.pop_expired(now) {
            self.refuse_queued(&queued, RefusalReason::TooLate, actions);
        }
    }

    fn shed_overflow(&mut self, actions: &mut Vec<Action>) {
        while self.queue.len() > self.settings.queue.max_queued {
            let Some(queued) = self.queue.pop_most_queued() else {
                return;
            };
            self.refuse_queued(&queued, RefusalReason::QueueFull, actions);
        }
    }

    pub(super) fn refuse_all(&mut self, reason: RefusalReason, actions: &mut Vec<Action>) {
        for queued in self.queue.drain() {
            self.refuse_queued(&queued, reason, actions);
        }
    }

    fn refuse_queued(
        &self,
        queued: &QueuedRequest,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let after = self.retry_after(&queued.submission.account);
        actions.push(refuse(queued.submission.request, reason, after));
    }

    /// Expected time to serve the queued tokens of an account at its fair share.
    fn retry_after(&self, account: &AccountId) -> Duration {
        let queued_tokens = self.queue.queued_tokens(account);
        let sharing = saturating_u32(self.queue.queued_accounts());
        let rate = self.throughput.rate();
        let time = rate.and_then(|rate| rate.time_for(queued_tokens));
        time.unwrap_or_default()
            .saturating_mul(sharing.max(1))
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    pub(super) fn next_queue_wake(&self) -> Option<Timestamp> {
        let expiry = self.queue.next_expiry()?;
        let lookahead = self.settings.placement.prefill_lookahead;
        let prefill = self.pool.next_prefill_end().map(|end| end.minus(lookahead));
        let later = prefill.filter(|at| *at > self.last_dispatch);
        Some(later.map_or(expiry, |at| at.min(expiry)))
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn refuse(request: RequestId, reason: RefusalReason, after: Duration) -> Action {
    let refusal = Refusal::not_run(reason).retry_after(after);
    Action::Refuse { request, refusal }
}
