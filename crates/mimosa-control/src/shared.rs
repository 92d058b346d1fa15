//! The applied state: read by many tasks, written only by the replicator.

use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockWriteGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use mimosa_protocol::Revision;
use mimosa_state::Command;
use mimosa_state::CommandResult;
use mimosa_state::StateMachine;
use tokio::sync::watch;

/// The state machine of this instance, with notifications of its changes.
#[derive(Debug)]
pub struct SharedState {
    machine: RwLock<StateMachine>,
    /// The log index at which the first routing document was adopted, or a later one before this instance
    /// started; zero before the first document.
    first_document: AtomicU64,
    revision: watch::Sender<Revision>,
    /// The log index of the last change of routing or of the phase of a rollout.
    routing: watch::Sender<u64>,
}

impl SharedState {
    /// Starts from `machine`; its current revision counts as announced.
    pub fn new(machine: StateMachine) -> Self {
        let (revision, _) = watch::channel(machine.configuration().revision);
        let (routing, _) = watch::channel(machine.gateway_state_index());
        let shared = Self {
            first_document: AtomicU64::new(0),
            machine: RwLock::default(),
            revision,
            routing,
        };
        shared.record_first_document(&machine);
        *shared.write() = machine;
        shared
    }

    /// Reads the state under a lock. `reader` must be short, as it delays commands.
    pub fn read<T>(&self, reader: impl FnOnce(&StateMachine) -> T) -> T {
        let machine = self.machine.read().unwrap_or_else(PoisonError::into_inner);
        reader(&machine)
    }

    /// Applies the committed command at log index `index`.
    pub fn apply(&self, index: u64, command: Command) -> CommandResult {
        let mut machine = self.write();
        let result = machine.apply(index, command);
        self.record_first_document(&machine);
        self.announce(&machine);
        result
    }

    /// Whether a routing document had been adopted before a log index at which this instance began to lead.
    pub fn had_document_before(&self, index: u64) -> bool {
        (1..index).contains(&self.first_document.load(Ordering::Relaxed))
    }

    /// Replaces the state by a newer one, decoded from a snapshot.
    pub fn replace(&self, replacement: StateMachine) {
        let mut machine = self.write();
        *machine = replacement;
        self.record_first_document(&machine);
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

    fn write(&self) -> RwLockWriteGuard<'_, StateMachine> {
        self.machine.write().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_first_document(&self, machine: &StateMachine) {
        let routing = machine.routing();
        if routing.document().is_some() && self.first_document.load(Ordering::Relaxed) == 0 {
            let index = routing.last_changed();
            self.first_document.store(index, Ordering::Relaxed);
        }
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
