//! The applied state: read by many tasks, written only by the replicator.

use std::sync::PoisonError;
use std::sync::RwLock;

use mimosa_protocol::Revision;
use mimosa_state::Command;
use mimosa_state::CommandResult;
use mimosa_state::StateMachine;
use tokio::sync::watch;

/// The state machine of this instance, with notifications of its changes.
#[derive(Debug)]
pub struct SharedState {
    machine: RwLock<StateMachine>,
    revision: watch::Sender<Revision>,
    /// The log index of the last change of routing or of the phase of a rollout.
    routing: watch::Sender<u64>,
}

impl SharedState {
    /// Starts from `machine`; its current revision counts as announced.
    pub fn new(machine: StateMachine) -> Self {
        let (revision, _) = watch::channel(machine.configuration().revision);
        let (routing, _) = watch::channel(machine.gateway_state_index());
        Self {
            machine: RwLock::new(machine),
            revision,
            routing,
        }
    }

    /// Reads the state under a lock. `reader` must be short, as it delays commands.
    pub fn read<T>(&self, reader: impl FnOnce(&StateMachine) -> T) -> T {
        let machine = self.machine.read().unwrap_or_else(PoisonError::into_inner);
        reader(&machine)
    }

    /// Applies the committed command at log index `index`.
    pub fn apply(&self, index: u64, command: Command) -> CommandResult {
        let mut machine = self.machine.write().unwrap_or_else(PoisonError::into_inner);
        let result = machine.apply(index, command);
        self.announce(&machine);
        result
    }

    /// Replaces the state by a newer one, decoded from a snapshot.
    pub fn replace(&self, replacement: StateMachine) {
        let mut machine = self.machine.write().unwrap_or_else(PoisonError::into_inner);
        *machine = replacement;
        self.announce(&machine);
    }

    /// Subscribes to the revision of the configuration.
    pub fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Subscribes to the log index of the last change of the routing state or of a
    /// rollout's phase.
    pub fn routing_changes(&self) -> watch::Receiver<u64> {
        self.routing.subscribe()
    }

    fn announce(&self, machine: &StateMachine) {
        let revision = machine.configuration().revision;
        let routing_index = machine.gateway_state_index();
        self.routing.send_if_modified(|announced| {
            let is_newer = routing_index > *announced;
            *announced = routing_index.max(*announced);
            is_newer
        });
        self.revision.send_if_modified(|announced| {
            let is_newer = revision > *announced;
            *announced = revision.max(*announced);
            is_newer
        });
    }
}
