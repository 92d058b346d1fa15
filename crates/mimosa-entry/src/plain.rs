//! Requests to plain services. Requests whose method is not idempotent are sent at most once.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::Method;
use axum::http::header::CONNECTION;
use axum::http::header::CONTENT_LENGTH;
use axum::http::header::CONTENT_TYPE;
use axum::http::header::HOST;
use axum::http::header::TE;
use axum::http::header::TRAILER;
use axum::http::header::TRANSFER_ENCODING;
use axum::http::header::UPGRADE;
use axum::response::Response;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use mimosa_hold::part_quarantine::RequestParts;
use mimosa_hold::quarantine::Fingerprint;
use mimosa_memory::Refused;
use mimosa_memory::Reservation;
use mimosa_protocol::AccountId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::ExecutionStatus;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::hash::Sha256Digest;
use mimosa_protocol::message::LedgerAnswer;
use mimosa_protocol::message::LedgerBegin;
use mimosa_protocol::message::LedgerEnd;
use mimosa_protocol::message::LedgerFinish;
use mimosa_protocol::message::LedgerKey;
use mimosa_protocol::message::RecordedAnswer;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Submission;
use tokio::time::timeout;

use crate::access::Caller;
use crate::access::authorise;
use crate::attempt::Attempt;
use crate::attempt::AttemptFailure;
use crate::body::MEMORY_FULL;
use crate::connection::Connection;
use crate::engine::EngineFailure;
use crate::engine::EngineResponse;
use crate::engine::PlainRequest;
use crate::place::RequestQueue;
use crate::plain::recorded::LedgerIntent;
use crate::plain::recorded::end_of_failure;
use crate::plain::recorded::recorded_response;
use crate::retry::AttemptHistory;
use crate::shared::Shared;
use crate::suspects::TrackedCall;

mod recorded;

/// Header with the caller's key for a non-idempotent request. Repetitions under the same key get
/// the recorded response instead of a second run.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Maximum size of a response that the ledger stores: 64 KiB. The outcome of a request with a
/// larger response is recorded as unknown.
const MAX_RECORDED_BYTES: usize = 64 << 10;
/// Headers that are not forwarded: they apply to a single connection, or the HTTP library sets them
/// again.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HOST,
    CONTENT_LENGTH,
];

/// An authorised request to a plain service.
pub(crate) struct ServiceRequest {
    pub(crate) shared: Arc<Shared>,
    pub(crate) connection: Arc<Connection>,
    pub(crate) caller: Caller,
    pub(crate) request: RequestId,
    pub(crate) arrived: Timestamp,
    pub(crate) service: Service,
    pub(crate) account: Option<ClientAccount>,
    pub(crate) method: Method,
    /// Path and query, without the prefix that names the service.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Identifies the request when it comes again, for the quarantine.
    pub(crate) parts: Arc<RequestParts>,
}

/// Identifies a request by its account, service, path and body.
pub(crate) fn request_parts(
    account: Option<&ClientAccount>,
    service: &ServiceId,
    path: &str,
    body: &[u8],
) -> RequestParts {
    let account = account.map(|account| &account.id);
    RequestParts {
        whole: Fingerprint::of_slices(account, service, &[path.as_bytes(), body]),
        parts: Vec::new(),
    }
}

/// Removes the headers of [`HOP_BY_HOP_HEADERS`], which must not be forwarded.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

impl ServiceRequest {
    /// Runs the request: with retries if its method is idempotent, otherwise once, and through the
    /// ledger if it has an idempotency key.
    ///
    /// # Errors
    ///
    /// A refusal that states whether the request ran.
    pub(crate) async fn run(self) -> Result<Response, Refusal> {
        self.check_quarantine()?;
        let queue = self
            .shared
            .queues
            .queues_for(&self.service.id)
            .into_iter()
            .next()
            .ok_or(Refusal::not_run(RefusalReason::NoEndpoint))?;
        if self.method.is_idempotent() {
            return self.run_idempotent(&queue).await;
        }
        match self.ledger_key()? {
            Some(key) => self.run_recorded(&queue, key).await,
            None => self.run_once(&queue).await,
        }
    }

    fn check_quarantine(&self) -> Result<(), Refusal> {
        self.shared.quarantine.check(self.shared.now(), &self.parts)
    }

    /// Runs the request, retrying at other endpoints.
    async fn run_idempotent(&self, queue: &Arc<dyn RequestQueue>) -> Result<Response, Refusal> {
        let mut attempts = AttemptHistory::new();
        loop {
            let outcome = self
                .try_once(queue, attempts.number(), attempts.avoid())
                .await;
            match outcome.map_err(|refusal| attempts.merge_into(refusal))? {
                Ok(answered) => {
                    let shared = &self.shared;
                    shared
                        .retry_budgets
                        .record_success(shared.now(), &self.service.id);
                    return Ok(stream_response(answered));
                }
                Err(failed)
                    if attempts.record_failure(
                        &failed,
                        queue.as_ref(),
                        &self.shared,
                        &self.service.id,
                    ) =>
                {
                    self.shared.metrics.count_retry(&self.service.id);
                    self.check_quarantine()
                        .map_err(|refusal| attempts.merge_into(refusal))?;
                }
                Err(_) => return Err(attempts.final_refusal()),
            }
        }
    }

    /// Sends the request once, without retries.
    async fn run_once(&self, queue: &Arc<dyn RequestQueue>) -> Result<Response, Refusal> {
        match self.try_once(queue, 1, Vec::new()).await? {
            Ok(answered) => Ok(stream_response(answered)),
            Err(failed) => Err(refusal_of(&failed)),
        }
    }

    /// Records the intent in the ledger, sends the request once and records its end.
    async fn run_recorded(
        &self,
        queue: &Arc<dyn RequestQueue>,
        key: LedgerKey,
    ) -> Result<Response, Refusal> {
        let mut holder = self.connection.response_holder(Some(self.account_id()));
        let reserved = holder.grow_to(|| self.shared.now(), MAX_RECORDED_BYTES as u64);
        reserved.await.map_err(|Refused| MEMORY_FULL)?;
        let begin = LedgerBegin {
            request: self.request,
            key: key.clone(),
            content: self.content_digest(),
            at: self.shared.now(),
        };
        match self.shared.control.begin(begin).await {
            LedgerAnswer::Run => {}
            LedgerAnswer::Recorded(answer) => return Ok(self.recorded_response(answer, holder)),
            LedgerAnswer::Unknown => return Err(Refusal::unknown(RefusalReason::EndpointFailed)),
            LedgerAnswer::Conflict => {
                return Err(Refusal::not_run(RefusalReason::IdempotencyConflict));
            }
            LedgerAnswer::NoQuorum => {
                self.finish(key, LedgerEnd::NotRun);
                let refusal = Refusal::not_run(RefusalReason::NoQuorum);
                return Err(refusal.retry_after(Shared::RETRY_DELAY));
            }
        }
        let mut intent = LedgerIntent {
            service_request: self,
            key: Some(key),
        };
        let outcome = self.try_once(queue, 1, Vec::new()).await;
        match outcome {
            Err(refusal) => {
                intent.end(LedgerEnd::NotRun);
                Err(refusal)
            }
            Ok(Err(failed)) => {
                intent.end(end_of_failure(&failed));
                Err(refusal_of(&failed))
            }
            Ok(Ok(answered)) => self.record_response(intent, answered, holder).await,
        }
    }

    /// Collects the response, records it in the ledger and only then returns it.
    async fn record_response(
        &self,
        mut intent: LedgerIntent<'_>,
        answered: AnsweredCall,
        holder: Reservation,
    ) -> Result<Response, Refusal> {
        let AnsweredCall {
            attempt,
            engine_response,
            call,
        } = answered;
        let body = Limited::new(engine_response.body, MAX_RECORDED_BYTES);
        let silence = self.shared.settings.limits.endpoint_silence;
        let Some(body) = collect(body, silence).await else {
            intent.end(LedgerEnd::Unknown);
            attempt.end(AttemptEnd::Failed);
            return Err(Refusal::unknown(RefusalReason::Timeout));
        };
        let is_cut = engine_response.ends_with_connection && attempt.has_endpoint_ended().await;
        let body = match body {
            Ok(body) if !is_cut => body,
            failed => {
                intent.end(LedgerEnd::Unknown);
                match failed {
                    _ if is_cut => call.record_ended(&self.shared),
                    Err(e) if !e.is::<LengthLimitError>() => call.record_lost(&self.shared),
                    _ => {}
                }
                attempt.end(AttemptEnd::Failed);
                return Err(Refusal::unknown(RefusalReason::EndpointFailed));
            }
        };
        call.record_sound(&self.shared);
        attempt.end(AttemptEnd::Complete);
        let content_type = engine_response.headers.get(CONTENT_TYPE);
        let recorded = RecordedAnswer {
            status: engine_response.status.as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned),
            body: body.to_vec(),
        };
        intent.end(LedgerEnd::Answered(recorded.clone()));
        Ok(self.recorded_response(recorded, holder))
    }

    /// Waits in the queue and makes one attempt. The outer error is a refusal before the request
    /// was sent, the inner one a failure of the endpoint.
    async fn try_once(
        &self,
        queue: &Arc<dyn RequestQueue>,
        number: u32,
        avoid: Vec<EndpointId>,
    ) -> Result<Result<AnsweredCall, AttemptFailure>, Refusal> {
        let submission = self.submission(avoid);
        let attempt = Attempt::place(&self.shared, queue, submission, number).await?;
        authorise(&self.shared, &self.caller, &self.service)?;
        let endpoint = attempt.endpoint().clone();
        let sent = match attempt.address_of(&endpoint) {
            Err(failed) => Err(failed),
            Ok(address) => {
                let request = self.plain_request(&attempt);
                let call = TrackedCall {
                    service: self.service.id.clone(),
                    parts: Arc::clone(&self.parts),
                    endpoint: endpoint.clone(),
                    address,
                    began: self.shared.now(),
                };
                match self.shared.engine_client.plain(address, request).await {
                    Ok(engine_response) => Ok((engine_response, call)),
                    Err(failure) => {
                        if failure == EngineFailure::DISCONNECTED {
                            call.record_lost(&self.shared);
                        }
                        Err(attempt.record_failure(failure, &endpoint))
                    }
                }
            }
        };
        match sent {
            Ok((engine_response, call)) => Ok(Ok(AnsweredCall {
                attempt,
                engine_response,
                call,
            })),
            Err(failed) => {
                let declined = failed.failure.ran == ExecutionStatus::No;
                attempt.end(if declined {
                    AttemptEnd::Refused
                } else {
                    AttemptEnd::Failed
                });
                Ok(Err(failed))
            }
        }
    }

    /// The response to the client, who reads it from now on.
    fn recorded_response(&self, answer: RecordedAnswer, holder: Reservation) -> Response {
        self.connection.start_reading(&holder);
        recorded_response(answer, holder)
    }

    fn plain_request(&self, attempt: &Attempt) -> PlainRequest {
        PlainRequest {
            attempt: attempt.id(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
        }
    }

    fn submission(&self, avoid: Vec<EndpointId>) -> Submission {
        Submission {
            request: self.request,
            account: self.account_id(),
            weight: self.account.as_ref().map_or(1, |account| account.weight),
            prompt: Tokens::ZERO,
            max_output: Tokens::ZERO,
            prefix: Vec::new(),
            arrived: self.arrived,
            idempotent: self.method.is_idempotent(),
            avoid,
        }
    }

    fn account_id(&self) -> AccountId {
        let anonymous_account = || "open".parse().expect("a fixed name is valid");
        self.account
            .as_ref()
            .map_or_else(anonymous_account, |account| account.id.clone())
    }

    /// The ledger key made from the caller's idempotency key; `None` without one.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Malformed`] if the key is empty, longer than 255 bytes or not visible
    /// ASCII.
    fn ledger_key(&self) -> Result<Option<LedgerKey>, Refusal> {
        let Some(value) = self.headers.get(IDEMPOTENCY_KEY) else {
            return Ok(None);
        };
        let text = value
            .to_str()
            .ok()
            .filter(|text| (1..=255).contains(&text.len()));
        let text = text.ok_or(Refusal::not_run(RefusalReason::Malformed))?;
        Ok(Some(LedgerKey {
            account: self.account_id(),
            service: ServiceId::clone(&self.service.id),
            idempotency_key: text.to_owned(),
        }))
    }

    /// Digest of method, path and body. The ledger refuses other content under the same key.
    fn content_digest(&self) -> Sha256Digest {
        let head = format!("{} {}\n", self.method, self.path);
        let content = [head.as_bytes(), &self.body].concat();
        Sha256Digest::of(&content)
    }

    fn finish(&self, key: LedgerKey, end: LedgerEnd) {
        self.shared.control.finish(LedgerFinish {
            request: self.request,
            key,
            end,
            at: self.shared.now(),
        });
    }
}

/// Why an answer that ended with its connection counts as broken off.
#[derive(Debug, thiserror::Error)]
#[error("the endpoint's process ended with its answer")]
struct EndpointEnded;

fn refusal_of(failed: &AttemptFailure) -> Refusal {
    let EngineFailure { reason, ran, .. } = failed.failure;
    Refusal {
        reason,
        ran,
        retry_after: None,
    }
}

/// An attempt whose endpoint has sent the head of its response.
struct AnsweredCall {
    attempt: Attempt,
    engine_response: EngineResponse,
    call: TrackedCall,
}

/// Streams a response to the caller. The attempt ends with the stream; if the endpoint breaks it
/// off, the caller's stream breaks off too.
fn stream_response(answered: AnsweredCall) -> Response {
    let AnsweredCall {
        attempt,
        engine_response,
        call,
    } = answered;
    let EngineResponse {
        status,
        mut headers,
        body,
        ends_with_connection,
    } = engine_response;
    strip_hop_by_hop_headers(&mut headers);
    let start = (body, Some((attempt, call)));
    let chunks = futures_util::stream::unfold(start, move |(mut body, mut open)| async move {
        match body.frame().await {
            Some(Ok(frame)) => Some((Ok(frame), (body, open))),
            Some(Err(e)) => {
                if let Some((attempt, call)) = open.take() {
                    call.record_lost(attempt.shared());
                }
                Some((Err(e), (Body::empty(), None)))
            }
            None => {
                let (attempt, call) = open.take()?;
                if ends_with_connection && attempt.has_endpoint_ended().await {
                    call.record_ended(attempt.shared());
                    attempt.end(AttemptEnd::Failed);
                    let e = axum::Error::new(EndpointEnded);
                    return Some((Err(e), (Body::empty(), None)));
                }
                call.record_sound(attempt.shared());
                attempt.end(AttemptEnd::Complete);
                None
            }
        }
    });
    let body = Body::new(http_body_util::StreamBody::new(chunks));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// The whole body; `None` if nothing of it arrives for a time.
async fn collect<B>(mut body: B, silence: Duration) -> Option<Result<Bytes, B::Error>>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let mut collected = BytesMut::new();
    loop {
        match timeout(silence, body.frame()).await.ok()? {
            Some(Ok(frame)) => collected.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(e)) => return Some(Err(e)),
            None => return Some(Ok(collected.freeze())),
        }
    }
}
