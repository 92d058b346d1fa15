//! JSON messages of the engine API.

use serde::Deserialize;
use serde::Serialize;

/// The fields of a completion request that the engine uses. Other fields are ignored.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct CompletionRequest {
    /// Requested model. It is not checked, as the engine serves only one.
    #[serde(default)]
    pub model: String,
    /// Prompt of a text completion; empty if it is not a string.
    #[serde(default)]
    pub prompt: serde_json::Value,
    /// Messages of a chat completion. The prompt is the concatenation of their `content` strings.
    #[serde(default)]
    pub messages: serde_json::Value,
    /// Limit of output tokens; without one, the engine's `output` setting applies.
    pub max_tokens: Option<u64>,
    /// Limit of output tokens, under the newer field name; used if `max_tokens` is absent.
    pub max_completion_tokens: Option<u64>,
    /// Whether the output is streamed.
    #[serde(default)]
    pub stream: bool,
    /// KV cache transfer of this request; `None` if one engine runs both prefill and decode.
    pub kv_transfer_params: Option<KvTransfer>,
}

/// Direction and location of a KV cache transfer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KvTransfer {
    /// Keep the KV cache of the prompt for an export.
    #[serde(default)]
    pub do_remote_decode: bool,
    /// Import the KV cache of the prompt before decoding.
    #[serde(default)]
    pub do_remote_prefill: bool,
    /// Address of the engine that stores the KV cache.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_address: Option<String>,
    /// Handle of the KV cache at that engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remote_handle: Option<String>,
}

/// Response to `GET /v1/load`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Load {
    /// Number of restarts of the engine after a crash.
    pub incarnation: u64,
    /// Requests with a KV allocation, prefill results that are not imported yet included.
    pub running: u32,
    /// Queued requests; always 0, as a full engine rejects requests.
    pub waiting: u32,
    /// KV cache blocks in use.
    pub used_blocks: u64,
    /// Completions started so far, prefills included.
    pub runs: u64,
}

/// Body of `POST /v1/cancel`. The response tells whether the completion had KV cache to release.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// The `X-Request-Id` of the completion.
    pub request: String,
}

/// Body of `POST /v1/orders`: an order to load a model, an adapter or a version, or to change the
/// role.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token; a lower one than the last is rejected if `checks_fencing` is set.
    pub fencing: u64,
    /// Text of the order, stored by the engine.
    pub order: String,
}
