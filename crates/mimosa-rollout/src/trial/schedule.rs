//! When a rollout moves, and how fast it uses its permits until then.

use std::time::Duration;

use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

use crate::comparison::Comparison;
use crate::exposure::ExposureAccount;

/// Usual time that requests need to finish at the old endpoints.
const PLAIN_DRAIN: Duration = Duration::from_millis(300);
const MODEL_DRAIN: Duration = Duration::from_secs(6);
/// Time from the proposal of a move until all gateways apply it, and from the last report until the
/// completion is stored: two writes of the log and one interval of reports.
const MOVE_OVERHEAD: Duration = Duration::from_millis(700);
/// Shortest time for a move; a shorter one cuts requests at the old endpoints.
const MIN_MOVE: Duration = Duration::from_millis(800);
/// Longest part of a rollout that the move takes, so that something is known before it.
const MAX_MOVE_PART: u32 = 2;
/// Period of the bursts in which permits are used. Longer than a permit's lease, within which a burst
/// ends, and short enough for several bursts before a move.
const BURST_PERIOD: Duration = Duration::from_secs(2);
/// Shortest part of the period that a burst takes.
const MIN_BURST_PART: f64 = 0.3;
/// Permits per second at the start, so that a version that is bad immediately is found early.
const FIRST_RATE: f64 = 4.0;
/// Permits used at that rate.
const FIRST_PERMITS: u64 = 20;

/// The times of one rollout.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    end: Timestamp,
    duration: Duration,
    is_model: bool,
}

impl Schedule {
    pub(super) fn new(
        now: Timestamp,
        elapsed: Duration,
        duration: Duration,
        is_model: bool,
    ) -> Self {
        Self {
            end: now + duration.saturating_sub(elapsed),
            duration,
            is_model,
        }
    }

    pub(super) const fn end(&self) -> Timestamp {
        self.end
    }

    /// When to move: as late as the old requests' time to finish allows, because all requests go to
    /// the new version from then on; for plain services also within the remaining exposure.
    pub(super) fn move_at(
        &self,
        now: Timestamp,
        account: &ExposureAccount,
        comparison: &Comparison,
    ) -> Timestamp {
        let drain = match self.is_model {
            true => MODEL_DRAIN,
            false => comparison
                .usual_duration()
                .unwrap_or_default()
                .max(PLAIN_DRAIN),
        };
        let usual = (drain + MOVE_OVERHEAD).min(self.duration / MAX_MOVE_PART);
        if self.is_model {
            return self.end.minus(usual);
        }
        let rate = account.request_rate().max(f64::MIN_POSITIVE);
        let remaining = self.limit_at_end(now, account) - account.committed() as f64;
        let affordable = (remaining / rate).clamp(0.0, self.duration.as_secs_f64());
        let affordable = Duration::from_secs_f64(affordable);
        self.end.minus(usual.min(affordable.max(MIN_MOVE)))
    }

    /// Permits that may be granted now without using what the move needs.
    pub(super) fn usable(&self, now: Timestamp, account: &ExposureAccount) -> u64 {
        let left = self.usable_until_move(now, account) - account.committed() as f64;
        account.available(now).min(left.max(0.0) as u64)
    }

    /// Uses per second that spread the permits over the time until the move.
    pub(super) fn planned_rate(&self, now: Timestamp, account: &ExposureAccount) -> f64 {
        let used = account.used();
        let left = (self.usable_until_move(now, account) - used as f64).max(0.0);
        let time = self.test_time_left(now).as_secs_f64().max(1.0);
        let first = if used < FIRST_PERMITS {
            FIRST_RATE
        } else {
            0.0
        };
        (left / time).max(first.min(left))
    }

    /// Uses per second at this moment. If the planned rate loads one endpoint less than the old ones,
    /// the permits are used in bursts, so that the endpoint sees their load for a part of the time.
    fn current_rate(&self, now: Timestamp, account: &ExposureAccount, old_endpoints: u32) -> f64 {
        let planned = self.planned_rate(now, account);
        let load = self.planned_share(now, account) * f64::from(old_endpoints);
        let part = load.clamp(MIN_BURST_PART, 1.0);
        let position = self.end.since(now).as_secs_f64() / BURST_PERIOD.as_secs_f64();
        match position.fract() < part {
            true => planned / part,
            false => 0.0,
        }
    }

    /// The part of the requests that goes to the new version at the planned rate.
    pub(super) fn planned_share(&self, now: Timestamp, account: &ExposureAccount) -> f64 {
        let rate = account.request_rate();
        if rate <= 0.0 {
            return 0.0;
        }
        (self.planned_rate(now, account) / rate).min(1.0)
    }

    /// Permits to grant to a gateway. Many gateways see few requests, so that most of their permits
    /// expire; what counts is how many of those in circulation will be used.
    pub(super) fn wanted(
        &self,
        now: Timestamp,
        account: &ExposureAccount,
        gateway: &InstanceId,
        old_endpoints: u32,
    ) -> u64 {
        let rate = account.gateway_rate(gateway);
        let held = account.outstanding(gateway) as f64;
        let share = self.planned_share(now, account);
        // Twice the gateway's part, because its requests arrive irregularly.
        let most = (2.0 * share * rate).ceil().max(1.0).min(rate.ceil());
        let missing = self.current_rate(now, account, old_endpoints) - account.expected_use();
        if missing <= 0.0 || held >= most {
            return 0;
        }
        let needed = (missing / rate.min(1.0)).ceil();
        (most - held).min(needed) as u64
    }

    /// Requests per second that the leader may place at the new version on top of those of gateways.
    pub(super) fn own_allowance(&self, now: Timestamp, account: &ExposureAccount) -> f64 {
        let elapsed = self.duration.saturating_sub(self.end.since(now));
        let test = self
            .duration
            .saturating_sub(self.move_window())
            .as_secs_f64();
        let part = (elapsed.as_secs_f64() / test.max(1.0)).min(1.0);
        let due = self.usable_until_move(now, account) * part + 2.0;
        due - account.used() as f64
    }

    fn test_time_left(&self, now: Timestamp) -> Duration {
        self.end.minus(self.move_window()).since(now)
    }

    fn move_window(&self) -> Duration {
        let drain = if self.is_model {
            MODEL_DRAIN
        } else {
            PLAIN_DRAIN
        };
        (drain + MOVE_OVERHEAD).min(self.duration / MAX_MOVE_PART)
    }

    /// Permits that the test may use in all, so that the move stays within the limit. The move of a
    /// model takes too long to reserve for, so only a version that passed the test gets there.
    fn usable_until_move(&self, now: Timestamp, account: &ExposureAccount) -> f64 {
        let rate = account.request_rate();
        let until_move = rate * self.test_time_left(now).as_secs_f64();
        let requests = account.requests() + until_move as u64;
        let limit = account.limit_for(requests) as f64;
        if self.is_model {
            return limit;
        }
        let for_move = rate * self.move_window().as_secs_f64();
        (self.limit_at_end(now, account) - for_move).clamp(limit / 4.0, limit)
    }

    fn limit_at_end(&self, now: Timestamp, account: &ExposureAccount) -> f64 {
        let rate = account.request_rate();
        let coming = rate * self.end.since(now).as_secs_f64();
        account.limit_for(account.requests() + coming as u64) as f64
    }
}
