//! Generated output. It depends on the prompt alone, so that a test can detect truncated responses
//! and responses to another prompt.

use serde_json::Value;
use serde_json::json;

/// Text of the output token at an index, counted from 0: a hash of the prompt, the index and a
/// space.
pub fn token_text(prompt: &str, index: u64) -> String {
    let hash = prompt.bytes().fold(7_u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    });
    format!("w{:03}-{index} ", hash % 1_000)
}

/// Text of the first `tokens` output tokens for a prompt.
pub fn full_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// The completion API whose response format applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ApiFormat {
    Chat,
    Text,
}

impl ApiFormat {
    pub(crate) fn chunk(self, id: &str, model: &str, text: &str) -> Value {
        let choice = match self {
            Self::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            Self::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        self.envelope(id, model, choice, true)
    }

    pub(crate) fn last_chunk(self, id: &str, model: &str) -> Value {
        let choice = match self {
            Self::Chat => json!({"index": 0, "delta": {}, "finish_reason": "stop"}),
            Self::Text => json!({"index": 0, "text": "", "finish_reason": "stop"}),
        };
        self.envelope(id, model, choice, true)
    }

    pub(crate) fn response(self, id: &str, model: &str, text: &str) -> Value {
        let choice = match self {
            Self::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }),
            Self::Text => json!({"index": 0, "text": text, "finish_reason": "stop"}),
        };
        self.envelope(id, model, choice, false)
    }

    fn envelope(self, id: &str, model: &str, choice: Value, chunk: bool) -> Value {
        let object = match (self, chunk) {
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Chat, false) => "chat.completion",
            (Self::Text, _) => "text_completion",
        };
        json!({"id": id, "object": object, "model": model, "choices": [choice]})
    }
}
