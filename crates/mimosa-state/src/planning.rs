//! Turns an intent into the changes that it means, or refuses it.

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
use crate::refusal::Refused;
use crate::refusal::role_word;

mod endpoint;

/// What an intent means for the configuration and for engines.
#[derive(Debug, Default)]
pub struct Effects {
    /// Changes of the configuration, in order.
    pub changes: Vec<Change>,
    /// Orders to engines.
    pub engine_orders: Vec<EngineOrderKind>,
}

type Planned = Result<Effects, Refused>;

/// Works out what an intent means now.
///
/// # Errors
///
/// A [`Refused`] that names what stands against it.
pub fn effects(now: Timestamp, current: &Configuration, intent: &Intent) -> Planned {
    match intent {
        Intent::PutAccount(spec) => put_account(current, spec),
        Intent::RemoveAccount(by) => {
            account(current, &by.account)?;
            changes([Change::RemoveAccount(by.account.clone())])
        }
        Intent::SetRate(spec) => set_rate(current, spec),
        Intent::CreateKey(spec) => create_key(current, spec),
        Intent::WithdrawKey(by) => withdraw_key(now, current, by),
        Intent::PutService(spec) => put_service(current, spec),
        Intent::RemoveService(by) => match current.services.get(&by.service) {
            Some(_) => changes([Change::RemoveService(by.service.clone())]),
            None => Err(Refused::UnknownService(by.service.clone())),
        },
        Intent::PutDataCentre(spec) => put_data_centre(current, spec),
        Intent::TakeOutDataCentre(by) => set_data_centre(current, by, DataCentreState::Out),
        Intent::ReturnDataCentre(by) => set_data_centre(current, by, DataCentreState::In),
        Intent::PutEndpoint(spec) => endpoint::put_endpoint(current, spec),
        Intent::DrainEndpoint(by) => {
            endpoint::set_endpoint(current, &by.endpoint, EndpointState::Draining)
        }
        Intent::ReturnEndpoint(by) => {
            endpoint::set_endpoint(current, &by.endpoint, EndpointState::Active)
        }
        Intent::RemoveEndpoint(by) => {
            endpoint::find(current, &by.endpoint)?;
            changes([Change::RemoveEndpoint(by.endpoint.clone())])
        }
        Intent::SetRole(spec) => endpoint::set_role(current, spec),
        Intent::LoadModel(spec) => endpoint::load_model(current, spec),
    }
}

/// The capacity part of the configuration after some changes.
///
/// # Errors
///
/// [`Refused::ServiceWouldStop`] or [`Refused::LastDataCentre`] if they would stop a service that
/// runs now.
pub fn check_capacity(
    before: &Configuration,
    changes: &[Change],
) -> Result<Configuration, Refused> {
    let mut after = cost::capacity_part(before);
    after.apply(&Delta {
        revision: before.revision.next(),
        changes: changes.to_vec(),
    });
    let (old, new) = (cost::pools(before), cost::pools(&after));
    let stopped = old
        .into_keys()
        .filter(|(service, _)| after.services.contains_key(service))
        .find(|place| !new.contains_key(place));
    match stopped {
        Some((service, role)) => Err(Refused::ServiceWouldStop {
            service,
            role: role_word(role).to_owned(),
        }),
        None => Ok(after),
    }
}

fn put_account(current: &Configuration, spec: &AccountSpec) -> Planned {
    check_rate(spec.rate.get(), spec.burst.get())?;
    if spec.weight == 0 {
        return Err(Refused::bad_value("weight", "it must be at least 1"));
    }
    let unknown = spec
        .services
        .iter()
        .find(|service| !current.services.contains_key(*service));
    if let Some(service) = unknown {
        return Err(Refused::UnknownService(service.clone()));
    }
    let new = ClientAccount::from(spec.clone());
    if current.accounts.get(&new.id) == Some(&new) {
        return Err(Refused::NothingChanges);
    }
    changes([Change::PutAccount(new)])
}

fn set_rate(current: &Configuration, spec: &RateSpec) -> Planned {
    check_rate(spec.rate.get(), spec.burst.get())?;
    let old = account(current, &spec.account)?;
    let new = ClientAccount {
        rate: spec.rate,
        burst: spec.burst,
        ..old.clone()
    };
    if *old == new {
        return Err(Refused::NothingChanges);
    }
    changes([Change::PutAccount(new)])
}

fn check_rate(rate: u64, burst: u64) -> Result<(), Refused> {
    if rate == 0 {
        return Err(Refused::bad_value("rate", "it must be at least 1 token/s"));
    }
    if burst == 0 {
        return Err(Refused::bad_value("burst", "it must be at least 1 token"));
    }
    Ok(())
}

fn create_key(current: &Configuration, spec: &KeySpec) -> Planned {
    account(current, &spec.account)?;
    if current.keys.contains_key(&spec.key) {
        return Err(Refused::KeyExists(spec.key.clone()));
    }
    let digest = spec
        .digest
        .as_deref()
        .and_then(parse_digest)
        .ok_or_else(|| {
            Refused::bad_value(
                "digest",
                "give SHA-256 of the secret in 64 hexadecimal digits",
            )
        })?;
    if current.keys.values().any(|key| key.digest == digest) {
        return Err(Refused::SecretUsed);
    }
    changes([Change::PutKey(Key {
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
        .try_for_each(|(at, byte)| {
            u8::from_str_radix(&text[2 * at..2 * at + 2], 16).map(|value| *byte = value)
        })
        .ok()?;
    Some(Sha256Digest(bytes))
}

fn withdraw_key(now: Timestamp, current: &Configuration, by: &ByKey) -> Planned {
    let key = current
        .keys
        .get(&by.key)
        .ok_or_else(|| Refused::UnknownKey(by.key.clone()))?;
    if key.withdrawn.is_some() {
        return Err(Refused::KeyWithdrawn(by.key.clone()));
    }
    changes([Change::PutKey(Key {
        withdrawn: Some(now),
        ..key.clone()
    })])
}

fn put_service(current: &Configuration, spec: &ServiceSpec) -> Planned {
    let targets = [
        ("first_token_target_ms", spec.first_token_target_ms),
        ("token_gap_target_ms", spec.token_gap_target_ms),
        ("max_queue_time_ms", spec.max_queue_time_ms),
    ];
    if let Some((field, _)) = targets.iter().find(|(_, value)| *value == 0) {
        return Err(Refused::bad_value(field, "it must be at least 1 ms"));
    }
    let new = Service::from(spec.clone());
    let old = current.services.get(&new.id);
    if old == Some(&new) {
        return Err(Refused::NothingChanges);
    }
    let has_endpoints = || {
        current
            .endpoints
            .values()
            .any(|each| each.service == new.id)
    };
    if old.is_some_and(|old| old.kind != new.kind) && has_endpoints() {
        return Err(Refused::KindInUse(new.id));
    }
    changes([Change::PutService(new)])
}

fn put_data_centre(current: &Configuration, spec: &DataCentreSpec) -> Planned {
    if spec.link_rate.get() == 0 {
        return Err(Refused::bad_value(
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
        return Err(Refused::NothingChanges);
    }
    changes([Change::PutDataCentre(new)])
}

fn set_data_centre(current: &Configuration, by: &ByDataCentre, state: DataCentreState) -> Planned {
    let old = current
        .data_centres
        .get(&by.data_centre)
        .ok_or_else(|| Refused::UnknownDataCentre(by.data_centre.clone()))?;
    if old.state == state {
        return Err(Refused::NothingChanges);
    }
    let others_in = current
        .data_centres
        .values()
        .any(|each| each.id != old.id && each.state == DataCentreState::In);
    if state == DataCentreState::Out && !others_in {
        return Err(Refused::LastDataCentre(old.id.clone()));
    }
    changes([Change::PutDataCentre(DataCentre {
        state,
        ..old.clone()
    })])
}

fn account<'a>(current: &'a Configuration, id: &AccountId) -> Result<&'a ClientAccount, Refused> {
    current
        .accounts
        .get(id)
        .ok_or_else(|| Refused::UnknownAccount(id.clone()))
}

fn changes(list: impl Into<Vec<Change>>) -> Planned {
    Ok(Effects {
        changes: list.into(),
        engine_orders: Vec::new(),
    })
}
