//! Best-case latency of a first token, estimated from the configuration.

use std::time::Duration;

use mimosa_protocol::ByteRate;
use mimosa_protocol::ByteSize;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;

use crate::event::View;

/// Rates and sizes for the estimate of the first-token latency.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyProfile {
    prefill_rate: TokenRate,
    link_rate: ByteRate,
    /// Size of the KV cache of one token.
    bytes_per_token: ByteSize,
    token_gap: Duration,
}

impl LatencyProfile {
    /// Uses the rates of the fastest endpoints of a configuration.
    pub fn from_view(view: &View) -> Self {
        let of_role = |role| view.endpoints.iter().filter(move |each| each.role == role);
        let prefill = || of_role(EndpointRole::Prefill).map(|each| &each.capacity);
        let decode = || of_role(EndpointRole::Decode).map(|each| &each.capacity);
        let fastest_prefill = prefill().map(|cap| cap.prefill_rate).max();
        let fastest_decode = decode().map(|cap| cap.prefill_rate).max();
        Self {
            prefill_rate: fastest_prefill.or(fastest_decode).unwrap_or_default(),
            link_rate: view.data_centre.link_rate,
            bytes_per_token: prefill()
                .map(|cap| cap.bytes_per_token)
                .max()
                .unwrap_or_default(),
            token_gap: decode().map(|cap| cap.token_gap).min().unwrap_or_default(),
        }
    }

    /// Time from the start of prefill to the first output token on idle endpoints.
    pub fn first_token_time(&self, prompt: Tokens) -> Duration {
        self.prefill_time(prompt) + self.transfer_time(prompt) + self.token_gap
    }

    /// Processing time of a prompt without a cached prefix.
    pub fn prefill_time(&self, prompt: Tokens) -> Duration {
        self.prefill_rate.time_for(prompt).unwrap_or_default()
    }

    /// Transfer time of the KV cache of a prompt.
    pub fn transfer_time(&self, prompt: Tokens) -> Duration {
        let bytes = self.bytes_per_token.0.saturating_mul(prompt.0);
        self.link_rate.time_for(ByteSize(bytes)).unwrap_or_default()
    }
}
