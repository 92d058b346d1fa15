//! Selection of an endpoint of a plain service by speed.
//!
//! A gateway sees each endpoint about once a second, and endpoints are slower for some 600 ms at a
//! time, so what it knows of the load of an endpoint is mostly too old to act on. It therefore asks
//! the two drawn endpoints for their load at the health path, which answers at once, and selects the
//! better one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::header;
use hyper::header::HeaderValue;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::pick::Candidate;
use mimosa_schedule::speed::select::RatedCandidate;
use mimosa_schedule::speed::select::draw;
use mimosa_schedule::speed::select::select;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::directory::EndpointEntry;
use crate::directory::EndpointSet;
use crate::head::IdentifiedRequest;
use crate::shared::Shared;
use crate::upstream;

/// Age up to which the load of an endpoint is known well enough to compare it with another one. In
/// the replay, 30 ms gave 0.1% more requests in time for 13% more calls.
const FRESH_TIME: Duration = Duration::from_millis(100);
/// Part of the latency target, as a divisor, for which a request waits for the load of endpoints: 10 ms
/// of 120 ms.
const WAIT_DIVISOR: u32 = 12;
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Time limit of a call that asks for the load. It continues when the request no longer waits, so that
/// its connection stays usable.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an endpoint is not asked after it did not state its load in time, as when it is far
/// away.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum size of the response to a call that asks for the load.
const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// Selects an endpoint of the request's plain service that was not tried yet; `None` if there is no
/// usable one.
pub(crate) async fn select_endpoint(
    shared: &Arc<Shared>,
    endpoints: &EndpointSet,
    request: &IdentifiedRequest,
    tried: &[Arc<EndpointEntry>],
) -> Option<Arc<EndpointEntry>> {
    let role = EndpointRole::Plain;
    let now = shared.now();
    let usable = upstream::usable_endpoints(shared, now, endpoints, request, role, tried);
    let candidates = rate(shared, now, &usable);
    let drawn = draw(&candidates, shared.random())?;
    let Some(second) = drawn.second else {
        let selected = Arc::clone(usable[drawn.first]);
        upstream::record_selection(shared, now, request, &selected);
        return Some(selected);
    };
    let stale = [drawn.first, second].map(|at| &usable[at]).into_iter();
    let stale: Vec<_> = stale
        .filter(|each| fresh_load(now, each).is_none() && shared.speeds.may_ask(now, each))
        .map(|each| Arc::clone(each))
        .collect();
    if stale.is_empty() {
        let selected = Arc::clone(usable[select(&candidates, drawn)]);
        upstream::record_selection(shared, now, request, &selected);
        return Some(selected);
    }
    ask_all(shared, request, &stale).await;
    let now = shared.now();
    // Others may have sent requests to a limited endpoint meanwhile.
    let still_usable = upstream::usable_endpoints(shared, now, endpoints, request, role, tried);
    let is_usable = |each: &Arc<EndpointEntry>| still_usable.iter().any(|at| Arc::ptr_eq(at, each));
    let candidates = rate(shared, now, &usable);
    let best = &usable[select(&candidates, drawn)];
    let others = [&usable[drawn.first], &usable[second]];
    let selected = [best]
        .into_iter()
        .chain(others)
        .find(|each| is_usable(each));
    let selected = selected
        .or_else(|| still_usable.first())
        .map(|each| Arc::clone(each))?;
    upstream::record_selection(shared, now, request, &selected);
    Some(selected)
}

fn rate(shared: &Shared, now: Timestamp, usable: &[&Arc<EndpointEntry>]) -> Vec<RatedCandidate> {
    let rated = usable.iter().map(|each| {
        let (estimate, current_permille) = shared.speeds.speed(now, each);
        let candidate = Candidate {
            reported_load: fresh_load(now, each),
            ..upstream::candidate(shared, now, each)
        };
        RatedCandidate {
            candidate,
            estimate,
            current_permille,
        }
    });
    rated.collect()
}

/// The load that an endpoint stated a moment ago.
fn fresh_load(now: Timestamp, endpoint: &EndpointEntry) -> Option<u64> {
    let (at, load) = endpoint.reported_load()?;
    let is_fresh = now.since(at) < FRESH_TIME;
    is_fresh.then(|| u64::from(load.running) + u64::from(load.waiting))
}

/// Asks endpoints for their load and waits until all have answered, but only briefly.
async fn ask_all(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    endpoints: &[Arc<EndpointEntry>],
) {
    let wait = (request.route.latency_target / WAIT_DIVISOR).min(MAX_WAIT);
    let deadline = tokio::time::Instant::now() + wait;
    let Some(service) = request.table.service(&request.service) else {
        return;
    };
    // The other half stays free for requests if the calls take long.
    let max_connections = upstream::max_connections(Some(service)) / 2;
    let mut calls = Vec::new();
    for endpoint in endpoints {
        if !shared.speeds.take_call(shared.now()) {
            shared.metrics.record_load_call("over_budget");
            break;
        }
        let call = ask(
            Arc::clone(shared),
            Arc::clone(endpoint),
            service.health_path.clone(),
            max_connections,
        );
        calls.push((endpoint, tokio::spawn(timeout(CALL_TIMEOUT, call))));
    }
    for (endpoint, call) in calls {
        let has_answered = matches!(timeout_at(deadline, call).await, Ok(Ok(Ok(Some(())))));
        let outcome = if has_answered { "answered" } else { "late" };
        shared.metrics.record_load_call(outcome);
        if !has_answered {
            let at = shared.now() + RETRY_AFTER;
            shared.speeds.ask_again_at(endpoint, at);
        }
    }
}

/// Asks an endpoint for its load at the health path; `None` if it does not state it.
async fn ask(
    shared: Arc<Shared>,
    endpoint: Arc<EndpointEntry>,
    health_path: String,
    max_connections: u32,
) -> Option<()> {
    let pool = &endpoint.pool;
    let mut connection = pool.take(shared.now(), max_connections).await.ok()?;
    let mut call = Request::new(Full::new(Bytes::new()));
    *call.uri_mut() = health_path.parse().ok()?;
    let host = HeaderValue::from_str(&endpoint.listed.address.to_string()).ok()?;
    call.headers_mut().insert(header::HOST, host);
    let response = connection.send(call).await.ok()?;
    let now = shared.now();
    let load = shared.dialect.reported_load(response.headers());
    if let Some(load) = load {
        endpoint.set_reported_load(now, load);
    }
    if let Some(percent) = shared.dialect.stated_percent(response.headers()) {
        shared.speeds.record_percent(now, &endpoint, percent);
    }
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    if body.collect().await.is_ok() {
        endpoint.pool.put(shared.now(), connection);
    }
    load.map(|_| ())
}
