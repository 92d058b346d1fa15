//! Random numbers of simulations.

#![allow(dead_code)]

use std::time::Duration;

/// A sequence of random numbers (splitmix64).
#[derive(Clone, Debug)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn chance(&mut self, part: f64) -> bool {
        self.unit() < part
    }

    pub fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(least + self.next() % (most - least + 1))
    }

    /// A factor around 1, as service times vary.
    pub fn spread(&mut self) -> f64 {
        let sum: f64 = (0..6).map(|_| self.unit()).sum();
        ((sum - 3.0) * 0.6).exp()
    }
}
