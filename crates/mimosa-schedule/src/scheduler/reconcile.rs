//! Comparing notes with the entries: lost messages, and the start of a successor.

use std::collections::BTreeSet;

use mimosa_protocol::InstanceId;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

use super::Next;
use super::Scheduler;
use crate::Action;
use crate::Grant;
use crate::attempt::Attempt;
use crate::attempt::PromptPart;
use crate::attempt::TransferPart;
use crate::endpoint::Barred;
use crate::event::AttemptReport;
use crate::event::EntryReport;
use crate::ramp::Ramp;

impl Scheduler {
    pub(super) fn on_report(
        &mut self,
        now: Timestamp,
        report: EntryReport,
        actions: &mut Vec<Action>,
    ) -> Next {
        if report.epoch > self.settings.epoch {
            self.stand_down();
        }
        if self.stood_down {
            return Next::Rest;
        }
        let held: BTreeSet<RequestId> = report
            .attempts
            .iter()
            .map(|each| each.grant.request)
            .collect();
        for attempt in report.attempts {
            self.adopt(now, &report.instance, attempt);
        }
        self.reporters.insert(report.instance.clone(), now);
        self.release_missing(now, &report.instance, &held);
        self.release_unknown(now);
        for submission in report.queued {
            self.forget_void_grant(now, submission.request);
            self.on_submit(now, submission, actions);
        }
        if report.epoch == self.settings.epoch {
            let succession = self.succession.as_mut();
            succession
                .into_iter()
                .for_each(|each| each.reported(&report.instance));
        }
        Next::Dispatch
    }

    /// A higher epoch is about: what waits here belongs to the entries and to the successor.
    fn stand_down(&mut self) {
        self.stood_down = true;
        self.queue.drain();
    }

    /// Takes in an attempt that an entry holds, in place of a guess.
    fn adopt(&mut self, now: Timestamp, owner: &InstanceId, held: AttemptReport) {
        let request = held.grant.request;
        if let Some(attempt) = self.attempts.get_mut(&request) {
            if is_same_place(&attempt.grant, &held.grant) {
                attempt.owner = Some(owner.clone());
                attempt.missing = None;
                return;
            }
            self.release(now, request);
        }
        let Some(decode) = self.pool.slot(&held.grant.decode) else {
            return;
        };
        self.queue.remove(request);
        let prefill = held.grant.prefill.as_ref();
        let prefill = prefill.and_then(|id| self.pool.slot(id));
        let transfer_time = self.profile.transfer(held.submission.prompt);
        let prompt = prefill.filter(|_| !held.prefilled).map(|slot| PromptPart {
            slot,
            time: self.pool.load(slot).prefill_time(held.submission.prompt),
            cached: Default::default(),
        });
        let transfer = prefill.filter(|_| !held.transferred);
        let mut attempt = Attempt {
            charged: Default::default(),
            granted: now,
            prompt,
            transfer: transfer.map(|from| TransferPart {
                from,
                time: transfer_time,
            }),
            decode,
            output: held.output,
            output_at: now,
            aborted: false,
            owner: Some(owner.clone()),
            missing: None,
            submission: held.submission,
            grant: held.grant,
        };
        attempt.grant.blocks = attempt.grant.blocks.max(self.blocks_of(&attempt));
        self.hold_adopted(now, &attempt);
        self.attempts.insert(request, attempt);
    }

    /// Blocks that an attempt needs by its output so far, as its entry knows only its first grant.
    fn blocks_of(&self, attempt: &Attempt) -> KvBlocks {
        let submission = &attempt.submission;
        let output = submission.max_output.max(attempt.output);
        let load = self.pool.load(attempt.decode);
        load.blocks_for(submission.prompt, output, &self.settings.placement)
    }

    fn hold_adopted(&mut self, now: Timestamp, attempt: &Attempt) {
        let request = attempt.grant.request;
        if let Some(prompt) = attempt.prompt {
            self.pool.update(now, prompt.slot, |load| {
                load.attempts.insert(request);
                load.memory.reserve(now, KvBlocks::ZERO);
                load.backlog.add(now, prompt.time);
            });
        }
        let ramp = &self.settings.ramp;
        self.pool.update(now, attempt.decode, |load| {
            load.attempts.insert(request);
            load.memory.reserve(now, attempt.grant.blocks);
            if load.ramp.is_cold() {
                load.ramp = Ramp::bearing(now, load.memory.running(), ramp);
            }
        });
    }

    /// Ends attempts that their entry does not know any more: the message of their end was lost.
    fn release_missing(&mut self, now: Timestamp, owner: &InstanceId, held: &BTreeSet<RequestId>) {
        let grace = self.settings.recovery.missing_grace;
        let mut gone = Vec::new();
        let owned = |attempt: &&mut Attempt| attempt.owner.as_ref() == Some(owner);
        for attempt in self.attempts.values_mut().filter(owned) {
            let request = attempt.grant.request;
            if held.contains(&request) {
                continue;
            }
            let since = *attempt.missing.get_or_insert(now);
            if now >= since + grace {
                gone.push(request);
            }
        }
        gone.into_iter()
            .for_each(|request| self.release(now, request));
    }

    /// Ends attempts that no entry ever reported although all did since, and attempts of entries that
    /// are silent for so long that the leases of their holds ended.
    fn release_unknown(&mut self, now: Timestamp) {
        let recovery = &self.settings.recovery;
        let silent_since = now.minus(recovery.hold_life);
        let silent: BTreeSet<InstanceId> = self
            .reporters
            .iter()
            .filter(|(_, at)| **at < silent_since)
            .map(|(instance, _)| instance.clone())
            .collect();
        self.reporters.retain(|_, at| *at >= silent_since);
        let all_reported = self.reporters.values().min().copied().unwrap_or(now);
        let unknown = |attempt: &&Attempt| match &attempt.owner {
            Some(owner) => silent.contains(owner),
            None => attempt.granted + recovery.missing_grace < all_reported,
        };
        let gone = self.attempts.values().filter(unknown);
        let gone: Vec<RequestId> = gone.map(|attempt| attempt.grant.request).collect();
        gone.into_iter()
            .for_each(|request| self.release(now, request));
    }

    /// An entry that still waits for a grant never got the one that is now void. The grace is for a
    /// report that was written before the grant came and was late itself.
    fn forget_void_grant(&mut self, now: Timestamp, request: RequestId) {
        let grace = self.settings.recovery.missing_grace;
        let grant = self.attempts.get(&request).map(|attempt| &attempt.grant);
        if grant.is_some_and(|grant| grant.start_by + grace < now) {
            self.release(now, request);
        }
    }

    /// Keeps endpoints closed at which an earlier scheduler may have granted something unseen.
    pub(super) fn bar_unseen_holds(&mut self, now: Timestamp) {
        let Some(succession) = &self.succession else {
            return;
        };
        let barred = Barred {
            permits_until: succession.permits_until(),
            holds_until: succession.holds_until(),
        };
        for slot in self.pool.slots() {
            self.pool
                .update(now, slot, |load| load.barred = Some(barred));
        }
    }

    /// Returns whether something may be granted that could not be before.
    pub(super) fn advance_succession(&mut self, now: Timestamp) -> bool {
        let Some(succession) = &self.succession else {
            return false;
        };
        if !succession.is_over(now) {
            return false;
        }
        self.succession = None;
        for slot in self.pool.slots() {
            self.pool.update(now, slot, |load| load.barred = None);
        }
        true
    }
}

fn is_same_place(ours: &Grant, theirs: &Grant) -> bool {
    ours.decode == theirs.decode && ours.prefill == theirs.prefill
}
