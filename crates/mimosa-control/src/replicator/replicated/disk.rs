//! Opens the data folder as a replica's disk, at the start and again after a write failed.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;

use log::info;
use mimosa_consensus::Membership;
use mimosa_consensus::PersistentState;
use mimosa_consensus::ReplicaId;
use mimosa_protocol::Error;
use mimosa_protocol::Result;
use mimosa_storage::ClusterId;
use mimosa_storage::FileStore;
use mimosa_storage::LogStore;
use mimosa_storage::RecordIndex;
use mimosa_storage::Tail;
use mimosa_storage::replica;

use crate::clock;
use crate::settings::FOUNDERS_LIFE;
use crate::settings::Settings;

/// Opens the store of an instance.
pub trait OpenStore: Send + Sync {
    /// Opens it, as a starting process does.
    ///
    /// # Errors
    ///
    /// If it cannot be used, is damaged, or belongs to another instance.
    fn open(&self, settings: mimosa_storage::Settings) -> Result<Box<dyn LogStore>>;
}

/// A store in a folder.
pub struct Folder(pub PathBuf);

impl OpenStore for Folder {
    fn open(&self, settings: mimosa_storage::Settings) -> Result<Box<dyn LogStore>> {
        let store = FileStore::open(&self.0, settings)?;
        Ok(Box::new(store))
    }
}

/// Opens the disk of one instance.
pub struct Opener {
    settings: Arc<Settings>,
    store: Arc<dyn OpenStore>,
}

/// An open disk and what stands on it.
pub struct Opened {
    /// The disk.
    pub store: Box<dyn LogStore>,
    /// The replica that it belongs to.
    pub id: ReplicaId,
    /// What the replica starts from.
    pub durable: PersistentState,
}

impl Opener {
    /// Opens a store as the settings say.
    pub fn new(settings: Arc<Settings>, store: Arc<dyn OpenStore>) -> Self {
        Self { settings, store }
    }

    /// Opens the store. An empty one becomes a new incarnation; it founds a cluster only if the
    /// settings ask for it or no other instance is configured.
    ///
    /// # Errors
    ///
    /// If the store cannot be used, is damaged, or belongs to another instance.
    pub fn open(&self) -> Result<Opened> {
        let settings = &self.settings;
        let mut store = self.open_store()?;
        let id = replica::replica_id(store.as_ref());
        if settings.founds() {
            let founders = founders(settings, &id);
            if replica::bootstrap(store.as_mut(), founders)? {
                info!("{id} founds the cluster {}", settings.cluster);
            }
        }
        let durable = replica::load(store.as_ref())?;
        Ok(Opened { store, id, durable })
    }

    /// Opens the store again after a write to it failed. What may not have reached the disk is
    /// dropped or written anew: after a failed sync the kernel shows pages that it never wrote, and
    /// nobody was told of records that were not synced.
    ///
    /// # Errors
    ///
    /// As long as the disk takes no writes.
    pub fn reopen(&self, synced: RecordIndex) -> Result<Opened> {
        let mut store = self.open_store()?;
        let snapshot = store.snapshot()?;
        let covered = snapshot.as_ref().map(|snapshot| snapshot.index);
        let kept = synced.max(covered.unwrap_or_default());
        if store.last_index() > kept {
            store.truncate_suffix(kept.next())?;
        }
        store.start_segment()?;
        let state = store.state().to_vec();
        store.save_state(&state)?;
        if let Some(snapshot) = snapshot {
            store.save_snapshot(&snapshot, Tail::Keep)?;
        }
        store.sync()?;
        Ok(Opened {
            id: replica::replica_id(store.as_ref()),
            durable: replica::load(store.as_ref())?,
            store,
        })
    }

    fn open_store(&self) -> Result<Box<dyn LogStore>> {
        let settings = &self.settings;
        self.store.open(mimosa_storage::Settings {
            cluster: cluster_id(&settings.cluster),
            instance: settings.instance.clone(),
            new_incarnation: settings.new_incarnation(clock::now()),
            ..mimosa_storage::Settings::default()
        })
    }
}

/// The first voters: this replica, and those that found the system together with it.
fn founders(settings: &Settings, own: &ReplicaId) -> Membership {
    let together = settings.initial_voters.iter().map(|instance| ReplicaId {
        instance: instance.clone(),
        incarnation: FOUNDERS_LIFE,
    });
    let mut voters: BTreeSet<ReplicaId> = together.collect();
    voters.insert(own.clone());
    Membership::from_voters(voters)
}

/// The cluster's number: a hash of its name.
fn cluster_id(name: &str) -> ClusterId {
    ClusterId(mimosa_protocol::hash::rendezvous_weight("cluster", name))
}

/// Writes what a replica asks for, without the final sync.
///
/// # Errors
///
/// The store's error; the replica must stop.
pub fn write(store: &mut dyn LogStore, persist: &mimosa_consensus::Persist) -> Result<()> {
    replica::write(store, persist)
}

/// A fault as one line for the status.
pub fn describe(e: &Error) -> String {
    let cause = std::error::Error::source(e).map(|cause| format!(": {cause}"));
    format!("{e}{}", cause.unwrap_or_default())
}
