//! Sizes and rates.

use std::time::Duration;

quantity! {
    /// Tokens of a prompt or of an output.
    Tokens(u64);
    /// Blocks of an engine's KV memory; see [`TOKENS_PER_BLOCK`].
    KvBlocks(u64);
    /// Bytes.
    ByteSize(u64);
    /// Tokens a second.
    TokenRate(u64);
    /// Bytes a second.
    ByteRate(u64);
}

/// Tokens that one block of engine memory holds, unless the endpoint says otherwise.
pub const TOKENS_PER_BLOCK: Tokens = Tokens(4096);

impl Tokens {
    /// Blocks needed to hold these tokens.
    pub fn blocks(self, tokens_per_block: Tokens) -> KvBlocks {
        KvBlocks(self.0.div_ceil(tokens_per_block.0.max(1)))
    }
}

impl TokenRate {
    /// Whole tokens that accrue in a time.
    pub fn tokens_in(self, time: Duration) -> Tokens {
        let tokens = u128::from(self.0) * time.as_micros() / 1_000_000;
        Tokens(u64::try_from(tokens).unwrap_or(u64::MAX))
    }

    /// Time in which some tokens accrue, rounded up to a microsecond; `None` at rate zero.
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
    /// Time that a transfer of this size takes, rounded up to a microsecond; `None` at rate zero.
    pub fn time_for(self, size: ByteSize) -> Option<Duration> {
        TokenRate(self.0).time_for(Tokens(size.0))
    }
}
