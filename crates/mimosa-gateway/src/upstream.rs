//! Endpoint selection and single calls to endpoints.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use log::info;
use mimosa_hold::part_quarantine::RequestParts;
use mimosa_hold::retry::Evidence;
use mimosa_hold::retry::Progress;
use mimosa_hold::retry::execution_status;
use mimosa_protocol::ExecutionStatus;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_route::RoutedService;
use mimosa_route::message::GatewayMessage;
use mimosa_schedule::cold::Pacing;
use mimosa_schedule::pick::Candidate;
use mimosa_schedule::pick::pick;
use mimosa_transport::status;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::connection::Connection;
use crate::connection::PoolError;
use crate::dialect::OutgoingCall;
use crate::dialect::ResponseClass;
use crate::dialect::SenderAdvice;
use crate::dialect::SentCall;
use crate::dialect::Step;
use crate::directory::EndpointEntry;
use crate::directory::EndpointSet;
use crate::directory::InFlightGuard;
use crate::head::IdentifiedRequest;
use crate::rollout::CallOutcome;
use crate::rollout::VersionedCall;
use crate::shared::Shared;

/// Hop-by-hop headers, which are not forwarded.
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
/// Age up to which a reported load is used for endpoint selection.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(500);
const WHOLE_PERMILLE: u32 = 1_000;
/// Share of an endpoint's connections available to one gateway, as a divisor.
const CONNECTION_SHARE_DIVISOR: u32 = 6;
/// Connections to an endpoint that a gateway may always open.
const MIN_CONNECTIONS: u32 = 4;

/// A client request with its complete body.
#[derive(Clone)]
pub(crate) struct ClientRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Fingerprints of the content, for the quarantine.
    pub(crate) parts: Arc<RequestParts>,
}

/// A response whose head has been received.
pub(crate) struct UpstreamResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) endpoint: Arc<EndpointEntry>,
    pub(crate) in_flight: InFlightGuard,
    pub(crate) sent: Timestamp,
    /// The call for the comparison of versions; `None` without a running rollout.
    pub(crate) versioned: Option<VersionedCall>,
}

/// Why a call produced no valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// The request was not sent.
    NotSent,
    /// The endpoint reported that it did not execute the request.
    NotRun,
    /// The request may have been executed.
    Unknown(&'static str),
    /// The endpoint exceeded the time limit; the request may have been executed.
    TimedOut,
}

/// The endpoint closed the connection before a response.
pub(crate) const CONNECTION_LOST: CallFailure =
    CallFailure::Unknown("the endpoint broke the connection");
/// The endpoint closed the connection within a response.
pub(crate) const RESPONSE_CUT: CallFailure = CallFailure::Unknown("the answer was cut off");

impl CallFailure {
    /// Whether the endpoint broke the connection, perhaps because its process ended.
    pub(crate) fn is_disconnect(self) -> bool {
        self == CONNECTION_LOST || self == RESPONSE_CUT
    }

    /// Whether the request was certainly not executed.
    pub(crate) const fn has_not_run(self) -> bool {
        let (progress, evidence) = match self {
            Self::NotSent => (Progress::NotSent, Evidence::Nothing),
            Self::NotRun => (Progress::Sent, Evidence::NotRun),
            Self::Unknown(_) | Self::TimedOut => (Progress::Sent, Evidence::Nothing),
        };
        matches!(execution_status(progress, evidence), ExecutionStatus::No)
    }

    /// Combines this failure with an earlier one: a failure after which the request may have been
    /// executed takes precedence.
    pub(crate) const fn after(self, earlier: Option<Self>) -> Self {
        match earlier {
            Some(earlier) if !earlier.has_not_run() && self.has_not_run() => earlier,
            _ => self,
        }
    }
}

/// The endpoints of the request's service and role that were not tried yet and accept it now.
pub(crate) fn usable_endpoints<'a>(
    shared: &Shared,
    now: Timestamp,
    endpoints: &'a EndpointSet,
    request: &IdentifiedRequest,
    role: EndpointRole,
    tried: &[Arc<EndpointEntry>],
) -> Vec<&'a Arc<EndpointEntry>> {
    let Some(pacing) = cold_pacing(shared, request) else {
        return Vec::new();
    };
    endpoints
        .active(&request.service, role)
        .iter()
        .filter(|each| !shared.directory.is_out_of_service(&each.listed.data_centre))
        .filter(|each| !tried.iter().any(|other| other.listed.id == each.listed.id))
        .filter(|each| each.accepts_requests(now))
        .filter(|each| each.cold().allows_request(now, pacing))
        .filter(|each| each.rate_limit().allows_request(now, shared.senders()))
        .filter(|each| shared.allows_body(each.held_bodies(), request.body_size()))
        .collect()
}

/// Rate limit for requests of this gateway to a cold endpoint of the request's service; `None` if the
/// service is unknown.
fn cold_pacing(shared: &Shared, request: &IdentifiedRequest) -> Option<Pacing> {
    let cold_start = request.table.service(&request.service)?.cold_start;
    let gateways = shared.gateways.load(Ordering::Relaxed);
    let rate = cold_start.per_kilosecond;
    Some(Pacing::for_sender(rate, gateways, shared.pacing_number))
}

/// Selects one of the endpoints from [`usable_endpoints`]; `None` without any.
pub(crate) fn select_usable(
    shared: &Shared,
    now: Timestamp,
    request: &IdentifiedRequest,
    usable: &[&Arc<EndpointEntry>],
) -> Option<Arc<EndpointEntry>> {
    let candidates: Vec<_> = usable
        .iter()
        .map(|each| candidate(shared, now, each))
        .collect();
    let selected = usable[pick(&candidates, shared.random())?];
    record_selection(shared, now, request, selected);
    Some(Arc::clone(selected))
}

/// Counts a request to an endpoint against the limits of its cold start and of its rate.
pub(crate) fn record_selection(
    shared: &Shared,
    now: Timestamp,
    request: &IdentifiedRequest,
    selected: &EndpointEntry,
) {
    if let Some(pacing) = cold_pacing(shared, request) {
        selected.cold().record_request(now, pacing);
    }
    selected.rate_limit().record_request(now, shared.senders());
}

/// Maximum number of connections of this gateway to an endpoint of a service.
pub(crate) fn max_connections(service: Option<&RoutedService>) -> u32 {
    service.map_or(MIN_CONNECTIONS, |service| {
        (service.max_connections / CONNECTION_SHARE_DIVISOR).max(MIN_CONNECTIONS)
    })
}

/// Shortest time after which an endpoint of the request's service and role takes a request from this
/// gateway; `None` if none of them asked for fewer.
pub(crate) fn time_to_endpoint(
    shared: &Shared,
    now: Timestamp,
    request: &IdentifiedRequest,
    role: EndpointRole,
) -> Option<Duration> {
    let endpoints = shared.directory.endpoints();
    let active = endpoints.active(&request.service, role).iter();
    let waits = active.filter(|each| !each.is_leaving()).filter_map(|each| {
        let limit = each.rate_limit();
        let wait = limit.wait(now, shared.senders())?;
        let pause = each.paused_until().since(now);
        (limit.rate().is_some() || !pause.is_zero()).then_some(wait.max(pause))
    });
    waits.min()
}

pub(crate) fn candidate(shared: &Shared, now: Timestamp, endpoint: &EndpointEntry) -> Candidate {
    let health = endpoint.health();
    let reported_load = endpoint
        .reported_load()
        .filter(|(at, _)| now.since(*at) < REPORTED_LOAD_TTL)
        .map(|(_, load)| u64::from(load.running) + u64::from(load.waiting));
    let own_load = u64::from(endpoint.in_flight());
    let is_prefill = endpoint.listed.role == EndpointRole::Prefill;
    let current_permille = shared.speeds.current_permille(now, endpoint);
    let latency = health
        .latency()
        .map(|latency| latency * current_permille / WHOLE_PERMILLE);
    Candidate {
        own_load,
        reported_load,
        // Prefill engines process one prompt at a time.
        concurrency: if is_prefill {
            1
        } else {
            u64::from(endpoint.listed.slots)
        },
        latency: latency.filter(|_| !is_prefill),
        failure_permille: health.failure_permille(now),
        // Cold endpoints have little capacity, so they are used only if there is no other.
        last_resort: health.is_backing_off(now) || endpoint.cold().is_cold(now),
        is_local: endpoint.listed.data_centre == shared.settings.data_centre,
    }
}

/// How long a call may take before another endpoint is tried beside it.
pub(crate) struct Patience {
    pub(crate) time: Duration,
    /// Told when the time has passed without a response head. The call goes on.
    pub(crate) exceeded: oneshot::Sender<()>,
}

/// Sends a request to an endpoint and waits up to `time_limit` for the response head. Reports one that takes
/// longer than the caller's patience.
pub(crate) async fn call(
    shared: &Shared,
    (request, client_request): (&IdentifiedRequest, &ClientRequest),
    endpoint: &Arc<EndpointEntry>,
    step: Step,
    time_limit: Duration,
    patience: Option<Patience>,
) -> Result<UpstreamResponse, CallFailure> {
    let call = (request, client_request);
    let result = call_once(shared, call, endpoint, step, time_limit, patience).await;
    let outcome = match &result {
        Ok(_) => "answered",
        Err(CallFailure::NotSent) => "not_sent",
        Err(CallFailure::NotRun) => "not_run",
        Err(CallFailure::Unknown(_)) => "unknown",
        Err(CallFailure::TimedOut) => "timed_out",
    };
    shared
        .metrics
        .record_call(request.service.as_str(), outcome);
    result
}

async fn call_once(
    shared: &Shared,
    (request, client_request): (&IdentifiedRequest, &ClientRequest),
    endpoint: &Arc<EndpointEntry>,
    step: Step,
    time_limit: Duration,
    patience: Option<Patience>,
) -> Result<UpstreamResponse, CallFailure> {
    let now = shared.now();
    let in_flight = InFlightGuard::new(endpoint, request.body_size());
    let mut versioned = shared.rollouts.track(now, request, endpoint, &step);
    let service = request.table.service(&request.service);
    let mut connection = match endpoint.pool.take(now, max_connections(service)).await {
        Ok(connection) => connection,
        Err(PoolError::Refused | PoolError::Unreachable) => {
            endpoint.health().record_unreachable(shared.now());
            record_version(shared, versioned, CallOutcome::Failed);
            return Err(CallFailure::NotSent);
        }
        Err(PoolError::LimitReached) => return Err(CallFailure::NotSent),
    };
    let is_first = connection.is_new();
    let sent = shared.now();
    // A prefill alone does not execute the request.
    if !matches!(step, Step::Prefill) && !request.may_have_run.swap(true, Ordering::Relaxed) {
        shared.rollouts.count_request(&request.service);
    }
    let outgoing = outgoing(
        shared,
        request,
        client_request,
        endpoint,
        step.clone(),
        sent,
    );
    let result = {
        let mut sending = pin!(connection.send(outgoing));
        let early = match patience {
            Some(patience) if patience.time < time_limit => {
                let early = timeout(patience.time, &mut sending).await;
                if early.is_err() {
                    endpoint.health().record_failure(shared.now());
                    // The failure is the call's outcome for the comparison of versions.
                    record_version(shared, versioned.take(), CallOutcome::Failed);
                    patience.exceeded.send(()).ok();
                }
                early.ok()
            }
            _ => None,
        };
        match early {
            Some(result) => Ok(result),
            None => timeout((sent + time_limit).since(shared.now()), sending).await,
        }
    };
    let now = shared.now();
    let response = match result {
        Ok(Ok(response)) => response,
        Ok(Err(e)) if e.is_canceled() => return Err(CallFailure::NotSent),
        Ok(Err(_)) => {
            endpoint.health().record_unreachable(now);
            record_version(shared, versioned, CallOutcome::Failed);
            return Err(CONNECTION_LOST);
        }
        Err(_) => {
            endpoint.health().record_failure(now);
            record_version(shared, versioned, CallOutcome::Failed);
            return Err(CallFailure::TimedOut);
        }
    };
    let dialect = &shared.dialect;
    if let Some(load) = dialect.reported_load(response.headers()) {
        endpoint.set_reported_load(now, load);
    }
    if let Some(percent) = dialect.stated_percent(response.headers())
        && let Some(report) = shared.speeds.record_percent(now, endpoint, percent)
    {
        shared.placement.send_to_leader(report);
    }
    let call = SentCall {
        attempt: &request.metadata.attempt_id,
        step: &step,
        is_first,
    };
    let class = match status::is_final(response.status()) {
        true => dialect.classify(&call, response.status(), response.headers()),
        false => ResponseClass::Unverified,
    };
    // Another endpoint may have taken over the address.
    if class != ResponseClass::Unverified && response.status() != StatusCode::MISDIRECTED_REQUEST {
        let advice = dialect.advice(response.status(), response.headers());
        record_advice(shared, request, endpoint, sent, &advice);
    }
    match class {
        ResponseClass::Verified => Ok(UpstreamResponse {
            response,
            connection,
            endpoint: Arc::clone(endpoint),
            in_flight,
            sent,
            versioned,
        }),
        ResponseClass::NotRun => {
            endpoint.health().record_failure(now);
            record_version(shared, versioned, CallOutcome::Refused);
            Err(CallFailure::NotRun)
        }
        ResponseClass::Unverified => {
            endpoint.health().record_failure(now);
            record_version(shared, versioned, CallOutcome::Failed);
            Err(CallFailure::Unknown("the answer is not the endpoint's own"))
        }
    }
}

fn record_version(shared: &Shared, versioned: Option<VersionedCall>, outcome: CallOutcome) {
    if let Some(versioned) = versioned {
        versioned.record(shared, outcome);
    }
}

/// Records what an endpoint asks of its senders.
fn record_advice(
    shared: &Shared,
    request: &IdentifiedRequest,
    endpoint: &EndpointEntry,
    sent: Timestamp,
    advice: &SenderAdvice,
) {
    let now = shared.now();
    if advice.is_leaving && endpoint.set_leaving() {
        info!("endpoint={} state=leaving", endpoint.listed.id);
    }
    if let Some(pause) = advice.pause {
        endpoint.pause_until(now + pause);
        info!(
            "endpoint={} state=paused for_ms={}",
            endpoint.listed.id,
            pause.as_millis()
        );
    }
    let is_changed =
        endpoint
            .rate_limit()
            .record_response(now, sent, advice.max_rate, shared.senders());
    if endpoint.listed.role != EndpointRole::Plain && (is_changed || advice.max_rate.is_some()) {
        let report = GatewayMessage::ReportRateLimit {
            service: request.service.clone(),
            endpoint: endpoint.listed.id.clone(),
            max_rate: advice.max_rate,
        };
        shared.placement.send_to_leader(report);
    }
    if is_changed {
        let id = &endpoint.listed.id;
        let gateways = shared.senders().count;
        match advice.max_rate {
            Some(rate) => info!("endpoint={id} state=limited max_per_s={rate} gateways={gateways}"),
            None => info!("endpoint={id} state=unlimited"),
        }
    }
}

fn outgoing(
    shared: &Shared,
    request: &IdentifiedRequest,
    client_request: &ClientRequest,
    endpoint: &EndpointEntry,
    step: Step,
    now: Timestamp,
) -> Request<Full<Bytes>> {
    let mut headers = client_request.headers.clone();
    remove_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    if !client_request.body.is_empty()
        || client_request.method == Method::POST
        || client_request.method == Method::PUT
    {
        headers.insert(
            header::CONTENT_LENGTH,
            HeaderValue::from(client_request.body.len()),
        );
    }
    let call = OutgoingCall {
        account: request.account.as_ref(),
        time_left: request.time_left(now),
        endpoint: &endpoint.listed.id,
        step,
    };
    shared.dialect.rewrite_headers(&mut headers, &call);
    let mut outgoing = Request::new(Full::new(client_request.body.clone()));
    *outgoing.method_mut() = client_request.method.clone();
    *outgoing.uri_mut() = client_request.uri.clone();
    *outgoing.headers_mut() = headers;
    outgoing
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
