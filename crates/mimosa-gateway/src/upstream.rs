//! One call to one endpoint.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::cold::Pacing;
use mimosa_schedule::pick::Candidate;
use mimosa_schedule::pick::pick;
use tokio::time::timeout;

use crate::connection::Connection;
use crate::connection::NotSent;
use crate::dialect::AnswerClass;
use crate::dialect::OutgoingCall;
use crate::dialect::Step;
use crate::directory::EndpointEntry;
use crate::directory::Endpoints;
use crate::directory::InHand;
use crate::head::Identified;
use crate::shared::Shared;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];
/// How long what an endpoint told of its load counts.
const TOLD_LOAD_LIFE: Duration = Duration::from_millis(500);
/// Share of an endpoint's connections that one gateway may take, as a divisor.
const CONNECTION_SHARE: u32 = 6;
/// Connections that a gateway may always take.
const MIN_CONNECTIONS: u32 = 4;

/// A caller's request, whole.
#[derive(Clone)]
pub(crate) struct Whole {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An answer whose head has arrived.
pub(crate) struct Opened {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) endpoint: Arc<EndpointEntry>,
    pub(crate) in_hand: InHand,
    pub(crate) sent: Timestamp,
}

/// Why a call brought no answer of the endpoint's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// The request did not leave.
    NotSent,
    /// The endpoint says that it did not run it.
    NotRun,
    /// It may have run.
    Unknown(&'static str),
    /// It may have run; the endpoint took longer than allowed.
    TimedOut,
}

impl CallFailure {
    /// Whether the request certainly did not run.
    pub(crate) const fn has_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun)
    }

    /// Which failure counts when this one came after an earlier one: it does not hide that the
    /// request may have run before.
    pub(crate) const fn after(self, earlier: Option<Self>) -> Self {
        match earlier {
            Some(earlier) if !earlier.has_not_run() && self.has_not_run() => earlier,
            _ => self,
        }
    }
}

/// Chooses an endpoint of the request's service with a role, but for those that were tried.
pub(crate) fn choose(
    shared: &Shared,
    now: Timestamp,
    endpoints: &Endpoints,
    request: &Identified,
    role: EndpointRole,
    tried: &[Arc<EndpointEntry>],
) -> Option<Arc<EndpointEntry>> {
    let cold_start = request.table.service(&request.service)?.cold_start;
    let gateways = shared.gateways.load(Ordering::Relaxed);
    let turn = Pacing::for_sender(cold_start.per_kilosecond, gateways, shared.number);
    let usable: Vec<_> = endpoints
        .active(&request.service, role)
        .iter()
        .filter(|each| !shared.directory.is_out(&each.listed.data_centre))
        .filter(|each| !tried.iter().any(|old| old.listed.id == each.listed.id))
        .filter(|each| each.cold().allows_request(now, turn))
        .collect();
    let candidates: Vec<_> = usable
        .iter()
        .map(|each| candidate(shared, now, each))
        .collect();
    let chosen = usable[pick(&candidates, shared.random())?];
    chosen.cold().record_request(now, turn);
    Some(Arc::clone(chosen))
}

fn candidate(shared: &Shared, now: Timestamp, endpoint: &EndpointEntry) -> Candidate {
    let health = endpoint.health();
    let told = endpoint
        .told_load()
        .filter(|(at, _)| now.since(*at) < TOLD_LOAD_LIFE)
        .map(|(_, load)| u64::from(load.running) + u64::from(load.waiting));
    let own = u64::from(endpoint.in_hand.load(Ordering::Relaxed));
    let is_prefill = endpoint.listed.role == EndpointRole::Prefill;
    Candidate {
        own_load: own,
        reported_load: told,
        // A prefill engine works through one prompt after the other.
        concurrency: if is_prefill {
            1
        } else {
            u64::from(endpoint.listed.slots)
        },
        latency: health.latency().filter(|_| !is_prefill),
        failure_permille: health.failure_permille(now),
        // A cold endpoint bears little: it gets work from here only if there is no other.
        last_resort: health.is_backing_off(now) || endpoint.cold().is_cold(now),
        is_local: endpoint.listed.data_centre == shared.settings.data_centre,
    }
}

/// Sends a request to an endpoint and waits for the head of its answer, at most for a while.
pub(crate) async fn call(
    shared: &Shared,
    request: &Identified,
    whole: &Whole,
    endpoint: &Arc<EndpointEntry>,
    step: Step,
    limit: Duration,
) -> Result<Opened, CallFailure> {
    let opened = call_once(shared, request, whole, endpoint, step, limit).await;
    let outcome = match &opened {
        Ok(_) => "answered",
        Err(CallFailure::NotSent) => "not_sent",
        Err(CallFailure::NotRun) => "not_run",
        Err(CallFailure::Unknown(_)) => "unknown",
        Err(CallFailure::TimedOut) => "timed_out",
    };
    shared.metrics.called(request.service.as_str(), outcome);
    opened
}

async fn call_once(
    shared: &Shared,
    request: &Identified,
    whole: &Whole,
    endpoint: &Arc<EndpointEntry>,
    step: Step,
    limit: Duration,
) -> Result<Opened, CallFailure> {
    let now = shared.now();
    let in_hand = InHand::new(endpoint);
    let service = request.table.service(&request.service);
    let most = service.map_or(MIN_CONNECTIONS, |service| {
        (service.max_connections / CONNECTION_SHARE).max(MIN_CONNECTIONS)
    });
    let mut connection = match endpoint.pool.take(now, most).await {
        Ok(connection) => connection,
        Err(NotSent::Unreachable) => {
            endpoint.health().record_unreachable(shared.now());
            return Err(CallFailure::NotSent);
        }
        Err(NotSent::TooMany) => return Err(CallFailure::NotSent),
    };
    let sent = shared.now();
    let outgoing = outgoing(shared, request, whole, endpoint, step.clone(), sent);
    let answered = timeout(limit, connection.send(outgoing)).await;
    let now = shared.now();
    let response = match answered {
        Ok(Ok(response)) => response,
        Ok(Err(e)) if e.is_canceled() => return Err(CallFailure::NotSent),
        Ok(Err(_)) => {
            endpoint.health().record_unreachable(now);
            return Err(CallFailure::Unknown("the endpoint broke the connection"));
        }
        Err(_) => {
            endpoint.health().record_failure(now);
            return Err(CallFailure::TimedOut);
        }
    };
    let dialect = &shared.dialect;
    if let Some(load) = dialect.load(response.headers()) {
        endpoint.tell_load(now, load);
    }
    let attempt = &request.facts.attempt;
    match dialect.classify(attempt, &step, response.status(), response.headers()) {
        AnswerClass::Own => Ok(Opened {
            response,
            connection,
            endpoint: Arc::clone(endpoint),
            in_hand,
            sent,
        }),
        AnswerClass::NotRun => {
            endpoint.health().record_failure(now);
            Err(CallFailure::NotRun)
        }
        AnswerClass::Foreign => {
            endpoint.health().record_failure(now);
            Err(CallFailure::Unknown("the answer is not the endpoint's own"))
        }
    }
}

fn outgoing(
    shared: &Shared,
    request: &Identified,
    whole: &Whole,
    endpoint: &EndpointEntry,
    step: Step,
    now: Timestamp,
) -> Request<Full<Bytes>> {
    let mut headers = whole.headers.clone();
    drop_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    if !whole.body.is_empty() || whole.method == Method::POST || whole.method == Method::PUT {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(whole.body.len()));
    }
    let call = OutgoingCall {
        account: request.account.as_ref(),
        time_left: request.time_left(now),
        endpoint: &endpoint.listed.id,
        step,
    };
    shared.dialect.forward(&mut headers, &call);
    let mut outgoing = Request::new(Full::new(whole.body.clone()));
    *outgoing.method_mut() = whole.method.clone();
    *outgoing.uri_mut() = whole.uri.clone();
    *outgoing.headers_mut() = headers;
    outgoing
}

/// Drops the headers that concern one connection only, those that `Connection` names included.
pub(crate) fn drop_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
