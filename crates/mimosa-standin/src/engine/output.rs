//! The output of an engine: words that depend on the prompt alone, so that a test can tell a whole
//! answer from a mixed one.

use serde_json::Value;
use serde_json::json;

/// The word at a place of the answer to a prompt.
pub fn token_text(prompt: &str, index: u64) -> String {
    let sum = prompt.bytes().fold(7_u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    format!("w{:03}-{index} ", sum % 1_000)
}

/// The whole answer to a prompt.
pub fn full_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// The shape of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    Chat,
    Text,
}

impl Shape {
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

    pub(crate) fn answer(self, id: &str, model: &str, text: &str) -> Value {
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
