//! Newtypes for sizes and rates.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

quantity! {
    /// A number of prompt or output tokens.
    Tokens(u64);
    /// A number of KV cache blocks in an engine's memory; see [`TOKENS_PER_BLOCK`].
    KvBlocks(u64);
    /// A size in bytes.
    ByteSize(u64);
    /// A rate in tokens per second.
    TokenRate(u64);
    /// A rate in bytes per second.
    ByteRate(u64);
}

data! {
    /// A rate in requests per 1,000 s, so that fractions of a request per second are exact. Written as
    /// a decimal number of requests per second.
    #[derive(Copy, Default, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct RequestRate(pub u64);
}

/// A text that is not a decimal number of requests per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a request rate is a decimal number that is not negative, such as 2.5")]
pub struct InvalidRequestRate;

impl RequestRate {
    /// Time in which this many requests accrue, rounded up to a microsecond; `None` at rate zero.
    pub fn time_for(self, requests: u64) -> Option<Duration> {
        TokenRate(self.0).time_for(Tokens(requests.saturating_mul(1_000)))
    }
}

impl FromStr for RequestRate {
    type Err = InvalidRequestRate;

    /// Rates above what the type holds are limited to its largest value.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_number = text.starts_with(|c: char| c.is_ascii_digit());
        let rate: f64 = text.parse().map_err(|_| InvalidRequestRate)?;
        let is_valid = is_number && rate.is_finite();
        is_valid
            .then_some(Self((rate * 1_000.0).round() as u64))
            .ok_or(InvalidRequestRate)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// Default size of a KV cache block in tokens, for endpoints that configure no other.
pub const TOKENS_PER_BLOCK: Tokens = Tokens(4096);

impl Tokens {
    /// Number of blocks that hold these tokens, rounded up.
    pub fn blocks(self, tokens_per_block: Tokens) -> KvBlocks {
        KvBlocks(self.0.div_ceil(tokens_per_block.0.max(1)))
    }
}

impl TokenRate {
    /// Tokens that accrue within `time`, rounded down.
    pub fn tokens_in(self, time: Duration) -> Tokens {
        let tokens = u128::from(self.0) * time.as_micros() / 1_000_000;
        Tokens(u64::try_from(tokens).unwrap_or(u64::MAX))
    }

    /// Time in which `tokens` accrue, rounded up to a microsecond; `None` at rate zero.
    pub fn time_for(self, tokens: Tokens) -> Option<Duration> {
        if self.0 == 0 {
            return None;
        }
        let micros = (u128::from(tokens.0) * 1_000_000).div_ceil(u128::from(self.0));
        Some(Duration::from_micros(
            u64::try_from(micros).unwrap_or(u64::MAX),
        ))
    }
}

impl ByteRate {
    /// Time to transfer `size` bytes, rounded up to a microsecond; `None` at rate zero.
    pub fn time_for(self, size: ByteSize) -> Option<Duration> {
        TokenRate(self.0).time_for(Tokens(size.0))
    }
}
