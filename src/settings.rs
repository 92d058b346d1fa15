//! Converts the settings file to the settings of control instances and gateways.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

use mimosa_config::ControlRouting;
use mimosa_config::ControlSettings;
use mimosa_config::GatewaySettings;
use mimosa_config::InstanceSettings;
use mimosa_config::LimitSettings;
use mimosa_config::Settings;
use mimosa_consensus::VoterPolicy;
use mimosa_control::settings::Discovery;
use mimosa_gateway::settings::RetryLimits;
use mimosa_limit::quota::Tolerance;
use mimosa_platform::contracts;
use mimosa_protocol::Features;
use mimosa_protocol::InstanceId;
use mimosa_rollout::exposure::ExposureSettings;
use mimosa_rollout::exposure::PERMIT_LEASE;

/// A voter that is silent for this long is replaced by another control instance: longer than an
/// election, and short enough that the replacement is complete before the next failure is expected.
const REPLACE_VOTER_AFTER: Duration = Duration::from_millis(1_500);
/// A control instance without a vote that is silent for this long is removed from the replicas.
const REMOVE_LEARNER_AFTER: Duration = Duration::from_secs(20);

/// The features that the file enables: those of the platform's contracts and those of `[features]`.
pub fn features(settings: &Settings) -> Features {
    contracts::features(&settings.platform.contracts).union(settings.features)
}

/// Settings of a control instance. With seeds it discovers the other replicas, keeps enough voters
/// for the tolerated losses and uses the configured election timeout; without seeds the replicas
/// are those of the file.
pub fn control(
    instance: &InstanceSettings,
    limits: &LimitSettings,
    settings: ControlSettings,
    features: Features,
) -> mimosa_control::Settings {
    let routing = settings.routing.unwrap_or_default();
    let seeds: BTreeSet<InstanceId> = instance_ids(&routing.seeds).collect();
    let has_seeds = !seeds.is_empty();
    let discovery = has_seeds.then(|| Discovery {
        seeds: seeds.clone(),
        port: settings.peer_listen.port(),
    });
    let defaults = mimosa_control::Settings::default();
    let replicas = settings.replicas.into_iter();
    let operators = settings.operators.into_iter();
    mimosa_control::Settings {
        instance: instance.id.clone(),
        cluster: instance.cluster.clone(),
        data_centre: Some(instance.data_centre.clone()),
        data_folder: settings.data_folder,
        admin_listen: settings.admin_listen,
        entry_listen: settings.entry_listen,
        peer_listen: settings.peer_listen,
        replicas: replicas
            .map(|replica| (replica.id, replica.address))
            .collect(),
        operators: operators
            .map(|operator| (operator.id, operator.key_digest))
            .collect(),
        limits: limits.resolve(),
        order_lease: routing.order_lease,
        metrics: routing.metrics,
        voter_policy: has_seeds.then(|| VoterPolicy {
            voters: 2 * routing.tolerated_losses as usize + 1,
            replace_voter_after: REPLACE_VOTER_AFTER,
            remove_learner_after: REMOVE_LEARNER_AFTER,
        }),
        quota_tolerance: quota_tolerance(&routing),
        exposure: exposure(&routing),
        features,
        election_timeout: if has_seeds {
            routing.election_timeout
        } else {
            defaults.election_timeout
        },
        bootstrap: routing.found && seeds.contains(&instance.id),
        initial_voters: seeds,
        discovery,
        heartbeat: settings.heartbeat,
        key_lease: settings.key_lease,
        ..defaults
    }
}

/// Settings that a running control instance takes from a changed file: seeds and quota tolerance.
pub fn control_reloadable(settings: &ControlSettings) -> mimosa_control::settings::Reloadable {
    let routing = settings.routing.clone().unwrap_or_default();
    mimosa_control::settings::Reloadable {
        seeds: instance_ids(&routing.seeds).collect(),
        quota_tolerance: quota_tolerance(&routing),
    }
}

/// Settings of a gateway, with those that it can reload.
pub fn gateway(
    instance: &InstanceSettings,
    limits: &LimitSettings,
    settings: GatewaySettings,
    features: Features,
) -> mimosa_gateway::Settings {
    mimosa_gateway::Settings {
        instance: instance.id.clone(),
        cluster: instance.cluster.clone(),
        data_centre: instance.data_centre.clone(),
        listen: settings.listen,
        readiness: settings.readiness,
        metrics: settings.metrics,
        control_port: settings.control_port,
        limits: limits.resolve(),
        endpoint_bodies: settings.endpoint_bodies,
        features,
        reloadable: gateway_reloadable(&settings),
    }
}

/// Settings that a running gateway takes from a changed file: seeds, control silence, drain time
/// and retry limits.
pub fn gateway_reloadable(settings: &GatewaySettings) -> mimosa_gateway::settings::Reloadable {
    mimosa_gateway::settings::Reloadable {
        seeds: instance_ids(&settings.seeds).collect(),
        control_silence: settings.control_silence,
        drain_time: settings.drain_time,
        retries: RetryLimits {
            permille: settings.retry_ratio.0,
            slack: settings.retry_slack,
        },
    }
}

const fn quota_tolerance(routing: &ControlRouting) -> Tolerance {
    Tolerance {
        permille: routing.quota_overage.0,
        slack: routing.quota_slack,
    }
}

/// A permit is used, reported and noticed as expired within a quarter of the rollback time, which
/// leaves the rest for the decision.
fn exposure(routing: &ControlRouting) -> ExposureSettings {
    ExposureSettings {
        share: routing.exposure_share.0 as f64 / 1_000.0,
        slack: routing.exposure_slack,
        lease: PERMIT_LEASE.min(routing.rollback_time / 4),
    }
}

/// Ids of instances that are named after their IP addresses. Addresses that are no valid id are
/// skipped.
fn instance_ids(addresses: &[IpAddr]) -> impl Iterator<Item = InstanceId> {
    let ids = addresses.iter().map(ToString::to_string);
    ids.filter_map(|id| id.parse().ok())
}
