//! What the attempts of one request have come to so far.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;

use mimosa_hold::retry::RetryBudget;
use mimosa_hold::retry::RetrySettings;
use mimosa_protocol::EndpointId;
use mimosa_protocol::ExecutionStatus;
use mimosa_protocol::Refusal;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;

use crate::attempt::Failed;
use crate::place::Placer;
use crate::shared::Shared;

/// The retry budgets of the services at this entry.
#[derive(Debug, Default)]
pub(crate) struct Budgets(Mutex<HashMap<ServiceId, RetryBudget>>);

impl Budgets {
    /// Counts a request that was answered.
    pub(crate) fn succeeded(&self, now: Timestamp, service: &ServiceId) {
        self.with(now, service, RetryBudget::deposit);
    }

    /// Takes one retry if there is one.
    fn take(&self, now: Timestamp, service: &ServiceId) -> bool {
        self.with(now, service, |budget| budget.try_withdraw(now))
    }

    fn with<T>(
        &self,
        now: Timestamp,
        service: &ServiceId,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.0.lock().expect("no holder of this lock panics");
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(now, RetrySettings::default()));
        change(budget)
    }
}

/// What the attempts of one request have come to so far.
#[derive(Debug)]
pub(crate) struct Attempts {
    number: u32,
    ran: ExecutionStatus,
    failed: Vec<EndpointId>,
    busy: Option<EndpointId>,
    last: Option<Refusal>,
}

impl Attempts {
    /// Before the first attempt.
    pub(crate) const fn new() -> Self {
        Self {
            number: 1,
            ran: ExecutionStatus::No,
            failed: Vec::new(),
            busy: None,
            last: None,
        }
    }

    /// The number of the attempt that comes next.
    pub(crate) const fn number(&self) -> u32 {
        self.number
    }

    /// Endpoints that should not be tried next.
    pub(crate) fn avoid(&self) -> Vec<EndpointId> {
        self.failed.iter().chain(&self.busy).cloned().collect()
    }

    /// Notes a failed attempt. Returns whether another one may follow.
    pub(crate) fn may_follow(
        &mut self,
        failed: &Failed,
        placer: &dyn Placer,
        shared: &Shared,
        service: &ServiceId,
    ) -> bool {
        let failure = failed.failure;
        self.ran = self.ran.max(failure.ran);
        self.last = Some(Refusal {
            reason: failure.reason,
            ran: self.ran,
            retry_after: None,
        });
        self.number += 1;
        match failure.ran {
            ExecutionStatus::No if !failure.lost => self.busy = Some(failed.endpoint.clone()),
            _ => self.failed.push(failed.endpoint.clone()),
        }
        let most = RetrySettings::default().max_attempts;
        let allowed = self.number <= most && self.leaves_a_choice(placer);
        allowed && shared.budgets.take(shared.now(), service)
    }

    /// A refusal by the queue tells what earlier attempts did.
    pub(crate) fn refusal(&self, refusal: Refusal) -> Refusal {
        Refusal {
            ran: refusal.ran.max(self.ran),
            ..refusal
        }
    }

    /// The refusal after the last attempt.
    pub(crate) fn last(&self) -> Refusal {
        self.last.clone().expect("an attempt was noted")
    }

    /// Whether an endpoint of each role is left; a busy one may be tried again if there is no other.
    fn leaves_a_choice(&mut self, placer: &dyn Placer) -> bool {
        let mut left: BTreeMap<EndpointRole, usize> = BTreeMap::new();
        for endpoint in placer.endpoints() {
            let count = left.entry(endpoint.role).or_default();
            *count += usize::from(!self.failed.contains(&endpoint.id));
        }
        if left.values().any(|count| *count <= 1) {
            self.busy = None;
        }
        !left.is_empty() && left.values().all(|count| *count > 0)
    }
}
