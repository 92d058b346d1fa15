//! Metrics of a control instance for gateways.

use std::sync::Arc;

use mimosa_protocol::ServiceId;
use mimosa_protocol::Tokens;
use mimosa_rollout::RolloutPhase;
use mimosa_rollout::trial::Trial;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

/// The metrics of a control instance. Clones share the values.
#[derive(Clone)]
pub struct Metrics(Arc<Inner>);

struct Inner {
    registry: Registry,
    decisions: IntCounterVec,
    requests: IntGaugeVec,
    term: IntGauge,
    committed: IntGauge,
    leads: IntGauge,
    gateways: IntGauge,
    waiting_accounts: IntGauge,
    returned: IntGauge,
    quarantined: IntGauge,
    slow_endpoints: IntGauge,
    may_order: IntGauge,
    quota_loans: IntCounterVec,
    sync_time: Histogram,
    rollout_responses: IntGaugeVec,
    rollout_exposure: IntGaugeVec,
    rollout_phases: IntCounterVec,
}

/// Upper bounds of the sync time buckets: from a write cache to a disk that hangs.
const SYNC_BUCKETS_SECONDS: [f64; 10] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.1, 0.5, 2.0, 10.0,
];

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let decisions = IntCounterVec::new(
            Opts::new(
                "mimosa_control_decisions_total",
                "Decisions of the schedulers, by outcome",
            ),
            &["outcome"],
        );
        let requests = IntGaugeVec::new(
            Opts::new(
                "mimosa_control_requests",
                "Requests of models known to the schedulers, by state",
            ),
            &["state"],
        );
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            let added = registry.register(Box::new(gauge.clone()));
            added.expect("each metric name is registered once");
            gauge
        };
        let term = gauge("mimosa_control_term", "Term of the replicated log");
        let committed = gauge(
            "mimosa_control_committed",
            "Newest committed entry of the replicated log",
        );
        let leads = gauge("mimosa_control_leads", "1 while this instance leads");
        let gateways = gauge("mimosa_control_gateways", "Gateways that are connected");
        let waiting_accounts = gauge(
            "mimosa_control_waiting_accounts",
            "Accounts with requests of models that wait, with fair shares",
        );
        let returned = gauge(
            "mimosa_control_returned_clients",
            "Clients that returned when this leader had told them to, with fair shares",
        );
        let quarantined = gauge(
            "mimosa_control_quarantined",
            "Prompt parts and requests that the leader quarantines as they crash endpoints",
        );
        let slow_endpoints = gauge(
            "mimosa_control_slow_endpoints",
            "Plain endpoints whose work takes at least 1.5 times as long as the mean of their service",
        );
        let may_order = gauge(
            "mimosa_control_may_order",
            "1 while this instance leads and every earlier leader's lease on orders has ended",
        );
        let quota_loans = IntCounterVec::new(
            Opts::new(
                "mimosa_control_quota_slices_total",
                "Slices of quotas that gateways asked for, by how much they got",
            ),
            &["got"],
        );
        let quota_loans = quota_loans.expect("the name is valid");
        let sync_time = Histogram::with_opts(
            HistogramOpts::new(
                "mimosa_control_sync_seconds",
                "Time of a sync of the replicated log",
            )
            .buckets(SYNC_BUCKETS_SECONDS.to_vec()),
        );
        let sync_time = sync_time.expect("the name is valid");
        let rollout_responses = IntGaugeVec::new(
            Opts::new(
                "mimosa_control_rollout_responses",
                "Responses during running rollouts, by service, version and outcome",
            ),
            &["service", "version", "outcome"],
        );
        let rollout_responses = rollout_responses.expect("the name is valid");
        let rollout_exposure = IntGaugeVec::new(
            Opts::new(
                "mimosa_control_rollout_exposure",
                "Requests to the new version during running rollouts, by service: used, and the limit",
            ),
            &["service", "kind"],
        );
        let rollout_exposure = rollout_exposure.expect("the name is valid");
        let rollout_phases = IntCounterVec::new(
            Opts::new(
                "mimosa_control_rollout_phases_total",
                "Phases that this leader made rollouts enter",
            ),
            &["phase"],
        );
        let rollout_phases = rollout_phases.expect("the name is valid");
        let decisions = decisions.expect("the name is valid");
        let requests = requests.expect("the name is valid");
        for collector in [
            Box::new(decisions.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(requests.clone()),
            Box::new(quota_loans.clone()),
            Box::new(sync_time.clone()),
            Box::new(rollout_responses.clone()),
            Box::new(rollout_exposure.clone()),
            Box::new(rollout_phases.clone()),
        ] {
            registry
                .register(collector)
                .expect("each metric name is registered once");
        }
        Self(Arc::new(Inner {
            registry,
            decisions,
            requests,
            term,
            committed,
            leads,
            gateways,
            waiting_accounts,
            returned,
            quarantined,
            slow_endpoints,
            may_order,
            quota_loans,
            sync_time,
            rollout_responses,
            rollout_exposure,
            rollout_phases,
        }))
    }
}

impl Metrics {
    /// The registry with all of these metrics.
    pub fn registry(&self) -> Registry {
        self.0.registry.clone()
    }

    /// The histogram of the time of each sync of the replicated log, in seconds.
    pub(crate) fn sync_time(&self) -> Histogram {
        self.0.sync_time.clone()
    }

    pub(crate) fn set_may_order(&self, may_order: bool) {
        self.0.may_order.set(i64::from(may_order));
    }

    pub(crate) fn record_quota_loan(&self, requested: Tokens, granted: Tokens) {
        let got = match granted {
            Tokens::ZERO => "nothing",
            granted if granted < requested => "less",
            _ => "all",
        };
        self.0.quota_loans.with_label_values(&[got]).inc();
    }

    pub(crate) fn count_decision(&self, outcome: &str) {
        self.0.decisions.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn set_requests(&self, state: &str, count: usize) {
        let gauge = self.0.requests.with_label_values(&[state]);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(crate) fn set_replica(&self, term: u64, committed: u64, leads: bool) {
        self.0.term.set(i64::try_from(term).unwrap_or(i64::MAX));
        let committed = i64::try_from(committed).unwrap_or(i64::MAX);
        self.0.committed.set(committed);
        self.0.leads.set(i64::from(leads));
    }

    pub(crate) fn set_slow_endpoints(&self, count: usize) {
        self.0
            .slow_endpoints
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(crate) fn set_shares(&self, waiting_accounts: usize, returned: u64) {
        let waiting = i64::try_from(waiting_accounts).unwrap_or(i64::MAX);
        self.0.waiting_accounts.set(waiting);
        let returned = i64::try_from(returned).unwrap_or(i64::MAX);
        self.0.returned.set(returned);
    }

    pub(crate) fn set_quarantined(&self, count: usize) {
        self.0
            .quarantined
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the figures of a running rollout.
    pub(crate) fn set_rollout(&self, service: &ServiceId, trial: &Trial) {
        let service = service.as_str();
        let comparison = trial.comparison();
        for (version, counts) in [
            ("new", comparison.new_counts()),
            ("old", comparison.old_counts()),
        ] {
            for (outcome, count) in [
                ("complete", counts.complete),
                ("failed", counts.failed),
                ("refused", counts.refused),
            ] {
                let labels = [service, version, outcome];
                let gauge = self.0.rollout_responses.with_label_values(&labels);
                gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
            }
        }
        let account = trial.account();
        for (kind, value) in [("used", account.committed()), ("limit", account.limit())] {
            let gauge = self.0.rollout_exposure.with_label_values(&[service, kind]);
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
    }

    /// Removes the figures of all rollouts, while this instance does not lead.
    pub(crate) fn clear_rollouts(&self) {
        self.0.rollout_responses.reset();
        self.0.rollout_exposure.reset();
    }

    pub(crate) fn count_rollout_phase(&self, phase: RolloutPhase) {
        let phase = phase.to_string();
        let counter = self.0.rollout_phases.with_label_values(&[phase.as_str()]);
        counter.inc();
    }

    pub(crate) fn set_gateways(&self, count: usize) {
        self.0
            .gateways
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
