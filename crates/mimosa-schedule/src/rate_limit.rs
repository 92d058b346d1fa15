//! Rate limits that endpoints name for all their senders together.
//!
//! Senders do not coordinate: each keeps an even share. A share is a series of slots, one request
//! each, and an unused slot is lost soon. Otherwise hundreds of senders that were idle could all send
//! at the same moment.

use std::time::Duration;

use mimosa_protocol::RequestRate;
use mimosa_protocol::Timestamp;

/// Time after the start of a slot in which it can be used.
const SLOT_USE_TIME: Duration = Duration::from_secs(1);
/// Span in which an endpoint tolerates [`TOLERATED_FACTOR`] times its limit and [`TOLERATED_EXCESS`]
/// more requests.
const TOLERANCE_SECS: f64 = 4.0;
const TOLERATED_FACTOR: f64 = 1.5;
const TOLERATED_EXCESS: f64 = 5.0;
/// Standard deviations between the expected and the tolerated number of requests.
const DEVIATIONS: f64 = 6.0;
/// Shortest time between two slots, the resolution of a [`Timestamp`].
const MIN_INTERVAL: Duration = Duration::from_micros(1);

/// The senders that share the limit of an endpoint, as seen by one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Senders {
    /// Number of senders.
    pub count: u32,
    /// Random number of this sender, which places its slots.
    pub number: u64,
}

impl Senders {
    /// A sender that decides for all.
    pub const SINGLE: Self = Self {
        count: 1,
        number: 0,
    };

    /// Time between two slots of one sender; `None` if it has none.
    fn interval(self, limit: RequestRate) -> Option<Duration> {
        let usable = self.usable_rate(limit);
        let interval = usable.time_for(u64::from(self.count.max(1)))?;
        Some(interval.max(MIN_INTERVAL))
    }

    /// Part of a limit that all senders use together. Their slots fall at random times, so some spans
    /// have more than others. Few senders cannot exceed the tolerance by more than a slot each; of many
    /// slots, the number in a span has about a Poisson distribution.
    fn usable_rate(self, limit: RequestRate) -> RequestRate {
        if self.count <= 1 {
            return limit;
        }
        let per_span = limit.0 as f64 / 1_000.0 * TOLERANCE_SECS;
        let tolerated = per_span * TOLERATED_FACTOR + TOLERATED_EXCESS;
        let by_count = tolerated - f64::from(self.count);
        let half = DEVIATIONS / 2.0;
        let by_distribution = (half.hypot(tolerated.sqrt()) - half).powi(2);
        let usable = by_count.max(by_distribution).min(per_span);
        RequestRate((usable / TOLERANCE_SECS * 1_000.0) as u64)
    }

    fn phase(self, interval: Duration) -> Duration {
        let permille = u32::try_from(self.number % 1_000).unwrap_or_default();
        interval.saturating_mul(permille) / 1_000
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Limit {
    rate: RequestRate,
    /// When a response last named it.
    named_at: Timestamp,
    /// Start of the first slot that is not used yet.
    next_slot: Timestamp,
}

/// The rate limit of an endpoint at one sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimit(Option<Limit>);

impl RateLimit {
    /// The limit in force; `None` without one.
    pub fn rate(&self) -> Option<RequestRate> {
        self.0.map(|limit| limit.rate)
    }

    /// Records the limit that a response named, or that it named none. Responses overtake each other,
    /// so only one to a request that was sent after the last mention ends a limit. Returns whether the
    /// limit changed.
    pub fn record_response(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        named: Option<RequestRate>,
        senders: Senders,
    ) -> bool {
        let before = self.rate();
        match (named, &mut self.0) {
            (None, Some(limit)) if sent > limit.named_at => self.0 = None,
            (None, _) => {}
            (Some(rate), Some(limit)) => {
                limit.named_at = now;
                if limit.rate != rate {
                    limit.rate = rate;
                    // A higher limit does not wait for the slot of the lower one.
                    if let Some(interval) = senders.interval(rate) {
                        limit.next_slot = limit.next_slot.min(now + interval);
                    }
                }
            }
            (Some(rate), None) => {
                let phase = senders
                    .interval(rate)
                    .map_or(Duration::ZERO, |interval| senders.phase(interval));
                self.0 = Some(Limit {
                    rate,
                    named_at: now,
                    next_slot: now + phase,
                });
            }
        }
        self.rate() != before
    }

    /// Whether a request may be sent now.
    pub fn allows_request(&self, now: Timestamp, senders: Senders) -> bool {
        self.wait(now, senders) == Some(Duration::ZERO)
    }

    /// Time until a request may be sent; `None` if the endpoint takes none.
    pub fn wait(&self, now: Timestamp, senders: Senders) -> Option<Duration> {
        let Some(limit) = self.0 else {
            return Some(Duration::ZERO);
        };
        let interval = senders.interval(limit.rate)?;
        if now < limit.next_slot {
            return Some(limit.next_slot.since(now));
        }
        let into_slot = time_into_slot(now, limit.next_slot, interval);
        match into_slot < SLOT_USE_TIME {
            true => Some(Duration::ZERO),
            false => Some(interval.saturating_sub(into_slot)),
        }
    }

    /// When the next request may be sent, and the time between two slots; `None` if the endpoint takes
    /// none or names no limit.
    pub fn next_slot(&self, now: Timestamp, senders: Senders) -> Option<(Timestamp, Duration)> {
        let interval = senders.interval(self.rate()?)?;
        Some((now + self.wait(now, senders)?, interval))
    }

    /// Records a sent request, which uses the current slot.
    pub fn record_request(&mut self, now: Timestamp, senders: Senders) {
        if let Some(limit) = &mut self.0
            && let Some(interval) = senders.interval(limit.rate)
        {
            let slot_start = now.minus(time_into_slot(now, limit.next_slot, interval));
            limit.next_slot = slot_start + interval;
        }
    }
}

/// Time since the start of the last slot, if one starts at `next_slot` or an interval later.
fn time_into_slot(now: Timestamp, next_slot: Timestamp, interval: Duration) -> Duration {
    let micros = now.since(next_slot).as_micros() % interval.as_micros().max(1);
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
