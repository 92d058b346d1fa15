//! Seeded random numbers.

use std::time::Duration;

/// The SplitMix64 generator.
#[derive(Clone, Debug, Hash)]
pub(crate) struct SplitMix64(pub(crate) u64);

impl SplitMix64 {
    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        bits ^ (bits >> 31)
    }

    /// A random duration from `base` to less than twice `base`, in steps of one microsecond.
    pub(crate) fn jittered(&mut self, base: Duration) -> Duration {
        let span = u64::try_from(base.as_micros()).unwrap_or(u64::MAX).max(1);
        base + Duration::from_micros(self.next_u64() % span)
    }
}
