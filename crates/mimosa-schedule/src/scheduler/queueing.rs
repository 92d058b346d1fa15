//! Submissions, cancellations and shedding.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

use super::Next;
use super::Scheduler;
use super::is_open;
use crate::Action;
use crate::Submission;
use crate::queue::Queued;

/// Shortest hint when to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest hint when to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

impl Scheduler {
    pub(super) fn on_submit(
        &mut self,
        now: Timestamp,
        submission: Submission,
        actions: &mut Vec<Action>,
    ) -> Next {
        let request = submission.request;
        if self.stood_down || self.queue.contains(request) || self.attempts.contains_key(&request) {
            return Next::Rest;
        }
        if let Some(reason) = self.hopeless(&submission) {
            let after = self.retry_after(&submission.account);
            actions.push(refuse(request, reason, after));
            return Next::Rest;
        }
        let queued = self.prepare(submission);
        if self.settings.queue.shed_early && self.waits_too_long(now, &queued) {
            self.refuse_queued(&queued, RefusalReason::TooLate, actions);
            return Next::Rest;
        }
        self.queue.push(queued);
        self.shed_overflow(actions);
        self.shed_late(now, actions);
        Next::Dispatch
    }

    /// Why a request cannot run here at all.
    fn hopeless(&self, submission: &Submission) -> Option<RefusalReason> {
        let view = self.view.as_ref()?;
        if !is_open(view) {
            return Some(RefusalReason::DataCentreOut);
        }
        let summary = self.pool.summary();
        let tokens = submission.prompt.saturating_add(submission.max_output);
        let too_large = summary.largest.is_some_and(|largest| tokens > largest);
        let no_prefill = summary.staged && summary.active_prefill == 0;
        let impossible = summary.active_last == 0 || no_prefill || too_large;
        impossible.then_some(RefusalReason::NoEndpoint)
    }

    pub(super) fn prepare(&self, submission: Submission) -> Queued {
        let output = self.output_share.expect(submission.max_output);
        Queued {
            latest_start: self.latest_start(&submission),
            cost: submission.prompt.saturating_add(output),
            submission,
        }
    }

    /// Whether a request that joins the queue now is expected to wait too long: for the prompts ahead
    /// of it, or for a place. Places that are not free yet are freed at the rate at which attempts
    /// end.
    fn waits_too_long(&self, now: Timestamp, queued: &Queued) -> bool {
        let ahead = self.queue.ahead_of(&queued.submission.account);
        let places = ahead.saturating_sub(self.pool.free_places());
        // Endpoints that still warm up will run more than now.
        let running = self.attempts.len().max(self.pool.summary().concurrency);
        let interval = self.holding.interval(running);
        let for_place = interval.saturating_mul(at_most(places));
        let wait = for_place.max(self.wait_for_prefill(queued, ahead));
        let slack = queued.latest_start.since(now);
        wait > slack.saturating_mul(self.settings.queue.wait_permille) / 1_000
    }

    /// Time in which the prompts ahead are processed, if they are about as long as this one.
    fn wait_for_prefill(&self, queued: &Queued, ahead: usize) -> Duration {
        let summary = self.pool.summary();
        let prompt = self.profile.prefill(queued.submission.prompt);
        prompt
            .saturating_mul(at_most(ahead))
            .checked_div(at_most(summary.active_prefill))
            .filter(|_| summary.staged)
            .unwrap_or_default()
    }

    /// After this moment the first token would be late even on idle endpoints. A request whose
    /// target is out of reach from the start is served as long as it may wait.
    fn latest_start(&self, submission: &Submission) -> Timestamp {
        let Some(view) = &self.view else {
            return Timestamp(u64::MAX);
        };
        let service = &view.service;
        let patience = submission.arrived + service.max_queue_time;
        let needed = self.profile.first_token(submission.prompt) + self.settings.queue.start_margin;
        let slack = service.first_token_target.checked_sub(needed);
        slack
            .filter(|_| self.settings.queue.shed_late)
            .map_or(patience, |slack| patience.min(submission.arrived + slack))
    }

    /// By then the KV cache must be transferred for a first token in time. Without a limit for a
    /// request that is served although its target is out of reach.
    pub(super) fn transfer_target(&self, submission: &Submission) -> Timestamp {
        let view = self.view.as_ref();
        let service = view.map(|view| &view.service);
        let target = service.and_then(|service| {
            let needed = self.profile.first_token(submission.prompt);
            let target = service.first_token_target;
            // A gap near the whole target would leave no time for the prompt.
            let limit = target - service.token_gap_target.min(target / 2);
            let reachable = needed + self.settings.queue.start_margin <= target;
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
    ) -> Next {
        if self.queue.remove(request).is_some() {
            let refusal = Refusal::not_run(RefusalReason::Cancelled);
            actions.push(Action::Refuse { request, refusal });
        } else if self.attempts.contains_key(&request) {
            self.abort(now, request, actions);
        }
        Next::Rest
    }

    pub(super) fn shed_late(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.stood_down {
            return;
        }
        while let Some(queued) = self.queue.pop_expired(now) {
            self.refuse_queued(&queued, RefusalReason::TooLate, actions);
        }
    }

    fn shed_overflow(&mut self, actions: &mut Vec<Action>) {
        while self.queue.len() > self.settings.queue.max_queued {
            let Some(queued) = self.queue.pop_heaviest() else {
                return;
            };
            self.refuse_queued(&queued, RefusalReason::QueueFull, actions);
        }
    }

    /// Ends every waiting request for one reason.
    pub(super) fn refuse_all(&mut self, reason: RefusalReason, actions: &mut Vec<Action>) {
        for queued in self.queue.drain() {
            self.refuse_queued(&queued, reason, actions);
        }
    }

    fn refuse_queued(&self, queued: &Queued, reason: RefusalReason, actions: &mut Vec<Action>) {
        let after = self.retry_after(&queued.submission.account);
        actions.push(refuse(queued.submission.request, reason, after));
    }

    /// Time in which what the account has waiting is expected to be served.
    fn retry_after(&self, account: &AccountId) -> Duration {
        let waiting = self.queue.backlog_of(account);
        let sharing = at_most(self.queue.accounts_waiting());
        let rate = self.throughput.rate();
        let time = rate.and_then(|rate| rate.time_for(waiting));
        time.unwrap_or_default()
            .saturating_mul(sharing.max(1))
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    pub(super) fn queue_wake(&self) -> Option<Timestamp> {
        let expiry = self.queue.next_expiry()?;
        let lookahead = self.settings.placement.prefill_lookahead;
        let prefill = self.pool.next_prefill_end().map(|end| end.minus(lookahead));
        let later = prefill.filter(|at| *at > self.dispatched);
        Some(later.map_or(expiry, |at| at.min(expiry)))
    }
}

fn at_most(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn refuse(request: RequestId, reason: RefusalReason, after: Duration) -> Action {
    let refusal = Refusal::not_run(reason).retry_after(after);
    Action::Refuse { request, refusal }
}
