//! Keeps what a [`mimosa_consensus::Replica`] must not lose in a [`LogStore`].
//!
//! A driver calls [`load`] once, hands the result to [`mimosa_consensus::Replica::start`], and
//! then answers each [`mimosa_consensus::Action::Persist`] by [`write`] and, once that returned
//! `Ok`, by `Event::Persisted` with the same write ID. Several writes may share one sync: [`write`]
//! each, then [`LogStore::sync`], then report the highest write ID.

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

/// The name of the replica that a folder belongs to.
pub fn replica_id(store: &dyn LogStore) -> ReplicaId {
    let identity = store.identity();
    ReplicaId {
        instance: identity.instance.clone(),
        incarnation: identity.incarnation,
    }
}

/// Makes a folder without any state the founder of a cluster with these members.
///
/// Returns whether it did: a folder that holds a state is left as it is. An operator must ask for
/// this by name, as an emptied folder looks the same: an instance that lost its disk has to join.
pub fn bootstrap(store: &mut dyn LogStore, membership: Membership) -> Result<bool> {
    let has_state = !store.state().is_empty()
        || store.last_index() > RecordIndex::ZERO
        || store.snapshot()?.is_some();
    if has_state {
        return Ok(false);
    }
    let durable = PersistentState::bootstrap(membership);
    let snapshot = Snapshot {
        index: RecordIndex::ZERO,
        bytes: encode(&durable.snapshot),
    };
    store.save_snapshot(&snapshot, Tail::Keep)?;
    Ok(true)
}

/// Reads what a replica needs to start.
pub fn load(store: &dyn LogStore) -> Result<PersistentState> {
    let mut durable = PersistentState::default();
    if !store.state().is_empty() {
        durable.hard_state = decode(store.state())?;
    }
    if let Some(snapshot) = store.snapshot()? {
        durable.snapshot = decode(&snapshot.bytes)?;
    }
    let from = RecordIndex(durable.snapshot.meta.index.0).next();
    durable.entries = store
        .read(from, ByteSize(u64::MAX))?
        .iter()
        .map(|record| decode(&record.bytes))
        .collect::<Result<_>>()?;
    Ok(durable)
}

/// Writes what a replica asks for. Entries are durable only after [`LogStore::sync`].
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
    postcard::to_stdvec(value).expect("these types can be encoded")
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|e| Error::BadMessage {
        reason: format!("a stored record: {e}"),
    })
}
