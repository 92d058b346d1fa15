//! Drives the rollouts while this instance leads: answers the reports of gateways with permits, and
//! proposes reservations of exposure and phases to the log.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use log::info;
use log::warn;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_rollout::PermitGrant;
use mimosa_rollout::RolloutNumber;
use mimosa_rollout::RolloutPhase;
use mimosa_rollout::RolloutReport;
use mimosa_rollout::exposure::ExposureSettings;
use mimosa_rollout::trial::EndpointCounts;
use mimosa_rollout::trial::Proposal;
use mimosa_rollout::trial::Trial;
use mimosa_rollout::trial::TrialStart;
use mimosa_state::CommandResult;
use mimosa_state::Operation;
use mimosa_state::rollouts::PhaseChange;
use mimosa_state::rollouts::Rollout;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock;
use crate::replicator::Replicator;
use crate::routing::metrics::Metrics;
use crate::routing::published::PublishedList;
use crate::shared::SharedState;

mod elapsed;

use self::elapsed::Elapsed;

/// Interval of the evaluation of all rollouts.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The rollouts of the leader.
pub struct RolloutDriver {
    replicator: Arc<dyn Replicator>,
    shared: Arc<SharedState>,
    endpoints: watch::Receiver<Arc<PublishedList>>,
    exposure: ExposureSettings,
    metrics: Metrics,
    started: std::time::Instant,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// The running rollouts, while this instance leads.
    trials: HashMap<ServiceId, Trial>,
    elapsed: Elapsed,
}

/// A rollout of one service in the log.
struct LoggedRollout {
    service: ServiceId,
    rollout: Rollout,
}

/// What the endpoint list tells about one service.
#[derive(Default)]
struct ListedVersions {
    counts: EndpointCounts,
    /// All versions but the new one.
    others: Vec<ServiceVersion>,
    is_model: bool,
}

impl RolloutDriver {
    /// Creates a driver, which does nothing until this instance leads.
    pub fn new(
        replicator: Arc<dyn Replicator>,
        shared: Arc<SharedState>,
        endpoints: watch::Receiver<Arc<PublishedList>>,
        exposure: ExposureSettings,
        metrics: Metrics,
    ) -> Self {
        Self {
            replicator,
            shared,
            endpoints,
            exposure,
            metrics,
            started: std::time::Instant::now(),
            inner: Mutex::default(),
        }
    }

    /// Evaluates the rollouts until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        loop {
            sleep(POLL_INTERVAL).await;
            for (service, number, proposal) in self.poll() {
                let driver = Arc::clone(&self);
                // A proposal waits for a quorum, which must not delay other rollouts.
                tokio::spawn(async move { driver.propose(service, number, proposal).await });
            }
        }
    }

    /// Handles a report of a gateway. Returns the permits to send to it, if any.
    pub fn on_report(
        &self,
        gateway: &InstanceId,
        incarnation: Incarnation,
        report: &RolloutReport,
    ) -> Option<PermitGrant> {
        let now = self.now();
        let mut inner = self.lock();
        let trial = inner.trials.get_mut(&report.service)?;
        trial.on_report(now, gateway, incarnation, report)
    }

    /// Takes a permit for a request that the leader places itself. Returns the rollout, for
    /// [`Self::return_permit`], or `None` if the request must go to an old version.
    pub fn take_permit(&self, service: &ServiceId) -> Option<RolloutNumber> {
        let now = self.now();
        let mut inner = self.lock();
        let trial = inner.trials.get_mut(service)?;
        trial.take_own(now).then(|| trial.number())
    }

    /// Returns a permit whose request was never sent to an endpoint.
    pub fn return_permit(&self, service: &ServiceId, number: RolloutNumber) {
        let mut inner = self.lock();
        let trial = inner.trials.get_mut(service);
        if let Some(trial) = trial.filter(|trial| trial.number() == number) {
            trial.return_own();
        }
    }

    /// Number of endpoints of the new version to which requests under test go, the first in the order
    /// of their identifiers.
    pub fn endpoints_in_test(&self, service: &ServiceId) -> u32 {
        let now = self.now();
        let inner = self.lock();
        let trial = inner.trials.get(service);
        trial.map_or(0, |trial| trial.endpoints_in_test(now))
    }

    /// Updates the trials from the log and the endpoint list, and collects their proposals.
    fn poll(&self) -> Vec<(ServiceId, RolloutNumber, Proposal)> {
        let now = self.now();
        let status = self.replicator.status();
        let (logged, log_time) = self.shared.read(|machine| {
            let running = machine.rollouts().iter();
            let running = running.filter(|(_, rollout)| rollout.phase.is_running());
            let logged: Vec<LoggedRollout> = running
                .map(|(service, rollout)| LoggedRollout {
                    service: service.clone(),
                    rollout: rollout.clone(),
                })
                .collect();
            (logged, machine.now())
        });
        let mut inner = self.lock();
        inner.elapsed.observe(
            now,
            log_time,
            clock::now(),
            logged.iter().map(|logged| &logged.rollout),
        );
        // A new leader has applied all entries of its predecessors once its first own one is committed:
        // the status is published after the entries that it counts are applied.
        let leads = status.role == "leader"
            && status.leads_from > 0
            && status.committed >= status.leads_from;
        if !leads {
            // A trial is kept for its whole term: gateways count permits by term, so a second account
            // of one term would take the counters of the first for its own.
            inner.trials.retain(|_, trial| trial.term() == status.term);
            self.metrics.clear_rollouts();
            return Vec::new();
        }
        let is_running = |service: &ServiceId, trial: &Trial| {
            logged.iter().any(|logged| {
                logged.service == *service
                    && logged.rollout.number == trial.number()
                    && trial.term() == status.term
            })
        };
        inner
            .trials
            .retain(|service, trial| is_running(service, trial));
        let mut proposals = Vec::new();
        for each in &logged {
            let LoggedRollout { service, rollout } = each;
            let listed = self.listed_versions(service, &rollout.to);
            let elapsed = inner.elapsed.of(now, rollout.number);
            let trial = inner.trials.entry(service.clone()).or_insert_with(|| {
                self.start_trial(now, each, elapsed, status.term, listed.is_model)
            });
            trial.set_endpoints(listed.counts);
            trial.observe(now, rollout.phase, rollout.reserved);
            if let Some(proposal) = trial.poll(now) {
                if let Proposal::Enter { phase, reason } = &proposal {
                    log_decision(service, rollout, trial, *phase, reason, elapsed);
                }
                proposals.push((service.clone(), rollout.number, proposal));
            }
            self.metrics.set_rollout(service, trial);
        }
        proposals
    }

    fn start_trial(
        &self,
        now: Timestamp,
        logged: &LoggedRollout,
        elapsed: Duration,
        term: u64,
        is_model: bool,
    ) -> Trial {
        let LoggedRollout { service, rollout } = logged;
        info!(
            "service={service} rollout={} to={} phase={} elapsed_ms={} duration_ms={} reserved={} \
             term={term} trial=started",
            rollout.number,
            rollout.to,
            rollout.phase,
            elapsed.as_millis(),
            rollout.duration.as_millis(),
            rollout.reserved
        );
        Trial::new(
            now,
            TrialStart {
                service: service.clone(),
                number: rollout.number,
                term,
                phase: rollout.phase,
                elapsed,
                duration: rollout.duration,
                reserved: rollout.reserved,
                // Without a reservation no leader has granted a permit.
                is_successor: rollout.reserved > 0,
                is_model,
                exposure: self.exposure,
            },
        )
    }

    fn listed_versions(&self, service: &ServiceId, to: &ServiceVersion) -> ListedVersions {
        let published = Arc::clone(&self.endpoints.borrow());
        let mut listed = ListedVersions::default();
        let endpoints = published.list.endpoints.iter();
        for endpoint in endpoints.filter(|endpoint| endpoint.service == *service) {
            listed.is_model |= endpoint.role != EndpointRole::Plain;
            let is_active = endpoint.state == EndpointState::Active;
            match &endpoint.version {
                Some(version) if version == to => {
                    listed.counts.new += u32::from(is_active);
                }
                Some(version) => {
                    listed.counts.old += u32::from(is_active);
                    if !listed.others.contains(version) {
                        listed.others.push(version.clone());
                    }
                }
                None => listed.counts.old += u32::from(is_active),
            }
        }
        listed
    }

    async fn propose(&self, service: ServiceId, number: RolloutNumber, proposal: Proposal) {
        match proposal {
            Proposal::Reserve { expected, total } => {
                let operation = Operation::ReserveExposure {
                    service: service.clone(),
                    number,
                    expected,
                    total,
                };
                let result = self.replicator.propose(operation).await;
                let (accepted, reserved) = match result {
                    Ok(CommandResult::ExposureReserved { accepted, reserved }) => {
                        (accepted, reserved)
                    }
                    Ok(other) => {
                        warn!("unexpected result of a reservation of exposure: {other:?}");
                        (false, expected)
                    }
                    Err(e) => {
                        info!(
                            "service={service} rollout={number} reservation=unconfirmed reason=\"{e}\""
                        );
                        (false, expected)
                    }
                };
                let mut inner = self.lock();
                let trial = inner.trials.get_mut(&service);
                if let Some(trial) = trial.filter(|trial| trial.number() == number) {
                    trial.finish_reservation(accepted, reserved);
                }
            }
            Proposal::Enter { phase, reason } => {
                let from = match phase {
                    RolloutPhase::Moving => {
                        let to = self.version_to(&service);
                        to.map_or_else(Vec::new, |to| self.listed_versions(&service, &to).others)
                    }
                    _ => Vec::new(),
                };
                let operation = Operation::ChangeRollout {
                    service: service.clone(),
                    number,
                    change: PhaseChange {
                        phase,
                        reason,
                        from,
                    },
                };
                let result = self.replicator.propose(operation).await;
                if matches!(result, Ok(CommandResult::RolloutChanged { changed: true })) {
                    self.metrics.count_rollout_phase(phase);
                    return;
                }
                warn!("service={service} rollout={number} phase={phase} outcome=unconfirmed");
                let mut inner = self.lock();
                let trial = inner.trials.get_mut(&service);
                if let Some(trial) = trial.filter(|trial| trial.number() == number) {
                    trial.phase_not_stored();
                }
            }
        }
    }

    fn version_to(&self, service: &ServiceId) -> Option<ServiceVersion> {
        self.shared.read(|machine| {
            let rollout = machine.rollouts().get(service);
            rollout.map(|rollout| rollout.to.clone())
        })
    }

    fn now(&self) -> Timestamp {
        // Arbitrary origin: only differences matter.
        Timestamp::from_secs(1_000) + self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_decision(
    service: &ServiceId,
    rollout: &Rollout,
    trial: &Trial,
    phase: RolloutPhase,
    reason: &str,
    elapsed: Duration,
) {
    let (new, old) = (
        trial.comparison().new_counts(),
        trial.comparison().old_counts(),
    );
    let account = trial.account();
    info!(
        "service={service} rollout={} to={} decision={phase} reason=\"{reason}\" elapsed_ms={} \
         new_complete={} new_failed={} new_refused={} old_complete={} old_failed={} old_refused={} \
         requests={} exposure={} limit={}",
        rollout.number,
        rollout.to,
        elapsed.as_millis(),
        new.complete,
        new.failed,
        new.refused,
        old.complete,
        old.failed,
        old.refused,
        account.requests(),
        account.committed(),
        account.limit()
    );
}
