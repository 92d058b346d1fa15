//! Retries of a request: its failed attempts and the retry budget of its service.

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

use crate::attempt::AttemptFailure;
use crate::place::RequestQueue;
use crate::shared::Shared;

/// The retry budget of each service at this entry.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets(Mutex<HashMap<ServiceId, RetryBudget>>);

impl RetryBudgets {
    /// Deposits a fraction of a retry for a successful request.
    pub(crate) fn record_success(&self, now: Timestamp, service: &ServiceId) {
        self.update(now, service, RetryBudget::deposit);
    }

    /// Takes one retry from the budget. Returns whether there was one.
    fn try_withdraw(&self, now: Timestamp, service: &ServiceId) -> bool {
        self.update(now, service, |budget| budget.try_withdraw(now))
    }

    fn update<T>(
        &self,
        now: Timestamp,
        service: &ServiceId,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self.0.lock().expect("no holder of this lock panics");
        let budget = retry_budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(now, RetrySettings::default()));
        change(budget)
    }
}

/// The failed attempts of one request.
#[derive(Debug)]
pub(crate) struct AttemptHistory {
    number: u32,
    ran: ExecutionStatus,
    /// Endpoints that are down or may have executed the request.
    failed: Vec<EndpointId>,
    last_declined: Option<EndpointId>,
    last_refusal: Option<Refusal>,
}

impl AttemptHistory {
    pub(crate) const fn new() -> Self {
        Self {
            number: 1,
            ran: ExecutionStatus::No,
            failed: Vec::new(),
            last_declined: None,
            last_refusal: None,
        }
    }

    /// The number of the next attempt, from 1.
    pub(crate) const fn number(&self) -> u32 {
        self.number
    }

    /// Endpoints to avoid at the next attempt.
    pub(crate) fn avoid(&self) -> Vec<EndpointId> {
        self.failed
            .iter()
            .chain(&self.last_declined)
            .cloned()
            .collect()
    }

    /// Records a failed attempt. Returns whether the request may be retried: the maximum number of
    /// attempts is not reached, an endpoint is left and the service has a retry in its budget.
    pub(crate) fn record_failure(
        &mut self,
        failed: &AttemptFailure,
        queue: &dyn RequestQueue,
        shared: &Shared,
        service: &ServiceId,
    ) -> bool {
        let failure = failed.failure;
        self.ran = self.ran.max(failure.ran);
        self.last_refusal = Some(Refusal {
            reason: failure.reason,
            ran: self.ran,
            retry_after: None,
        });
        self.number += 1;
        match failure.ran {
            ExecutionStatus::No if !failure.endpoint_down => {
                self.last_declined = Some(failed.endpoint.clone())
            }
            _ => self.failed.push(failed.endpoint.clone()),
        }
        let max_attempts = RetrySettings::default().max_attempts;
        let allowed = self.number <= max_attempts && self.has_endpoint_left(queue);
        allowed && shared.retry_budgets.try_withdraw(shared.now(), service)
    }

    /// Makes a refusal state that the request may have run, if an earlier attempt may have run it.
    pub(crate) fn merge_into(&self, refusal: Refusal) -> Refusal {
        Refusal {
            ran: refusal.ran.max(self.ran),
            ..refusal
        }
    }

    /// The refusal of a request that is not retried, with the reason of the last failure.
    pub(crate) fn final_refusal(&self) -> Refusal {
        self.last_refusal
            .clone()
            .expect("a failed attempt was recorded")
    }

    /// Whether each role has an endpoint that has not failed. The endpoint that declined last is no
    /// longer avoided if it may be the only one left.
    fn has_endpoint_left(&mut self, queue: &dyn RequestQueue) -> bool {
        let mut remaining: BTreeMap<EndpointRole, usize> = BTreeMap::new();
        for endpoint in queue.endpoints() {
            let count = remaining.entry(endpoint.role).or_default();
            *count += usize::from(!self.failed.contains(&endpoint.id));
        }
        if remaining.values().any(|count| *count <= 1) {
            self.last_declined = None;
        }
        !remaining.is_empty() && remaining.values().all(|count| *count > 0)
    }
}
