//! Start time and disk usage after a number of commands.

use std::path::Path;
use std::time::Instant;

use mimosa_consensus::Action;
use mimosa_consensus::Event;
use mimosa_consensus::Membership;
use mimosa_consensus::ProposalId;
use mimosa_consensus::Replica;
use mimosa_consensus::RoleName;
use mimosa_protocol::Timestamp;
use mimosa_storage::FileStore;
use mimosa_storage::LogStore;
use mimosa_storage::replica as replica_store;

use crate::driver::open;
use crate::driver::settings;

const COMMAND_BYTES: usize = 256;
const STATE_BYTES: usize = 65_536;
/// Commands that share a sync.
const BATCH: u64 = 100;

/// The only replica of a cluster, with its store.
struct SoleReplica {
    store: FileStore,
    replica: Replica,
    /// Number of entries applied since the start.
    replayed: usize,
}

/// Prints the table.
pub fn report(folder: &Path) -> mimosa_protocol::Result<()> {
    println!("\nrecovery of one replica, a snapshot of {STATE_BYTES} bytes after 4,096 entries");
    println!(" changes  disk bytes  start ms  entries replayed");
    for changes in [100, 1_000, 10_000, 100_000] {
        let run_folder = folder.join(format!("recovery-{changes}"));
        let mut store = open(&run_folder, 0)?;
        let id = replica_store::replica_id(&store);
        replica_store::bootstrap(&mut store, Membership::from_voters([id]))?;
        let mut sole = SoleReplica::start(store)?;
        for first in (0..changes).step_by(usize::try_from(BATCH).expect("the number is small")) {
            sole.propose(first)?;
        }
        let bytes = sole.store.disk_size()?;
        drop(sole);
        let start = Instant::now();
        let sole = SoleReplica::start(open(&run_folder, 0)?)?;
        let millis = start.elapsed().as_secs_f64() * 1_000.0;
        println!("{changes:8} {bytes:>11} {millis:9.1} {:17}", sole.replayed);
    }
    Ok(())
}

impl SoleReplica {
    /// Starts the replica and runs it until it leads and has applied its log.
    fn start(store: FileStore) -> mimosa_protocol::Result<Self> {
        let durable = replica_store::load(&store)?;
        let id = replica_store::replica_id(&store);
        let (replica, actions) = Replica::start(Timestamp::ZERO, id, durable, settings(0));
        let mut sole = Self {
            store,
            replica,
            replayed: 0,
        };
        sole.carry_out(actions)?;
        let actions = sole.replica.handle(Timestamp::ZERO, Event::Wake);
        sole.carry_out(actions)?;
        assert_eq!(sole.replica.role(), RoleName::Leader);
        Ok(sole)
    }

    /// Commits a batch of commands, numbered from `first`.
    fn propose(&mut self, first: u64) -> mimosa_protocol::Result<()> {
        let mut actions = Vec::new();
        for number in first..first + BATCH {
            let id = ProposalId(number);
            let bytes = vec![7; COMMAND_BYTES];
            actions.extend(
                self.replica
                    .handle(Timestamp::ZERO, Event::Propose { id, bytes }),
            );
        }
        self.carry_out(actions)
    }

    /// Carries out actions, with one sync for all writes returned together.
    fn carry_out(&mut self, mut actions: Vec<Action>) -> mimosa_protocol::Result<()> {
        while !actions.is_empty() {
            let mut unsynced = None;
            let mut next = Vec::new();
            for action in actions {
                match action {
                    Action::Persist(persist) => {
                        replica_store::write(&mut self.store, &persist)?;
                        unsynced = Some(persist.write_id);
                    }
                    Action::Apply { entries } => self.replayed += entries.len(),
                    Action::TakeSnapshot { index } => {
                        let bytes = vec![7; STATE_BYTES];
                        let event = Event::SnapshotTaken { index, bytes };
                        next.extend(self.replica.handle(Timestamp::ZERO, event));
                    }
                    _ => (),
                }
            }
            if let Some(write_id) = unsynced {
                self.store.sync()?;
                next.extend(
                    self.replica
                        .handle(Timestamp::ZERO, Event::Persisted { write_id }),
                );
            }
            actions = next;
        }
        Ok(())
    }
}
