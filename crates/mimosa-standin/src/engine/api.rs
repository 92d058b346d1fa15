//! JSON messages of the engine API.

use serde::Deserialize;
use serde::Serialize;

/// The fields of a completion request that the engine uses. Other fields are ignored.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct CompletionRequest {
    /// Name of the requested model.
    #[serde(default)]
    pub model: String,
    /// The prompt of a text completion.
    #[serde(default)]
    pub prompt: serde_json::Value,
    /// The messages of a chat completion.
    #[serde(default)]
    pub messages: serde_json::Value,
    /// Limit of output tokens.
    pub max_tokens: Option<u64>,
    /// Limit of output tokens, under the newer field name; used if `max_tokens` is absent.
    pub max_completion_tokens: Option<u64>,
    /// Whether the output is streamed.
    #[serde(default)]
    pub stream: bool,
    /// KV cache transfer of this request, if any.
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

/// A load report of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Load {
    /// Number of restarts of the engine.
    pub incarnation: u64,
    /// Running requests.
    pub running: u32,
    /// Queued requests; always 0, as a full engine rejects requests.
    pub waiting: u32,
    /// KV cache blocks in use.
    pub used_blocks: u64,
    /// Completions started so far.
    pub runs: u64,
}

/// A request to cancel a completion.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// The `X-Request-Id` of the completion.
    pub request: String,
}

/// An order to load a model, an adapter or a version, or to change the role.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token; a lower one than the last is rejected if `checks_fencing` is set.
    pub fencing: u64,
    /// Text of the order, stored by the engine.
    pub order: String,
}
