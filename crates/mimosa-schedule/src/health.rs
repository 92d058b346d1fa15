//! How an endpoint behaved lately, as one gateway saw it.

use std::time::Duration;

use mimosa_protocol::Timestamp;

/// Weight of one result in the averages, as a divisor: about the last eight results count.
const SMOOTHING: u64 = 8;
/// Time in which the memory of failures halves, so that an endpoint that got better is used again.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// First pause after an endpoint could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause: an endpoint that is back waits no longer than this for work.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// All of something, in thousandths.
const WHOLE: u64 = 1_000;

/// How an endpoint behaved lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failure_permille: u64,
    decayed: Timestamp,
    latency: Option<Duration>,
    unreachable: u32,
    paused_until: Timestamp,
}

impl Health {
    /// Notes an answer that came after some time.
    pub fn record_answer(&mut self, now: Timestamp, took: Duration) {
        self.note(now, 0);
        self.unreachable = 0;
        self.paused_until = Timestamp::ZERO;
        let old = self.latency.unwrap_or(took);
        let smoothing = SMOOTHING as u32;
        self.latency = Some(old - old / smoothing + took / smoothing);
    }

    /// Notes an answer that tells of a failure, or none.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.note(now, WHOLE);
    }

    /// Notes that the endpoint could not be reached, or went away during a request.
    pub fn record_unreachable(&mut self, now: Timestamp) {
        self.note(now, WHOLE);
        let pause = FIRST_PAUSE * 2_u32.pow(self.unreachable.min(8));
        self.unreachable += 1;
        self.paused_until = now + pause.min(MAX_PAUSE);
    }

    /// Whether requests should go elsewhere as long as there is an elsewhere.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// Recent part of failures, in thousandths.
    pub fn failure_permille(&self, now: Timestamp) -> u64 {
        let halvings = now.since(self.decayed).as_millis() / HALF_LIFE.as_millis();
        self.failure_permille >> halvings.min(63)
    }

    /// Usual time of an answer.
    pub const fn latency(&self) -> Option<Duration> {
        self.latency
    }

    fn note(&mut self, now: Timestamp, sample: u64) {
        let old = self.failure_permille(now);
        self.failure_permille = old - old / SMOOTHING + sample / SMOOTHING;
        self.decayed = now;
    }
}
