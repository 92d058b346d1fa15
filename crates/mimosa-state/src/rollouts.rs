//! The latest rollout of each service. Its changes take effect without a plan and a confirm.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::ServiceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_protocol::data;
use mimosa_rollout::RolloutNumber;
use mimosa_rollout::RolloutPhase;
use mimosa_rollout::RolloutView;
use thiserror::Error;

/// Time after the end of a rollout in which its order counts as a repetition. Operators resend an
/// order for at most 5 s.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(10);
/// Longest rollout that can be ordered.
pub const MAX_DURATION: Duration = Duration::from_secs(86_400);
/// Versions that are barred for each service; the oldest are dropped first. Endpoints of a version are
/// stopped soon after the end of its rollout.
const MAX_BARRED: usize = 8;
/// Longest reason that is stored.
const MAX_REASON_CHARS: usize = 200;

data! {
    /// The rollouts, by service.
    #[derive(Default)]
    pub struct Rollouts(BTreeMap<ServiceId, Rollout>);

    /// The latest rollout of a service.
    pub struct Rollout {
        /// The log index of the order.
        pub number: RolloutNumber,
        /// The new version.
        pub to: ServiceVersion,
        /// The versions that are replaced; empty before the move.
        pub from: Vec<ServiceVersion>,
        /// Versions that earlier rollouts withdrew or replaced.
        pub barred: Vec<ServiceVersion>,
        /// The time of the order.
        pub started: Timestamp,
        /// Time from the order to the end.
        pub duration: Duration,
        /// The phase.
        pub phase: RolloutPhase,
        /// Why the phase was entered.
        pub reason: String,
        /// When the phase was entered.
        pub changed: Timestamp,
        /// The log index of the last change of the phase.
        pub changed_index: u64,
        /// Requests to the new version for which permits may have been granted.
        pub reserved: u64,
    }

    /// Why an order for a rollout was rejected.
    #[derive(Error)]
    pub enum RolloutRefusal {
        /// A rollout of the service to another version or with another duration is running.
        #[error("a rollout of the service to version '{to}' is running; wait for it or cancel it")]
        Running {
            /// The version that it moves to.
            to: ServiceVersion,
        },
    }

    /// The result of an order for a rollout.
    pub struct RolloutOrdered {
        /// The rollout that the order started, or that it repeats.
        pub number: RolloutNumber,
        /// Whether the order started it.
        pub started: bool,
    }
}

impl Rollouts {
    /// The latest rollout of a service; `None` if it never had one.
    pub fn get(&self, service: &ServiceId) -> Option<&Rollout> {
        self.0.get(service)
    }

    /// The latest rollout of each service.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceId, &Rollout)> {
        self.0.iter()
    }

    /// The log index of the last change of a phase; zero if there was none.
    pub fn last_changed(&self) -> u64 {
        let changes = self.0.values().map(|rollout| rollout.changed_index);
        changes.max().unwrap_or_default()
    }

    /// Checks an order without applying it. Returns the rollout that it repeats, if any.
    ///
    /// # Errors
    ///
    /// If another rollout of the service is running.
    pub fn check(
        &self,
        now: Timestamp,
        service: &ServiceId,
        to: &ServiceVersion,
        duration: Duration,
    ) -> Result<Option<RolloutNumber>, RolloutRefusal> {
        let Some(rollout) = self.0.get(service) else {
            return Ok(None);
        };
        let is_same = rollout.to == *to && rollout.duration == duration;
        let is_recent = now.since(rollout.changed) <= REPEAT_WINDOW;
        match rollout.phase {
            RolloutPhase::Testing | RolloutPhase::Moving if !is_same => {
                Err(RolloutRefusal::Running {
                    to: rollout.to.clone(),
                })
            }
            RolloutPhase::Testing | RolloutPhase::Moving => Ok(Some(rollout.number)),
            RolloutPhase::Completed if rollout.to == *to => Ok(Some(rollout.number)),
            RolloutPhase::RolledBack if is_same && is_recent => Ok(Some(rollout.number)),
            RolloutPhase::Completed | RolloutPhase::RolledBack => Ok(None),
        }
    }

    /// Starts a rollout, unless the order repeats an earlier one.
    pub(crate) fn start(
        &mut self,
        now: Timestamp,
        index: u64,
        service: &ServiceId,
        to: ServiceVersion,
        duration: Duration,
    ) -> Result<RolloutOrdered, RolloutRefusal> {
        if let Some(number) = self.check(now, service, &to, duration)? {
            return Ok(RolloutOrdered {
                number,
                started: false,
            });
        }
        let earlier = self.0.get(service);
        let mut barred = earlier.map_or_else(Vec::new, Rollout::barred_afterwards);
        barred.retain(|version| *version != to);
        let excess = barred.len().saturating_sub(MAX_BARRED);
        barred.drain(..excess);
        let number = RolloutNumber(index);
        let rollout = Rollout {
            number,
            to,
            from: Vec::new(),
            barred,
            started: now,
            duration,
            phase: RolloutPhase::Testing,
            reason: "ordered".to_owned(),
            changed: now,
            changed_index: index,
            reserved: 0,
        };
        self.0.insert(service.clone(), rollout);
        Ok(RolloutOrdered {
            number,
            started: true,
        })
    }

    /// Raises the reserved exposure to `total` if it is `expected` and the rollout is being tested.
    /// Returns whether it did, and what is reserved now.
    pub(crate) fn reserve(
        &mut self,
        service: &ServiceId,
        number: RolloutNumber,
        expected: u64,
        total: u64,
    ) -> (bool, u64) {
        let Some(rollout) = self.0.get_mut(service) else {
            return (false, 0);
        };
        let accepted = rollout.number == number
            && rollout.phase == RolloutPhase::Testing
            && rollout.reserved == expected
            && total > expected;
        if accepted {
            rollout.reserved = total;
        }
        (accepted, rollout.reserved)
    }

    /// Enters a phase, unless another rollout has replaced this one or the phase does not follow its
    /// present one. `from` are the versions that a move replaces. Returns whether the phase changed.
    pub(crate) fn enter(
        &mut self,
        now: Timestamp,
        index: u64,
        service: &ServiceId,
        number: RolloutNumber,
        change: PhaseChange,
    ) -> bool {
        let rollout = self.0.get_mut(service);
        let Some(rollout) = rollout.filter(|rollout| rollout.number == number) else {
            return false;
        };
        let follows = match change.phase {
            RolloutPhase::Testing => false,
            RolloutPhase::Moving => rollout.phase == RolloutPhase::Testing,
            RolloutPhase::Completed => rollout.phase == RolloutPhase::Moving,
            RolloutPhase::RolledBack => rollout.phase.is_running(),
        };
        if !follows {
            return false;
        }
        if change.phase == RolloutPhase::Moving {
            rollout.from = change.from;
            let to = &rollout.to;
            rollout.from.retain(|version| version != to);
        }
        rollout.phase = change.phase;
        rollout.reason = change.reason.chars().take(MAX_REASON_CHARS).collect();
        rollout.changed = now;
        rollout.changed_index = index;
        true
    }
}

data! {
    /// The phase that a rollout enters.
    pub struct PhaseChange {
        /// The phase.
        pub phase: RolloutPhase,
        /// Why, for operators.
        pub reason: String,
        /// The versions that a move replaces; empty for other phases.
        pub from: Vec<ServiceVersion>,
    }
}

impl Rollout {
    /// What gateways learn of the rollout.
    pub fn view(&self, service: &ServiceId) -> RolloutView {
        RolloutView {
            service: service.clone(),
            number: self.number,
            to: self.to.clone(),
            from: self.from.clone(),
            barred: self.barred.clone(),
            phase: self.phase,
        }
    }

    /// The versions that get no requests during a later rollout.
    fn barred_afterwards(&self) -> Vec<ServiceVersion> {
        let mut barred = self.barred.clone();
        match self.phase {
            RolloutPhase::RolledBack => barred.push(self.to.clone()),
            RolloutPhase::Completed => barred.extend(self.from.iter().cloned()),
            RolloutPhase::Testing | RolloutPhase::Moving => {}
        }
        barred
    }
}
