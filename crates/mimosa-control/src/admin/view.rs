//! JSON responses to operators. None of them contains the digest of a key.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Configuration;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::KeyId;
use mimosa_protocol::OperatorId;
use mimosa_protocol::OrderNumber;
use mimosa_protocol::Revision;
use mimosa_protocol::ServiceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::DataCentre;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::secret::Secret;
use mimosa_rollout::RolloutNumber;
use mimosa_rollout::RolloutPhase;
use mimosa_state::Intent;
use mimosa_state::Plan;
use mimosa_state::PlanId;
use mimosa_state::cost::Cost;
use mimosa_state::engine::EngineOrder;
use mimosa_state::intent::AccountSpec;
use mimosa_state::intent::EndpointSpec;
use mimosa_state::intent::KeySpec;
use mimosa_state::intent::ServiceSpec;
use mimosa_state::plan::ChangeLine;
use mimosa_state::plan::Confirmation;
use mimosa_state::plan::Undo;
use mimosa_state::rollouts::Rollout;
use serde::Serialize;

use crate::admin::Admin;
use crate::entry_registry::EntryReport;
use crate::replicator::ReplicaStatus;

/// A plan, as JSON. Without the digest of a key that the plan creates.
#[derive(Debug, Serialize)]
pub struct PlanView {
    plan: PlanId,
    operator: OperatorId,
    number: OrderNumber,
    at: Timestamp,
    revision: Revision,
    intent: Intent,
    changes: Vec<ChangeLine>,
    cost: Cost,
    undo: Undo,
    /// The secret of the key that the plan creates; in the first response only.
    secret: Option<String>,
}

/// The latest rollout of a service, as JSON.
#[derive(Debug, Serialize)]
pub struct RolloutStatusView {
    service: ServiceId,
    rollout: RolloutNumber,
    to: ServiceVersion,
    from: Vec<ServiceVersion>,
    phase: RolloutPhase,
    reason: String,
    started: Timestamp,
    changed: Timestamp,
    duration_ms: u64,
    /// Requests to the new version for which permits may have been granted.
    reserved: u64,
}

impl RolloutStatusView {
    /// The view of a rollout of `service`.
    pub fn new(service: &ServiceId, rollout: &Rollout) -> Self {
        Self {
            service: service.clone(),
            rollout: rollout.number,
            to: rollout.to.clone(),
            from: rollout.from.clone(),
            phase: rollout.phase,
            reason: rollout.reason.clone(),
            started: rollout.started,
            changed: rollout.changed,
            duration_ms: u64::try_from(rollout.duration.as_millis()).unwrap_or(u64::MAX),
            reserved: rollout.reserved,
        }
    }
}

/// A confirmed plan and where its revision is in force.
#[derive(Debug, Serialize)]
pub struct ConfirmView {
    plan: PlanId,
    revision: Revision,
    at: Timestamp,
    in_force: InForceView,
}

/// Where a revision is in force.
#[derive(Debug, Serialize)]
pub struct InForceView {
    /// Connected entries where it is in force.
    at: Vec<InstanceId>,
    /// Connected entries where it is not in force yet.
    not_yet: Vec<InstanceId>,
    /// Disconnected entries. They stop accepting keys, except those of accounts that serve when cut
    /// off.
    unreachable: Vec<InstanceId>,
    /// The time from which no entry accepts a key that the revision withdraws, except keys of
    /// accounts that serve when cut off, in a data centre that is cut off.
    everywhere_by: Timestamp,
}

/// The status of the cluster, seen from one instance.
#[derive(Debug, Serialize)]
pub struct StatusView {
    instance: InstanceId,
    cluster: String,
    /// Whether this instance proved for this response that it is current.
    current: bool,
    revision: Revision,
    applied: u64,
    replica: ReplicaStatus,
    in_force: InForceView,
    entries: Vec<EntryView>,
    pending_plans: usize,
    audit_last: u64,
    ledger_calls: usize,
    ledger_running: usize,
    engine_orders: Vec<EngineOrder>,
}

/// What is known of one entry, by the latest report of any control instance.
#[derive(Debug, Serialize)]
pub struct EntryView {
    instance: InstanceId,
    incarnation: Incarnation,
    data_centre: DataCentreId,
    connected: bool,
    revision: Revision,
    heard_ms_ago: u64,
}

/// The configuration, as JSON. Withdrawn keys are included.
#[derive(Debug, Serialize)]
pub struct ConfigurationView {
    revision: Revision,
    accounts: Vec<AccountSpec>,
    keys: Vec<KeyView>,
    services: Vec<ServiceSpec>,
    data_centres: Vec<DataCentre>,
    endpoints: Vec<EndpointView>,
}

/// An API key without its digest.
#[derive(Debug, Serialize)]
pub struct KeyView {
    key: KeyId,
    account: AccountId,
    withdrawn: Option<Timestamp>,
}

/// An endpoint and whether it accepts new requests.
#[derive(Debug, Serialize)]
pub struct EndpointView {
    #[serde(flatten)]
    endpoint: EndpointSpec,
    state: EndpointState,
}

impl PlanView {
    /// Builds the view; `secret` is set in the first response to the order only.
    pub fn new(plan: &Plan, secret: Option<&Secret>) -> Self {
        Self {
            plan: plan.id,
            operator: plan.operator.clone(),
            number: plan.number,
            at: plan.at,
            revision: plan.revision,
            intent: redact_key_digest(&plan.intent),
            changes: plan.lines.clone(),
            cost: plan.cost.clone(),
            undo: plan.undo.clone(),
            secret: secret.map(|secret| secret.expose_secret().to_owned()),
        }
    }
}

impl ConfirmView {
    /// Builds the view; `max_propagation_time` bounds how long the revision can be unknown to an
    /// entry.
    pub fn new(
        confirmation: &Confirmation,
        reports: &BTreeMap<InstanceId, EntryReport>,
        max_propagation_time: Duration,
    ) -> Self {
        let everywhere_by = confirmation.at + max_propagation_time;
        Self {
            plan: confirmation.plan,
            revision: confirmation.revision,
            at: confirmation.at,
            in_force: InForceView::new(confirmation.revision, reports, everywhere_by),
        }
    }
}

impl InForceView {
    fn new(
        revision: Revision,
        reports: &BTreeMap<InstanceId, EntryReport>,
        everywhere_by: Timestamp,
    ) -> Self {
        let instances_where = |matches: &dyn Fn(&EntryReport) -> bool| {
            reports
                .iter()
                .filter(|(_, report)| matches(report))
                .map(|(instance, _)| instance.clone())
                .collect()
        };
        let is_in_force = |report: &EntryReport| report.revision >= revision;
        Self {
            at: instances_where(&|report| report.connected && is_in_force(report)),
            not_yet: instances_where(&|report| report.connected && !is_in_force(report)),
            unreachable: instances_where(&|report| !report.connected),
            everywhere_by,
        }
    }
}

impl StatusView {
    /// Builds the view; `current` tells whether this instance proved that it is current.
    pub fn new(admin: &Admin, current: bool, now: Timestamp) -> Self {
        let reports = admin.entry_registry.reports(now);
        let everywhere_by = now + admin.settings.max_propagation_time();
        admin.shared.read(|machine| {
            let revision = machine.configuration().revision;
            Self {
                instance: admin.settings.instance.clone(),
                cluster: admin.settings.cluster.clone(),
                current,
                revision,
                applied: machine.applied(),
                replica: admin.replicator.status(),
                in_force: InForceView::new(revision, &reports, everywhere_by),
                entries: entries(&reports, now),
                pending_plans: machine.plans().count(),
                audit_last: machine.audit().last(),
                ledger_calls: machine.ledger().len(),
                ledger_running: machine.ledger().running(),
                engine_orders: machine.engine_orders().iter().cloned().collect(),
            }
        })
    }
}

impl From<&Configuration> for ConfigurationView {
    fn from(configuration: &Configuration) -> Self {
        let accounts = configuration.accounts.values().cloned();
        let services = configuration.services.values().cloned();
        let endpoints = configuration.endpoints.values().cloned();
        Self {
            revision: configuration.revision,
            accounts: accounts.map(AccountSpec::from).collect(),
            keys: configuration
                .keys
                .values()
                .map(|key| KeyView {
                    key: key.id.clone(),
                    account: key.account.clone(),
                    withdrawn: key.withdrawn,
                })
                .collect(),
            services: services.map(ServiceSpec::from).collect(),
            data_centres: configuration.data_centres.values().cloned().collect(),
            endpoints: endpoints
                .map(|endpoint| EndpointView {
                    state: endpoint.state,
                    endpoint: EndpointSpec::from(endpoint),
                })
                .collect(),
        }
    }
}

fn entries(reports: &BTreeMap<InstanceId, EntryReport>, now: Timestamp) -> Vec<EntryView> {
    reports
        .iter()
        .map(|(instance, report)| EntryView {
            instance: instance.clone(),
            incarnation: report.incarnation,
            data_centre: report.data_centre.clone(),
            connected: report.connected,
            revision: report.revision,
            heard_ms_ago: now.since(report.last_heard_at).as_millis() as u64,
        })
        .collect()
}

fn redact_key_digest(intent: &Intent) -> Intent {
    match intent {
        Intent::CreateKey(spec) => Intent::CreateKey(KeySpec {
            digest: None,
            ..spec.clone()
        }),
        other => other.clone(),
    }
}
