//! `POST /v1/chat/completions` and `POST /v1/completions`

use std::sync::Arc;

use axum::Extension;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use http_body_util::BodyExt;
use mimosa_hold::quarantine::Fingerprint;
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

use crate::access::Caller;
use crate::access::authorise;
use crate::admission::Ticket;
use crate::admission::reserve;
use crate::attempt::Attempt;
use crate::attempt::Failed;
use crate::attempt::may_go_elsewhere;
use crate::body;
use crate::call::Completion;
use crate::call::ModelCall;
use crate::engine::Answer;
use crate::engine::EngineFailure;
use crate::filter::record::Named;
use crate::metrics::Served;
use crate::problem;
use crate::relay::Relay;
use crate::retry::Attempts;
use crate::shared::Shared;
use crate::sse::Scanner;
use crate::sse::usage_of;

/// Weight of callers of an open service.
const OPEN_WEIGHT: u32 = 1;
/// Account that callers of open services queue under.
const OPEN_ACCOUNT: &str = "open";

/// `POST /v1/chat/completions`
pub(crate) async fn chat(
    shared: State<Arc<Shared>>,
    caller: Extension<Caller>,
    named: Extension<Named>,
    req: Request,
) -> Response {
    answer(Job::new(Completion::Chat, shared, caller, named), req).await
}

/// `POST /v1/completions`
pub(crate) async fn text(
    shared: State<Arc<Shared>>,
    caller: Extension<Caller>,
    named: Extension<Named>,
    req: Request,
) -> Response {
    answer(Job::new(Completion::Text, shared, caller, named), req).await
}

/// A completion in hand.
struct Job {
    shared: Arc<Shared>,
    caller: Caller,
    request: RequestId,
    kind: Completion,
}

impl Job {
    fn new(
        kind: Completion,
        State(shared): State<Arc<Shared>>,
        Extension(caller): Extension<Caller>,
        Extension(named): Extension<Named>,
    ) -> Self {
        Self {
            shared,
            caller,
            request: named.0,
            kind,
        }
    }
}

/// A completion that passed the filters before the queue.
struct Admitted {
    shared: Arc<Shared>,
    request: RequestId,
    caller: Caller,
    arrived: Timestamp,
    call: ModelCall,
    service: Service,
    account: Option<ClientAccount>,
    ticket: Option<Ticket>,
}

async fn answer(job: Job, req: Request) -> Response {
    let served = async {
        let admitted = admit(job, req.into_body()).await?;
        serve(admitted).await
    };
    served
        .await
        .unwrap_or_else(|refusal| problem::response(&refusal))
}

async fn admit(job: Job, body: Body) -> Result<Admitted, Refusal> {
    let Job {
        shared,
        caller,
        request,
        kind,
    } = job;
    let arrived = shared.now();
    let limits = &shared.settings.limits;
    let body = body::read(body, limits.body, limits.body_time).await?;
    let mut call = ModelCall::parse(kind, &body)?;
    let table = shared.table.load();
    let service = table
        .service(&call.service)
        .filter(|service| service.kind == ServiceKind::Model)
        .cloned()
        .ok_or(Refusal::not_run(RefusalReason::NotFound))?;
    let account = authorise(&shared, &caller, &service)?;
    let account_id = account.as_ref().map(|account| &account.id);
    call.fingerprint = Fingerprint::of(account_id, &service.id, &body);
    shared.suspects.check(arrived, call.fingerprint)?;
    let ticket = match &account {
        None => None,
        Some(account) => Some(reserve(&shared, request, account, call.cost()).await?),
    };
    Ok(Admitted {
        shared,
        request,
        caller,
        arrived,
        call,
        service,
        account,
        ticket,
    })
}

async fn serve(mut job: Admitted) -> Result<Response, Refusal> {
    const NOWHERE: Refusal = Refusal::not_run(RefusalReason::NoEndpoint);
    let mut queues = job.shared.placers.of(&job.service.id).into_iter();
    let mut placer = queues.next().ok_or(NOWHERE)?;
    let mut attempts = Attempts::new();
    loop {
        let shared = &job.shared;
        let quarantine = shared.suspects.check(shared.now(), job.call.fingerprint);
        quarantine.map_err(|refusal| attempts.refusal(refusal))?;
        let submission = job.submission(attempts.avoid());
        let placed = Attempt::place(&job.shared, &placer, submission, attempts.number()).await;
        let attempt = match placed {
            Ok(attempt) => attempt,
            Err(refusal) if !may_go_elsewhere(refusal.reason) => {
                return Err(attempts.refusal(refusal));
            }
            Err(refusal) => match queues.next() {
                Some(next) => {
                    placer = next;
                    continue;
                }
                None => return Err(attempts.refusal(refusal)),
            },
        };
        authorise(&job.shared, &job.caller, &job.service)
            .map_err(|refusal| attempts.refusal(refusal))?;
        match run(&mut job, attempt).await {
            Ok(response) => {
                let shared = &job.shared;
                shared.budgets.succeeded(shared.now(), &job.service.id);
                return Ok(response);
            }
            Err(failed)
                if attempts.may_follow(&failed, placer.as_ref(), &job.shared, &job.service.id) =>
            {
                job.shared.metrics.retried(&job.service.id);
            }
            Err(_) => return Err(attempts.last()),
        }
    }
}

impl Admitted {
    fn submission(&self, avoid: Vec<EndpointId>) -> Submission {
        let open = || OPEN_ACCOUNT.parse().expect("a fixed name is valid");
        Submission {
            request: self.request,
            account: self
                .account
                .as_ref()
                .map_or_else(open, |account| account.id.clone()),
            weight: self
                .account
                .as_ref()
                .map_or(OPEN_WEIGHT, |account| account.weight),
            prompt: self.call.prompt,
            max_output: self.call.max_output,
            prefix: self.call.prefix.clone(),
            arrived: self.arrived,
            idempotent: true,
            avoid,
        }
    }

    fn served(&self, endpoint: &EndpointId) -> Served {
        Served {
            metrics: Arc::clone(&self.shared) as Arc<dyn crate::metrics::AsMetrics>,
            clock: self.shared.clock,
            request: self.request,
            account: self.account.as_ref().map(|account| account.id.clone()),
            service: self.service.clone(),
            endpoint: endpoint.clone(),
            arrived: self.arrived,
            first: None,
            output: Tokens::ZERO,
            done: false,
        }
    }
}

/// Runs one attempt up to the first byte of its answer.
async fn run(job: &mut Admitted, mut attempt: Attempt) -> Result<Response, Failed> {
    let started = attempt.run_model(&job.call).await;
    let started = match started {
        Ok(answer) if answer.status == StatusCode::OK => Ok(answer),
        Ok(_) => Err(attempt.failed(EngineFailure::FAILED, &attempt.endpoint().clone())),
        Err(failed) => Err(failed),
    };
    match started {
        Ok(answer) if job.call.stream => stream(job, attempt, answer).await,
        Ok(answer) => collect(job, attempt, answer).await,
        Err(failed) => {
            let end = match failed.failure {
                EngineFailure::BUSY => AttemptEnd::Refused,
                _ => AttemptEnd::Failed,
            };
            waste(job, &attempt);
            attempt.examine(&failed).await;
            attempt.give_up(end).await;
            Err(failed)
        }
    }
}

fn waste(job: &Admitted, attempt: &Attempt) {
    if attempt.has_prefilled() {
        job.shared
            .metrics
            .prefill_wasted(&job.service.id, attempt.prompt);
    }
}

/// Passes a stream on once its first bytes are there.
async fn stream(job: &mut Admitted, attempt: Attempt, answer: Answer) -> Result<Response, Failed> {
    let served = job.served(attempt.endpoint());
    let mut relay = Relay {
        body: answer.body,
        abort: attempt.abort(),
        attempt: Some(attempt),
        ticket: job.ticket.take(),
        served,
        silence: job.shared.settings.limits.endpoint_silence,
        scanner: Scanner::default(),
        reported: Tokens::ZERO,
    };
    let Some(first) = relay.first().await else {
        job.ticket = relay.ticket.take();
        relay.served.done = true;
        let attempt = relay
            .attempt
            .take()
            .expect("an attempt in hand has not ended");
        let failed = attempt.failed(EngineFailure::CUT, &attempt.endpoint().clone());
        waste(job, &attempt);
        attempt.examine(&failed).await;
        attempt.give_up(AttemptEnd::Failed).await;
        return Err(failed);
    };
    let content_type = content_type(&answer.headers, "text/event-stream");
    let body = relay.into_body(first);
    Ok(([(CONTENT_TYPE, content_type)], body).into_response())
}

/// Collects a whole answer before the caller sees any of it.
async fn collect(job: &mut Admitted, attempt: Attempt, answer: Answer) -> Result<Response, Failed> {
    let mut served = job.served(attempt.endpoint());
    let silence = job.shared.settings.limits.endpoint_silence;
    let whole = tokio::time::timeout(silence, answer.body.collect()).await;
    let failure = match whole {
        Ok(Ok(whole)) => {
            let bytes = whole.to_bytes();
            finish(job, attempt, &mut served, &bytes);
            let content_type = content_type(&answer.headers, "application/json");
            return Ok(([(CONTENT_TYPE, content_type)], bytes).into_response());
        }
        Ok(Err(_)) => EngineFailure::CUT,
        Err(_) => EngineFailure::SILENT,
    };
    served.done = true;
    let failed = attempt.failed(failure, &attempt.endpoint().clone());
    waste(job, &attempt);
    attempt.examine(&failed).await;
    attempt.give_up(AttemptEnd::Failed).await;
    Err(failed)
}

fn finish(job: &mut Admitted, attempt: Attempt, served: &mut Served, bytes: &Bytes) {
    let (output, prompt) = usage_of(bytes);
    let output = output.unwrap_or(job.call.max_output);
    let prompt = prompt.unwrap_or(attempt.prompt);
    served.output(output);
    served.complete();
    if let Some(mut ticket) = job.ticket.take() {
        ticket.use_up_to(prompt + output);
    }
    attempt.end(AttemptEnd::Complete);
}

fn content_type(headers: &HeaderMap, default: &'static str) -> HeaderValue {
    let given = headers.get(CONTENT_TYPE).cloned();
    given.unwrap_or(HeaderValue::from_static(default))
}
