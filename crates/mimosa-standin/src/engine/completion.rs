//! Completions: prefill, export, import, decode.

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
use super::api::CompletionRequest;
use super::api::KvTransfer;
use super::cut_connection;
use super::echo;
use super::header_lines;
use super::output;
use super::output::Shape;
use super::state::KvAllocation;
use super::state::count_tokens;

pub(super) async fn chat(state: State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Response {
    complete(state.0, headers, body, Shape::Chat).await
}

pub(super) async fn text(state: State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Response {
    complete(state.0, headers, body, Shape::Text).await
}

/// Hands a KV cache to another engine and frees it here.
pub(super) async fn export(
    State(shared): State<Arc<Shared>>,
    Path(handle): Path<u64>,
) -> Result<Json<KvAllocation>, StatusCode> {
    shared
        .state()
        .release(handle)
        .map(Json)
        .ok_or(StatusCode::NOT_FOUND)
}

/// A completion in hand.
struct Job {
    shared: Arc<Shared>,
    id: String,
    model: String,
    prompt: String,
    shape: Shape,
    output: u64,
    cut: bool,
    stop: bool,
    memory: Memory,
}

/// Memory that is freed when the job ends, also when its caller leaves.
struct Memory {
    shared: Arc<Shared>,
    handle: u64,
    kept: bool,
}

impl Memory {
    fn new(shared: &Arc<Shared>, handle: u64) -> Self {
        Self {
            shared: Arc::clone(shared),
            handle,
            kept: false,
        }
    }

    /// Leaves the memory held.
    fn keep(mut self) {
        self.kept = true;
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        if !self.kept {
            self.shared.state().release(self.handle);
        }
    }
}

async fn complete(shared: Arc<Shared>, headers: HeaderMap, body: Bytes, shape: Shape) -> Response {
    shared.state().headers.extend(header_lines(&headers));
    let Ok(req) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if shared.state().take_refusal() {
        return busy();
    }
    let prompt = prompt_text(&req, shape);
    if crashes(&shared, &prompt) {
        return cut_connection();
    }
    let id = headers
        .get(REQUEST_ID)
        .and_then(|id| id.to_str().ok())
        .unwrap_or("none")
        .to_owned();
    let (name, prompt) = match shared.state().take_cross() {
        true => (OTHER_REQUEST.to_owned(), OTHER_PROMPT.to_owned()),
        false => (id.clone(), prompt),
    };
    let response = match req.kv_transfer_params.clone() {
        Some(kv) if kv.do_remote_decode => prefill(&shared, &id, &prompt).await,
        kv => {
            decode(
                shared,
                &req,
                DecodeStart {
                    id,
                    prompt,
                    shape,
                    kv,
                },
            )
            .await
        }
    };
    echo(response, &name)
}

fn busy() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, Json(json!({"ran": "no"}))).into_response()
}

fn crashes(shared: &Shared, prompt: &str) -> bool {
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

fn prompt_text(req: &CompletionRequest, shape: Shape) -> String {
    match shape {
        Shape::Text => req.prompt.as_str().unwrap_or_default().to_owned(),
        Shape::Chat => req
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

fn blocks_for(shared: &Shared, prompt: &str, output: u64) -> KvBlocks {
    let tokens = count_tokens(prompt).0 + output;
    mimosa_protocol::Tokens(tokens).blocks(shared.settings.tokens_per_block)
}

async fn prefill(shared: &Arc<Shared>, id: &str, prompt: &str) -> Response {
    let hold = KvAllocation {
        request: id.to_owned(),
        blocks: blocks_for(shared, prompt, 0),
        exported: true,
    };
    let Some(handle) = shared.state().hold(shared.settings.blocks, hold) else {
        return busy();
    };
    let memory = Memory::new(shared, handle);
    shared.state().runs += 1;
    tokio::time::sleep(shared.settings.prefill_time).await;
    remember_prefix(shared, prompt);
    memory.keep();
    expire_later(Arc::clone(shared), handle);
    let kv = KvTransfer {
        remote_handle: Some(handle.to_string()),
        ..KvTransfer::default()
    };
    let usage = json!({"prompt_tokens": count_tokens(prompt).0});
    Json(json!({"id": id, "kv_transfer_params": kv, "usage": usage})).into_response()
}

fn remember_prefix(shared: &Shared, prompt: &str) {
    let mut state = shared.state();
    state.cache_sequence += 1;
    state.cached.push(prompt.len() as u64);
}

fn expire_later(shared: Arc<Shared>, handle: u64) {
    tokio::spawn(async move {
        tokio::time::sleep(shared.settings.prefill_life).await;
        shared.state().release(handle);
    });
}

struct DecodeStart {
    id: String,
    prompt: String,
    shape: Shape,
    kv: Option<KvTransfer>,
}

async fn decode(shared: Arc<Shared>, req: &CompletionRequest, start: DecodeStart) -> Response {
    let most = req
        .max_tokens
        .or(req.max_completion_tokens)
        .unwrap_or(u64::MAX);
    let output = shared.settings.output.0.min(most);
    let blocks = blocks_for(&shared, &start.prompt, output);
    let hold = KvAllocation {
        request: start.id.clone(),
        blocks,
        exported: false,
    };
    let Some(handle) = shared.state().hold(shared.settings.blocks, hold) else {
        return busy();
    };
    let memory = Memory::new(&shared, handle);
    if let Some(kv) = start.kv.filter(|kv| kv.do_remote_prefill) {
        tokio::time::sleep(shared.settings.transfer_time).await;
        if !import(&kv).await {
            return (StatusCode::CONFLICT, Json(json!({"ran": "no"}))).into_response();
        }
    }
    let (cut, stop) = {
        let mut state = shared.state();
        state.runs += 1;
        (state.take_cut(), state.take_stop())
    };
    let model = shared.settings.model.clone();
    let job = Job {
        shared,
        id: start.id,
        model,
        prompt: start.prompt,
        shape: start.shape,
        output,
        cut,
        stop,
        memory,
    };
    if req.stream {
        stream_answer(job)
    } else {
        whole_answer(job).await
    }
}

async fn import(kv: &KvTransfer) -> bool {
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

async fn whole_answer(job: Job) -> Response {
    for _ in 0..job.output {
        pause(job.shared.settings.token_gap).await;
        if !job.shared.state().is_held(job.memory.handle) {
            break;
        }
    }
    let held = job.shared.state().is_held(job.memory.handle);
    if job.cut || !held {
        return cut_connection();
    }
    let text = output::full_text(&job.prompt, job.output);
    let mut answer = job.shape.answer(&job.id, &job.model, &text);
    answer["usage"] = usage(&job);
    Json(answer).into_response()
}

fn usage(job: &Job) -> Value {
    let prompt = count_tokens(&job.prompt).0;
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": job.output,
        "total_tokens": prompt + job.output,
    })
}

async fn pause(gap: Duration) {
    if gap.is_zero() {
        tokio::task::yield_now().await;
    } else {
        tokio::time::sleep(gap).await;
    }
}

fn stream_answer(job: Job) -> Response {
    let chunks = stream::unfold((job, 0), |(job, index)| async move {
        if index > 0 && index <= job.output {
            pause(job.shared.settings.token_gap).await;
        }
        let held = job.shared.state().is_held(job.memory.handle);
        if !held || (job.cut && index == 1) {
            return (index <= job.output)
                .then(|| (Err(std::io::Error::other("cut")), (job, u64::MAX)));
        }
        if job.stop && index == 1 {
            return None;
        }
        let bytes = chunk_at(&job, index)?;
        Some((Ok::<_, std::io::Error>(bytes), (job, index + 1)))
    });
    (
        [(CONTENT_TYPE, "text/event-stream")],
        Body::from_stream(chunks),
    )
        .into_response()
}

fn chunk_at(job: &Job, index: u64) -> Option<Bytes> {
    let event = match index.checked_sub(job.output) {
        None => job
            .shape
            .chunk(&job.id, &job.model, &output::token_text(&job.prompt, index)),
        Some(0) => {
            let mut last = job.shape.last_chunk(&job.id, &job.model);
            last["usage"] = usage(job);
            last
        }
        Some(1) => return Some(Bytes::from_static(b"data: [DONE]\n\n")),
        Some(_) => return None,
    };
    Some(Bytes::from(format!("data: {event}\n\n")))
}
