//! Requests to plain HTTP services.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use log::info;
use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;

use crate::dialect::Step;
use crate::directory::EndpointEntry;
use crate::directory::EndpointSet;
use crate::head::IdentifiedRequest;
use crate::part_quarantine::TrackedRun;
use crate::relay;
use crate::response::Body;
use crate::response::Failure;
use crate::rollout;
use crate::rollout::CallOutcome;
use crate::rollout::Selected;
use crate::rollout::TakenPermit;
use crate::shared::Shared;
use crate::speed;
use crate::upstream;
use crate::upstream::CallFailure;
use crate::upstream::ClientRequest;

/// Retry delay for clients when a service had no capacity; about the duration of one request.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Timeout of an attempt that may be retried, as a multiple of the latency target.
const ATTEMPT_TIMEOUT_TARGETS: u32 = 2;

/// Maximum number of endpoints tried for one request, including unreachable ones.
const MAX_ENDPOINTS: usize = 4;

/// Sends a request to endpoints until one responds or no further attempt is allowed.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    client_request: &ClientRequest,
) -> Result<Response<Body>, Failure> {
    let may_rerun = request.route.retry_policy.allows_rerun();
    let max_attempts = request.route.max_attempts.max(1);
    let mut tried: Vec<Arc<EndpointEntry>> = Vec::new();
    let mut last = LastOutcome::NotAttempted;
    // A request that could not be sent reached no endpoint and does not count as an attempt.
    let mut attempts = 0;
    let role = EndpointRole::Plain;
    while attempts < max_attempts && tried.len() < MAX_ENDPOINTS {
        let now = shared.now();
        if now >= request.deadline {
            break;
        }
        // The request may have been quarantined since it was admitted, or by its own attempts.
        if let Err(failure) = shared.suspects.check(now, request, &client_request.parts) {
            if matches!(last, LastOutcome::NotAttempted) {
                return Err(failure);
            }
            break;
        }
        let endpoints = shared.directory.endpoints();
        let selected = select_endpoint(shared, now, &endpoints, request, &tried).await;
        let Some(Selected { endpoint, permit }) = selected else {
            break;
        };
        if attempts > 0 && !shared.take_retry(now, &request.service) {
            info!(
                "request={} step=retry outcome=refused reason=\"no retry budget\"",
                request.metadata.attempt_id
            );
            give_back(shared, permit);
            break;
        }
        tried.push(Arc::clone(&endpoint));
        let time_limit = attempt_timeout(request, now, may_rerun && attempts + 1 < max_attempts);
        match attempt(shared, request, client_request, &endpoint, time_limit).await {
            Ok(response) if may_rerun && response.status().is_server_error() => {
                log_response(request, now, &endpoint, response.status(), tried.len());
                attempts += 1;
                last = LastOutcome::Response(response);
            }
            Ok(response) => {
                log_response(request, now, &endpoint, response.status(), tried.len());
                return Ok(response);
            }
            Err(failure) => {
                attempts += u32::from(failure != CallFailure::NotSent);
                info!(
                    "request={} step=call outcome={failure:?} endpoint={} attempt={attempts}",
                    request.metadata.attempt_id, endpoint.listed.id
                );
                if failure == CallFailure::NotSent {
                    give_back(shared, permit);
                }
                last.replace(failure);
                if !failure.has_not_run() && !may_rerun {
                    break;
                }
            }
        }
    }
    let retry_after = upstream::time_to_endpoint(shared, shared.now(), request, role);
    let retry_after = retry_after.unwrap_or_default().max(BUSY_RETRY_AFTER);
    last.into_result(retry_after)
}

/// Selects an endpoint that was not tried yet; `None` if there is no usable one. While a rollout of the
/// service runs, the versions decide.
async fn select_endpoint(
    shared: &Arc<Shared>,
    now: Timestamp,
    endpoints: &EndpointSet,
    request: &IdentifiedRequest,
    tried: &[Arc<EndpointEntry>],
) -> Option<Selected> {
    if shared.speeds.asks_for_load() && !shared.rollouts.restricts(&request.service) {
        let endpoint = speed::select::select_endpoint(shared, endpoints, request, tried).await?;
        return Some(Selected {
            endpoint,
            permit: None,
        });
    }
    rollout::select_endpoint(shared, now, endpoints, request, tried)
}

/// Returns the permit of an attempt of which nothing was sent.
fn give_back(shared: &Shared, permit: Option<TakenPermit>) {
    if let Some(permit) = permit {
        permit.give_back(&shared.rollouts);
    }
}

/// Logs a response of an endpoint with the data that determined the routing of the request.
fn log_response(
    request: &IdentifiedRequest,
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
        request.metadata.attempt_id,
        status.as_u16(),
        endpoint.listed.id,
        request.route.name,
        request.account.as_ref().map_or("none", AccountId::as_str),
        request.table.configuration().version,
        sent.since(request.arrived).as_millis()
    );
}

/// Outcome of the attempts so far that the client gets if no further attempt succeeds.
enum LastOutcome {
    NotAttempted,
    Failed(CallFailure),
    /// An endpoint's response with a server error status.
    Response(Response<Body>),
}

impl LastOutcome {
    fn replace(&mut self, failure: CallFailure) {
        match self {
            Self::NotAttempted => *self = Self::Failed(failure),
            Self::Failed(earlier) => *earlier = failure.after(Some(*earlier)),
            Self::Response(_) => {}
        }
    }

    fn into_result(self, retry_after: Duration) -> Result<Response<Body>, Failure> {
        match self {
            Self::Response(response) => Ok(response),
            Self::NotAttempted => Err(Failure::NotRun {
                reason: "no endpoint takes a request now",
                retry_after,
            }),
            Self::Failed(CallFailure::NotSent) => Err(Failure::NotRun {
                reason: "an endpoint cannot be reached",
                retry_after,
            }),
            Self::Failed(CallFailure::NotRun) => Err(Failure::NotRun {
                reason: "the endpoints have no room",
                retry_after,
            }),
            Self::Failed(CallFailure::Unknown(reason)) => Err(Failure::Lost(reason)),
            Self::Failed(CallFailure::TimedOut) => Err(Failure::TimedOut),
        }
    }
}

/// Timeout of one attempt. It leaves time for another attempt if one may follow.
fn attempt_timeout(request: &IdentifiedRequest, now: Timestamp, may_retry: bool) -> Duration {
    let time_left = request.time_left(now);
    if may_retry {
        let timeout = request.route.latency_target * ATTEMPT_TIMEOUT_TARGETS;
        timeout.max(time_left / 3).min(time_left)
    } else {
        time_left
    }
}

async fn attempt(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    client_request: &ClientRequest,
    endpoint: &Arc<EndpointEntry>,
    time_limit: Duration,
) -> Result<Response<Body>, CallFailure> {
    let tracked = TrackedRun::new(request, client_request);
    let sent = shared.now();
    let upstream_response = upstream::call(
        shared,
        request,
        client_request,
        endpoint,
        Step::Full,
        time_limit,
    )
    .await
    .inspect_err(|failure| {
        if *failure == upstream::CONNECTION_LOST {
            tracked.report_lost(shared, endpoint, sent);
        }
    })?;
    let versioned = upstream_response.versioned.clone();
    let time_left = request.time_left(shared.now());
    match tokio::time::timeout(
        time_left,
        relay::buffer_or_stream(shared, upstream_response, request.deadline, tracked),
    )
    .await
    {
        Ok(result) => result,
        Err(_) => {
            if let Some(versioned) = versioned {
                versioned.record(shared, CallOutcome::Failed);
            }
            Err(CallFailure::TimedOut)
        }
    }
}
