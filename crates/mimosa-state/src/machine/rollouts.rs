//! Rollouts of the state machine, with their audit records.

use std::time::Duration;

use mimosa_protocol::ServiceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_rollout::RolloutNumber;
use mimosa_rollout::RolloutPhase;

use crate::intent::Intent;
use crate::machine::StateMachine;
use crate::plan::ChangeLine;
use crate::refusal::Refusal;
use crate::rollouts::MAX_DURATION;
use crate::rollouts::PhaseChange;
use crate::rollouts::Rollout;
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

    /// Checks a planned order for a rollout and describes it; `None` for other intents.
    pub(super) fn plan_rollout(&self, intent: &Intent) -> Result<Option<ChangeLine>, Refusal> {
        let (service, after) = match intent {
            Intent::StartRollout(spec) => {
                let duration = Duration::from_millis(spec.duration_ms);
                if duration.is_zero() || duration > MAX_DURATION {
                    let reason = "it must be from 1 to 86,400,000";
                    return Err(Refusal::bad_value("duration_ms", reason));
                }
                // Without a routing document no gateway serves the service.
                if self.routing.document().is_none() {
                    return Err(Refusal::UnknownService(spec.service.clone()));
                }
                let repeated = self
                    .rollouts
                    .check(self.now, &spec.service, &spec.to, duration);
                if repeated.map_err(|e| running(&spec.service, e))?.is_some() {
                    return Err(Refusal::NothingChanges);
                }
                let after = format!("testing {} for {} ms", spec.to, spec.duration_ms);
                (&spec.service, after)
            }
            Intent::CancelRollout(by) => {
                let rollout = self.running_rollout(&by.service)?;
                (&by.service, format!("rolled_back {}", rollout.to))
            }
            _ => return Ok(None),
        };
        let before = self.rollouts.get(service);
        Ok(Some(ChangeLine {
            what: format!("rollout {service}"),
            before: before.map(|rollout| format!("{} {}", rollout.phase, rollout.to)),
            after: Some(after),
        }))
    }

    /// Applies a confirmed order for a rollout.
    pub(super) fn confirm_rollout(&mut self, intent: &Intent) -> Result<(), Refusal> {
        match intent {
            Intent::StartRollout(spec) => {
                let duration = Duration::from_millis(spec.duration_ms);
                let (service, to) = (&spec.service, spec.to.clone());
                self.rollouts
                    .start(self.now, self.applied, service, to, duration)
                    .map_err(|e| running(service, e))?;
            }
            Intent::CancelRollout(by) => {
                let number = self.running_rollout(&by.service)?.number;
                let change = PhaseChange {
                    phase: RolloutPhase::RolledBack,
                    reason: "cancelled".to_owned(),
                    from: Vec::new(),
                };
                self.rollouts
                    .enter(self.now, self.applied, &by.service, number, change);
            }
            _ => {}
        }
        Ok(())
    }

    fn running_rollout(&self, service: &ServiceId) -> Result<&Rollout, Refusal> {
        let rollout = self.rollouts.get(service);
        rollout
            .filter(|rollout| rollout.phase.is_running())
            .ok_or_else(|| Refusal::NoRollout(service.clone()))
    }
}

fn running(service: &ServiceId, refusal: RolloutRefusal) -> Refusal {
    let RolloutRefusal::Running { to } = refusal;
    Refusal::RolloutRunning {
        service: service.clone(),
        to,
    }
}
