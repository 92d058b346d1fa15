//! Placement of a request by this gateway while no leader responds.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use log::info;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::fair_share::LocalRequest;
use mimosa_schedule::fleet::Placement;

use super::Assignment;
use super::Attempts;
use super::not_run;
use super::placement_request;
use crate::directory::EndpointSet;
use crate::head::IdentifiedRequest;
use crate::local_share::LocalReservation;
use crate::quota;
use crate::response::Failure;
use crate::rollout::LocalVersions;
use crate::shared::Shared;
use crate::upstream;

/// Selects endpoints for a request. `has_waited` is whether a leader had queued it.
pub(super) fn place_locally(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    endpoints: &EndpointSet,
    attempts: &Attempts,
    has_waited: bool,
) -> Result<Assignment, Failure> {
    info!(
        "request={} step=place outcome=alone",
        request.metadata.attempt_id
    );
    let now = shared.now();
    let has_waited = has_waited || !attempts.tried.is_empty();
    let reservation = if shared.settings.features.fair_shares {
        Some(reserve(shared, now, request, endpoints, has_waited)?)
    } else {
        None
    };
    if attempts.tried.is_empty() {
        quota::admit_without_leader(shared, request)?;
    }
    let now = shared.now();
    let waited = now.since(request.arrived);
    shared
        .metrics
        .record_placement(request.service.as_str(), "gateway", waited);
    let tried = &attempts.tried;
    let mut versions = LocalVersions::new(&shared.rollouts, request, attempts.began_on.as_ref());
    let select = |role, versions: &LocalVersions| {
        let usable = upstream::usable_endpoints(shared, now, endpoints, request, role, tried);
        let usable = usable.into_iter().filter(|each| versions.allows(each));
        upstream::select_usable(shared, now, request, &usable.collect::<Vec<_>>())
    };
    let kv_cache = attempts.kv_cache.as_ref();
    let kv_cache = kv_cache.filter(|lease| versions.allows(&lease.endpoint));
    let prefill = match kv_cache {
        Some(lease) => {
            versions.select(&lease.endpoint);
            None
        }
        None => select(EndpointRole::Prefill, &versions),
    };
    if let Some(prefill) = &prefill {
        versions.select(prefill);
    }
    let decode = select(EndpointRole::Decode, &versions);
    let decode = decode.ok_or_else(|| not_run("no decode endpoint"))?;
    let placement = Placement {
        prefill: None,
        decode: decode.listed.id.clone(),
    };
    let mut run = shared.placement.record_local_run(
        &request.service,
        |number| placement_request(shared, request, attempts, now, number),
        placement,
    );
    run.reservation = reservation;
    Ok(Assignment {
        prefill,
        decode,
        run,
    })
}

/// Reserves memory of the decode endpoints within the share of the account. Each gateway uses an equal
/// part of the memory.
fn reserve(
    shared: &Shared,
    now: Timestamp,
    request: &IdentifiedRequest,
    endpoints: &EndpointSet,
    has_waited: bool,
) -> Result<LocalReservation, Failure> {
    let metadata = &request.metadata;
    let output = metadata.expected_output_tokens;
    let output = output.or(metadata.max_output_tokens).unwrap_or_default();
    let memory = metadata.prompt_tokens.unwrap_or_default() + output;
    let engine = request.table.service(&request.service);
    let capacity = engine
        .and_then(|service| service.engine)
        .map_or(Tokens::ZERO, |engine| engine.kv_capacity);
    let decodes = endpoints.active(&request.service, EndpointRole::Decode);
    let gateways = shared.gateways.load(Ordering::Relaxed).max(1);
    let part = Tokens(capacity.0 * decodes.len() as u64 / u64::from(gateways));
    let local_request = LocalRequest {
        account: &request.account,
        memory,
        part,
    };
    let reservation = shared.local_memory.reserve(
        now,
        &request.table,
        &request.service,
        &local_request,
        has_waited,
    );
    reservation.map_err(|_| {
        info!(
            "request={} step=place outcome=over_share part_tokens={}",
            metadata.attempt_id, part.0
        );
        not_run("the share of the account is in use")
    })
}
