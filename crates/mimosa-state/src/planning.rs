//! Computes the effects of an intent, or refuses it.

use mimosa_protocol::AccountId;
use mimosa_protocol::Change;
use mimosa_protocol::Configuration;
use mimosa_protocol::Timestamp;
use mimosa_protocol::change::Delta;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_protocol::configuration::DataCentre;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::configuration::Key;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::hash::Sha256Digest;

use crate::cost;
use crate::engine::EngineOrderKind;
use crate::intent::AccountSpec;
use crate::intent::ByDataCentre;
use crate::intent::ByKey;
use crate::intent::DataCentreSpec;
use crate::intent::Intent;
use crate::intent::KeySpec;
use crate::intent::RateSpec;
use crate::intent::ServiceSpec;
use crate::refusal::Refusal;
use crate::refusal::role_name;

mod endpoint;

/// The effects of an intent on the configuration and on engines.
#[derive(Debug, Default)]
pub struct Effects {
    /// Changes of the configuration, in the order in which they apply.
    pub changes: Vec<Change>,
    /// Orders to send to engines once the plan is confirmed.
    pub engine_orders: Vec<EngineOrderKind>,
}

type PlanningResult = Result<Effects, Refusal>;

/// Computes the effects of an intent on the current configuration.
///
/// # Errors
///
/// A [`Refusal`] if the intent does not fit the current configuration or would change nothing.
pub fn effects(now: Timestamp, current: &Configuration, intent: &Intent) -> PlanningResult {
    match intent {
        Intent::PutAccount(spec) => put_account(current, spec),
        Intent::RemoveAccount(by) => {
            find_account(current, &by.account)?;
            effects_of([Change::RemoveAccount(by.account.clone())])
        }
        Intent::SetRate(spec) => set_rate(current, spec),
        Intent::CreateKey(spec) => create_key(current, spec),
        Intent::WithdrawKey(by) => withdraw_key(now, current, by),
        Intent::PutService(spec) => put_service(current, spec),
        Intent::RemoveService(by) => match current.services.get(&by.service) {
            Some(_) => effects_of([Change::RemoveService(by.service.clone())]),
            None => Err(Refusal::UnknownService(by.service.clone())),
        },
        Intent::PutDataCentre(spec) => put_data_centre(current, spec),
        Intent::TakeOutDataCentre(by) => set_data_centre_state(current, by, DataCentreState::Out),
        Intent::ReturnDataCentre(by) => set_data_centre_state(current, by, DataCentreState::In),
        Intent::PutEndpoint(spec) => endpoint::put_endpoint(current, spec),
        Intent::DrainEndpoint(by) => {
            endpoint::set_endpoint_state(current, &by.endpoint, EndpointState::Draining)
        }
        Intent::ReturnEndpoint(by) => {
            endpoint::set_endpoint_state(current, &by.endpoint, EndpointState::Active)
        }
        Intent::RemoveEndpoint(by) => {
            endpoint::find_endpoint(current, &by.endpoint)?;
            effects_of([Change::RemoveEndpoint(by.endpoint.clone())])
        }
        Intent::SetRole(spec) => endpoint::set_role(current, spec),
        Intent::LoadModel(spec) => endpoint::load_model(current, spec),
        // Rollouts are no part of the configuration; the state machine checks them.
        Intent::StartRollout(_) | Intent::CancelRollout(_) => Ok(Effects::default()),
    }
}

/// The parts of the configuration that determine capacity, after `changes`.
///
/// # Errors
///
/// [`Refusal::ServiceWouldStop`] if a service that stays would lose the last active endpoint of a
/// role.
pub fn check_capacity(
    before: &Configuration,
    changes: &[Change],
) -> Result<Configuration, Refusal> {
    let mut after = cost::capacity_subset(before);
    after.apply(&Delta {
        revision: before.revision.next(),
        changes: changes.to_vec(),
    });
    let (old, new) = (cost::pools(before), cost::pools(&after));
    let stopped = old
        .into_keys()
        .filter(|(service, _)| after.services.contains_key(service))
        .find(|pool| !new.contains_key(pool));
    match stopped {
        Some((service, role)) => Err(Refusal::ServiceWouldStop {
            service,
            role: role_name(role).to_owned(),
        }),
        None => Ok(after),
    }
}

fn put_account(current: &Configuration, spec: &AccountSpec) -> PlanningResult {
    check_rate(spec.rate.get(), spec.burst.get())?;
    if spec.weight == 0 {
        return Err(Refusal::bad_value("weight", "it must be at least 1"));
    }
    let unknown = spec
        .services
        .iter()
        .find(|service| !current.services.contains_key(*service));
    if let Some(service) = unknown {
        return Err(Refusal::UnknownService(service.clone()));
    }
    let new = ClientAccount::from(spec.clone());
    if current.accounts.get(&new.id) == Some(&new) {
        return Err(Refusal::NothingChanges);
    }
    effects_of([Change::PutAccount(new)])
}

fn set_rate(current: &Configuration, spec: &RateSpec) -> PlanningResult {
    check_rate(spec.rate.get(), spec.burst.get())?;
    let old = find_account(current, &spec.account)?;
    let new = ClientAccount {
        rate: spec.rate,
        burst: spec.burst,
        ..old.clone()
    };
    if *old == new {
        return Err(Refusal::NothingChanges);
    }
    effects_of([Change::PutAccount(new)])
}

fn check_rate(rate: u64, burst: u64) -> Result<(), Refusal> {
    if rate == 0 {
        return Err(Refusal::bad_value("rate", "it must be at least 1 token/s"));
    }
    if burst == 0 {
        return Err(Refusal::bad_value("burst", "it must be at least 1 token"));
    }
    Ok(())
}

fn create_key(current: &Configuration, spec: &KeySpec) -> PlanningResult {
    find_account(current, &spec.account)?;
    if current.keys.contains_key(&spec.key) {
        return Err(Refusal::KeyExists(spec.key.clone()));
    }
    let digest = spec
        .digest
        .as_deref()
        .and_then(parse_digest)
        .ok_or_else(|| {
            Refusal::bad_value(
                "digest",
                "give SHA-256 of the secret in 64 hexadecimal digits",
            )
        })?;
    if current.keys.values().any(|key| key.digest == digest) {
        return Err(Refusal::SecretUsed);
    }
    effects_of([Change::PutKey(Key {
        id: spec.key.clone(),
        account: spec.account.clone(),
        digest,
        withdrawn: None,
    })])
}

fn parse_digest(text: &str) -> Option<Sha256Digest> {
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; 32];
    bytes
        .iter_mut()
        .enumerate()
        .try_for_each(|(index, byte)| {
            u8::from_str_radix(&text[2 * index..2 * index + 2], 16).map(|value| *byte = value)
        })
        .ok()?;
    Some(Sha256Digest(bytes))
}

fn withdraw_key(now: Timestamp, current: &Configuration, by: &ByKey) -> PlanningResult {
    let key = current
        .keys
        .get(&by.key)
        .ok_or_else(|| Refusal::UnknownKey(by.key.clone()))?;
    if key.withdrawn.is_some() {
        return Err(Refusal::KeyWithdrawn(by.key.clone()));
    }
    effects_of([Change::PutKey(Key {
        withdrawn: Some(now),
        ..key.clone()
    })])
}

fn put_service(current: &Configuration, spec: &ServiceSpec) -> PlanningResult {
    let targets = [
        ("first_token_target_ms", spec.first_token_target_ms),
        ("token_gap_target_ms", spec.token_gap_target_ms),
        ("max_queue_time_ms", spec.max_queue_time_ms),
    ];
    if let Some((field, _)) = targets.iter().find(|(_, value)| *value == 0) {
        return Err(Refusal::bad_value(field, "it must be at least 1 ms"));
    }
    let new = Service::from(spec.clone());
    let old = current.services.get(&new.id);
    if old == Some(&new) {
        return Err(Refusal::NothingChanges);
    }
    let has_endpoints = || {
        current
            .endpoints
            .values()
            .any(|endpoint| endpoint.service == new.id)
    };
    if old.is_some_and(|old| old.kind != new.kind) && has_endpoints() {
        return Err(Refusal::KindInUse(new.id));
    }
    effects_of([Change::PutService(new)])
}

fn put_data_centre(current: &Configuration, spec: &DataCentreSpec) -> PlanningResult {
    if spec.link_rate.get() == 0 {
        return Err(Refusal::bad_value(
            "link_rate",
            "it must be at least 1 byte/s",
        ));
    }
    let old = current.data_centres.get(&spec.data_centre);
    let new = DataCentre {
        id: spec.data_centre.clone(),
        state: old.map_or(DataCentreState::In, |old| old.state),
        link_rate: spec.link_rate,
    };
    if old == Some(&new) {
        return Err(Refusal::NothingChanges);
    }
    effects_of([Change::PutDataCentre(new)])
}

fn set_data_centre_state(
    current: &Configuration,
    by: &ByDataCentre,
    state: DataCentreState,
) -> PlanningResult {
    let old = current
        .data_centres
        .get(&by.data_centre)
        .ok_or_else(|| Refusal::UnknownDataCentre(by.data_centre.clone()))?;
    if old.state == state {
        return Err(Refusal::NothingChanges);
    }
    let others_in = current
        .data_centres
        .values()
        .any(|other| other.id != old.id && other.state == DataCentreState::In);
    if state == DataCentreState::Out && !others_in {
        return Err(Refusal::LastDataCentre(old.id.clone()));
    }
    effects_of([Change::PutDataCentre(DataCentre {
        state,
        ..old.clone()
    })])
}

fn find_account<'a>(
    current: &'a Configuration,
    id: &AccountId,
) -> Result<&'a ClientAccount, Refusal> {
    current
        .accounts
        .get(id)
        .ok_or_else(|| Refusal::UnknownAccount(id.clone()))
}

fn effects_of(changes: impl Into<Vec<Change>>) -> PlanningResult {
    Ok(Effects {
        changes: changes.into(),
        engine_orders: Vec::new(),
    })
}
