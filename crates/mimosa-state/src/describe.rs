//! Readable descriptions of changes for plans and the audit trail. Never contain a secret or the
//! digest of one.

use std::fmt::Display;

use mimosa_protocol::Change;
use mimosa_protocol::Configuration;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_protocol::configuration::DataCentre;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::configuration::Key;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::configuration::ServiceKind;

use crate::engine::EngineOrderKind;
use crate::plan::ChangeLine;
use crate::refusal::role_name;

/// Describes a change of the configuration `before`.
pub fn change(before: &Configuration, change: &Change) -> ChangeLine {
    match change {
        Change::PutAccount(new) => line(
            "client account",
            &new.id,
            before.accounts.get(&new.id).map(account),
            Some(account(new)),
        ),
        Change::RemoveAccount(id) => line(
            "client account",
            id,
            before.accounts.get(id).map(account),
            None,
        ),
        Change::PutKey(new) => line(
            "key",
            &new.id,
            before.keys.get(&new.id).map(key),
            Some(key(new)),
        ),
        Change::PutService(new) => line(
            "service",
            &new.id,
            before.services.get(&new.id).map(service),
            Some(service(new)),
        ),
        Change::RemoveService(id) => {
            line("service", id, before.services.get(id).map(service), None)
        }
        Change::PutDataCentre(new) => line(
            "data centre",
            &new.id,
            before.data_centres.get(&new.id).map(data_centre),
            Some(data_centre(new)),
        ),
        Change::RemoveDataCentre(id) => line(
            "data centre",
            id,
            before.data_centres.get(id).map(data_centre),
            None,
        ),
        Change::PutEndpoint(new) => line(
            "endpoint",
            &new.id,
            before.endpoints.get(&new.id).map(endpoint),
            Some(endpoint(new)),
        ),
        Change::RemoveEndpoint(id) => {
            line("endpoint", id, before.endpoints.get(id).map(endpoint), None)
        }
    }
}

/// Describes an order to an engine.
pub fn engine_order(order: &EngineOrderKind) -> ChangeLine {
    let after = match order {
        EngineOrderKind::LoadModel { model, version, .. } => {
            format!("load model {model} version {version}")
        }
        EngineOrderKind::SetRole { role, .. } => format!("turn to role {}", role_name(*role)),
    };
    line("engine order to", order.endpoint(), None, Some(after))
}

fn line(
    kind: &str,
    name: impl Display,
    before: Option<String>,
    after: Option<String>,
) -> ChangeLine {
    ChangeLine {
        what: format!("{kind} {name}"),
        before,
        after,
    }
}

fn account(account: &ClientAccount) -> String {
    let services = match account.services.as_slice() {
        [] => "all".to_owned(),
        some => some
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join(" "),
    };
    let cut_off = if account.serve_when_cut_off {
        "go on"
    } else {
        "stop"
    };
    format!(
        "rate {} tokens/s, burst {} tokens, weight {}, services {services}, keys {cut_off} when cut off",
        account.rate, account.burst, account.weight
    )
}

fn key(key: &Key) -> String {
    let state = if key.withdrawn.is_some() {
        "withdrawn"
    } else {
        "in force"
    };
    format!("for client account {}, {state}", key.account)
}

fn service(service: &Service) -> String {
    let kind = match service.kind {
        ServiceKind::Model => "model",
        ServiceKind::Plain => "plain",
    };
    let open = if service.open { "open" } else { "needs a key" };
    format!(
        "{kind}, {open}, first token within {} ms, tokens within {} ms, queue at most {} ms",
        service.first_token_target.as_millis(),
        service.token_gap_target.as_millis(),
        service.max_queue_time.as_millis()
    )
}

fn data_centre(data_centre: &DataCentre) -> String {
    let state = match data_centre.state {
        DataCentreState::In => "in",
        DataCentreState::Out => "out",
    };
    format!("{state}, links of {} bytes/s", data_centre.link_rate)
}

fn endpoint(endpoint: &Endpoint) -> String {
    let state = match endpoint.state {
        EndpointState::Active => "active",
        EndpointState::Draining => "draining",
    };
    format!(
        "{} of {} in {} at {}, {state}, {} requests at once, {} blocks",
        role_name(endpoint.role),
        endpoint.service,
        endpoint.data_centre,
        endpoint.address,
        endpoint.capacity.concurrency,
        endpoint.capacity.blocks
    )
}
