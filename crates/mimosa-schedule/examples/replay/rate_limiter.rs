//! Rate limiting before the schedulers: one global rate limiter, or a fixed part for each entry.

/// Burst of an account, in seconds of its rate.
const BURST_SECONDS: f64 = 20.0;

/// Token buckets by account.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    buckets: Vec<Bucket>,
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated: f64,
}

impl RateLimiter {
    /// Creates a rate limiter with a fraction of each account's rate and burst.
    pub fn new(rates: &[f64], fraction: f64) -> Self {
        let bucket = |rate: &f64| Bucket {
            rate: rate * fraction,
            burst: rate * fraction * BURST_SECONDS,
            level: rate * fraction * BURST_SECONDS,
            updated: 0.0,
        };
        Self {
            buckets: rates.iter().map(bucket).collect(),
        }
    }

    /// Consumes tokens of an account if enough are available. Returns whether they were.
    pub fn admit(&mut self, now: f64, account: usize, tokens: f64) -> bool {
        let bucket = &mut self.buckets[account];
        let refill = (now - bucket.updated) * bucket.rate;
        bucket.level = (bucket.level + refill).min(bucket.burst);
        bucket.updated = now;
        let admitted = tokens <= bucket.level;
        if admitted {
            bucket.level -= tokens;
        }
        admitted
    }
}
