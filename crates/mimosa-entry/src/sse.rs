//! Scans server-sent events as they are relayed: counts tokens, and finds the usage and the closing
//! event.

use mimosa_protocol::Tokens;

/// Maximum length of a line that is parsed. A longer line counts as an event, but usage beyond the
/// maximum is not found.
const MAX_LINE_BYTES: usize = 4096;
const DATA_PREFIX: &[u8] = b"data:";
const DONE_MARKER: &[u8] = b"[DONE]";
const COMPLETION_TOKENS: &str = "\"completion_tokens\":";
const PROMPT_TOKENS: &str = "\"prompt_tokens\":";

/// Incremental scanner of one stream.
#[derive(Debug, Default)]
pub(crate) struct Scanner {
    line: Vec<u8>,
    events: u64,
    closed: bool,
    completion_tokens: Option<u64>,
    prompt_tokens: Option<u64>,
}

impl Scanner {
    /// Scans the next bytes, which may end within a line.
    pub(crate) fn read(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.append_to_line(&rest[..end]);
            self.end_line();
            rest = &rest[end + 1..];
        }
        self.append_to_line(rest);
    }

    /// Output tokens: the engine's count, or one for each event until it is known.
    pub(crate) fn output(&self) -> Tokens {
        Tokens(self.completion_tokens.unwrap_or(self.events))
    }

    /// Prompt tokens, if the engine reported them.
    pub(crate) fn prompt(&self) -> Option<Tokens> {
        self.prompt_tokens.map(Tokens)
    }

    /// Whether the closing event, `[DONE]`, was seen. A stream without it is incomplete.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed
    }

    fn append_to_line(&mut self, bytes: &[u8]) {
        let remaining = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.line
            .extend_from_slice(&bytes[..bytes.len().min(remaining)]);
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            return;
        };
        if data.trim_ascii() == DONE_MARKER {
            self.closed = true;
            return;
        }
        self.events += 1;
        let text = String::from_utf8_lossy(data);
        self.completion_tokens = number_after(&text, COMPLETION_TOKENS).or(self.completion_tokens);
        self.prompt_tokens = number_after(&text, PROMPT_TOKENS).or(self.prompt_tokens);
    }
}

/// Returns the number after the last occurrence of a key in a JSON text.
pub(crate) fn number_after(text: &str, key: &str) -> Option<u64> {
    let start = text.rfind(key)? + key.len();
    let digits = text[start..].trim_start();
    let end = digits
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(digits.len());
    digits[..end].parse().ok()
}

/// Returns the output and prompt tokens reported in a complete response.
pub(crate) fn usage_of(body: &[u8]) -> (Option<Tokens>, Option<Tokens>) {
    let text = String::from_utf8_lossy(body);
    let completion_tokens = number_after(&text, COMPLETION_TOKENS).map(Tokens);
    let prompt_tokens = number_after(&text, PROMPT_TOKENS).map(Tokens);
    (completion_tokens, prompt_tokens)
}
