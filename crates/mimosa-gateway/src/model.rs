//! Requests of models: prefill at one endpoint, decode at another.

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
use tokio::time::timeout;

use crate::answer::Body;
use crate::answer::Failure;
use crate::dialect::KvSource;
use crate::dialect::Step;
use crate::directory::EndpointEntry;
use crate::directory::Endpoints;
use crate::dispatch;
use crate::dispatch::Run;
use crate::dispatch::Verdict;
use crate::head::Identified;
use crate::quota;
use crate::relay;
use crate::relay::StreamInfo;
use crate::resume;
use crate::resume::Origin;
use crate::shared::Shared;
use crate::upstream;
use crate::upstream::CallFailure;
use crate::upstream::Whole;

/// Largest answer to a prefill, in bytes.
const MAX_PREFILL_ANSWER: usize = 16 << 10;
/// When callers come back after no endpoint had room for their prompt.
const BUSY_RETRY: Duration = Duration::from_millis(500);
/// Time for the call that frees a KV cache.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Places where one request is tried: the first, and others after an endpoint was full or gone.
const MAX_PLACES: u32 = 3;

/// Part of the latency target, in thousandths, after which a first prefill is given up for another
/// endpoint, while that can still be in time. A prefill is no run of the request.
const FIRST_PREFILL_PERMILLE: u32 = 600;

/// Where a request runs.
struct Places {
    prefill: Option<Arc<EndpointEntry>>,
    decode: Arc<EndpointEntry>,
    run: Run,
}

/// What was tried for a request so far.
pub(crate) struct Tried {
    pub(crate) endpoints: Vec<Arc<EndpointEntry>>,
    /// Runs that it may still have.
    pub(crate) attempts_left: u32,
    cache: Option<HeldCache>,
}

impl Tried {
    /// Nothing, of so many runs.
    pub(crate) fn nothing(attempts: u32) -> Self {
        Self {
            endpoints: Vec::new(),
            attempts_left: attempts.max(1),
            cache: None,
        }
    }
}

/// Serves a request of a model.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    request: &Identified,
    whole: &Whole,
) -> Result<Response<Body>, Failure> {
    let mut tried = Tried::nothing(request.route.max_attempts);
    let response = run_anywhere(shared, request, whole, &mut tried).await?;
    if !request.route.repeat.may_resume() {
        return Ok(response);
    }
    let origin = Origin {
        shared: Arc::clone(shared),
        request: request.clone(),
        whole: whole.clone(),
        tried,
    };
    Ok(resume::resumable(response, origin))
}

/// Runs a request of a model where there is room, at an endpoint that was not tried yet.
pub(crate) async fn run_anywhere(
    shared: &Arc<Shared>,
    request: &Identified,
    whole: &Whole,
    tried: &mut Tried,
) -> Result<Response<Body>, Failure> {
    let mut last = None;
    for _ in 0..MAX_PLACES {
        let places = match place(shared, request, tried).await {
            Ok(places) => places,
            Err(failure) => return Err(last.map_or(failure, failed)),
        };
        let failure = match run(shared, request, whole, places, tried).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        last = Some(failure.after(last));
        let may_run_again = request.route.repeat.may_resume() && tried.attempts_left > 0;
        let ends = match failure {
            CallFailure::NotSent | CallFailure::NotRun => false,
            CallFailure::Unknown(_) => !may_run_again,
            CallFailure::TimedOut => true,
        };
        if ends {
            break;
        }
        let now = shared.now();
        let is_over = now >= request.deadline;
        // What did not reach an endpoint burdens none.
        let may_repeat =
            failure == CallFailure::NotSent || shared.take_retry(now, &request.service);
        if is_over || !may_repeat {
            break;
        }
    }
    Err(last.map_or(not_run("no endpoint had room"), failed))
}

/// The answer after the last call failed.
const fn failed(failure: CallFailure) -> Failure {
    match failure {
        CallFailure::NotSent => not_run("an endpoint cannot be reached"),
        CallFailure::NotRun => not_run("an endpoint has no room"),
        CallFailure::Unknown(reason) => Failure::Lost(reason),
        CallFailure::TimedOut => Failure::TimedOut,
    }
}

/// Prefills where that is still to be done, and starts the decode.
async fn run(
    shared: &Arc<Shared>,
    request: &Identified,
    whole: &Whole,
    places: Places,
    tried: &mut Tried,
) -> Result<Response<Body>, CallFailure> {
    let Places {
        prefill: prefill_at,
        decode,
        run,
    } = places;
    if let Some(endpoint) = prefill_at {
        let patience = if tried.endpoints.is_empty() {
            request.route.target * FIRST_PREFILL_PERMILLE / 1_000
        } else {
            Duration::MAX
        };
        match prefill(shared, request, whole, &endpoint, &run, patience).await {
            Ok(held) => tried.cache = Some(held),
            Err(failure) => {
                run.end(RunEnd::Unreachable(endpoint.listed.id.clone()));
                tried.endpoints.push(endpoint);
                // Whatever became of the prefill, the request itself did not run.
                return Err(match failure {
                    CallFailure::NotSent => CallFailure::NotSent,
                    _ => CallFailure::NotRun,
                });
            }
        }
    }
    let step = match &tried.cache {
        Some(held) => Step::Decode(held.source()),
        None => Step::Whole,
    };
    let left = request.time_left(shared.now());
    match upstream::call(shared, request, whole, &decode, step, left).await {
        Ok(opened) => {
            if let Some(held) = tried.cache.take() {
                held.taken();
            }
            tried.attempts_left = tried.attempts_left.saturating_sub(1);
            tried.endpoints.push(decode.clone());
            info!(
                "request={} step=decode outcome=started endpoint={} waited_ms={}",
                request.facts.attempt,
                decode.listed.id,
                shared.now().since(request.arrived).as_millis()
            );
            let engine = request.table.service(&request.service);
            let engine = engine.and_then(|service| service.engine);
            let info = StreamInfo {
                request: request.facts.attempt.clone(),
                arrived: request.arrived,
                run: Some(run),
                tokens_per_event: engine.map_or(Tokens(1), |engine| engine.tokens_per_event),
            };
            Ok(relay::stream(shared, opened, info))
        }
        Err(failure) => {
            info!(
                "request={} step=decode outcome={failure:?} endpoint={}",
                request.facts.attempt, decode.listed.id
            );
            let id = decode.listed.id.clone();
            run.end(match failure {
                CallFailure::NotRun => RunEnd::NoCapacity,
                CallFailure::NotSent => RunEnd::Unreachable(id),
                CallFailure::Unknown(_) => RunEnd::EndpointLost(id),
                CallFailure::TimedOut => RunEnd::Aborted,
            });
            if !failure.has_not_run() {
                tried.attempts_left = tried.attempts_left.saturating_sub(1);
                // A cache serves one run, and this may have been it.
                tried.cache = None;
            }
            tried.endpoints.push(decode);
            Err(failure)
        }
    }
}

/// Finds out where a request runs: the leader decides, or this gateway if no leader answers.
async fn place(
    shared: &Arc<Shared>,
    request: &Identified,
    tried: &Tried,
) -> Result<Places, Failure> {
    let verdict = shared
        .dispatch
        .ask(
            || shared.now(),
            &request.service,
            |now, number| ask(shared, request, tried, now, number),
        )
        .await;
    let endpoints = shared.directory.endpoints();
    match verdict {
        Verdict::Placed(run) => {
            let decode = endpoints.get(&run.placement.decode).cloned();
            let prefill = match &run.placement.prefill {
                Some(id) => Some(endpoints.get(id).cloned().ok_or_else(gone)?),
                None => None,
            };
            info!(
                "request={} step=place outcome=placed prefill={} decode={} waited_ms={}",
                request.facts.attempt,
                run.placement
                    .prefill
                    .as_ref()
                    .map_or("none", EndpointId::as_str),
                run.placement.decode,
                shared.now().since(request.arrived).as_millis()
            );
            let waited = shared.now().since(request.arrived);
            shared
                .metrics
                .placed(request.service.as_str(), "leader", waited);
            Ok(Places {
                prefill,
                decode: decode.ok_or_else(gone)?,
                run,
            })
        }
        Verdict::Unplaced(why, retry_after) => {
            info!(
                "request={} step=place outcome={why:?} retry_after_ms={}",
                request.facts.attempt,
                retry_after.as_millis()
            );
            Err(refusal(why, retry_after))
        }
        Verdict::Alone => place_alone(shared, request, &endpoints, tried),
    }
}

fn place_alone(
    shared: &Arc<Shared>,
    request: &Identified,
    endpoints: &Endpoints,
    tried: &Tried,
) -> Result<Places, Failure> {
    info!("request={} step=place outcome=alone", request.facts.attempt);
    if tried.endpoints.is_empty() {
        quota::alone(shared, request)?;
    }
    let now = shared.now();
    let waited = now.since(request.arrived);
    shared
        .metrics
        .placed(request.service.as_str(), "gateway", waited);
    let tried_at = &tried.endpoints;
    let choose = |role| upstream::choose(shared, now, endpoints, request, role, tried_at);
    let prefill = match &tried.cache {
        Some(_) => None,
        None => choose(EndpointRole::Prefill),
    };
    let decode = choose(EndpointRole::Decode).ok_or_else(|| not_run("no decode endpoint"))?;
    let placement = Placement {
        prefill: None,
        decode: decode.listed.id.clone(),
    };
    let run = shared.dispatch.keep_alone(
        &request.service,
        |number| ask(shared, request, tried, now, number),
        placement,
    );
    Ok(Places {
        prefill,
        decode,
        run,
    })
}

const fn refusal(why: PlacementRefusal, retry_after: Duration) -> Failure {
    let reason = match why {
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

fn ask(
    shared: &Shared,
    request: &Identified,
    tried: &Tried,
    now: Timestamp,
    number: u64,
) -> PlacementRequest {
    let facts = &request.facts;
    let route = &request.route;
    let patience = first_event_patience(route).min(request.deadline.since(request.arrived));
    let waited = now.since(request.waiting_since);
    let patience_left = patience.saturating_sub(waited);
    let cache_left = tried
        .cache
        .as_ref()
        .map(|held| held.time_left(request, now));
    let account = request.account.as_ref();
    let priority = account
        .and_then(|id| request.table.account(id))
        .and_then(|account| account.priority);
    PlacementRequest {
        id: dispatch::ticket(&shared.settings.instance, number),
        account: request.account.clone(),
        prompt: facts.prompt.unwrap_or_default(),
        max_output: facts.max_output.unwrap_or_default(),
        expected_output: facts.expected_output,
        priority: priority.unwrap_or(route.priority),
        time_to_target: route.target.saturating_sub(waited),
        time_to_timeout: cache_left.map_or(patience_left, |left| left.min(patience_left)),
        data_centre: shared.settings.data_centre.clone(),
        avoid: tried
            .endpoints
            .iter()
            .map(|each| each.listed.id.clone())
            .collect(),
        kv_cache_at: tried
            .cache
            .as_ref()
            .map(|held| held.endpoint.listed.id.clone()),
    }
}

/// How long callers wait for the first event of a stream.
fn first_event_patience(route: &Route) -> Duration {
    /// Callers that know no better wait at least this long.
    const LEAST: Duration = Duration::from_secs(2);
    /// Latency targets that a caller waits.
    const TARGETS: u32 = 4;
    /// Pauses between events that a caller waits.
    const GAPS: u32 = 8;
    let gap = route.gap_target.unwrap_or_default() * GAPS;
    LEAST.max(route.target * TARGETS).max(gap)
}

const fn gone() -> Failure {
    not_run("the endpoint is gone")
}

/// Prefills the prompt where it was placed.
async fn prefill(
    shared: &Arc<Shared>,
    request: &Identified,
    whole: &Whole,
    endpoint: &Arc<EndpointEntry>,
    run: &Run,
    patience: Duration,
) -> Result<HeldCache, CallFailure> {
    let started = shared.now();
    let held = prefill_at(shared, request, whole, endpoint, patience).await;
    match &held {
        Ok(_) => run.prefilled(shared.now().since(started)),
        Err(failure) => info!(
            "request={} step=prefill outcome={failure:?} endpoint={}",
            request.facts.attempt, endpoint.listed.id
        ),
    }
    held
}

async fn prefill_at(
    shared: &Arc<Shared>,
    request: &Identified,
    whole: &Whole,
    endpoint: &Arc<EndpointEntry>,
    patience: Duration,
) -> Result<HeldCache, CallFailure> {
    let limit = request.time_left(shared.now()).min(patience);
    let opened = upstream::call(shared, request, whole, endpoint, Step::Prefill, limit).await?;
    let sent = opened.sent;
    let body = Limited::new(opened.response.into_body(), MAX_PREFILL_ANSWER);
    let body = timeout(limit, body.collect()).await;
    let now = shared.now();
    let Ok(Ok(body)) = body else {
        endpoint.health().record_unreachable(now);
        return Err(CallFailure::Unknown("the prefill's answer was cut off"));
    };
    endpoint.pool.put(now, opened.connection);
    endpoint.health().record_answer(now, now.since(sent));
    match shared.dialect.prefill_handle(&body.to_bytes()) {
        Some(handle) => Ok(HeldCache {
            shared: Arc::clone(shared),
            endpoint: Arc::clone(endpoint),
            handle,
            made: now,
            held: true,
        }),
        None => Err(CallFailure::Unknown("the prefill's answer cannot be read")),
    }
}

const fn not_run(reason: &'static str) -> Failure {
    Failure::NotRun {
        reason,
        retry_after: BUSY_RETRY,
    }
}

/// A KV cache at a prefill endpoint. Dropped before it is taken, it is freed there.
struct HeldCache {
    shared: Arc<Shared>,
    endpoint: Arc<EndpointEntry>,
    handle: String,
    made: Timestamp,
    held: bool,
}

impl HeldCache {
    fn source(&self) -> KvSource {
        KvSource {
            holder: self.endpoint.listed.address.to_string(),
            handle: self.handle.clone(),
        }
    }

    /// How long the endpoint keeps it.
    fn time_left(&self, request: &Identified, now: Timestamp) -> Duration {
        let service = request.table.service(&request.service);
        let engine = service.and_then(|service| service.engine);
        let life = engine.map_or(Duration::ZERO, |engine| engine.prefill_life);
        (self.made + life).since(now)
    }

    fn taken(mut self) {
        self.held = false;
    }
}

impl Drop for HeldCache {
    fn drop(&mut self) {
        if self.held {
            let shared = Arc::clone(&self.shared);
            let endpoint = Arc::clone(&self.endpoint);
            let handle = std::mem::take(&mut self.handle);
            tokio::spawn(async move {
                let freed = release(&shared, &endpoint, &handle);
                if timeout(RELEASE_TIMEOUT, freed).await.is_err() {
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
    let (method, path) = shared.dialect.release(handle);
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
            if response.into_body().collect().await.is_ok() {
                endpoint.pool.put(shared.now(), connection);
            }
        }
        Err(e) => info!(
            "endpoint={} step=release outcome=\"{e}\"",
            endpoint.listed.id
        ),
    }
}
