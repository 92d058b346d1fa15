//! A replicated log as a pure state machine: election, replication, snapshots, membership changes.
//!
//! It is of the Raft family. A [`Replica`] takes `(now, Event)` and returns [`Action`]s; it has no
//! clock, socket, task, file or global source of randomness. A driver brings these.
//!
//! # The driving loop
//!
//! 1. Open the disk, load a [`PersistentState`] from it and call [`Replica::start`]. Carry out the actions.
//! 2. Wait for the first of: a message, a request, the end of a sync, the time of the last
//!    [`Action::WakeAt`]. Call [`Replica::handle`] with the time of a clock that never goes back,
//!    read after the event arrived.
//! 3. Carry out the actions in their order:
//!    * [`Action::Persist`]: write and sync all of it, then tell [`Event::Persisted`] with its
//!      write ID. Several may share a sync; the highest write ID stands for all before it. The sync may
//!      run beside the loop, as long as writes stay in the order of their write IDs. If it fails, drop the replica: what it
//!      promised nobody is not missed, and the disk needs a restart.
//!    * [`Action::Send`]: send it to the instance named in it, or drop it. Connections need no
//!      order and no retries, though both help.
//!    * [`Action::Apply`]: apply every entry to the state machine. A request that was answered by
//!      [`Action::Proposed`] with an index and term is done when the entry with both is applied; if
//!      the entry applied at its index has another term, the request had no effect and never will.
//!    * [`Action::ApplySnapshot`]: replace the state machine. Requests waiting at or below its index
//!      have an unknown end.
//!    * [`Action::TakeSnapshot`]: encode the state machine as applied so far and tell
//!      [`Event::SnapshotTaken`], at once or later.
//!    * [`Action::ReadReady`]: answer from the state machine as it is now.
//!    * [`Action::RoleChanged`]: a replica that leads no longer learns the end of its proposals only
//!      as entries are applied; until then they are unknown.
//! 4. Before a shutdown: [`Event::TransferLeadership`], then go on until [`Replica::role`] is no
//!    longer leader or a timeout ends.
//!
//! What must not leave before it is synced is held inside the replica until [`Event::Persisted`], so
//! the driver cannot get that order wrong by sending what it is handed.
//!
//! Messages carry no name of the cluster: the transport must refuse the peers of another one.
//! [`Settings::seed`] must differ at each start of each replica.
//!
//! # Identity
//!
//! A replica is an instance and the life of its disk, [`ReplicaId`]. A cluster is founded once, by
//! storing [`PersistentState::bootstrap`] on its first members: usually one, which the others then join. An
//! instance with an empty disk starts with `PersistentState::default()` under a higher incarnation; it asks
//! the instances of [`Settings::peers`] for admission, receives the log as a learner in place of its
//! earlier life, and is promoted once it has synced all that is committed. Only replicas that are
//! voters in a candidate's log are counted, so an emptied disk never votes as its old self.
//!
//! ```
//! use mimosa_consensus::Action;
//! use mimosa_consensus::Event;
//! use mimosa_consensus::Membership;
//! use mimosa_consensus::ProposalId;
//! use mimosa_consensus::Replica;
//! use mimosa_consensus::RoleName;
//! use mimosa_consensus::Settings;
//! use mimosa_protocol::Timestamp;
//! use mimosa_storage::FileStore;
//! use mimosa_storage::LogStore;
//! use mimosa_storage::replica as glue;
//!
//! # fn main() -> mimosa_protocol::Result<()> {
//! # let folder = tempfile::tempdir().unwrap();
//! let mut store = FileStore::open(folder.path(), mimosa_storage::Settings::default())?;
//! let id = glue::replica_id(&store);
//! glue::found(&mut store, Membership::from_voters([id.clone()]))?;
//!
//! let durable = glue::load(&store)?;
//! let now = Timestamp::ZERO;
//! let (mut replica, mut actions) = Replica::start(now, id, durable, Settings::default());
//! actions.extend(replica.handle(now, Event::Wake));
//! let mut applied = Vec::new();
//! let mut has_proposed = false;
//! while !actions.is_empty() {
//!     for action in std::mem::take(&mut actions) {
//!         match action {
//!             Action::Persist(persist) => {
//!                 glue::write(&mut store, &persist)?;
//!                 store.sync()?;
//!                 let write_id = persist.write_id;
//!                 actions.extend(replica.handle(now, Event::Persisted { write_id }));
//!             }
//!             Action::Apply { entries } => applied.extend(entries),
//!             _ => (),
//!         }
//!     }
//!     if replica.role() == RoleName::Leader && !has_proposed {
//!         has_proposed = true;
//!         let bytes = b"a change".to_vec();
//!         actions.extend(replica.handle(now, Event::Propose { id: ProposalId(1), bytes }));
//!     }
//! }
//! assert_eq!(applied.len(), 2);
//! # Ok(())
//! # }
//! ```

mod election;
mod entry;
mod event;
mod follow;
mod forward;
mod id;
mod lead;
mod log;
mod membership;
mod message;
mod outbox;
mod progress;
mod random;
mod read;
mod reconfigure;
mod replica;
mod replicate;
mod settings;
mod snapshot;
mod status;

pub use crate::entry::Entry;
pub use crate::entry::HardState;
pub use crate::entry::Payload;
pub use crate::entry::Snapshot;
pub use crate::entry::SnapshotMeta;
pub use crate::event::Action;
pub use crate::event::Event;
pub use crate::event::LogTail;
pub use crate::event::MessageRefusal;
pub use crate::event::Persist;
pub use crate::event::ProposalRefusal;
pub use crate::event::RoleName;
pub use crate::id::LogIndex;
pub use crate::id::Nonce;
pub use crate::id::ProposalId;
pub use crate::id::ReadId;
pub use crate::id::ReplicaId;
pub use crate::id::Round;
pub use crate::id::Term;
pub use crate::id::WriteId;
pub use crate::membership::ChangeRefusal;
pub use crate::membership::MAX_REPLICAS;
pub use crate::membership::Membership;
pub use crate::membership::MembershipChange;
pub use crate::message::Append;
pub use crate::message::AppendOutcome;
pub use crate::message::AppendReply;
pub use crate::message::Body;
pub use crate::message::Candidacy;
pub use crate::message::Message;
pub use crate::message::SnapshotChunk;
pub use crate::replica::PersistentState;
pub use crate::replica::Replica;
#[doc(hidden)]
pub use crate::settings::Flaw;
pub use crate::settings::Settings;
pub use crate::settings::VoterPolicy;
