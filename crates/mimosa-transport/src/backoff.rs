//! Capped exponential backoff with jitter from a seeded generator.

use std::time::Duration;

/// Delays between attempts. The cap doubles with each attempt up to a maximum, and each delay is
/// drawn between half the cap and the cap, so that the attempts of peers with different seeds
/// spread out.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    cap: Duration,
    state: u64,
}

impl Backoff {
    /// Creates a backoff whose cap starts at `first` and grows up to `max`.
    pub fn new(first: Duration, max: Duration, seed: u64) -> Self {
        let first = first.min(max);
        Self {
            first,
            max,
            cap: first,
            state: seed,
        }
    }

    /// Returns the delay before the next attempt and doubles the cap.
    pub fn next_delay(&mut self) -> Duration {
        let half = self.cap / 2;
        let jitter = half.mul_f64(self.next_fraction());
        self.cap = self.cap.saturating_mul(2).min(self.max);
        half + jitter
    }

    /// Resets the cap to its initial value, after a successful attempt.
    pub fn reset(&mut self) {
        self.cap = self.first;
    }

    /// Returns the next number of a SplitMix64 sequence, scaled to between 0 and 1.
    fn next_fraction(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        f64::from((mixed >> 32) as u32) / f64::from(u32::MAX)
    }
}
