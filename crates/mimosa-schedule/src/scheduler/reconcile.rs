//! Reconciliation with the entries' reports after lost messages and after a handover.

use std::collections::BTreeSet;

use mimosa_protocol::InstanceId;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

use super::DispatchNeed;
use super::Scheduler;
use crate::Action;
use crate::Grant;
use crate::attempt::Attempt;
use crate::attempt::PendingPrompt;
use crate::attempt::PendingTransfer;
use crate::endpoint::HandoverBarrier;
use crate::event::AttemptReport;
use crate::event::EntryReport;
use crate::ramp::Ramp;

impl Scheduler {
    pub(super) fn on_report(
        &mut self,
        now: Timestamp,
        report: EntryReport,
        actions: &mut Vec<Action>,
    ) -> DispatchNeed {
        if report.epoch > self.settings.epoch {
            self.step_down();
        }
        if self.superseded {
            return DispatchNeed::Skip;
        }
        let held: BTreeSet<RequestId> = report
            .attempts
            .iter()
            .map(|each| each.grant.request)
            .collect();
        for attempt in report.attempts {
            self.adopt(now, &report.instance, attempt);
        }
        self.last_reports.insert(report.instance.clone(), now);
        self.remove_missing(now, &report.instance, &held);
        self.remove_unknown(now);
        for submission in report.queued {
            self.remove_expired_grant(now, submission.request);
            self.on_submit(now, submission, actions);
        }
        if report.epoch == self.settings.epoch {
            let handover = self.handover.as_mut();
            handover
                .into_iter()
                .for_each(|each| each.record_report(&report.instance));
        }
        DispatchNeed::Dispatch
    }

    /// Stops this scheduler because a higher epoch exists. The entries report the queued requests
    /// to the successor.
    fn step_down(&mut self) {
        self.superseded = true;
        self.queue.drain();
    }

    /// Adds or replaces an attempt from the report of its entry.
    fn adopt(&mut self, now: Timestamp, owner: &InstanceId, held: AttemptReport) {
        let request = held.grant.request;
        if let Some(attempt) = self.attempts.get_mut(&request) {
            if has_same_endpoints(&attempt.grant, &held.grant) {
                attempt.owner = Some(owner.clone());
                attempt.missing_since = None;
                return;
            }
            self.remove_attempt(now, request);
        }
        let Some(decode) = self.pool.slot(&held.grant.decode) else {
            return;
        };
        self.queue.remove(request);
        let prefill = held.grant.prefill.as_ref();
        let prefill = prefill.and_then(|id| self.pool.slot(id));
        let transfer_time = self.profile.transfer_time(held.submission.prompt);
        let prompt = prefill
            .filter(|_| !held.prefilled)
            .map(|slot| PendingPrompt {
                slot,
                time: self
                    .pool
                    .endpoint(slot)
                    .prefill_time(held.submission.prompt),
                cached: Default::default(),
            });
        let transfer = prefill.filter(|_| !held.transferred);
        let mut attempt = Attempt {
            charged: Default::default(),
            granted_at: now,
            prompt,
            transfer: transfer.map(|from| PendingTransfer {
                from,
                time: transfer_time,
            }),
            decode,
            output: held.output,
            output_at: now,
            aborted: false,
            owner: Some(owner.clone()),
            missing_since: None,
            submission: held.submission,
            grant: held.grant,
        };
        attempt.grant.blocks = attempt.grant.blocks.max(self.needed_blocks(&attempt));
        self.reserve_adopted(now, &attempt);
        self.attempts.insert(request, attempt);
    }

    /// Blocks that an attempt needs for its current output, because its entry knows only the first
    /// grant.
    fn needed_blocks(&self, attempt: &Attempt) -> KvBlocks {
        let submission = &attempt.submission;
        let output = submission.max_output.max(attempt.output);
        let endpoint = self.pool.endpoint(attempt.decode);
        endpoint.blocks_for(submission.prompt, output, &self.settings.placement)
    }

    fn reserve_adopted(&mut self, now: Timestamp, attempt: &Attempt) {
        let request = attempt.grant.request;
        if let Some(prompt) = attempt.prompt {
            self.pool.update(now, prompt.slot, |endpoint| {
                endpoint.attempts.insert(request);
                endpoint.memory.reserve(now, KvBlocks::ZERO);
                endpoint.backlog.add(now, prompt.time);
            });
        }
        let ramp = &self.settings.ramp;
        self.pool.update(now, attempt.decode, |endpoint| {
            endpoint.attempts.insert(request);
            endpoint.memory.reserve(now, attempt.grant.blocks);
            if endpoint.ramp.is_cold() {
                endpoint.ramp = Ramp::with_min_permits(now, endpoint.memory.running(), ramp);
            }
        });
    }

    /// Removes attempts that their entry no longer reports: the message about their end was lost.
    fn remove_missing(&mut self, now: Timestamp, owner: &InstanceId, held: &BTreeSet<RequestId>) {
        let grace = self.settings.recovery.missing_grace;
        let mut ended = Vec::new();
        let owned = |attempt: &&mut Attempt| attempt.owner.as_ref() == Some(owner);
        for attempt in self.attempts.values_mut().filter(owned) {
            let request = attempt.grant.request;
            if held.contains(&request) {
                continue;
            }
            let since = *attempt.missing_since.get_or_insert(now);
            if now >= since + grace {
                ended.push(request);
            }
        }
        ended
            .into_iter()
            .for_each(|request| self.remove_attempt(now, request));
    }

    /// Removes attempts that no entry has ever reported although all entries have reported since
    /// the grant, and attempts of entries without a report for so long that the leases of their
    /// holds have expired.
    fn remove_unknown(&mut self, now: Timestamp) {
        let recovery = &self.settings.recovery;
        let lease_start = now.minus(recovery.hold_ttl);
        let expired: BTreeSet<InstanceId> = self
            .last_reports
            .iter()
            .filter(|(_, at)| **at < lease_start)
            .map(|(instance, _)| instance.clone())
            .collect();
        self.last_reports.retain(|_, at| *at >= lease_start);
        let oldest_report = self.last_reports.values().min().copied().unwrap_or(now);
        let unknown = |attempt: &&Attempt| match &attempt.owner {
            Some(owner) => expired.contains(owner),
            None => attempt.granted_at + recovery.missing_grace < oldest_report,
        };
        let ended = self.attempts.values().filter(unknown);
        let ended: Vec<RequestId> = ended.map(|attempt| attempt.grant.request).collect();
        ended
            .into_iter()
            .for_each(|request| self.remove_attempt(now, request));
    }

    /// Removes an attempt whose grant has expired although its entry still waits for a grant: the
    /// grant was lost. The grace period covers a delayed report that was written before the grant
    /// arrived.
    fn remove_expired_grant(&mut self, now: Timestamp, request: RequestId) {
        let grace = self.settings.recovery.missing_grace;
        let grant = self.attempts.get(&request).map(|attempt| &attempt.grant);
        if grant.is_some_and(|grant| grant.start_by + grace < now) {
            self.remove_attempt(now, request);
        }
    }

    /// Closes the endpoints while unreported grants of an earlier scheduler may exist.
    pub(super) fn close_endpoints_for_handover(&mut self, now: Timestamp) {
        let Some(handover) = &self.handover else {
            return;
        };
        let barrier = HandoverBarrier {
            grants_end: handover.grants_end(),
            holds_end: handover.holds_end(),
        };
        for slot in self.pool.slots() {
            self.pool.update(now, slot, |endpoint| {
                endpoint.handover_barrier = Some(barrier)
            });
        }
    }

    /// Ends the handover if it is complete. Returns whether it ended now.
    pub(super) fn end_handover_if_complete(&mut self, now: Timestamp) -> bool {
        let Some(handover) = &self.handover else {
            return false;
        };
        if !handover.is_complete(now) {
            return false;
        }
        self.handover = None;
        for slot in self.pool.slots() {
            self.pool
                .update(now, slot, |endpoint| endpoint.handover_barrier = None);
        }
        true
    }
}

fn has_same_endpoints(a: &Grant, b: &Grant) -> bool {
    a.decode == b.decode && a.prefill == b.prefill
}
