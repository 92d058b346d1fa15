//! Requests of plain services.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use log::info;
use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;

use crate::answer::Body;
use crate::answer::Failure;
use crate::dialect::Step;
use crate::directory::EndpointEntry;
use crate::head::Identified;
use crate::relay;
use crate::shared::Shared;
use crate::upstream;
use crate::upstream::CallFailure;
use crate::upstream::Whole;

/// When callers come back after a plain service had no room: about the time of one answer.
const BUSY_RETRY: Duration = Duration::from_millis(50);
/// Latency targets after which an idempotent request is tried elsewhere.
const PATIENCE_IN_TARGETS: u32 = 2;

/// Endpoints that are tried for one request, those that cannot be reached included.
const MAX_ENDPOINTS: usize = 4;

/// Sends a request to endpoints until one answers or no more may be tried.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    request: &Identified,
    whole: &Whole,
) -> Result<Response<Body>, Failure> {
    let repeats = request.route.retry_policy.allows_second_run();
    let most = request.route.max_attempts.max(1);
    let mut tried: Vec<Arc<EndpointEntry>> = Vec::new();
    let mut last = Last::Nothing;
    // What could not be sent reached no endpoint and counts as no attempt.
    let mut attempts = 0;
    while attempts < most && tried.len() < MAX_ENDPOINTS {
        let now = shared.now();
        if now >= request.deadline {
            break;
        }
        let endpoints = shared.directory.endpoints();
        let role = EndpointRole::Plain;
        let Some(endpoint) = upstream::choose(shared, now, &endpoints, request, role, &tried)
        else {
            break;
        };
        if attempts > 0 && !shared.take_retry(now, &request.service) {
            info!(
                "request={} step=retry outcome=refused reason=\"no retry budget\"",
                request.facts.attempt_id
            );
            break;
        }
        tried.push(Arc::clone(&endpoint));
        let limit = attempt_time(request, now, repeats && attempts + 1 < most);
        match one(shared, request, whole, &endpoint, limit).await {
            Ok(response) if repeats && response.status().is_server_error() => {
                log_answer(request, now, &endpoint, response.status(), tried.len());
                attempts += 1;
                last = Last::Answer(response);
            }
            Ok(response) => {
                log_answer(request, now, &endpoint, response.status(), tried.len());
                return Ok(response);
            }
            Err(failure) => {
                attempts += u32::from(failure != CallFailure::NotSent);
                info!(
                    "request={} step=call outcome={failure:?} endpoint={} attempt={attempts}",
                    request.facts.attempt_id, endpoint.listed.id
                );
                last.replace(failure);
                if !failure.has_not_run() && !repeats {
                    break;
                }
            }
        }
    }
    last.into_result()
}

/// One line for a request that an endpoint answered, with what decided its way.
fn log_answer(
    request: &Identified,
    sent: Timestamp,
    endpoint: &EndpointEntry,
    status: StatusCode,
    attempts: usize,
) {
    let outcome = if status.is_server_error() {
        "endpoint_failed"
    } else {
        "answered"
    };
    info!(
        "request={} step=answer outcome={outcome} status={} endpoint={} attempts={attempts} route={} \
         account={} routing_version={} sent_after_ms={}",
        request.facts.attempt_id,
        status.as_u16(),
        endpoint.listed.id,
        request.route.name,
        request.account.as_ref().map_or("none", AccountId::as_str),
        request.table.configuration().version,
        sent.since(request.arrived).as_millis()
    );
}

/// What the attempts came to so far.
enum Last {
    Nothing,
    Failed(CallFailure),
    /// An endpoint's own answer that tells of a failure.
    Answer(Response<Body>),
}

impl Last {
    fn replace(&mut self, failure: CallFailure) {
        match self {
            Self::Nothing => *self = Self::Failed(failure),
            Self::Failed(earlier) => *earlier = failure.after(Some(*earlier)),
            Self::Answer(_) => {}
        }
    }

    fn into_result(self) -> Result<Response<Body>, Failure> {
        match self {
            Self::Answer(response) => Ok(response),
            Self::Nothing => Err(Failure::NotRun {
                reason: "no endpoint",
                retry_after: BUSY_RETRY,
            }),
            Self::Failed(CallFailure::NotSent) => Err(Failure::NotRun {
                reason: "an endpoint cannot be reached",
                retry_after: BUSY_RETRY,
            }),
            Self::Failed(CallFailure::NotRun) => Err(Failure::NotRun {
                reason: "the endpoints have no room",
                retry_after: BUSY_RETRY,
            }),
            Self::Failed(CallFailure::Unknown(reason)) => Err(Failure::Lost(reason)),
            Self::Failed(CallFailure::TimedOut) => Err(Failure::TimedOut),
        }
    }
}

/// How long one attempt may take, if another may follow.
fn attempt_time(request: &Identified, now: Timestamp, another: bool) -> Duration {
    let left = request.time_left(now);
    if another {
        let patience = request.route.latency_target * PATIENCE_IN_TARGETS;
        patience.max(left / 3).min(left)
    } else {
        left
    }
}

async fn one(
    shared: &Arc<Shared>,
    request: &Identified,
    whole: &Whole,
    endpoint: &Arc<EndpointEntry>,
    limit: Duration,
) -> Result<Response<Body>, CallFailure> {
    let opened = upstream::call(shared, request, whole, endpoint, Step::Full, limit).await?;
    let left = request.time_left(shared.now());
    match tokio::time::timeout(left, relay::take_in(shared, opened)).await {
        Ok(result) => result,
        Err(_) => Err(CallFailure::TimedOut),
    }
}
