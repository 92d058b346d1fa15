//! What endpoints and the configuration say.

use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

use super::Next;
use super::Scheduler;
use super::is_open;
use crate::Action;
use crate::event::CacheReport;
use crate::event::LoadReport;
use crate::event::View;
use crate::pool::Slot;
use crate::profile::Profile;
use crate::ramp::Ramp;

impl Scheduler {
    pub(super) fn on_configure(
        &mut self,
        now: Timestamp,
        view: View,
        actions: &mut Vec<Action>,
    ) -> Next {
        let was_out = self.view.as_ref().is_some_and(|old| !is_open(old));
        let first = self.view.is_none();
        self.profile = Profile::of(&view);
        for slot in self.pool.configure(now, &view.endpoints) {
            self.affinity.forget(slot);
        }
        self.bar_unseen_holds(now);
        if !is_open(&view) {
            self.refuse_all(RefusalReason::DataCentreOut, actions);
        } else if was_out {
            self.ramp_all(now);
        }
        self.view = Some(view);
        if first {
            self.estimate_anew();
        }
        Next::Dispatch
    }

    /// Gives deadlines to the requests that came before the configuration.
    fn estimate_anew(&mut self) {
        for queued in self.queue.drain() {
            let queued = self.prepare(queued.submission);
            self.queue.push(queued);
        }
    }

    /// A data centre that returns takes up work step by step.
    fn ramp_all(&mut self, now: Timestamp) {
        for slot in self.pool.slots() {
            let ramp = &self.settings.ramp;
            self.pool
                .update(now, slot, |load| load.ramp = Ramp::cold(now, ramp));
        }
    }

    pub(super) fn on_load(
        &mut self,
        now: Timestamp,
        report: &LoadReport,
        actions: &mut Vec<Action>,
    ) -> Next {
        let Some(slot) = self.pool.slot(&report.endpoint) else {
            return Next::Rest;
        };
        let known = self.pool.load(slot).incarnation;
        if known.is_some_and(|known| report.incarnation < known) {
            return Next::Rest;
        }
        if known != Some(report.incarnation) {
            self.meet(now, slot, report.incarnation, actions);
        }
        let target = self.view.as_ref().map(|view| view.service.token_gap_target);
        self.pool.update(now, slot, |load| {
            if report.measured_at <= load.measured {
                return;
            }
            load.measured = report.measured_at;
            let running = report.running.saturating_add(report.waiting);
            load.memory
                .report(report.measured_at, report.used_blocks, running);
            if let Some((gap, target)) = report.token_gap.zip(target) {
                load.pace
                    .report(report.measured_at, report.running, gap, target);
            }
        });
        Next::Dispatch
    }

    pub(super) fn on_cache(&mut self, now: Timestamp, report: &CacheReport) -> Next {
        let Some(slot) = self.pool.slot(&report.endpoint) else {
            return Next::Rest;
        };
        if self.affinity.sequence(slot, report.sequence) {
            let ramp = &self.settings.ramp;
            self.pool
                .update(now, slot, |load| load.ramp.turn_cold(now, ramp));
        }
        let max = self.settings.placement.max_prefixes;
        let stored = report.stored.iter();
        stored.for_each(|hash| self.affinity.store(slot, *hash, max));
        let evicted = report.evicted.iter();
        evicted.for_each(|hash| self.affinity.evict(slot, *hash));
        Next::Rest
    }

    pub(super) fn on_lost(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        actions: &mut Vec<Action>,
    ) -> Next {
        let Some(slot) = self.pool.slot(endpoint) else {
            return Next::Rest;
        };
        self.pool.update(now, slot, |load| load.lost = true);
        self.affinity.forget(slot);
        self.abort_all(now, slot, actions);
        Next::Rest
    }

    pub(super) fn on_found(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) -> Next {
        let Some(slot) = self.pool.slot(endpoint) else {
            return Next::Rest;
        };
        let load = self.pool.load(slot);
        if load.incarnation.is_some_and(|known| incarnation < known) {
            return Next::Rest;
        }
        if load.lost || load.incarnation != Some(incarnation) {
            self.meet(now, slot, incarnation, actions);
        }
        Next::Dispatch
    }

    /// Takes in an endpoint that answers for the first time, again, or under a new incarnation.
    fn meet(
        &mut self,
        now: Timestamp,
        slot: Slot,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let load = self.pool.load(slot);
        let restarted = load.incarnation.is_some_and(|known| known != incarnation);
        let cold = restarted || load.lost;
        if restarted {
            self.affinity.forget(slot);
            self.abort_all(now, slot, actions);
        }
        let ramp = &self.settings.ramp;
        self.pool.update(now, slot, |load| {
            load.lost = false;
            if cold {
                load.since = now;
            }
            load.incarnation = Some(incarnation);
            if restarted {
                load.memory.restart();
                load.measured = now;
            }
            if cold {
                load.ramp = Ramp::cold(now, ramp);
            }
        });
    }

    /// Tells all attempts at an endpoint to stop. What they hold is freed when their ends are
    /// reported.
    fn abort_all(&mut self, now: Timestamp, slot: Slot, actions: &mut Vec<Action>) {
        let attempts = self.pool.load(slot).attempts.iter();
        let requests: Vec<RequestId> = attempts.copied().collect();
        for request in requests {
            self.abort(now, request, actions);
        }
    }
}
