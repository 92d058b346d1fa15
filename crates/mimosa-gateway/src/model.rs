//! Requests to language models: prefill at one endpoint, decode at another.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::header;
use hyper::header::HeaderValue;
use log::info;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_route::Route;
use mimosa_schedule::fleet::Placement;
use mimosa_schedule::fleet::PlacementRefusal;
use mimosa_schedule::fleet::PlacementRequest;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::StreamVersion;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::dialect::KvSource;
use crate::dialect::Step;
use crate::directory::EndpointEntry;
use crate::directory::EndpointSet;
use crate::dispatch;
use crate::dispatch::PlacedRun;
use crate::dispatch::PlacementOutcome;
use crate::head::IdentifiedRequest;
use crate::part_quarantine::TrackedRun;
use crate::relay;
use crate::relay::StreamInfo;
use crate::response::Body;
use crate::response::Failure;
use crate::resume;
use crate::resume::ResumeContext;
use crate::rollout::CallOutcome;
use crate::shared::Shared;
use crate::upstream;
use crate::upstream::CallFailure;
use crate::upstream::ClientRequest;
use crate::upstream::Patience;

mod local;

/// Maximum size of the response to a prefill, which contains little more than the KV cache handle, and
/// to the release of a KV cache.
const MAX_KV_RESPONSE_BYTES: usize = 16 << 10;
/// Retry delay for clients when no endpoint had capacity.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Timeout of the call that releases a KV cache.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of placements of one request: the first, and others after an endpoint was full or
/// unreachable.
const MAX_PLACEMENTS: u32 = 3;

/// Time without an answer to the first prefill, in thousandths of the latency target, after which
/// another endpoint is tried while the target can still be met. Abandoning a prefill is safe, because
/// a prefill alone does not execute the request.
const FIRST_PREFILL_PATIENCE_PERMILLE: u32 = 600;

/// Endpoints assigned to a request, and its run as known to the leader.
struct Assignment {
    prefill: Option<Arc<EndpointEntry>>,
    decode: Arc<EndpointEntry>,
    run: PlacedRun,
}

/// Endpoints tried for a request so far, the executions it has left, and its KV cache if one
/// exists.
pub(crate) struct Attempts {
    pub(crate) tried: Vec<Arc<EndpointEntry>>,
    /// Number of executions that are still allowed.
    pub(crate) remaining: u32,
    kv_cache: Option<KvCacheLease>,
    /// Version on which the stream began; `None` before it did.
    began_on: Option<StreamVersion>,
    /// Fingerprint of the content, by which the leader recognises a client that it told to retry;
    /// `None` if fair shares are disabled.
    fingerprint: Option<u64>,
    /// Endpoint whose stream is still open, although silent, so that it gets no second run.
    pub(crate) running_at: Option<EndpointId>,
}

impl Attempts {
    /// The state before the first attempt.
    pub(crate) fn new(max_attempts: u32) -> Self {
        Self {
            tried: Vec::new(),
            remaining: max_attempts.max(1),
            kv_cache: None,
            began_on: None,
            fingerprint: None,
            running_at: None,
        }
    }

    /// The endpoint that was tried last.
    pub(crate) fn last_endpoint(&self) -> Option<EndpointId> {
        self.tried.last().map(|each| each.listed.id.clone())
    }

    /// Releases the KV cache of an attempt that was given up before its decode.
    pub(crate) fn discard_kv_cache(&mut self) {
        self.kv_cache = None;
    }
}

/// Runs a request to a language model. Its stream is resumable if the route allows it.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    client_request: &ClientRequest,
) -> Result<Response<Body>, Failure> {
    let mut attempts = Attempts::new(request.route.max_attempts);
    if shared.settings.features.fair_shares {
        // The lower half of a hash is a hash.
        attempts.fingerprint = Some(client_request.parts.whole.0 as u64);
    }
    let response = run_with_retries(shared, request, client_request, &mut attempts).await?;
    if !request.route.retry_policy.allows_resume() {
        return Ok(response);
    }
    let context = ResumeContext::new(
        Arc::clone(shared),
        request.clone(),
        client_request.clone(),
        attempts,
    );
    Ok(resume::resumable(response, context))
}

/// Places and runs a request until an endpoint starts the response, up to [`MAX_PLACEMENTS`] times.
pub(crate) async fn run_with_retries(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    client_request: &ClientRequest,
    attempts: &mut Attempts,
) -> Result<Response<Body>, Failure> {
    let mut last = None;
    for _ in 0..MAX_PLACEMENTS {
        let assignment =
            match place_unless_quarantined(shared, request, client_request, attempts).await {
                Ok(assignment) => assignment,
                Err(failure) => return Err(last.map_or(failure, final_failure)),
            };
        let failure = match run(shared, request, client_request, assignment, attempts).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        last = Some(failure.after(last));
        let may_rerun = request.route.retry_policy.allows_resume() && attempts.remaining > 0;
        let is_final = match failure {
            CallFailure::NotSent | CallFailure::NotRun => false,
            CallFailure::Unknown(_) => !may_rerun,
            CallFailure::TimedOut => true,
        };
        if is_final {
            break;
        }
        let now = shared.now();
        let is_past_deadline = now >= request.deadline;
        // A request that was not sent caused no load, so it needs no retry budget.
        let may_retry = failure == CallFailure::NotSent || shared.take_retry(now, &request.service);
        if is_past_deadline || !may_retry {
            break;
        }
    }
    Err(last.map_or(not_run("no endpoint had room"), final_failure))
}

/// Maps the failure of the last call to the response for the client.
const fn final_failure(failure: CallFailure) -> Failure {
    match failure {
        CallFailure::NotSent => not_run("an endpoint cannot be reached"),
        CallFailure::NotRun => not_run("an endpoint has no room"),
        CallFailure::Unknown(reason) => Failure::Lost(reason),
        CallFailure::TimedOut => Failure::TimedOut,
    }
}

/// Runs the prefill unless the KV cache already exists, then starts the decode.
async fn run(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    client_request: &ClientRequest,
    assignment: Assignment,
    attempts: &mut Attempts,
) -> Result<Response<Body>, CallFailure> {
    let Assignment {
        prefill: prefill_endpoint,
        decode,
        run,
    } = assignment;
    if let Some(endpoint) = prefill_endpoint {
        let patience = if attempts.tried.is_empty() {
            request.route.latency_target * FIRST_PREFILL_PATIENCE_PERMILLE / 1_000
        } else {
            Duration::MAX
        };
        let sent = shared.now();
        match prefill(shared, request, client_request, &endpoint, &run, patience).await {
            Ok(lease) => attempts.kv_cache = Some(lease),
            Err(failure) => {
                if failure.is_disconnect() {
                    let tracked = TrackedRun::new(request, client_request);
                    tracked.report_lost(shared, &endpoint, sent);
                }
                run.end(RunEnd::Unreachable(endpoint.listed.id.clone()));
                attempts.tried.push(endpoint);
                // Even if the prefill ran, the request itself was not executed.
                return Err(match failure {
                    CallFailure::NotSent => CallFailure::NotSent,
                    _ => CallFailure::NotRun,
                });
            }
        }
    }
    if !still_takes(shared, shared.now(), &decode) {
        info!(
            "request={} step=decode outcome=endpoint_gone endpoint={}",
            request.metadata.attempt_id, decode.listed.id
        );
        run.end(RunEnd::NoCapacity);
        attempts.tried.push(decode);
        return Err(CallFailure::NotSent);
    }
    // A rollout may have withdrawn the version during the prefill.
    if !shared.rollouts.accepts_placement(&request.service, &decode) {
        run.end(RunEnd::NoCapacity);
        attempts.tried.push(decode);
        return Err(CallFailure::NotRun);
    }
    attempts.kv_cache.take_if(|lease| {
        let rollouts = &shared.rollouts;
        !rollouts.can_use_cache(&request.service, &lease.endpoint, &decode)
    });
    let step = match &attempts.kv_cache {
        Some(lease) => Step::Decode(lease.source()),
        None => Step::Full,
    };
    let tracked = TrackedRun::new(request, client_request);
    let sent = shared.now();
    let time_left = request.time_left(sent);
    // Counted before the call, which may be given up at any point.
    let remaining = attempts.remaining;
    attempts.remaining = remaining.saturating_sub(1);
    attempts.tried.push(Arc::clone(&decode));
    let call = (request, client_request);
    match upstream::call(shared, call, &decode, step, time_left, None).await {
        Ok(response) => {
            if let Some(lease) = attempts.kv_cache.take() {
                lease.consume();
            }
            let version = decode.listed.version.clone();
            attempts.began_on.get_or_insert(StreamVersion(version));
            info!(
                "request={} step=decode outcome=started endpoint={} waited_ms={}",
                request.metadata.attempt_id,
                decode.listed.id,
                shared.now().since(request.arrived).as_millis()
            );
            let engine = request.table.service(&request.service);
            let engine = engine.and_then(|service| service.engine);
            let info = StreamInfo {
                attempt_id: request.metadata.attempt_id.clone(),
                shared_parts: request.metadata.shared_parts_text(),
                arrived: request.arrived,
                deadline: request.deadline,
                resumes: shared
                    .dialect
                    .last_event_id(&client_request.headers)
                    .is_some(),
                run: Some(run),
                tracked: Some(tracked),
                tokens_per_event: engine.map_or(Tokens(1), |engine| engine.tokens_per_event),
            };
            Ok(relay::stream(shared, response, info))
        }
        Err(failure) => {
            info!(
                "request={} step=decode outcome={failure:?} endpoint={} parts={}",
                request.metadata.attempt_id,
                decode.listed.id,
                request.metadata.shared_parts_text()
            );
            if failure == upstream::CONNECTION_LOST {
                tracked.report_lost(shared, &decode, sent);
            }
            let id = decode.listed.id.clone();
            run.end(match failure {
                CallFailure::NotRun => RunEnd::NoCapacity,
                CallFailure::NotSent => RunEnd::Unreachable(id),
                CallFailure::Unknown(_) => RunEnd::EndpointLost(id),
                CallFailure::TimedOut => RunEnd::Aborted,
            });
            if failure.has_not_run() {
                attempts.remaining = remaining;
            } else {
                // A KV cache can be used once, and this attempt may have used it.
                attempts.kv_cache = None;
            }
            Err(failure)
        }
    }
}

/// Whether an endpoint that was selected before a prefill still takes work. It may have begun to drain, left, or
/// been taken out with its data centre since.
fn still_takes(shared: &Shared, now: Timestamp, selected: &EndpointEntry) -> bool {
    let endpoints = shared.directory.endpoints();
    let current = endpoints.get(&selected.listed.id);
    let is_listed = current
        .is_some_and(|current| current.is_same_process(selected) && current.accepts_requests(now));
    let data_centre = &selected.listed.data_centre;
    is_listed && !shared.directory.is_out_of_service(data_centre)
}

async fn place_unless_quarantined(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    client_request: &ClientRequest,
    attempts: &Attempts,
) -> Result<Assignment, Failure> {
    let check = || {
        let parts = &client_request.parts;
        shared.suspects.check(shared.now(), request, parts)
    };
    check()?;
    let assignment = place(shared, request, attempts).await?;
    // The request may have been quarantined while it was queued.
    check()?;
    Ok(assignment)
}

/// Places a request: the leader decides, or this gateway if no leader responds. The leader decides
/// again if an endpoint is gone or takes no requests of this gateway any more.
async fn place(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    attempts: &Attempts,
) -> Result<Assignment, Failure> {
    for _ in 0..MAX_PLACEMENTS {
        let outcome = shared
            .placement
            .request(
                || shared.now(),
                &request.service,
                |now, number| placement_request(shared, request, attempts, now, number),
            )
            .await;
        let endpoints = shared.directory.endpoints();
        match outcome {
            PlacementOutcome::Placed(run) => {
                if let Some(assignment) = assign(shared, request, &endpoints, run) {
                    return Ok(assignment);
                }
            }
            PlacementOutcome::Rejected(cause, retry_after) => {
                let role = EndpointRole::Decode;
                let wait = upstream::time_to_endpoint(shared, shared.now(), request, role);
                // The leader does not know how long endpoints that this gateway excludes want a pause.
                let retry_after = match cause {
                    PlacementRefusal::NoEndpoint => wait.unwrap_or_default().max(retry_after),
                    _ => retry_after,
                };
                info!(
                    "request={} step=place outcome={cause:?} retry_after_ms={}",
                    request.metadata.attempt_id,
                    retry_after.as_millis()
                );
                return Err(rejection(cause, retry_after));
            }
            PlacementOutcome::NoLeader { has_waited } => {
                return local::place_locally(shared, request, &endpoints, attempts, has_waited);
            }
        }
    }
    Err(not_run("the endpoint is gone"))
}

/// The endpoints that the leader selected; `None` if one of them takes no request any more.
fn assign(
    shared: &Shared,
    request: &IdentifiedRequest,
    endpoints: &EndpointSet,
    run: PlacedRun,
) -> Option<Assignment> {
    let Placement { prefill, decode } = &run.placement;
    let now = shared.now();
    let waited = now.since(request.arrived);
    let available = |id| {
        let endpoint = endpoints.get(id)?;
        let is_accepted = endpoint.accepts_requests(now)
            && shared
                .rollouts
                .accepts_placement(&request.service, endpoint);
        is_accepted.then(|| Arc::clone(endpoint))
    };
    let prefill_endpoint = match prefill {
        Some(id) => available(id).map(Some),
        None => Some(None),
    };
    let selected = available(decode).zip(prefill_endpoint);
    info!(
        "request={} step=place outcome={} prefill={} decode={decode} waited_ms={}",
        request.metadata.attempt_id,
        selected.as_ref().map_or("endpoint_gone", |_| "placed"),
        prefill.as_ref().map_or("none", EndpointId::as_str),
        waited.as_millis()
    );
    let Some((decode, prefill)) = selected else {
        run.end(RunEnd::NoCapacity);
        return None;
    };
    shared
        .metrics
        .record_placement(request.service.as_str(), "leader", waited);
    Some(Assignment {
        prefill,
        decode,
        run,
    })
}

const fn rejection(cause: PlacementRefusal, retry_after: Duration) -> Failure {
    let reason = match cause {
        PlacementRefusal::NoEndpoint => "no endpoint takes work",
        PlacementRefusal::TooLate => "no room in time",
        PlacementRefusal::TooLarge => "larger than an endpoint's memory",
        PlacementRefusal::OverQuota => return Failure::OverQuota(retry_after),
        PlacementRefusal::OverBurst => return Failure::OverBurst,
    };
    Failure::NotRun {
        reason,
        retry_after,
    }
}

fn placement_request(
    shared: &Shared,
    request: &IdentifiedRequest,
    attempts: &Attempts,
    now: Timestamp,
    number: u64,
) -> PlacementRequest {
    let metadata = &request.metadata;
    let route = &request.route;
    let max_wait = first_event_timeout(route).min(request.deadline.since(request.arrived));
    let waited = now.since(request.waiting_since);
    // A resumed stream waits anew, but not beyond the deadline.
    let max_wait_left = max_wait.saturating_sub(waited).min(request.time_left(now));
    let kv_cache_left = attempts
        .kv_cache
        .as_ref()
        .map(|lease| lease.time_left(request, now));
    let account = request.account.as_ref();
    let priority = account
        .and_then(|id| request.table.account(id))
        .and_then(|account| account.priority);
    PlacementRequest {
        id: dispatch::request_id(&shared.settings.instance, number),
        account: request.account.clone(),
        prompt: metadata.prompt_tokens.unwrap_or_default(),
        max_output: metadata.max_output_tokens.unwrap_or_default(),
        expected_output: metadata.expected_output_tokens,
        priority: priority.unwrap_or(route.priority),
        time_to_target: route.latency_target.saturating_sub(waited),
        time_to_timeout: kv_cache_left.map_or(max_wait_left, |left| left.min(max_wait_left)),
        data_centre: shared.settings.data_centre.clone(),
        avoid: attempts
            .tried
            .iter()
            .map(|each| each.listed.id.clone())
            .collect(),
        exclude: excluded_endpoints(shared, now, request)
            .into_iter()
            .chain(attempts.running_at.clone())
            .collect(),
        kv_cache_at: attempts
            .kv_cache
            .as_ref()
            .map(|lease| lease.endpoint.listed.id.clone()),
        resumes: attempts.began_on.clone(),
        fingerprint: attempts.fingerprint,
    }
}

/// Endpoints of the request's service that take no requests of this gateway.
fn excluded_endpoints(
    shared: &Shared,
    now: Timestamp,
    request: &IdentifiedRequest,
) -> Vec<EndpointId> {
    let endpoints = shared.directory.endpoints();
    let roles = [EndpointRole::Prefill, EndpointRole::Decode];
    let active = roles.map(|role| endpoints.active(&request.service, role));
    let excluded = active
        .iter()
        .flat_map(|each| each.iter())
        .filter(|each| !each.accepts_requests(now));
    excluded.map(|each| each.listed.id.clone()).collect()
}

/// Time for which clients wait for the first event of a stream.
fn first_event_timeout(route: &Route) -> Duration {
    /// Minimum time for which clients wait.
    const MIN_TIMEOUT: Duration = Duration::from_secs(2);
    /// Timeout as a multiple of the latency target.
    const LATENCY_TARGETS: u32 = 4;
    /// Timeout as a multiple of the event gap target.
    const EVENT_GAPS: u32 = 8;
    let gap = route.event_gap_target.unwrap_or_default() * EVENT_GAPS;
    MIN_TIMEOUT
        .max(route.latency_target * LATENCY_TARGETS)
        .max(gap)
}

/// Runs the prefill and reports its duration to the leader. One that takes longer than `patience` is given up
/// if another endpoint can be tried.
async fn prefill(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    client_request: &ClientRequest,
    endpoint: &Arc<EndpointEntry>,
    run: &PlacedRun,
    patience: Duration,
) -> Result<KvCacheLease, CallFailure> {
    let started = shared.now();
    let (tx, exceeded) = oneshot::channel();
    let patience = Patience {
        time: patience,
        exceeded: tx,
    };
    let call = call_prefill(shared, request, client_request, endpoint, patience);
    let mut call = pin!(call);
    let lease = tokio::select! {
        biased;
        lease = &mut call => lease,
        Ok(()) = exceeded => match may_prefill_elsewhere(shared, request, endpoint) {
            true => {
                shared.metrics.record_call(request.service.as_str(), "timed_out");
                Err(CallFailure::TimedOut)
            }
            false => call.await,
        },
    };
    match &lease {
        Ok(_) => run.report_prefilled(shared.now().since(started)),
        Err(failure) => info!(
            "request={} step=prefill outcome={failure:?} endpoint={}",
            request.metadata.attempt_id, endpoint.listed.id
        ),
    }
    lease
}

/// Whether another endpoint may be asked for the prefill: one takes it, and the retry budget covers it.
fn may_prefill_elsewhere(
    shared: &Shared,
    request: &IdentifiedRequest,
    endpoint: &Arc<EndpointEntry>,
) -> bool {
    let now = shared.now();
    let endpoints = shared.directory.endpoints();
    let role = EndpointRole::Prefill;
    let tried = std::slice::from_ref(endpoint);
    let others = upstream::usable_endpoints(shared, now, &endpoints, request, role, tried);
    !others.is_empty() && shared.covers_retry(now, &request.service)
}

async fn call_prefill(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    client_request: &ClientRequest,
    endpoint: &Arc<EndpointEntry>,
    patience: Patience,
) -> Result<KvCacheLease, CallFailure> {
    let upstream_response = upstream::call(
        shared,
        (request, client_request),
        endpoint,
        Step::Prefill,
        request.time_left(shared.now()),
        Some(patience),
    )
    .await?;
    let sent = upstream_response.sent;
    let versioned = upstream_response.versioned;
    let body = Limited::new(
        upstream_response.response.into_body(),
        MAX_KV_RESPONSE_BYTES,
    );
    let body = timeout(request.time_left(shared.now()), body.collect()).await;
    let now = shared.now();
    let Ok(Ok(body)) = body else {
        endpoint.health().record_unreachable(now);
        if let Some(versioned) = versioned {
            versioned.record(shared, CallOutcome::Failed);
        }
        return Err(match body {
            Ok(_) => upstream::RESPONSE_CUT,
            Err(_) => CallFailure::TimedOut,
        });
    };
    endpoint.pool.put(now, upstream_response.connection);
    endpoint.health().record_answer(now, now.since(sent));
    let handle = shared.dialect.parse_prefill_handle(&body.to_bytes());
    if let Some(versioned) = versioned {
        let prompt = request.metadata.prompt_tokens.unwrap_or_default();
        match &handle {
            Some(_) => versioned.record_sized(shared, now, prompt.0),
            None => versioned.record(shared, CallOutcome::Failed),
        }
    }
    match handle {
        Some(handle) => Ok(KvCacheLease {
            shared: Arc::clone(shared),
            endpoint: Arc::clone(endpoint),
            handle,
            created_at: now,
            is_held: true,
        }),
        None => Err(CallFailure::Unknown("the prefill's answer cannot be read")),
    }
}

const fn not_run(reason: &'static str) -> Failure {
    Failure::NotRun {
        reason,
        retry_after: BUSY_RETRY_AFTER,
    }
}

/// A KV cache held by a prefill endpoint. Dropping it before it is consumed releases it there.
struct KvCacheLease {
    shared: Arc<Shared>,
    endpoint: Arc<EndpointEntry>,
    handle: String,
    created_at: Timestamp,
    is_held: bool,
}

impl KvCacheLease {
    fn source(&self) -> KvSource {
        KvSource {
            address: self.endpoint.listed.address.to_string(),
            handle: self.handle.clone(),
        }
    }

    /// Time until the endpoint discards the KV cache.
    fn time_left(&self, request: &IdentifiedRequest, now: Timestamp) -> Duration {
        let service = request.table.service(&request.service);
        let engine = service.and_then(|service| service.engine);
        let ttl = engine.map_or(Duration::ZERO, |engine| engine.kv_ttl);
        (self.created_at + ttl).since(now)
    }

    fn consume(mut self) {
        self.is_held = false;
    }
}

impl Drop for KvCacheLease {
    fn drop(&mut self) {
        if self.is_held {
            let shared = Arc::clone(&self.shared);
            let endpoint = Arc::clone(&self.endpoint);
            let handle = std::mem::take(&mut self.handle);
            tokio::spawn(async move {
                let released = release(&shared, &endpoint, &handle);
                if timeout(RELEASE_TIMEOUT, released).await.is_err() {
                    info!(
                        "endpoint={} step=release outcome=timeout",
                        endpoint.listed.id
                    );
                }
            });
        }
    }
}

async fn release(shared: &Shared, endpoint: &EndpointEntry, handle: &str) {
    let (method, path) = shared.dialect.release_request(handle);
    let Ok(mut connection) = endpoint.pool.take(shared.now(), u32::MAX).await else {
        return;
    };
    let mut call = Request::new(Full::new(Bytes::new()));
    *call.method_mut() = method;
    let Ok(uri) = path.parse() else { return };
    *call.uri_mut() = uri;
    let host = endpoint.listed.address.to_string();
    if let Ok(host) = HeaderValue::from_str(&host) {
        call.headers_mut().insert(header::HOST, host);
    }
    match connection.send(call).await {
        Ok(response) => {
            let body = Limited::new(response.into_body(), MAX_KV_RESPONSE_BYTES);
            match body.collect().await {
                Ok(_) => endpoint.pool.put(shared.now(), connection),
                // The connection is closed, as the rest of the body would precede the next response.
                Err(e) => info!(
                    "endpoint={} step=release outcome=\"{e}\" limit_bytes={MAX_KV_RESPONSE_BYTES}",
                    endpoint.listed.id
                ),
            }
        }
        Err(e) => info!(
            "endpoint={} step=release outcome=\"{e}\"",
            endpoint.listed.id
        ),
    }
}
