//! A token bucket that can correct a past charge. Its level never exceeds what it would be if the
//! correct amount had been charged at the time.
//!
//! Adding a refund to the current level would break the bound on a window: the bucket may have
//! filled up since the charge, and the refund would come on top. The bucket therefore keeps its
//! history since it was last full as a chain of spans. Refill and charge both have the form
//! `level -> min(cap, level + add)`, and such steps compose to one of the same form; a refund
//! changes the span that holds the charge and evaluates the chain again.

use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;

use crate::micro_tokens::MicroTokens;

/// Shortest span of the history; a refund cannot tell charges within one span apart.
const MIN_SPAN: Duration = Duration::from_millis(20);
/// Spans kept. Beyond it neighbouring spans are merged, which makes refunds of old charges smaller,
/// never larger.
const MAX_SPANS: usize = 64;

/// The function `level -> min(cap, level + add)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Step {
    cap: MicroTokens,
    add: MicroTokens,
}

impl Step {
    const IDENTITY: Self = Self {
        cap: MicroTokens::MAX,
        add: MicroTokens::ZERO,
    };

    fn apply(self, level: MicroTokens) -> MicroTokens {
        level.plus(self.add).min(self.cap)
    }

    fn then(self, next: Self) -> Self {
        let cap = match self.cap {
            MicroTokens::MAX => next.cap,
            cap => next.cap.min(cap.plus(next.add)),
        };
        Self {
            cap,
            add: self.add.plus(next.add),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Span {
    from: Timestamp,
    step: Step,
}

/// A token bucket with a history of charges. Its level never exceeds the burst and rises at most at
/// the rate, so charges over any window of length `w` add up to at most `rate * w + burst`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    rate: TokenRate,
    burst: Tokens,
    updated_at: Timestamp,
    level: MicroTokens,
    /// The level before the first span.
    base_level: MicroTokens,
    spans: VecDeque<Span>,
}

impl TokenBucket {
    /// Creates a bucket at `level`, capped at the burst.
    pub fn new(now: Timestamp, rate: TokenRate, burst: Tokens, level: MicroTokens) -> Self {
        let level = level.min(burst.into());
        Self {
            rate,
            burst,
            updated_at: now,
            level,
            base_level: level,
            spans: VecDeque::new(),
        }
    }

    /// Creates a bucket whose level is the burst.
    pub fn full(now: Timestamp, rate: TokenRate, burst: Tokens) -> Self {
        Self::new(now, rate, burst, MicroTokens::MAX)
    }

    /// The level at the last call that took a time; negative after a charge beyond the level.
    pub const fn level(&self) -> MicroTokens {
        self.level
    }

    /// The refill rate in tokens per second.
    pub const fn rate(&self) -> TokenRate {
        self.rate
    }

    /// The highest level, at which refilling stops.
    pub const fn burst(&self) -> Tokens {
        self.burst
    }

    /// Whether the level has reached the burst.
    pub fn is_full(&self) -> bool {
        self.level >= self.burst.into()
    }

    /// Refills the bucket up to `now`. A time before the last update changes nothing.
    pub fn advance(&mut self, now: Timestamp) {
        let gain = MicroTokens::accrued(self.rate, now.since(self.updated_at));
        self.updated_at = self.updated_at.max(now);
        self.step(Step {
            cap: self.burst.into(),
            add: gain,
        });
        if self.is_full() {
            self.clear_history();
        }
    }

    /// Adds what accrues in `time`, up to the burst, as if the bucket had existed for longer.
    pub fn accrue(&mut self, now: Timestamp, time: Duration) {
        self.advance(now);
        self.step(Step {
            cap: self.burst.into(),
            add: MicroTokens::accrued(self.rate, time),
        });
    }

    /// Changes rate and burst from `now` on.
    pub fn set_limits(&mut self, now: Timestamp, rate: TokenRate, burst: Tokens) {
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.advance(now);
    }

    /// Charges an amount; the level may become negative.
    pub fn charge(&mut self, now: Timestamp, amount: MicroTokens) {
        self.advance(now);
        self.open_span();
        self.step(Step {
            cap: MicroTokens::MAX,
            add: MicroTokens::ZERO.minus(amount),
        });
    }

    /// Charges an amount if the level covers it. Returns whether it did.
    pub fn try_charge(&mut self, now: Timestamp, amount: MicroTokens) -> bool {
        self.advance(now);
        let enough = self.level >= amount;
        if enough {
            self.charge(now, amount);
        }
        enough
    }

    /// Corrects a charge made at or after `since` that exceeded the actual use by `amount`. Returns
    /// the rise of the level, which is smaller than `amount` if the corrected bucket would have
    /// been full in between.
    pub fn refund(&mut self, now: Timestamp, since: Timestamp, amount: MicroTokens) -> MicroTokens {
        self.advance(now);
        let Some(span) = self.spans.iter_mut().rfind(|span| span.from <= since) else {
            return MicroTokens::ZERO;
        };
        span.step.add = span.step.add.plus(amount);
        let before = self.level;
        self.level = self
            .spans
            .iter()
            .fold(self.base_level, |level, span| span.step.apply(level));
        self.level.minus(before)
    }

    fn step(&mut self, step: Step) {
        self.level = step.apply(self.level);
        match self.spans.back_mut() {
            Some(span) => span.step = span.step.then(step),
            None => self.base_level = self.level,
        }
    }

    fn open_span(&mut self) {
        let due = self
            .spans
            .back()
            .is_none_or(|span| self.updated_at.since(span.from) >= MIN_SPAN);
        if !due {
            return;
        }
        if self.spans.len() >= MAX_SPANS {
            self.merge_spans();
        }
        self.spans.push_back(Span {
            from: self.updated_at,
            step: Step::IDENTITY,
        });
    }

    fn merge_spans(&mut self) {
        let spans: Vec<Span> = self.spans.drain(..).collect();
        self.spans = spans
            .chunks(2)
            .map(|pair| Span {
                from: pair[0].from,
                step: pair
                    .iter()
                    .fold(Step::IDENTITY, |step, span| step.then(span.step)),
            })
            .collect();
    }

    fn clear_history(&mut self) {
        self.spans.clear();
        self.base_level = self.level;
    }
}
