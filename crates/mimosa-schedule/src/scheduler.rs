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
use crate::affinity::Affinity;
use crate::attempt::Attempt;
use crate::event::View;
use crate::meter::Holding;
use crate::meter::OutputShare;
use crate::meter::Throughput;
use crate::pool::Pool;
use crate::pool::PoolSettings;
use crate::pool::Slot;
use crate::profile::Profile;
use crate::queue::FairQueue;
use crate::settings::Settings;
use crate::succession::Succession;
use crate::succession::SuccessorStart;

/// Queues requests, shares endpoints fairly and grants attempts.
///
/// Events of one request must come in their order; they may be lost or repeated.
pub struct Scheduler {
    settings: Settings,
    view: Option<View>,
    profile: Profile,
    pool: Pool,
    queue: FairQueue,
    affinity: Affinity,
    attempts: BTreeMap<RequestId, Attempt>,
    /// Attempts that were told to stop, by when they are told again.
    aborts: BTreeSet<(Timestamp, RequestId)>,
    claim: Option<Claim>,
    /// Entries, by when they last reported.
    reporters: BTreeMap<InstanceId, Timestamp>,
    /// When it last looked for places.
    dispatched: Timestamp,
    throughput: Throughput,
    output_share: OutputShare,
    holding: Holding,
    lease: Option<Timestamp>,
    succession: Option<Succession>,
    stood_down: bool,
}

/// An endpoint kept for the account that is due but does not fit anywhere yet.
#[derive(Clone, Debug, PartialEq)]
struct Claim {
    account: AccountId,
    slot: Slot,
}

/// What a handler found out about the need to place waiting requests.
#[derive(Clone, Copy, PartialEq)]
enum Next {
    /// Something may fit now.
    Dispatch,
    /// Nothing was freed.
    Rest,
}

impl Scheduler {
    /// The first scheduler of a service: no earlier one can have granted anything.
    pub fn new(settings: Settings) -> Self {
        let pool = Pool::new(PoolSettings {
            placement: settings.placement.clone(),
            ramp: settings.ramp.clone(),
        });
        Self {
            view: None,
            profile: Profile::default(),
            pool,
            queue: FairQueue::new(&settings.queue),
            affinity: Affinity::default(),
            attempts: BTreeMap::new(),
            aborts: BTreeSet::new(),
            claim: None,
            reporters: BTreeMap::new(),
            dispatched: Timestamp::ZERO,
            throughput: Throughput::default(),
            output_share: OutputShare::default(),
            holding: Holding::default(),
            lease: None,
            succession: None,
            stood_down: false,
            settings,
        }
    }

    /// A scheduler that follows another one, under a higher epoch. It learns from the entries'
    /// reports what the earlier one granted and waits out what it cannot learn.
    pub fn successor(settings: Settings, start: SuccessorStart) -> Self {
        let succession = Succession::new(start, &settings);
        Self {
            succession: Some(succession),
            ..Self::new(settings)
        }
    }

    /// The epoch that its grants carry.
    pub fn epoch(&self) -> Epoch {
        self.settings.epoch
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Attempts whose end was not reported.
    pub fn running(&self) -> usize {
        self.attempts.len()
    }

    /// Whether it saw a higher epoch and grants nothing any more.
    pub fn has_stood_down(&self) -> bool {
        self.stood_down
    }

    fn may_grant(&self, now: Timestamp) -> bool {
        let leased = self.lease.is_none_or(|until| now < until);
        let open = self.view.as_ref().is_some_and(is_open);
        leased && open && !self.stood_down
    }

    fn on(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) -> Next {
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
            Event::EndpointDown { endpoint } => self.on_lost(now, &endpoint, actions),
            Event::EndpointUp {
                endpoint,
                incarnation,
            } => self.on_found(now, &endpoint, incarnation, actions),
            Event::Report(report) => self.on_report(now, *report, actions),
            Event::Lease { until } => {
                self.lease = self.lease.max(Some(until));
                Next::Dispatch
            }
            Event::Tick => Next::Dispatch,
        }
    }
}

fn is_open(view: &View) -> bool {
    view.data_centre.state == DataCentreState::In
}

impl Policy for Scheduler {
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.queue.advance(now);
        let next = self.on(now, event, &mut actions);
        self.repeat_aborts(now, &mut actions);
        self.shed_late(now, &mut actions);
        let learned = self.advance_succession(now);
        let opened = self.pool.open_due(now);
        let wanted = next == Next::Dispatch || learned || opened;
        if wanted {
            self.dispatched = now;
        }
        if wanted && self.may_grant(now) {
            self.dispatch(now, &mut actions);
        }
        actions
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let abort = self.aborts.first().map(|(at, _)| *at);
        let rebuild = self.succession.as_ref().map(Succession::next_wake);
        let wakes = [abort, rebuild, self.queue_wake(), self.pool.next_opening()];
        wakes.into_iter().flatten().min()
    }
}
