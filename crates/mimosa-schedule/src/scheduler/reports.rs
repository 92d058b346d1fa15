//! Handling of configuration changes and of endpoint reports.

use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

use super::DispatchNeed;
use super::Scheduler;
use super::is_in_service;
use crate::Action;
use crate::event::CacheReport;
use crate::event::LoadReport;
use crate::event::View;
use crate::pool::Slot;
use crate::profile::LatencyProfile;
use crate::ramp::Ramp;

impl Scheduler {
    pub(super) fn on_configure(
        &mut self,
        now: Timestamp,
        view: View,
        actions: &mut Vec<Action>,
    ) -> DispatchNeed {
        let was_out = self.view.as_ref().is_some_and(|old| !is_in_service(old));
        let first = self.view.is_none();
        self.profile = LatencyProfile::from_view(&view);
        for slot in self.pool.configure(now, &view.endpoints) {
            self.prefixes.clear(slot);
        }
        self.close_endpoints_for_handover(now);
        if !is_in_service(&view) {
            self.refuse_all(RefusalReason::DataCentreOut, actions);
        } else if was_out {
            self.restart_all_ramps(now);
        }
        self.view = Some(view);
        if first {
            self.recompute_deadlines();
        }
        DispatchNeed::Dispatch
    }

    /// Computes the deadlines of requests that were queued before the first configuration.
    fn recompute_deadlines(&mut self) {
        for queued in self.queue.drain() {
            let queued = self.to_queued(queued.submission);
            self.queue.push(queued);
        }
    }

    /// Restarts the ramp-up of all endpoints when the data centre is back in service.
    fn restart_all_ramps(&mut self, now: Timestamp) {
        for slot in self.pool.slots() {
            let ramp = &self.settings.ramp;
            self.pool
                .update(now, slot, |endpoint| endpoint.ramp = Ramp::cold(now, ramp));
        }
    }

    pub(super) fn on_load(
        &mut self,
        now: Timestamp,
        report: &LoadReport,
        actions: &mut Vec<Action>,
    ) -> DispatchNeed {
        let Some(slot) = self.pool.slot(&report.endpoint) else {
            return DispatchNeed::Skip;
        };
        let known = self.pool.endpoint(slot).incarnation;
        if known.is_some_and(|known| report.incarnation < known) {
            return DispatchNeed::Skip;
        }
        if known != Some(report.incarnation) {
            self.register_incarnation(now, slot, report.incarnation, actions);
        }
        let target = self.view.as_ref().map(|view| view.service.token_gap_target);
        self.pool.update(now, slot, |endpoint| {
            if report.measured_at <= endpoint.load_measured_at {
                return;
            }
            endpoint.load_measured_at = report.measured_at;
            let running = report.running.saturating_add(report.waiting);
            endpoint
                .memory
                .report(report.measured_at, report.used_blocks, running);
            if let Some((gap, target)) = report.token_gap.zip(target) {
                endpoint
                    .stream_limit
                    .report(report.measured_at, report.running, gap, target);
            }
        });
        DispatchNeed::Dispatch
    }

    pub(super) fn on_cache(&mut self, now: Timestamp, report: &CacheReport) -> DispatchNeed {
        let Some(slot) = self.pool.slot(&report.endpoint) else {
            return DispatchNeed::Skip;
        };
        if self.prefixes.observe_sequence(slot, report.sequence) {
            let ramp = &self.settings.ramp;
            self.pool
                .update(now, slot, |endpoint| endpoint.ramp.restart(now, ramp));
        }
        let max = self.settings.placement.max_prefixes;
        let stored = report.stored.iter();
        stored.for_each(|hash| self.prefixes.store(slot, *hash, max));
        let evicted = report.evicted.iter();
        evicted.for_each(|hash| self.prefixes.evict(slot, *hash));
        DispatchNeed::Skip
    }

    pub(super) fn on_endpoint_down(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        actions: &mut Vec<Action>,
    ) -> DispatchNeed {
        let Some(slot) = self.pool.slot(id) else {
            return DispatchNeed::Skip;
        };
        self.pool.update(now, slot, |endpoint| endpoint.down = true);
        self.prefixes.clear(slot);
        self.abort_all(now, slot, actions);
        DispatchNeed::Skip
    }

    pub(super) fn on_endpoint_up(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) -> DispatchNeed {
        let Some(slot) = self.pool.slot(id) else {
            return DispatchNeed::Skip;
        };
        let endpoint = self.pool.endpoint(slot);
        if endpoint
            .incarnation
            .is_some_and(|known| incarnation < known)
        {
            return DispatchNeed::Skip;
        }
        if endpoint.down || endpoint.incarnation != Some(incarnation) {
            self.register_incarnation(now, slot, incarnation, actions);
        }
        DispatchNeed::Dispatch
    }

    /// Registers an endpoint that responds for the first time, again, or with a new incarnation.
    fn register_incarnation(
        &mut self,
        now: Timestamp,
        slot: Slot,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let endpoint = self.pool.endpoint(slot);
        let restarted = endpoint
            .incarnation
            .is_some_and(|known| known != incarnation);
        let cold = restarted || endpoint.down;
        if restarted {
            self.prefixes.clear(slot);
            self.abort_all(now, slot, actions);
        }
        let ramp = &self.settings.ramp;
        self.pool.update(now, slot, |endpoint| {
            endpoint.down = false;
            if cold {
                endpoint.last_cold_start = now;
            }
            endpoint.incarnation = Some(incarnation);
            if restarted {
                endpoint.memory.clear_foreign();
                endpoint.load_measured_at = now;
            }
            if cold {
                endpoint.ramp = Ramp::cold(now, ramp);
            }
        });
    }

    /// Aborts all attempts at an endpoint. Their reservations are freed when their ends are
    /// reported.
    fn abort_all(&mut self, now: Timestamp, slot: Slot, actions: &mut Vec<Action>) {
        let attempts = self.pool.endpoint(slot).attempts.iter();
        let requests: Vec<RequestId> = attempts.copied().collect();
        for request in requests {
            self.abort(now, request, actions);
        }
    }
}
