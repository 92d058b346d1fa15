//! Requests to plain HTTP services.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use log::info;
use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;
use tokio::sync::oneshot;

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
use crate::upstream::Patience;

/// Retry delay for clients when a service had no capacity; about the duration of one request.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time without a response after which another endpoint is tried, as a multiple of the latency target.
const PATIENCE_TARGETS: u32 = 2;

/// Maximum number of endpoints tried for one request, including unreachable ones.
const MAX_ENDPOINTS: usize = 4;

/// Sends a request to endpoints until one responds or no further attempt is allowed. An attempt that takes
/// long goes on while another endpoint is tried.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    client_request: &ClientRequest,
) -> Result<Response<Body>, Failure> {
    let mut attempts = Attempts::new(shared, request, client_request);
    loop {
        if attempts.may_start(shared.now()) {
            attempts.start().await?;
        }
        match attempts.next_event().await {
            None => break,
            Some(AttemptEvent::Slow) => {}
            Some(AttemptEvent::Ended(attempt, result)) => {
                if let Some(response) = attempts.record_end(attempt, result) {
                    return Ok(response);
                }
            }
        }
    }
    let role = EndpointRole::Plain;
    let retry_after = upstream::time_to_endpoint(shared, shared.now(), request, role);
    let retry_after = retry_after.unwrap_or_default().max(BUSY_RETRY_AFTER);
    attempts.last.into_result(retry_after)
}

type AttemptFuture<'a> =
    Pin<Box<dyn Future<Output = Result<Response<Body>, CallFailure>> + Send + 'a>>;

/// An attempt that has not ended. Dropping it closes its connection.
struct OpenAttempt<'a> {
    endpoint: Arc<EndpointEntry>,
    permit: Option<TakenPermit>,
    started: Timestamp,
    future: AttemptFuture<'a>,
}

enum AttemptEvent<'a> {
    /// The latest attempt takes so long that another endpoint is to be tried.
    Slow,
    Ended(OpenAttempt<'a>, Result<Response<Body>, CallFailure>),
}

/// The attempts of one request.
struct Attempts<'a> {
    shared: &'a Arc<Shared>,
    request: &'a IdentifiedRequest,
    client_request: &'a ClientRequest,
    tried: Vec<Arc<EndpointEntry>>,
    /// Attempts that reached an endpoint, or may still.
    count: u32,
    /// In the order in which they started.
    open: Vec<OpenAttempt<'a>>,
    /// Whether all open attempts take long.
    is_slow: bool,
    /// Told when the latest attempt takes long.
    exceeded: Option<oneshot::Receiver<()>>,
    /// Whether the request may have run and must not run again.
    is_final: bool,
    last: LastOutcome,
}

impl<'a> Attempts<'a> {
    const fn new(
        shared: &'a Arc<Shared>,
        request: &'a IdentifiedRequest,
        client_request: &'a ClientRequest,
    ) -> Self {
        Self {
            shared,
            request,
            client_request,
            tried: Vec::new(),
            count: 0,
            open: Vec::new(),
            is_slow: true,
            exceeded: None,
            is_final: false,
            last: LastOutcome::NotAttempted,
        }
    }

    fn may_start(&self, now: Timestamp) -> bool {
        self.is_slow
            && !self.is_final
            && self.count < self.request.route.max_attempts.max(1)
            && self.tried.len() < MAX_ENDPOINTS
            && now < self.request.deadline
    }

    /// Starts an attempt at another endpoint, if one takes it and the retry budget covers it.
    ///
    /// # Errors
    ///
    /// If the request was quarantined since it was admitted and was not attempted.
    async fn start(&mut self) -> Result<(), Failure> {
        let (shared, request) = (self.shared, self.request);
        let now = shared.now();
        // Its own attempts may have led to the quarantine as well.
        let suspects = &shared.suspects;
        if let Err(failure) = suspects.check(now, request, &self.client_request.parts) {
            let is_attempted = !self.open.is_empty() || self.last.is_attempted();
            self.is_final = true;
            return if is_attempted { Ok(()) } else { Err(failure) };
        }
        let endpoints = shared.directory.endpoints();
        let selected = select_endpoint(shared, now, &endpoints, request, &self.tried).await;
        let Some(Selected { endpoint, permit }) = selected else {
            return Ok(());
        };
        if self.count > 0 && !shared.take_retry(now, &request.service) {
            info!(
                "request={} step=retry outcome=refused reason=\"no retry budget\"",
                request.metadata.attempt_id
            );
            give_back(shared, permit);
            return Ok(());
        }
        self.tried.push(Arc::clone(&endpoint));
        self.count += 1;
        self.is_slow = false;
        let patience = self.patience(now).map(|time| {
            let (tx, rx) = oneshot::channel();
            self.exceeded = Some(rx);
            Patience { time, exceeded: tx }
        });
        self.open.push(OpenAttempt {
            future: Box::pin(attempt(
                shared,
                request,
                self.client_request,
                Arc::clone(&endpoint),
                patience,
            )),
            endpoint,
            permit,
            started: now,
        });
        Ok(())
    }

    /// Time without a response after which another endpoint is tried beside the latest one; `None` if
    /// there may be no further attempt.
    fn patience(&self, now: Timestamp) -> Option<Duration> {
        let request = self.request;
        let may_rerun = request.route.retry_policy.allows_rerun();
        let time_left = request.time_left(now);
        let patience = request.route.latency_target * PATIENCE_TARGETS;
        (may_rerun && self.count < request.route.max_attempts)
            .then(|| patience.max(time_left / 3).min(time_left))
    }

    /// Waits for the end of an open attempt, or until the latest one takes long; `None` without any.
    async fn next_event(&mut self) -> Option<AttemptEvent<'a>> {
        poll_fn(|cx| {
            if self.open.is_empty() {
                return Poll::Ready(None);
            }
            for at in 0..self.open.len() {
                if let Poll::Ready(result) = self.open[at].future.as_mut().poll(cx) {
                    let attempt = self.open.remove(at);
                    // The others take long, or the latest one would not have been started.
                    self.is_slow |= at == self.open.len();
                    return Poll::Ready(Some(AttemptEvent::Ended(attempt, result)));
                }
            }
            if let Some(exceeded) = &mut self.exceeded {
                let is_exceeded = ready!(Pin::new(exceeded).poll(cx)).is_ok();
                self.exceeded = None;
                if is_exceeded {
                    self.is_slow = true;
                    return Poll::Ready(Some(AttemptEvent::Slow));
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Records the end of an attempt. Returns the response if it is the one for the client.
    fn record_end(
        &mut self,
        attempt: OpenAttempt<'a>,
        result: Result<Response<Body>, CallFailure>,
    ) -> Option<Response<Body>> {
        let OpenAttempt {
            endpoint,
            permit,
            started,
            ..
        } = attempt;
        let may_rerun = self.request.route.retry_policy.allows_rerun();
        match result {
            Ok(response) => {
                let tried = self.tried.len();
                log_response(self.request, started, &endpoint, response.status(), tried);
                if !may_rerun || !response.status().is_server_error() {
                    return Some(response);
                }
                self.last = LastOutcome::Response(response);
            }
            Err(failure) => {
                info!(
                    "request={} step=call outcome={failure:?} endpoint={} attempt={}",
                    self.request.metadata.attempt_id, endpoint.listed.id, self.count
                );
                if failure == CallFailure::NotSent {
                    self.count -= 1;
                    give_back(self.shared, permit);
                }
                self.last.replace(failure);
                self.is_final |= !failure.has_not_run() && !may_rerun;
            }
        }
        None
    }
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
    const fn is_attempted(&self) -> bool {
        !matches!(self, Self::NotAttempted)
    }

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

async fn attempt(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    client_request: &ClientRequest,
    endpoint: Arc<EndpointEntry>,
    patience: Option<Patience>,
) -> Result<Response<Body>, CallFailure> {
    let tracked = TrackedRun::new(request, client_request);
    let sent = shared.now();
    let upstream_response = upstream::call(
        shared,
        (request, client_request),
        &endpoint,
        Step::Full,
        request.time_left(sent),
        patience,
    )
    .await
    .inspect_err(|failure| {
        if *failure == upstream::CONNECTION_LOST {
            tracked.report_lost(shared, &endpoint, sent);
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
