//! Completion requests: the fields that routing needs, and the bodies sent to engines.

use std::collections::BTreeMap;
use std::sync::Arc;

use mimosa_hold::part_quarantine::RequestParts;
use mimosa_hold::quarantine::Fingerprint;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Tokens;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Estimated bytes of prompt per token, used until the engine reports the number of tokens.
const BYTES_PER_TOKEN: u64 = 4;
/// Maximum number of output tokens of a request that sets none. It is reserved from the account's
/// rate limit and sent to the engine.
const DEFAULT_MAX_OUTPUT: Tokens = Tokens(1024);
/// Prompt tokens covered by each hash of the prefix chain.
pub(crate) const PREFIX_BLOCK_TOKENS: Tokens = Tokens(512);
/// Prompt bytes covered by each hash of the prefix chain.
const PREFIX_BLOCK_BYTES: usize = (PREFIX_BLOCK_TOKENS.0 * BYTES_PER_TOKEN) as usize;
/// Maximum number of hashes in the prefix chain; the rest of a longer prompt is not hashed.
const MAX_PREFIX_BLOCKS: usize = 16;

/// Messages of a chat that are tracked as parts of their own.
const MAX_SHARED_PARTS: usize = 64;

/// The completion API that was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    Chat,
    Text,
}

impl CompletionKind {
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// The top-level fields of a completion body. Values are forwarded unparsed.
type JsonFields = BTreeMap<String, Box<RawValue>>;

/// A parsed completion request.
#[derive(Clone, Debug)]
pub(crate) struct ModelRequest {
    pub(crate) kind: CompletionKind,
    pub(crate) service: ServiceId,
    pub(crate) stream: bool,
    /// Estimated from the length of the prompt.
    pub(crate) prompt_tokens: Tokens,
    pub(crate) max_output: Tokens,
    /// Hashes of the prompt's prefixes, by which the scheduler finds endpoints that cached them.
    pub(crate) prefix: Vec<u64>,
    /// Identifies the request and its parts for the quarantine. The fingerprint of the whole is zero
    /// until the account is known.
    pub(crate) parts: Arc<RequestParts>,
    fields: JsonFields,
}

/// The fields that the router interprets.
#[derive(Deserialize)]
struct RoutingFields<'a> {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

/// Instructions to the engine for exporting or importing a KV cache.
#[derive(Serialize)]
struct KvTransfer<'a> {
    do_remote_decode: bool,
    do_remote_prefill: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    remote_address: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    remote_handle: Option<&'a str>,
}

impl ModelRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Malformed`] if the body is no JSON object with a model and a prompt;
    /// [`RefusalReason::NotFound`] if the model's name is not a valid service name.
    pub(crate) fn parse(kind: CompletionKind, body: &[u8]) -> Result<Self, Refusal> {
        const MALFORMED: Refusal = Refusal::not_run(RefusalReason::Malformed);
        let routing: RoutingFields<'_> = serde_json::from_slice(body).map_err(|_| MALFORMED)?;
        let fields: JsonFields = serde_json::from_slice(body).map_err(|_| MALFORMED)?;
        let prompt = match kind {
            CompletionKind::Chat => routing.messages,
            CompletionKind::Text => routing.prompt,
        };
        let prompt = prompt.ok_or(MALFORMED)?.get().as_bytes();
        let service = routing
            .model
            .parse()
            .map_err(|_| Refusal::not_run(RefusalReason::NotFound))?;
        let max_output = routing.max_tokens.or(routing.max_completion_tokens);
        Ok(Self {
            kind,
            service,
            stream: routing.stream.unwrap_or(false),
            prompt_tokens: Tokens((prompt.len() as u64).div_ceil(BYTES_PER_TOKEN)),
            max_output: max_output.map_or(DEFAULT_MAX_OUTPUT, Tokens),
            prefix: prefix_chain(prompt),
            parts: Arc::new(RequestParts {
                parts: shared_parts(kind, prompt),
                ..RequestParts::default()
            }),
            fields,
        })
    }

    /// Tokens to reserve from the account's rate limit: the prompt and the maximum output.
    pub(crate) fn cost(&self) -> Tokens {
        self.prompt_tokens.saturating_add(self.max_output)
    }

    /// The body for the prefill engine: generate one token and keep the KV cache for export.
    pub(crate) fn prefill_body(&self) -> Vec<u8> {
        let kv = KvTransfer {
            do_remote_decode: true,
            do_remote_prefill: false,
            remote_address: None,
            remote_handle: None,
        };
        self.body_with_overrides([
            ("kv_transfer_params", to_raw_json(&kv)),
            ("max_tokens", to_raw_json(&1)),
            ("stream", to_raw_json(&false)),
        ])
    }

    /// The body for the decode engine, with the address and handle of the KV cache to import.
    pub(crate) fn decode_body(&self, remote: Option<(String, &str)>) -> Vec<u8> {
        let kv = remote.map(|(address, handle)| KvTransfer {
            do_remote_decode: false,
            do_remote_prefill: true,
            remote_address: Some(address),
            remote_handle: Some(handle),
        });
        let kv = kv.map(|kv| ("kv_transfer_params", to_raw_json(&kv)));
        self.body_with_overrides(
            kv.into_iter()
                .chain([("max_tokens", to_raw_json(&self.max_output.0))]),
        )
    }

    fn body_with_overrides(
        &self,
        overrides: impl IntoIterator<Item = (&'static str, Box<RawValue>)>,
    ) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.remove("max_completion_tokens");
        fields.extend(
            overrides
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value)),
        );
        serde_json::to_vec(&fields).expect("raw JSON values are valid")
    }
}

fn to_raw_json(value: &impl Serialize) -> Box<RawValue> {
    serde_json::value::to_raw_value(value).expect("plain data is valid JSON")
}

/// Fingerprints of the parts of the prompt that other requests may contain: the messages of a chat
/// but the last, or the prefixes of a text.
fn shared_parts(kind: CompletionKind, prompt: &[u8]) -> Vec<Fingerprint> {
    let of_part = |part: &[u8]| Fingerprint::of_part(part);
    match kind {
        CompletionKind::Text => {
            let prefixes = prefix_chain(prompt).into_iter();
            prefixes.map(|hash| of_part(&hash.to_le_bytes())).collect()
        }
        // Content that is no array has no parts; the engine rejects it.
        CompletionKind::Chat => {
            let messages: Vec<&RawValue> = serde_json::from_slice(prompt).unwrap_or_default();
            let shared = messages.split_last().map_or(&[][..], |(_, shared)| shared);
            shared
                .iter()
                .take(MAX_SHARED_PARTS)
                .map(|message| of_part(message.get().as_bytes()))
                .collect()
        }
    }
}

/// Hashes of increasingly long prefixes of the prompt, one for each full block.
fn prefix_chain(prompt: &[u8]) -> Vec<u64> {
    prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .scan(0, |seed, block| {
            *seed = xxh3_64_with_seed(block, *seed);
            Some(*seed)
        })
        .collect()
}
