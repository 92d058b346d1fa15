//! Deterministic random numbers: a seed reproduces a run exactly.

/// SplitMix64 generator.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Uniform distribution in `0..1`.
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Exponential distribution with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Log-normal distribution with the given median, clamped to the limits.
    pub fn log_normal(&mut self, median: f64, sigma: f64, limits: (f64, f64)) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.unit()).cos();
        (median * (sigma * normal).exp()).clamp(limits.0, limits.1)
    }

    /// Random index, weighted by the shares.
    pub fn pick(&mut self, shares: &[f64]) -> usize {
        let total: f64 = shares.iter().sum();
        let mut left = self.unit() * total;
        for (i, share) in shares.iter().enumerate() {
            left -= share;
            if left < 0.0 {
                return i;
            }
        }
        shares.len() - 1
    }
}
