//! Rollouts of the state machine, with their audit records.

use std::time::Duration;

use mimosa_protocol::ServiceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_rollout::RolloutNumber;

use crate::machine::StateMachine;
use crate::rollouts::PhaseChange;
use crate::rollouts::RolloutOrdered;
use crate::rollouts::RolloutRefusal;
use crate::rollouts::Rollouts;

impl StateMachine {
    /// The latest rollout of each service.
    pub const fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// The latest time of a command.
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    /// The log index of the last change that gateways learn: of routing, or of the phase of a rollout.
    pub fn gateway_state_index(&self) -> u64 {
        self.routing
            .last_changed()
            .max(self.rollouts.last_changed())
    }

    pub(super) fn start_rollout(
        &mut self,
        service: &ServiceId,
        to: ServiceVersion,
        duration: Duration,
    ) -> Result<RolloutOrdered, RolloutRefusal> {
        let action = format!(
            "roll out service {service} to version {to} in {} ms",
            duration.as_millis()
        );
        let result = self
            .rollouts
            .start(self.now, self.applied, service, to, duration);
        match &result {
            Ok(ordered) if ordered.started => self.audit_routing(action, Ok(())),
            Ok(_) => {}
            Err(refusal) => self.audit_routing(action, Err(refusal)),
        }
        result
    }

    pub(super) fn change_rollout(
        &mut self,
        service: &ServiceId,
        number: RolloutNumber,
        change: PhaseChange,
    ) -> bool {
        let action = format!(
            "rollout {number} of service {service} is {}: {}",
            change.phase, change.reason
        );
        let index = self.applied;
        let changed = self
            .rollouts
            .enter(self.now, index, service, number, change);
        if changed {
            self.audit_routing(action, Ok(()));
        }
        changed
    }
}
