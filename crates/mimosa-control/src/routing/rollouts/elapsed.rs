//! How long rollouts have been running, by the clock of this process.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::Timestamp;
use mimosa_rollout::RolloutNumber;
use mimosa_state::rollouts::Rollout;

/// When this process first saw each running rollout, and how old the rollout was then. A wall clock
/// that is set while a rollout runs does not change its end.
#[derive(Debug, Default)]
pub(super) struct Elapsed {
    seen: BTreeMap<RolloutNumber, (Timestamp, Duration)>,
    has_observed: bool,
}

impl Elapsed {
    /// Takes in the running rollouts. `now` is the time of this process, `log_time` the latest time in
    /// the log, and `wall` the wall clock.
    pub(super) fn observe<'a>(
        &mut self,
        now: Timestamp,
        log_time: Timestamp,
        wall: Timestamp,
        rollouts: impl Iterator<Item = &'a Rollout>,
    ) {
        let mut running = BTreeMap::new();
        for rollout in rollouts {
            let seen = self.seen.get(&rollout.number).copied();
            running.insert(
                rollout.number,
                seen.unwrap_or_else(|| (now, self.age(log_time, wall, rollout))),
            );
        }
        self.seen = running;
        self.has_observed = true;
    }

    /// Time since the order of a running rollout.
    pub(super) fn of(&self, now: Timestamp, number: RolloutNumber) -> Duration {
        let seen = self.seen.get(&number);
        seen.map_or(Duration::ZERO, |(at, age)| now.since(*at) + *age)
    }

    /// The age of a rollout that is seen for the first time. After a start of the process the log may
    /// have stood still, so that only the wall clock tells it. Otherwise the order was stored a moment
    /// ago, or its commit was learned only after the loss of the leader.
    fn age(&self, log_time: Timestamp, wall: Timestamp, rollout: &Rollout) -> Duration {
        /// Longest time for which an order is not acknowledged, which limits the effect of a wall clock
        /// that is wrong.
        const MAX_COMMIT_TIME: Duration = Duration::from_secs(5);
        let in_log = log_time.since(rollout.started);
        let by_clock = wall.since(rollout.started);
        in_log.max(match self.has_observed {
            true => by_clock.min(MAX_COMMIT_TIME),
            false => by_clock,
        })
    }
}
