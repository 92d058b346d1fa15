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
use mimosa_protocol::configuration::EndpointRole;
use tokio::time::timeout;

use crate::answer::Body;
use crate::answer::Failure;
use crate::dialect::KvSource;
use crate::dialect::Step;
use crate::directory::EndpointEntry;
use crate::head::Identified;
use crate::relay;
use crate::shared::Shared;
use crate::upstream;
use crate::upstream::CallFailure;
use crate::upstream::Whole;

/// Largest answer to a prefill, in bytes.
const MAX_PREFILL_ANSWER: usize = 16 << 10;
/// Prefill endpoints that are tried for one request: the second one covers a loss, more would read
/// the prompt in vain while the caller waits.
const MAX_PREFILLS: usize = 2;
/// When callers come back after no endpoint had room for their prompt.
const BUSY_RETRY: Duration = Duration::from_millis(500);
/// Time for the call that frees a KV cache.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a request of a model.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    request: &Identified,
    whole: &Whole,
) -> Result<Response<Body>, Failure> {
    let prefilled = prefill(shared, request, whole).await?;
    let step = prefilled
        .as_ref()
        .map_or(Step::Whole, |held| Step::Decode(held.source()));
    let now = shared.now();
    let endpoints = shared.directory.endpoints();
    let role = EndpointRole::Decode;
    let Some(endpoint) = upstream::choose(shared, now, &endpoints, request, role, &[]) else {
        return Err(not_run("no decode endpoint"));
    };
    let left = request.time_left(now);
    let opened = upstream::call(shared, request, whole, &endpoint, step, left).await;
    match opened {
        Ok(opened) => {
            if let Some(held) = prefilled {
                held.taken();
            }
            info!(
                "request={} step=decode outcome=started endpoint={} waited_ms={}",
                request.facts.attempt,
                endpoint.listed.id,
                shared.now().since(request.arrived).as_millis()
            );
            let name = request.facts.attempt.clone();
            Ok(relay::stream(shared, opened, name))
        }
        Err(failure) => {
            info!(
                "request={} step=decode outcome={failure:?} endpoint={}",
                request.facts.attempt, endpoint.listed.id
            );
            Err(match failure {
                CallFailure::NotSent | CallFailure::NotRun => not_run("no room to decode"),
                CallFailure::Unknown(reason) => Failure::Lost(reason),
                CallFailure::TimedOut => Failure::TimedOut,
            })
        }
    }
}

/// Prefills the prompt; nothing if no prefill endpoint could, and the decode endpoint has to.
async fn prefill(
    shared: &Arc<Shared>,
    request: &Identified,
    whole: &Whole,
) -> Result<Option<HeldCache>, Failure> {
    let mut tried: Vec<Arc<EndpointEntry>> = Vec::new();
    while tried.len() < MAX_PREFILLS {
        let now = shared.now();
        if now >= request.deadline {
            return Err(not_run("no time left"));
        }
        let endpoints = shared.directory.endpoints();
        let role = EndpointRole::Prefill;
        let Some(endpoint) = upstream::choose(shared, now, &endpoints, request, role, &tried)
        else {
            return Ok(None);
        };
        if !tried.is_empty() && !shared.take_retry(now, &request.service) {
            return Err(not_run("no retry budget"));
        }
        tried.push(Arc::clone(&endpoint));
        match prefill_at(shared, request, whole, &endpoint).await {
            Ok(held) => return Ok(Some(held)),
            Err(failure) => info!(
                "request={} step=prefill outcome={failure:?} endpoint={}",
                request.facts.attempt, endpoint.listed.id
            ),
        }
    }
    Err(not_run("no prefill endpoint took the prompt"))
}

async fn prefill_at(
    shared: &Arc<Shared>,
    request: &Identified,
    whole: &Whole,
    endpoint: &Arc<EndpointEntry>,
) -> Result<HeldCache, CallFailure> {
    let left = request.time_left(shared.now());
    let opened = upstream::call(shared, request, whole, endpoint, Step::Prefill, left).await?;
    let sent = opened.sent;
    let body = Limited::new(opened.response.into_body(), MAX_PREFILL_ANSWER);
    let body = timeout(left, body.collect()).await;
    let now = shared.now();
    let Ok(Ok(body)) = body else {
        endpoint.health().lost(now);
        return Err(CallFailure::Unknown("the prefill's answer was cut off"));
    };
    endpoint.pool.put(now, opened.connection);
    endpoint.health().answered(now, now.since(sent));
    match shared.dialect.prefill_handle(&body.to_bytes()) {
        Some(handle) => Ok(HeldCache {
            shared: Arc::clone(shared),
            endpoint: Arc::clone(endpoint),
            handle,
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
    held: bool,
}

impl HeldCache {
    fn source(&self) -> KvSource {
        KvSource {
            holder: self.endpoint.listed.address.to_string(),
            handle: self.handle.clone(),
        }
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
