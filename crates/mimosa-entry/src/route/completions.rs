//! `POST /v1/chat/completions` and `POST /v1/completions`

use std::sync::Arc;
use std::time::Duration;

use axum::Extension;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use mimosa_hold::events::EventBuffer;
use mimosa_hold::quarantine::Fingerprint;
use mimosa_memory::Refused;
use mimosa_memory::Reservation as MemoryReservation;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::configuration::ServiceKind;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Submission;
use mimosa_transport::reserved_buffer::ReservedBuffer;
use serde::de::IgnoredAny;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use crate::access::Caller;
use crate::access::authorise;
use crate::access::identify;
use crate::admission::Reservation;
use crate::admission::reserve;
use crate::attempt::Attempt;
use crate::attempt::AttemptFailure;
use crate::attempt::may_try_another_data_centre;
use crate::body;
use crate::body::MEMORY_FULL;
use crate::connection::Connection;
use crate::engine::EngineFailure;
use crate::engine::EngineResponse;
use crate::filter::record::AssignedId;
use crate::metrics::RequestRecord;
use crate::model_request::CompletionKind;
use crate::model_request::ModelRequest;
use crate::problem;
use crate::relay::Relay;
use crate::retry::AttemptHistory;
use crate::shared::Shared;
use crate::sse::Scanner;
use crate::sse::usage_of;

/// Maximum size of a response that is collected before the caller receives any of it.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Memory that is reserved for such a response before its request is sent, so that a full account refuses the
/// request as not run; enough for a thousand tokens. More is reserved once the response arrives.
const MIN_RESPONSE_BYTES: usize = 4 << 10;
/// Scheduling weight of anonymous callers.
const ANONYMOUS_WEIGHT: u32 = 1;
/// Account under which anonymous callers are queued together.
const ANONYMOUS_ACCOUNT: &str = "open";

/// `POST /v1/chat/completions`
pub(crate) async fn chat(
    shared: State<Arc<Shared>>,
    caller: Extension<Caller>,
    assigned: Extension<AssignedId>,
    req: Request,
) -> Response {
    respond(
        RequestContext::new(CompletionKind::Chat, shared, caller, assigned),
        req,
    )
    .await
}

/// `POST /v1/completions`
pub(crate) async fn text(
    shared: State<Arc<Shared>>,
    caller: Extension<Caller>,
    assigned: Extension<AssignedId>,
    req: Request,
) -> Response {
    respond(
        RequestContext::new(CompletionKind::Text, shared, caller, assigned),
        req,
    )
    .await
}

/// A completion request before its body is read.
struct RequestContext {
    shared: Arc<Shared>,
    caller: Caller,
    request: RequestId,
    kind: CompletionKind,
}

impl RequestContext {
    fn new(
        kind: CompletionKind,
        State(shared): State<Arc<Shared>>,
        Extension(caller): Extension<Caller>,
        Extension(assigned): Extension<AssignedId>,
    ) -> Self {
        Self {
            shared,
            caller,
            request: assigned.0,
            kind,
        }
    }
}

/// A completion request that may be queued: parsed, authorised and within its account's rate.
struct AdmittedRequest {
    shared: Arc<Shared>,
    request: RequestId,
    caller: Caller,
    arrived: Timestamp,
    model_request: ModelRequest,
    service: Service,
    account: Option<ClientAccount>,
    reservation: Option<Reservation>,
    connection: Arc<Connection>,
    /// Memory of the parsed body and of a copy that is sent.
    _body: MemoryReservation,
    /// ReservedBuffer of a response that is not streamed.
    response: Option<ReservedBuffer>,
}

async fn respond(context: RequestContext, req: Request) -> Response {
    let result = async {
        let (parts, body) = req.into_parts();
        let connection = Connection::of_request(&parts.extensions);
        let admitted = admit(context, connection, body).await?;
        serve(admitted).await
    };
    result
        .await
        .unwrap_or_else(|refusal| problem::response(&refusal))
}

/// Reads and parses the body, authorises the caller, checks the quarantine and reserves the cost
/// from the account's rate limit.
async fn admit(
    context: RequestContext,
    connection: Arc<Connection>,
    body: Body,
) -> Result<AdmittedRequest, Refusal> {
    let RequestContext {
        shared,
        caller,
        request,
        kind,
    } = context;
    let arrived = shared.now();
    let owner = identify(&shared, &caller)?.map(|account| account.id);
    let mut body = body::read(&shared, owner, body).await?;
    let copied = body.reserve_copies(1).await;
    copied.map_err(|Refused| MEMORY_FULL)?;
    let mut model_request = ModelRequest::parse(kind, body.as_slice())?;
    let current = shared.configuration.load();
    let service = current
        .service(&model_request.service)
        .filter(|service| service.kind == ServiceKind::Model)
        .cloned()
        .ok_or(Refusal::not_run(RefusalReason::NotFound))?;
    let account = authorise(&shared, &caller, &service)?;
    let account_id = account.as_ref().map(|account| &account.id);
    let whole = Fingerprint::of(account_id, &service.id, body.as_slice());
    Arc::make_mut(&mut model_request.parts).whole = whole;
    shared.quarantine.check(arrived, &model_request.parts)?;
    let reservation = match &account {
        None => None,
        Some(account) => Some(reserve(&shared, request, account, model_request.cost()).await?),
    };
    let response = match model_request.stream {
        true => None,
        false => {
            let mut response = new_response_buffer(&connection, account.as_ref());
            let reserved = response.reserve(MIN_RESPONSE_BYTES).await;
            reserved.map_err(|Refused| MEMORY_FULL)?;
            Some(response.waiting())
        }
    };
    Ok(AdmittedRequest {
        connection,
        _body: body.into_reservation(),
        response,
        shared,
        request,
        caller,
        arrived,
        model_request,
        service,
        account,
        reservation,
    })
}

/// Places the request and runs attempts until one succeeds or no more are allowed. A request that a
/// queue refuses may go to the queue of another data centre.
async fn serve(mut admitted: AdmittedRequest) -> Result<Response, Refusal> {
    const NO_ENDPOINT: Refusal = Refusal::not_run(RefusalReason::NoEndpoint);
    let mut queues = admitted
        .shared
        .queues
        .queues_for(&admitted.service.id)
        .into_iter();
    let mut queue = queues.next().ok_or(NO_ENDPOINT)?;
    let mut attempts = AttemptHistory::new();
    loop {
        let shared = &admitted.shared;
        let quarantine = shared
            .quarantine
            .check(shared.now(), &admitted.model_request.parts);
        quarantine.map_err(|refusal| attempts.merge_into(refusal))?;
        let submission = admitted.submission(attempts.avoid());
        let placed = Attempt::place(&admitted.shared, &queue, submission, attempts.number()).await;
        let attempt = match placed {
            Ok(attempt) => attempt,
            Err(refusal) if !may_try_another_data_centre(refusal.reason) => {
                return Err(attempts.merge_into(refusal));
            }
            Err(refusal) => match queues.next() {
                Some(next) => {
                    queue = next;
                    continue;
                }
                None => return Err(attempts.merge_into(refusal)),
            },
        };
        authorise(&admitted.shared, &admitted.caller, &admitted.service)
            .map_err(|refusal| attempts.merge_into(refusal))?;
        match run_attempt(&mut admitted, attempt).await {
            Ok(response) => {
                let shared = &admitted.shared;
                shared
                    .retry_budgets
                    .record_success(shared.now(), &admitted.service.id);
                return Ok(response);
            }
            Err(failed)
                if attempts.record_failure(
                    &failed,
                    queue.as_ref(),
                    &admitted.shared,
                    &admitted.service.id,
                ) =>
            {
                admitted.shared.metrics.count_retry(&admitted.service.id);
            }
            Err(_) => return Err(attempts.final_refusal()),
        }
    }
}

impl AdmittedRequest {
    fn submission(&self, avoid: Vec<EndpointId>) -> Submission {
        let anonymous = || ANONYMOUS_ACCOUNT.parse().expect("a fixed name is valid");
        Submission {
            request: self.request,
            account: self
                .account
                .as_ref()
                .map_or_else(anonymous, |account| account.id.clone()),
            weight: self
                .account
                .as_ref()
                .map_or(ANONYMOUS_WEIGHT, |account| account.weight),
            prompt: self.model_request.prompt_tokens,
            max_output: self.model_request.max_output,
            prefix: self.model_request.prefix.clone(),
            arrived: self.arrived,
            idempotent: true,
            avoid,
        }
    }

    /// The buffer for the response of the next attempt.
    fn take_response_buffer(&mut self) -> ReservedBuffer {
        let buffer = self.response.take();
        let new = || new_response_buffer(&self.connection, self.account.as_ref()).waiting();
        buffer.unwrap_or_else(new)
    }

    fn request_record(&self, endpoint: &EndpointId) -> RequestRecord {
        RequestRecord {
            metrics: Arc::clone(&self.shared) as Arc<dyn crate::metrics::HasMetrics>,
            clock: self.shared.clock,
            request: self.request,
            account: self.account.as_ref().map(|account| account.id.clone()),
            service: self.service.clone(),
            endpoint: endpoint.clone(),
            arrived: self.arrived,
            first_output_at: None,
            output: Tokens::ZERO,
            is_recorded: false,
        }
    }
}

/// Runs one attempt up to the first byte of its response, or to the whole response if it is not
/// streamed.
async fn run_attempt(
    admitted: &mut AdmittedRequest,
    mut attempt: Attempt,
) -> Result<Response, AttemptFailure> {
    let started = attempt.run_model(&admitted.model_request).await;
    let started = match started {
        Ok(engine_response) if engine_response.status == StatusCode::OK => Ok(engine_response),
        Ok(_) => Err(attempt.record_failure(EngineFailure::FAILED, &attempt.endpoint().clone())),
        Err(failed) => Err(failed),
    };
    match started {
        Ok(engine_response) if admitted.model_request.stream => {
            stream(admitted, attempt, engine_response).await
        }
        Ok(engine_response) => collect(admitted, attempt, engine_response).await,
        Err(failed) => {
            let end = match failed.failure {
                EngineFailure::DECLINED => AttemptEnd::Refused,
                _ => AttemptEnd::Failed,
            };
            count_wasted_prefill(admitted, &attempt);
            attempt.check_for_crash(&failed).await;
            attempt.release_and_end(end).await;
            Err(failed)
        }
    }
}

fn count_wasted_prefill(admitted: &AdmittedRequest, attempt: &Attempt) {
    if attempt.has_sent_prefill() {
        admitted
            .shared
            .metrics
            .count_wasted_prefill(&admitted.service.id, attempt.prompt_tokens);
    }
}

/// Streams the response to the caller once its first chunk has arrived.
async fn stream(
    admitted: &mut AdmittedRequest,
    attempt: Attempt,
    engine_response: EngineResponse,
) -> Result<Response, AttemptFailure> {
    let record = admitted.request_record(attempt.endpoint());
    let mut relay = Relay {
        body: engine_response.body,
        abort: attempt.abort(),
        attempt: Some(attempt),
        reservation: admitted.reservation.take(),
        record,
        idle_timeout: admitted.shared.settings.limits.endpoint_silence,
        events: EventBuffer::default(),
        scanner: Scanner::default(),
        is_sound: false,
        reported_output: Tokens::ZERO,
    };
    let first = match relay.first_chunk().await {
        Ok(first) => first,
        Err(failure) => {
            admitted.reservation = relay.reservation.take();
            relay.record.is_recorded = true;
            let attempt = relay
                .attempt
                .take()
                .expect("a relay that returned no chunk still has its attempt");
            let failed = attempt.record_failure(failure, &attempt.endpoint().clone());
            count_wasted_prefill(admitted, &attempt);
            attempt.check_for_crash(&failed).await;
            attempt.release_and_end(AttemptEnd::Failed).await;
            return Err(failed);
        }
    };
    let content_type = content_type(&engine_response.headers, "text/event-stream");
    let body = relay.into_body(first);
    Ok(([(CONTENT_TYPE, content_type)], body).into_response())
}

/// Collects the whole response before the caller receives any of it, so that a failure can be
/// retried.
async fn collect(
    admitted: &mut AdmittedRequest,
    attempt: Attempt,
    engine_response: EngineResponse,
) -> Result<Response, AttemptFailure> {
    let mut record = admitted.request_record(attempt.endpoint());
    let silence = admitted.shared.settings.limits.endpoint_silence;
    let buffer = admitted.take_response_buffer();
    let failure = match collect_body(buffer, engine_response.body, silence).await {
        Ok(response) if is_json_document(response.as_slice()) => {
            finish(admitted, attempt, &mut record, response.as_slice());
            let content_type = content_type(&engine_response.headers, "application/json");
            admitted.connection.start_reading(response.reservation());
            let bytes = response.into_bytes();
            return Ok(([(CONTENT_TYPE, content_type)], bytes).into_response());
        }
        // A body without a length is whole only if its document is.
        Ok(_) => EngineFailure::DISCONNECTED,
        Err(failure) => failure,
    };
    record.is_recorded = true;
    let failed = attempt.record_failure(failure, &attempt.endpoint().clone());
    count_wasted_prefill(admitted, &attempt);
    attempt.check_for_crash(&failed).await;
    attempt.release_and_end(AttemptEnd::Failed).await;
    Err(failed)
}

/// The whole body, unless it is too large, breaks off, or nothing of it arrives for a time. While the account is
/// full, it is not read on for as long. Memory of the declared length is reserved at once, so that responses do
/// not wait for each other with half of it.
async fn collect_body(
    mut buffer: ReservedBuffer,
    mut body: Body,
    silence: Duration,
) -> Result<ReservedBuffer, EngineFailure> {
    let declared = body.size_hint().exact().unwrap_or(0);
    if declared > MAX_RESPONSE_BYTES as u64 {
        return Err(EngineFailure::DISCONNECTED);
    }
    let reserved = timeout(silence, buffer.reserve(declared as usize)).await;
    check_in_time(reserved)?;
    while let Some(frame) = check_silence(timeout(silence, body.frame()).await)? {
        let frame = frame.map_err(|_| EngineFailure::DISCONNECTED)?;
        if let Some(data) = frame.data_ref() {
            if buffer.len() + data.len() > MAX_RESPONSE_BYTES {
                return Err(EngineFailure::DISCONNECTED);
            }
            check_in_time(timeout(silence, buffer.push(data)).await)?;
        }
    }
    Ok(buffer)
}

fn check_silence<T>(ended: Result<T, Elapsed>) -> Result<T, EngineFailure> {
    ended.map_err(|_| EngineFailure::TIMED_OUT)
}

fn check_in_time<T, E>(ended: Result<Result<T, E>, Elapsed>) -> Result<T, EngineFailure> {
    check_silence(ended)?.map_err(|_| EngineFailure::DISCONNECTED)
}

fn new_response_buffer(connection: &Connection, account: Option<&ClientAccount>) -> ReservedBuffer {
    let owner = account.map(|account| account.id.clone());
    connection.response_buffer(owner, MAX_RESPONSE_BYTES)
}

/// Records a complete response. Without a usage report from the engine the account is charged for
/// the maximum output.
fn finish(
    admitted: &mut AdmittedRequest,
    attempt: Attempt,
    record: &mut RequestRecord,
    bytes: &[u8],
) {
    let (output, prompt) = usage_of(bytes);
    let output = output.unwrap_or(admitted.model_request.max_output);
    let prompt = prompt.unwrap_or(attempt.prompt_tokens);
    record.record_output(output);
    record.complete();
    if let Some(mut reservation) = admitted.reservation.take() {
        reservation.record_usage(prompt + output);
    }
    attempt.end(AttemptEnd::Complete);
}

fn content_type(headers: &HeaderMap, default: &'static str) -> HeaderValue {
    let given = headers.get(CONTENT_TYPE).cloned();
    given.unwrap_or(HeaderValue::from_static(default))
}

fn is_json_document(bytes: &[u8]) -> bool {
    serde_json::from_slice::<IgnoredAny>(bytes).is_ok()
}
