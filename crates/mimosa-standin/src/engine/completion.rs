//! Handlers for completions: prefill, KV export and import, decode.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use mimosa_protocol::KvBlocks;
use serde_json::Value;
use serde_json::json;

use super::OTHER_PROMPT;
use super::OTHER_REQUEST;
use super::REQUEST_ID;
use super::Shared;
use super::abort_connection;
use super::api::CompletionRequest;
use super::api::KvTransfer;
use super::header_lines;
use super::output;
use super::output::ApiFormat;
use super::state::KvAllocation;
use super::state::count_tokens;
use super::with_request_id;

pub(super) async fn chat_completion(
    state: State<Arc<Shared>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    handle_completion(state.0, headers, body, ApiFormat::Chat).await
}

pub(super) async fn text_completion(
    state: State<Arc<Shared>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    handle_completion(state.0, headers, body, ApiFormat::Text).await
}

/// Transfers a KV cache to another engine and releases it here.
pub(super) async fn export_kv(
    State(shared): State<Arc<Shared>>,
    Path(handle): Path<u64>,
) -> Result<Json<KvAllocation>, StatusCode> {
    shared
        .state()
        .release(handle)
        .map(Json)
        .ok_or(StatusCode::NOT_FOUND)
}

/// A completion in progress.
struct Completion {
    shared: Arc<Shared>,
    id: String,
    model: String,
    prompt: String,
    format: ApiFormat,
    output: u64,
    abort: bool,
    truncate: bool,
    guard: AllocationGuard,
}

/// Releases a KV allocation when the completion ends or its client disconnects.
struct AllocationGuard {
    shared: Arc<Shared>,
    handle: u64,
    is_retained: bool,
}

impl AllocationGuard {
    fn new(shared: &Arc<Shared>, handle: u64) -> Self {
        Self {
            shared: Arc::clone(shared),
            handle,
            is_retained: false,
        }
    }

    /// Keeps the allocation after the guard is dropped.
    fn retain(mut self) {
        self.is_retained = true;
    }
}

impl Drop for AllocationGuard {
    fn drop(&mut self) {
        if !self.is_retained {
            self.shared.state().release(self.handle);
        }
    }
}

async fn handle_completion(
    shared: Arc<Shared>,
    headers: HeaderMap,
    body: Bytes,
    format: ApiFormat,
) -> Response {
    shared
        .state()
        .received_headers
        .extend(header_lines(&headers));
    let Ok(req) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if shared.state().consume_refusal() {
        return busy_response();
    }
    let prompt = prompt_text(&req, format);
    if crash_if_triggered(&shared, &prompt) {
        return abort_connection();
    }
    let id = headers
        .get(REQUEST_ID)
        .and_then(|id| id.to_str().ok())
        .unwrap_or("none")
        .to_owned();
    let (response_id, prompt) = match shared.state().consume_misdelivery() {
        true => (OTHER_REQUEST.to_owned(), OTHER_PROMPT.to_owned()),
        false => (id.clone(), prompt),
    };
    let response = match req.kv_transfer_params.clone() {
        Some(kv) if kv.do_remote_decode => prefill(&shared, &id, &prompt).await,
        kv => {
            decode(
                shared,
                &req,
                DecodeInput {
                    id,
                    prompt,
                    format,
                    kv,
                },
            )
            .await
        }
    };
    with_request_id(response, &response_id)
}

fn busy_response() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, Json(json!({"ran": "no"}))).into_response()
}

fn crash_if_triggered(shared: &Shared, prompt: &str) -> bool {
    let crash = shared
        .settings
        .crash_marker
        .as_ref()
        .is_some_and(|marker| prompt.contains(marker));
    if crash {
        let mut state = shared.state();
        state.runs += 1;
        state.crash();
    }
    crash
}

fn prompt_text(req: &CompletionRequest, format: ApiFormat) -> String {
    match format {
        ApiFormat::Text => req.prompt.as_str().unwrap_or_default().to_owned(),
        ApiFormat::Chat => req
            .messages
            .as_array()
            .into_iter()
            .flatten()
            .map(message_text)
            .collect(),
    }
}

fn message_text(message: &Value) -> String {
    message["content"].as_str().unwrap_or_default().to_owned()
}

fn blocks_needed(shared: &Shared, prompt: &str, output: u64) -> KvBlocks {
    let tokens = count_tokens(prompt).0 + output;
    mimosa_protocol::Tokens(tokens).blocks(shared.settings.tokens_per_block)
}

async fn prefill(shared: &Arc<Shared>, id: &str, prompt: &str) -> Response {
    let allocation = KvAllocation {
        request: id.to_owned(),
        blocks: blocks_needed(shared, prompt, 0),
        exported: true,
    };
    let Some(handle) = shared.state().allocate(shared.settings.blocks, allocation) else {
        return busy_response();
    };
    let guard = AllocationGuard::new(shared, handle);
    shared.state().runs += 1;
    tokio::time::sleep(shared.settings.prefill_time).await;
    record_cached_prefix(shared, prompt);
    guard.retain();
    release_after_prefill_life(Arc::clone(shared), handle);
    let kv = KvTransfer {
        remote_handle: Some(handle.to_string()),
        ..KvTransfer::default()
    };
    let usage = json!({"prompt_tokens": count_tokens(prompt).0});
    Json(json!({"id": id, "kv_transfer_params": kv, "usage": usage})).into_response()
}

fn record_cached_prefix(shared: &Shared, prompt: &str) {
    let mut state = shared.state();
    state.cache_sequence += 1;
    state.cached_prefix_bytes.push(prompt.len() as u64);
}

fn release_after_prefill_life(shared: Arc<Shared>, handle: u64) {
    tokio::spawn(async move {
        tokio::time::sleep(shared.settings.prefill_life).await;
        shared.state().release(handle);
    });
}

struct DecodeInput {
    id: String,
    prompt: String,
    format: ApiFormat,
    kv: Option<KvTransfer>,
}

async fn decode(shared: Arc<Shared>, req: &CompletionRequest, input: DecodeInput) -> Response {
    let limit = req
        .max_tokens
        .or(req.max_completion_tokens)
        .unwrap_or(u64::MAX);
    let output = shared.settings.output.0.min(limit);
    let blocks = blocks_needed(&shared, &input.prompt, output);
    let allocation = KvAllocation {
        request: input.id.clone(),
        blocks,
        exported: false,
    };
    let Some(handle) = shared.state().allocate(shared.settings.blocks, allocation) else {
        return busy_response();
    };
    let guard = AllocationGuard::new(&shared, handle);
    if let Some(kv) = input.kv.filter(|kv| kv.do_remote_prefill) {
        tokio::time::sleep(shared.settings.transfer_time).await;
        if !import_kv(&kv).await {
            return (StatusCode::CONFLICT, Json(json!({"ran": "no"}))).into_response();
        }
    }
    let (abort, truncate) = {
        let mut state = shared.state();
        state.runs += 1;
        (state.consume_abort(), state.consume_truncation())
    };
    let model = shared.settings.model.clone();
    let completion = Completion {
        shared,
        id: input.id,
        model,
        prompt: input.prompt,
        format: input.format,
        output,
        abort,
        truncate,
        guard,
    };
    if req.stream {
        stream_response(completion)
    } else {
        full_response(completion).await
    }
}

async fn import_kv(kv: &KvTransfer) -> bool {
    let (Some(address), Some(handle)) = (&kv.remote_address, &kv.remote_handle) else {
        return false;
    };
    let Ok(uri) = format!("http://{address}/v1/kv/{handle}").parse() else {
        return false;
    };
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    match client.get(uri).await {
        Ok(resp) => resp.status() == StatusCode::OK && resp.into_body().collect().await.is_ok(),
        Err(_) => false,
    }
}

async fn full_response(completion: Completion) -> Response {
    for _ in 0..completion.output {
        wait_token_gap(completion.shared.settings.token_gap).await;
        if !completion
            .shared
            .state()
            .is_allocated(completion.guard.handle)
        {
            break;
        }
    }
    let is_allocated = completion
        .shared
        .state()
        .is_allocated(completion.guard.handle);
    if completion.abort || !is_allocated {
        return abort_connection();
    }
    let text = output::full_text(&completion.prompt, completion.output);
    let mut response = completion
        .format
        .response(&completion.id, &completion.model, &text);
    response["usage"] = usage(&completion);
    Json(response).into_response()
}

fn usage(completion: &Completion) -> Value {
    let prompt = count_tokens(&completion.prompt).0;
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": completion.output,
        "total_tokens": prompt + completion.output,
    })
}

async fn wait_token_gap(gap: Duration) {
    if gap.is_zero() {
        tokio::task::yield_now().await;
    } else {
        tokio::time::sleep(gap).await;
    }
}

fn stream_response(completion: Completion) -> Response {
    let events = stream::unfold((completion, 0), |(completion, index)| async move {
        if index > 0 && index <= completion.output {
            wait_token_gap(completion.shared.settings.token_gap).await;
        }
        let is_allocated = completion
            .shared
            .state()
            .is_allocated(completion.guard.handle);
        if !is_allocated || (completion.abort && index == 1) {
            return (index <= completion.output).then(|| {
                (
                    Err(std::io::Error::other("aborted")),
                    (completion, u64::MAX),
                )
            });
        }
        if completion.truncate && index == 1 {
            return None;
        }
        let bytes = event_at(&completion, index)?;
        Some((Ok::<_, std::io::Error>(bytes), (completion, index + 1)))
    });
    (
        [(CONTENT_TYPE, "text/event-stream")],
        Body::from_stream(events),
    )
        .into_response()
}

fn event_at(completion: &Completion, index: u64) -> Option<Bytes> {
    let event = match index.checked_sub(completion.output) {
        None => completion.format.chunk(
            &completion.id,
            &completion.model,
            &output::token_text(&completion.prompt, index),
        ),
        Some(0) => {
            let mut last = completion
                .format
                .last_chunk(&completion.id, &completion.model);
            last["usage"] = usage(completion);
            last
        }
        Some(1) => return Some(Bytes::from_static(b"data: [DONE]\n\n")),
        Some(_) => return None,
    };
    Some(Bytes::from(format!("data: {event}\n\n")))
}
