//! Runs the scheduler of a queue while this entry holds its role.

use std::collections::HashMap;
use std::time::Duration;

use mimosa_protocol::Epoch;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_schedule::Action;
use mimosa_schedule::Event;
use mimosa_schedule::Policy;
use mimosa_schedule::Scheduler;
use mimosa_schedule::Settings;
use mimosa_schedule::settings::PlacementSettings;
use mimosa_schedule::settings::QueueSettings;
use mimosa_schedule::succession::SuccessorStart;

use crate::model_request::PREFIX_BLOCK_TOKENS;
use crate::peers::beat::ROLE_VALIDITY;

/// Part, in thousandths, of the time before its latest start that a request may be expected to
/// wait. Less than the whole, so that a refused request can still meet its target in another data
/// centre.
const WAIT_PERMILLE: u32 = 500;

/// The scheduler of a queue, and the entries that own the requests in it.
pub(crate) struct LocalScheduler {
    policy: Box<dyn Policy>,
    epoch: Epoch,
    /// Owners of the requests of other entries.
    owners: HashMap<RequestId, InstanceId>,
}

/// A decision with the entry that owns the request; `None` if this entry owns it.
pub(crate) type Decision = (Option<InstanceId>, Action);

impl LocalScheduler {
    /// Takes over from an earlier scheduler whose lease has expired. No endpoint gets a request
    /// until the `expected` entries have reported what they hold there, or it can no longer be in
    /// use.
    pub(crate) fn take_over(now: Timestamp, epoch: Epoch, expected: Vec<InstanceId>) -> Self {
        let start = SuccessorStart {
            now,
            expected,
            previous_lease_until: now,
            clock_skew: Duration::ZERO,
        };
        let placement = PlacementSettings {
            prefix_tokens: PREFIX_BLOCK_TOKENS,
            ..PlacementSettings::default()
        };
        let queue = QueueSettings {
            wait_permille: WAIT_PERMILLE,
            ..QueueSettings::default()
        };
        let settings = Settings {
            epoch,
            queue,
            placement,
            ..Settings::default()
        };
        Self {
            policy: Box::new(Scheduler::successor(settings, start)),
            epoch,
            owners: HashMap::new(),
        }
    }

    pub(crate) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(crate) fn next_wake(&self) -> Option<Timestamp> {
        self.policy.next_wake()
    }

    /// Extends the scheduler's lease to [`ROLE_VALIDITY`] from now. Without a renewal in that time
    /// it grants nothing.
    pub(crate) fn renew_lease(&mut self, now: Timestamp) -> Vec<Decision> {
        let until = now + ROLE_VALIDITY;
        self.handle(now, Event::Lease { until })
    }

    /// Handles an event from another entry, which owns the requests that the event introduces.
    pub(crate) fn handle_for(
        &mut self,
        now: Timestamp,
        owner: &InstanceId,
        event: Event,
    ) -> Vec<Decision> {
        for request in requests_in(&event) {
            self.owners.insert(request, owner.clone());
        }
        self.handle(now, event)
    }

    /// Handles an event and returns the resulting decisions in order.
    pub(crate) fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Decision> {
        let ended = match &event {
            Event::Ended { request, .. } => Some(*request),
            _ => None,
        };
        let actions = self.policy.handle(now, event);
        let decisions = actions
            .into_iter()
            .map(|action| self.with_owner(action))
            .collect();
        if let Some(request) = ended {
            self.owners.remove(&request);
        }
        decisions
    }

    fn with_owner(&mut self, action: Action) -> Decision {
        let owner = match &action {
            Action::Start(grant) => self.owners.get(&grant.request).cloned(),
            Action::Abort { request } => self.owners.get(request).cloned(),
            Action::Refuse { request, .. } => self.owners.remove(request),
        };
        (owner, action)
    }
}

/// Requests that an event from another entry introduces.
fn requests_in(event: &Event) -> Vec<RequestId> {
    match event {
        Event::Submit(submission) => vec![submission.request],
        Event::Report(report) => {
            let queued = report.queued.iter().map(|submission| submission.request);
            let held = report.attempts.iter().map(|held| held.submission.request);
            queued.chain(held).collect()
        }
        _ => Vec::new(),
    }
}
