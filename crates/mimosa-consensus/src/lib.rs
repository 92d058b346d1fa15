//! A replicated log as a pure state machine: election, replication, snapshots, membership changes.
//!
//! The protocol is a variant of Raft. A [`Replica`] takes `(now, Event)` and returns [`Action`]s; it
//! has no clock, socket, task, file or global source of randomness. The driver provides these.
//!
//! # The driver loop
//!
//! 1. Open the disk, load a [`PersistentState`] from it and call [`Replica::start`]. Carry out the
//!    actions.
//! 2. Wait for a message, a request, the end of a sync, or the time of the last [`Action::WakeAt`],
//!    whichever comes first. Call [`Replica::handle`] with the time of a monotonic clock, read after
//!    the event arrived.
//! 3. Carry out the actions in order:
//!    * [`Action::Persist`]: write and sync all of it, then pass [`Event::Persisted`] with its write
//!      ID. Several writes may share a sync; the highest write ID covers all earlier ones. The sync
//!      may run concurrently with the loop, as long as writes are made in the order of their IDs. If
//!      it fails, drop the replica: nothing that depends on the write has been sent, and the disk has
//!      to be opened again.
//!    * [`Action::Send`]: send the message to the instance named in it, or drop it. Connections need
//!      neither ordering nor retries, though both help.
//!    * [`Action::Apply`]: apply every entry to the state machine. A request that was answered by
//!      [`Action::Proposed`] with an index and term has completed when the entry with both is
//!      applied; if the entry applied at its index has another term, the request had no effect and
//!      never will.
//!    * [`Action::ApplySnapshot`]: replace the state machine. The outcome of requests that wait for
//!      entries up to the snapshot's index is unknown.
//!    * [`Action::TakeSnapshot`]: encode the state machine as applied so far and pass
//!      [`Event::SnapshotTaken`], immediately or later.
//!    * [`Action::ReadReady`]: answer from the current state machine.
//!    * [`Action::RoleChanged`]: a former leader learns the outcome of its proposals only as entries
//!      are applied; until then it is unknown.
//! 4. Before a shutdown, pass [`Event::TransferLeadership`] and keep going until [`Replica::role`]
//!    is no longer leader or a timeout expires.
//!
//! Actions that depend on a write are held back inside the replica until [`Event::Persisted`], so
//! the driver cannot send them before the sync.
//!
//! Messages do not name the cluster: the transport must refuse peers of other clusters.
//! [`Settings::seed`] must differ between starts and between replicas.
//!
//! # Identity
//!
//! A replica is an instance together with the incarnation of its disk, [`ReplicaId`]. A cluster is
//! bootstrapped once, by storing [`PersistentState::bootstrap`] on its first members: usually one,
//! which the others then join. An instance with an empty disk starts with
//! `PersistentState::default()` under a higher incarnation; it asks the instances of
//! [`Settings::peers`] for admission, replaces its earlier incarnation as a learner, and is promoted
//! once it has synced all committed entries. Only voters of the candidate's own log are counted, so
//! a replica that lost its disk never votes under its earlier identity.
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
//! use mimosa_storage::replica as replica_store;
//!
//! # fn main() -> mimosa_protocol::Result<()> {
//! # let folder = tempfile::tempdir().unwrap();
//! let mut store = FileStore::open(folder.path(), mimosa_storage::Settings::default())?;
//! let id = replica_store::replica_id(&store);
//! replica_store::bootstrap(&mut store, Membership::from_voters([id.clone()]))?;
//!
//! let durable = replica_store::load(&store)?;
//! let now = Timestamp::ZERO;
//! let (mut replica, mut actions) = Replica::start(now, id, durable, Settings::default());
//! actions.extend(replica.handle(now, Event::Wake));
//! let mut applied = Vec::new();
//! let mut has_proposed = false;
//! while !actions.is_empty() {
//!     for action in std::mem::take(&mut actions) {
//!         match action {
//!             Action::Persist(persist) => {
//!                 replica_store::write(&mut store, &persist)?;
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
//!         let bytes = b"a command".to_vec();
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
mod follower;
mod forwarded_read;
mod id;
mod leader;
mod log;
mod membership;
mod message;
mod outbox;
mod progress;
mod random;
mod read;
mod reconfiguration;
mod replica;
mod replication;
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
pub use crate::message::Message;
pub use crate::message::SnapshotChunk;
pub use crate::message::VoteRequest;
pub use crate::replica::PersistentState;
pub use crate::replica::Replica;
#[doc(hidden)]
pub use crate::settings::InjectedBug;
pub use crate::settings::Settings;
pub use crate::settings::VoterPolicy;
