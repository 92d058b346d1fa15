//! Newtypes for sizes and rates.

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
