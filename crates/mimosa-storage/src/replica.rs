//! Stores the persistent state of a [`mimosa_consensus::Replica`] in a [`LogStore`].
//!
//! A driver calls [`load`] once, passes the result to [`mimosa_consensus::Replica::start`], and
//! then executes each [`mimosa_consensus::Action::Persist`] with [`write()`] and
//! [`LogStore::sync`]. Once both have returned `Ok`, it reports `Event::Persisted` with the same
//! write ID. Several writes may share one sync: [`write()`] each, then sync, then report the
//! highest write ID.

use serde::Serialize;

use mimosa_consensus::Entry;
use mimosa_consensus::LogTail;
use mimosa_consensus::Membership;
use mimosa_consensus::Persist;
use mimosa_consensus::PersistentState;
use mimosa_consensus::ReplicaId;
use mimosa_protocol::ByteSize;
use mimosa_protocol::Error;
use mimosa_protocol::Result;

use crate::store::LogStore;
use crate::store::Record;
use crate::store::RecordIndex;
use crate::store::Snapshot;
use crate::store::Tail;

/// Returns the ID of the replica that a store belongs to: its instance and incarnation.
pub fn replica_id(store: &dyn LogStore) -> ReplicaId {
    let identity = store.identity();
    ReplicaId {
        instance: identity.instance.clone(),
        incarnation: identity.incarnation,
    }
}

/// Initialises an empty store as a member of a new cluster with this membership.
///
/// Returns whether it did so; a store with any state is not changed. Call this only when an
/// operator explicitly requests it: the store of an instance that lost its disk is empty as well,
/// but that instance has to join the existing cluster.
///
/// # Errors
///
/// If the snapshot of the store cannot be read or the new one cannot be written.
pub fn bootstrap(store: &mut dyn LogStore, membership: Membership) -> Result<bool> {
    let has_state = !store.state().is_empty()
        || store.last_index() > RecordIndex::ZERO
        || store.snapshot()?.is_some();
    if has_state {
        return Ok(false);
    }
    let persistent = PersistentState::bootstrap(membership);
    let snapshot = Snapshot {
        index: RecordIndex::ZERO,
        bytes: encode(&persistent.snapshot),
    };
    store.save_snapshot(&snapshot, Tail::Keep)?;
    Ok(true)
}

/// Loads the persistent state of a replica; the default state from an empty store.
///
/// # Errors
///
/// [`Error::BadMessage`] if stored bytes cannot be decoded, otherwise the error of the store.
pub fn load(store: &dyn LogStore) -> Result<PersistentState> {
    let mut persistent = PersistentState::default();
    if !store.state().is_empty() {
        persistent.hard_state = decode(store.state())?;
    }
    if let Some(snapshot) = store.snapshot()? {
        persistent.snapshot = decode(&snapshot.bytes)?;
    }
    let from = RecordIndex(persistent.snapshot.meta.index.0).next();
    persistent.entries = store
        .read(from, ByteSize(u64::MAX))?
        .iter()
        .map(|record| decode(&record.bytes))
        .collect::<Result<_>>()?;
    Ok(persistent)
}

/// Writes the requested changes. Entries are durable only after [`LogStore::sync`].
///
/// # Errors
///
/// If a write fails. Some of the changes may then be written, and the store refuses further ones.
pub fn write(store: &mut dyn LogStore, persist: &Persist) -> Result<()> {
    if let Some(hard_state) = &persist.hard_state {
        store.save_state(&encode(hard_state))?;
    }
    if let Some((snapshot, tail)) = &persist.snapshot {
        let record = Snapshot {
            index: RecordIndex(snapshot.meta.index.0),
            bytes: encode(snapshot.as_ref()),
        };
        let tail = match tail {
            LogTail::Keep => Tail::Keep,
            LogTail::Discard => Tail::Discard,
        };
        store.save_snapshot(&record, tail)?;
    }
    if let Some(from) = persist.truncate_from {
        store.truncate_suffix(RecordIndex(from.0))?;
    }
    let records: Vec<Record> = persist.entries.iter().map(record).collect();
    store.append(&records)?;
    match persist.drop_below {
        Some(below) => store.drop_prefix(RecordIndex(below.0)),
        None => Ok(()),
    }
}

fn record(entry: &Entry) -> Record {
    Record {
        index: RecordIndex(entry.index.0),
        bytes: encode(entry),
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("consensus types are serializable")
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|e| Error::BadMessage {
        reason: format!("invalid stored record: {e}"),
    })
}
