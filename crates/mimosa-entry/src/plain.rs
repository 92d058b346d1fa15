//! Calls to plain services: at most once where they may not be repeated.

use std::sync::Arc;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::header::CONNECTION;
use axum::http::header::CONTENT_LENGTH;
use axum::http::header::CONTENT_TYPE;
use axum::http::header::HOST;
use axum::http::header::TE;
use axum::http::header::TRAILER;
use axum::http::header::TRANSFER_ENCODING;
use axum::http::header::UPGRADE;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
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

use crate::access::Caller;
use crate::access::authorise;
use crate::attempt::Attempt;
use crate::attempt::Failed;
use crate::engine::Answer;
use crate::engine::EngineFailure;
use crate::engine::PlainCall;
use crate::place::Placer;
use crate::retry::Attempts;
use crate::shared::Shared;

/// Header by which a caller names a non-idempotent call.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Largest answer that the ledger keeps.
const MAX_RECORDED_BYTES: usize = 64 << 10;
/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HOST,
    CONTENT_LENGTH,
];

/// A call to a plain service that passed the filters.
pub(crate) struct Job {
    pub(crate) shared: Arc<Shared>,
    pub(crate) caller: Caller,
    pub(crate) request: RequestId,
    pub(crate) arrived: Timestamp,
    pub(crate) service: Service,
    pub(crate) account: Option<ClientAccount>,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Removes what concerns only the connection to the caller.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}

impl Job {
    /// Runs the call.
    ///
    /// # Errors
    ///
    /// A refusal that tells whether it ran.
    pub(crate) async fn run(self) -> Result<Response, Refusal> {
        let placer = self
            .shared
            .placers
            .of(&self.service.id)
            .into_iter()
            .next()
            .ok_or(Refusal::not_run(RefusalReason::NoEndpoint))?;
        if self.method.is_idempotent() {
            return self.run_idempotent(&placer).await;
        }
        match self.ledger_key()? {
            Some(key) => self.run_recorded(&placer, key).await,
            None => self.run_once(&placer).await,
        }
    }

    /// Tries other endpoints until one answers.
    async fn run_idempotent(&self, placer: &Arc<dyn Placer>) -> Result<Response, Refusal> {
        let mut attempts = Attempts::new();
        loop {
            let ran = self
                .attempt(placer, attempts.number(), attempts.avoid())
                .await;
            match ran.map_err(|refusal| attempts.refusal(refusal))? {
                Ok((attempt, answer)) => {
                    let shared = &self.shared;
                    shared.budgets.succeeded(shared.now(), &self.service.id);
                    return Ok(pass_on(attempt, answer));
                }
                Err(failed)
                    if attempts.may_follow(
                        &failed,
                        placer.as_ref(),
                        &self.shared,
                        &self.service.id,
                    ) =>
                {
                    self.shared.metrics.retried(&self.service.id);
                }
                Err(_) => return Err(attempts.last()),
            }
        }
    }

    /// Sends the call once and never again.
    async fn run_once(&self, placer: &Arc<dyn Placer>) -> Result<Response, Refusal> {
        match self.attempt(placer, 1, Vec::new()).await? {
            Ok((attempt, answer)) => Ok(pass_on(attempt, answer)),
            Err(failed) => Err(refusal_of(&failed)),
        }
    }

    /// Records the intent, sends the call once, records the end.
    async fn run_recorded(
        &self,
        placer: &Arc<dyn Placer>,
        key: LedgerKey,
    ) -> Result<Response, Refusal> {
        let begin = LedgerBegin {
            request: self.request,
            key: key.clone(),
            content: self.content_digest(),
            at: self.shared.now(),
        };
        match self.shared.control.begin(begin).await {
            LedgerAnswer::Run => {}
            LedgerAnswer::Recorded(answer) => return Ok(recorded_response(answer)),
            LedgerAnswer::Unknown => return Err(Refusal::unknown(RefusalReason::EndpointFailed)),
            LedgerAnswer::Conflict => {
                return Err(Refusal::not_run(RefusalReason::IdempotencyConflict));
            }
            LedgerAnswer::NoQuorum => {
                self.finish(key, LedgerEnd::NotRun);
                let refusal = Refusal::not_run(RefusalReason::NoQuorum);
                return Err(refusal.retry_after(Shared::STALE_RETRY));
            }
        }
        let mut intent = Intent {
            job: self,
            key: Some(key),
        };
        let ran = self.attempt(placer, 1, Vec::new()).await;
        match ran {
            Err(refusal) => {
                intent.end(LedgerEnd::NotRun);
                Err(refusal)
            }
            Ok(Err(failed)) => {
                intent.end(end_of_failure(&failed));
                Err(refusal_of(&failed))
            }
            Ok(Ok((attempt, answer))) => self.record(intent, attempt, answer).await,
        }
    }

    async fn record(
        &self,
        mut intent: Intent<'_>,
        attempt: Attempt,
        answer: Answer,
    ) -> Result<Response, Refusal> {
        let body = Limited::new(answer.body, MAX_RECORDED_BYTES)
            .collect()
            .await;
        let Ok(body) = body else {
            intent.end(LedgerEnd::Unknown);
            attempt.end(AttemptEnd::Failed);
            return Err(Refusal::unknown(RefusalReason::EndpointFailed));
        };
        attempt.end(AttemptEnd::Complete);
        let content_type = answer.headers.get(CONTENT_TYPE);
        let recorded = RecordedAnswer {
            status: answer.status.as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned),
            body: body.to_bytes().to_vec(),
        };
        intent.end(LedgerEnd::Answered(recorded.clone()));
        Ok(recorded_response(recorded))
    }

    /// Waits in the queue and sends the call once.
    async fn attempt(
        &self,
        placer: &Arc<dyn Placer>,
        number: u32,
        avoid: Vec<EndpointId>,
    ) -> Result<Result<(Attempt, Answer), Failed>, Refusal> {
        let submission = self.submission(avoid);
        let attempt = Attempt::place(&self.shared, placer, submission, number).await?;
        authorise(&self.shared, &self.caller, &self.service)?;
        let endpoint = attempt.endpoint().clone();
        let sent = match attempt.look_up(&endpoint) {
            Err(failed) => Err(failed),
            Ok(address) => {
                let call = self.plain_call(&attempt);
                let answer = self.shared.engine.plain(address, call).await;
                answer.map_err(|failure| attempt.failed(failure, &endpoint))
            }
        };
        match sent {
            Ok(answer) => Ok(Ok((attempt, answer))),
            Err(failed) => {
                let refused = failed.failure.ran == ExecutionStatus::No;
                attempt.end(if refused {
                    AttemptEnd::Refused
                } else {
                    AttemptEnd::Failed
                });
                Ok(Err(failed))
            }
        }
    }

    fn plain_call(&self, attempt: &Attempt) -> PlainCall {
        PlainCall {
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
        let open = || "open".parse().expect("a fixed name is valid");
        self.account
            .as_ref()
            .map_or_else(open, |account| account.id.clone())
    }

    /// The caller's name for the call.
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

/// A recorded intent whose end is not yet known. Dropped without an end, as when the caller leaves,
/// it ends as unknown.
struct Intent<'a> {
    job: &'a Job,
    key: Option<LedgerKey>,
}

impl Intent<'_> {
    fn end(&mut self, end: LedgerEnd) {
        if let Some(key) = self.key.take() {
            self.job.finish(key, end);
        }
    }
}

impl Drop for Intent<'_> {
    fn drop(&mut self) {
        self.end(LedgerEnd::Unknown);
    }
}

fn end_of_failure(failed: &Failed) -> LedgerEnd {
    match failed.failure.ran {
        ExecutionStatus::No => LedgerEnd::NotRun,
        ExecutionStatus::Failed | ExecutionStatus::Unknown => LedgerEnd::Unknown,
    }
}

fn refusal_of(failed: &Failed) -> Refusal {
    let EngineFailure { reason, ran, .. } = failed.failure;
    Refusal {
        reason,
        ran,
        retry_after: None,
    }
}

fn recorded_response(answer: RecordedAnswer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut response = (status, answer.body).into_response();
    let content_type = answer
        .content_type
        .and_then(|text| HeaderValue::from_str(&text).ok());
    match content_type {
        Some(value) => response.headers_mut().insert(CONTENT_TYPE, value),
        None => response.headers_mut().remove(CONTENT_TYPE),
    };
    response
}

/// Streams an answer to the caller; the attempt ends with it.
fn pass_on(attempt: Attempt, answer: Answer) -> Response {
    let Answer {
        status,
        mut headers,
        body,
    } = answer;
    strip_hop_headers(&mut headers);
    let start = (body, Some(attempt));
    let chunks = futures_util::stream::unfold(start, |(mut body, mut attempt)| async move {
        match body.frame().await {
            Some(Ok(frame)) => Some((Ok(frame), (body, attempt))),
            Some(Err(e)) => Some((Err(e), (Body::empty(), attempt.take()))),
            None => {
                if let Some(attempt) = attempt.take() {
                    attempt.end(AttemptEnd::Complete);
                }
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
