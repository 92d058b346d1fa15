//! Effects of the intents on endpoints.

use mimosa_protocol::Change;
use mimosa_protocol::Configuration;
use mimosa_protocol::EndpointId;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::configuration::ServiceKind;

use crate::engine::EngineOrderKind;
use crate::intent::EndpointSpec;
use crate::intent::ModelSpec;
use crate::intent::RoleSpec;
use crate::planning::Effects;
use crate::planning::PlanningResult;
use crate::planning::effects_of;
use crate::refusal::Refusal;
use crate::refusal::role_name;

/// Longest name of a model or version; the refusal text gives the same limit.
const MAX_MODEL_NAME_BYTES: usize = 128;

pub(super) fn put_endpoint(current: &Configuration, spec: &EndpointSpec) -> PlanningResult {
    check_role(current, spec)?;
    if !current.data_centres.contains_key(&spec.data_centre) {
        return Err(Refusal::UnknownDataCentre(spec.data_centre.clone()));
    }
    if spec.capacity.concurrency == 0 {
        return Err(Refusal::bad_value(
            "capacity.concurrency",
            "it must be at least 1",
        ));
    }
    if spec.capacity.tokens_per_block.get() == 0 {
        return Err(Refusal::bad_value(
            "capacity.tokens_per_block",
            "it must be at least 1",
        ));
    }
    let taken = current
        .endpoints
        .values()
        .find(|other| other.address == spec.address && other.id != spec.endpoint);
    if let Some(other) = taken {
        return Err(Refusal::AddressTaken(other.id.clone()));
    }
    let old = current.endpoints.get(&spec.endpoint);
    let new = Endpoint {
        state: old.map_or(EndpointState::Active, |old| old.state),
        ..Endpoint::from(spec.clone())
    };
    if old == Some(&new) {
        return Err(Refusal::NothingChanges);
    }
    effects_of([Change::PutEndpoint(new)])
}

fn check_role(current: &Configuration, spec: &EndpointSpec) -> Result<(), Refusal> {
    let service = current
        .services
        .get(&spec.service)
        .ok_or_else(|| Refusal::UnknownService(spec.service.clone()))?;
    let fits = match service.kind {
        ServiceKind::Model => spec.role != EndpointRole::Plain,
        ServiceKind::Plain => spec.role == EndpointRole::Plain,
    };
    if fits {
        return Ok(());
    }
    Err(Refusal::RoleMismatch {
        service: service.id.clone(),
        role: role_name(spec.role).to_owned(),
    })
}

pub(super) fn set_endpoint_state(
    current: &Configuration,
    id: &EndpointId,
    state: EndpointState,
) -> PlanningResult {
    let old = find_endpoint(current, id)?;
    if old.state == state {
        return Err(Refusal::NothingChanges);
    }
    effects_of([Change::PutEndpoint(Endpoint {
        state,
        ..old.clone()
    })])
}

pub(super) fn set_role(current: &Configuration, spec: &RoleSpec) -> PlanningResult {
    let old = find_endpoint(current, &spec.endpoint)?;
    if old.role == spec.role {
        return Err(Refusal::NothingChanges);
    }
    let new = Endpoint {
        role: spec.role,
        ..old.clone()
    };
    check_role(current, &new.clone().into())?;
    Ok(Effects {
        changes: vec![Change::PutEndpoint(new)],
        engine_orders: vec![EngineOrderKind::SetRole {
            endpoint: spec.endpoint.clone(),
            role: spec.role,
        }],
    })
}

pub(super) fn load_model(current: &Configuration, spec: &ModelSpec) -> PlanningResult {
    let target = find_endpoint(current, &spec.endpoint)?;
    if target.role == EndpointRole::Plain {
        return Err(Refusal::bad_value("endpoint", "it is no model engine"));
    }
    [("model", &spec.model), ("version", &spec.version)]
        .into_iter()
        .try_for_each(|(field, text)| check_model_name(field, text))?;
    Ok(Effects {
        changes: Vec::new(),
        engine_orders: vec![EngineOrderKind::LoadModel {
            endpoint: spec.endpoint.clone(),
            model: spec.model.clone(),
            version: spec.version.clone(),
        }],
    })
}

fn check_model_name(field: &str, text: &str) -> Result<(), Refusal> {
    let printable = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_MODEL_NAME_BYTES || !printable {
        return Err(Refusal::bad_value(
            field,
            "give 1 to 128 printable characters without spaces",
        ));
    }
    Ok(())
}

pub(super) fn find_endpoint<'a>(
    current: &'a Configuration,
    id: &EndpointId,
) -> Result<&'a Endpoint, Refusal> {
    current
        .endpoints
        .get(id)
        .ok_or_else(|| Refusal::UnknownEndpoint(id.clone()))
}
