//! The scheduler of a queue, while it runs at this entry.

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

use crate::call::PREFIX_TOKENS;
use crate::peers::beat::ROLE_STEP;

/// Part, in thousandths, of its time that a request is kept waiting: a refused one goes to another
/// data centre while it still can be in time there.
const WAIT_PERMILLE: u32 = 500;

/// The scheduler of a queue, while it runs at this entry.
pub(crate) struct Desk {
    policy: Box<dyn Policy>,
    epoch: Epoch,
    owners: HashMap<RequestId, InstanceId>,
}

/// A decision and whose request it is about; nothing for a request of this entry.
pub(crate) type Decision = (Option<InstanceId>, Action);

impl Desk {
    /// Takes over from an earlier scheduler, whose lease has ended.
    pub(crate) fn open(now: Timestamp, epoch: Epoch, expected: Vec<InstanceId>) -> Self {
        let start = SuccessorStart {
            now,
            expected,
            previous_lease_until: now,
            clock_skew: Duration::ZERO,
        };
        let placement = PlacementSettings {
            prefix_tokens: PREFIX_TOKENS,
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

    /// The role is still held.
    pub(crate) fn prolong(&mut self, now: Timestamp) -> Vec<Decision> {
        let until = now + ROLE_STEP;
        self.decide(now, Event::Lease { until })
    }

    /// Takes an event about requests of another entry.
    pub(crate) fn decide_for(
        &mut self,
        now: Timestamp,
        owner: &InstanceId,
        event: Event,
    ) -> Vec<Decision> {
        for request in requests_in(&event) {
            self.owners.insert(request, owner.clone());
        }
        self.decide(now, event)
    }

    /// Takes an event.
    pub(crate) fn decide(&mut self, now: Timestamp, event: Event) -> Vec<Decision> {
        let ended = match &event {
            Event::Ended { request, .. } => Some(*request),
            _ => None,
        };
        let actions = self.policy.handle(now, event);
        let decisions = actions
            .into_iter()
            .map(|action| self.address(action))
            .collect();
        if let Some(request) = ended {
            self.owners.remove(&request);
        }
        decisions
    }

    fn address(&mut self, action: Action) -> Decision {
        let owner = match &action {
            Action::Start(grant) => self.owners.get(&grant.request).cloned(),
            Action::Abort { request } => self.owners.get(request).cloned(),
            Action::Refuse { request, .. } => self.owners.remove(request),
        };
        (owner, action)
    }
}

/// Requests that an event of another entry brings.
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
