//! The scheduler of one service in one data centre.

mod placing;
mod progress;
mod queueing;
mod reconcile;
mod reports;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mimosa_protocol::AccountId;
use mimosa_protocol::Epoch;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::DataCentreState;

use crate::Action;
use crate::Event;
use crate::Policy;
use crate::affinity::PrefixIndex;
use crate::attempt::Attempt;
use crate::averages::HoldingTime;
use crate::averages::OutputRatio;
use crate::averages::Throughput;
use crate::event::View;
use crate::pool::Pool;
use crate::pool::PoolSettings;
use crate::pool::Slot;
use crate::profile::LatencyProfile;
use crate::queue::FairQueue;
use crate::settings::Settings;
use crate::succession::Handover;
use crate::succession::SuccessorStart;

/// Queues requests, shares the endpoints fairly between accounts and grants attempts.
///
/// The events of one request must arrive in order, but they may be lost or repeated.
pub struct Scheduler {
    settings: Settings,
    view: Option<View>,
    profile: LatencyProfile,
    pool: Pool,
    queue: FairQueue,
    prefixes: PrefixIndex,
    attempts: BTreeMap<RequestId, Attempt>,
    /// Aborted attempts whose end has not been reported, by the time of the next retry.
    aborts: BTreeSet<(Timestamp, RequestId)>,
    /// Endpoint reserved in the last dispatch.
    reservation: Option<EndpointReservation>,
    /// Time of the last report of each entry.
    last_reports: BTreeMap<InstanceId, Timestamp>,
    /// Time of the last dispatch. A prefill that ended before it needs no wake-up.
    last_dispatch: Timestamp,
    throughput: Throughput,
    output_ratio: OutputRatio,
    holding_time: HoldingTime,
    /// Expiry of the lease; `None` if the driver uses no leases.
    lease: Option<Timestamp>,
    handover: Option<Handover>,
    superseded: bool,
}

/// An endpoint kept free for the account that is due but whose request does not fit anywhere yet.
#[derive(Clone, Debug, PartialEq)]
struct EndpointReservation {
    account: AccountId,
    slot: Slot,
}

/// Whether queued requests need to be dispatched after an event.
#[derive(Clone, Copy, PartialEq)]
enum DispatchNeed {
    /// Capacity or requests may have become available.
    Dispatch,
    /// No capacity was freed and no request was queued.
    Skip,
}

impl Scheduler {
    /// Creates the first scheduler of a service, which has no predecessor with outstanding grants.
    pub fn new(settings: Settings) -> Self {
        let pool = Pool::new(PoolSettings {
            placement: settings.placement.clone(),
            ramp: settings.ramp.clone(),
        });
        Self {
            view: None,
            profile: LatencyProfile::default(),
            pool,
            queue: FairQueue::new(&settings.queue),
            prefixes: PrefixIndex::default(),
            attempts: BTreeMap::new(),
            aborts: BTreeSet::new(),
            reservation: None,
            last_reports: BTreeMap::new(),
            last_dispatch: Timestamp::ZERO,
            throughput: Throughput::default(),
            output_ratio: OutputRatio::default(),
            holding_time: HoldingTime::default(),
            lease: None,
            handover: None,
            superseded: false,
            settings,
        }
    }

    /// Creates a scheduler that replaces an earlier one under a higher epoch. It learns the grants
    /// of its predecessor from the entries' reports, and waits for the expiry of grants that may be
    /// missing there.
    pub fn successor(settings: Settings, start: SuccessorStart) -> Self {
        let handover = Handover::new(start, &settings);
        Self {
            handover: Some(handover),
            ..Self::new(settings)
        }
    }

    /// Epoch of all grants of this scheduler, as set in its settings.
    pub fn epoch(&self) -> Epoch {
        self.settings.epoch
    }

    /// Number of submitted requests that are neither granted nor refused.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Number of attempts whose end has not been reported.
    pub fn running(&self) -> usize {
        self.attempts.len()
    }

    /// Whether a scheduler with a higher epoch exists. A superseded scheduler grants nothing.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    fn may_grant(&self, now: Timestamp) -> bool {
        let leased = self.lease.is_none_or(|until| now < until);
        let open = self.view.as_ref().is_some_and(is_in_service);
        leased && open && !self.superseded
    }

    fn handle_event(
        &mut self,
        now: Timestamp,
        event: Event,
        actions: &mut Vec<Action>,
    ) -> DispatchNeed {
        match event {
            Event::Configure(view) => self.on_configure(now, *view, actions),
            Event::Submit(submission) => self.on_submit(now, submission, actions),
            Event::Cancel { request } => self.on_cancel(now, request, actions),
            Event::Prefilled { request } => self.on_prefilled(now, request),
            Event::Transferred { request } => self.on_transferred(now, request),
            Event::Progress { request, output } => self.on_progress(now, request, output, actions),
            Event::Ended { request, end } => self.on_ended(now, request, end),
            Event::Load(report) => self.on_load(now, &report, actions),
            Event::Cache(report) => self.on_cache(now, &report),
            Event::EndpointDown { endpoint } => self.on_endpoint_down(now, &endpoint, actions),
            Event::EndpointUp {
                endpoint,
                incarnation,
            } => self.on_endpoint_up(now, &endpoint, incarnation, actions),
            Event::Report(report) => self.on_report(now, *report, actions),
            Event::Lease { until } => {
                self.lease = self.lease.max(Some(until));
                DispatchNeed::Dispatch
            }
            Event::Tick => DispatchNeed::Dispatch,
        }
    }
}

fn is_in_service(view: &View) -> bool {
    view.data_centre.state == DataCentreState::In
}

impl Policy for Scheduler {
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.queue.advance(now);
        let need = self.handle_event(now, event, &mut actions);
        self.repeat_aborts(now, &mut actions);
        self.shed_expired(now, &mut actions);
        let handover_done = self.end_handover_if_complete(now);
        let reopened = self.pool.reopen_due(now);
        let dispatch_needed = need == DispatchNeed::Dispatch || handover_done || reopened;
        if dispatch_needed {
            self.last_dispatch = now;
        }
        if dispatch_needed && self.may_grant(now) {
            self.dispatch(now, &mut actions);
        }
        actions
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let abort = self.aborts.first().map(|(at, _)| *at);
        let handover = self.handover.as_ref().map(Handover::next_wake);
        let wakes = [
            abort,
            handover,
            self.next_queue_wake(),
            self.pool.next_available(),
        ];
        wakes.into_iter().flatten().min()
    }
}
