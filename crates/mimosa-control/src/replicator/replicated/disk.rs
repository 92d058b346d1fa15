//! Opens the store of a replica, at the start and again after a failed write.

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
use crate::settings::INITIAL_INCARNATION;
use crate::settings::Settings;

/// Opens the store of a replica.
pub trait OpenStore: Send + Sync {
    /// Opens the store and recovers its contents.
    ///
    /// # Errors
    ///
    /// If the store cannot be read or written, is damaged, or belongs to another instance.
    fn open(&self, settings: mimosa_storage::Settings) -> Result<Box<dyn LogStore>>;
}

/// Opens a [`FileStore`] in a folder, which is created if it does not exist.
pub struct FolderStore(pub PathBuf);

impl OpenStore for FolderStore {
    fn open(&self, settings: mimosa_storage::Settings) -> Result<Box<dyn LogStore>> {
        let store = FileStore::open(&self.0, settings)?;
        Ok(Box::new(store))
    }
}

/// Opens the store of one instance as its settings say.
pub struct StoreOpener {
    settings: Arc<Settings>,
    store: Arc<dyn OpenStore>,
}

/// An open store and the replica recovered from it.
pub struct OpenedReplica {
    /// The store, locked by this process.
    pub store: Box<dyn LogStore>,
    /// The replica that the store belongs to.
    pub id: ReplicaId,
    /// The state from which the replica starts.
    pub persistent_state: PersistentState,
}

impl StoreOpener {
    /// Creates an opener for the instance of `settings`; opens nothing yet.
    pub fn new(settings: Arc<Settings>, store: Arc<dyn OpenStore>) -> Self {
        Self { settings, store }
    }

    /// Opens the store. An empty store gets a new incarnation; it bootstraps a cluster only if the
    /// settings request it or no other instance is configured.
    ///
    /// # Errors
    ///
    /// If the store cannot be read or written, is damaged, or belongs to another instance.
    pub fn open(&self) -> Result<OpenedReplica> {
        let settings = &self.settings;
        let mut store = self.open_store()?;
        let id = replica::replica_id(store.as_ref());
        if settings.should_bootstrap() {
            let initial_voters = initial_voters(settings, &id);
            if replica::bootstrap(store.as_mut(), initial_voters)? {
                info!("{id} bootstraps cluster {}", settings.cluster);
            }
        }
        let persistent_state = replica::load(store.as_ref())?;
        Ok(OpenedReplica {
            store,
            id,
            persistent_state,
        })
    }

    /// Reopens the store after a failed write. Records after `synced_index` are dropped and the
    /// rest of the unsynced data is rewritten: after a failed sync, the page cache can return data
    /// that never reached the disk. No other instance was told of the dropped records.
    ///
    /// # Errors
    ///
    /// If the disk still accepts no writes.
    pub fn reopen(&self, synced_index: RecordIndex) -> Result<OpenedReplica> {
        let mut store = self.open_store()?;
        let snapshot = store.snapshot()?;
        let snapshot_index = snapshot.as_ref().map(|snapshot| snapshot.index);
        let last_kept = synced_index.max(snapshot_index.unwrap_or_default());
        if store.last_index() > last_kept {
            store.truncate_suffix(last_kept.next())?;
        }
        store.start_segment()?;
        let state = store.state().to_vec();
        store.save_state(&state)?;
        if let Some(snapshot) = snapshot {
            store.save_snapshot(&snapshot, Tail::Keep)?;
        }
        store.sync()?;
        Ok(OpenedReplica {
            id: replica::replica_id(store.as_ref()),
            persistent_state: replica::load(store.as_ref())?,
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

/// The voters of a new cluster: this replica and the configured initial voters.
fn initial_voters(settings: &Settings, own_id: &ReplicaId) -> Membership {
    let configured = settings.initial_voters.iter().map(|instance| ReplicaId {
        instance: instance.clone(),
        incarnation: INITIAL_INCARNATION,
    });
    let mut voters: BTreeSet<ReplicaId> = configured.collect();
    voters.insert(own_id.clone());
    Membership::from_voters(voters)
}

/// The ID of a cluster: a hash of its name.
fn cluster_id(name: &str) -> ClusterId {
    ClusterId(mimosa_protocol::hash::rendezvous_weight("cluster", name))
}

/// Executes [`mimosa_consensus::Persist`] without the final sync.
///
/// # Errors
///
/// If the store fails; the replica must then stop.
pub fn write(store: &mut dyn LogStore, persist: &mimosa_consensus::Persist) -> Result<()> {
    replica::write(store, persist)
}

/// Formats an error and its source as one line.
pub fn error_chain(e: &Error) -> String {
    let cause = std::error::Error::source(e).map(|cause| format!(": {cause}"));
    format!("{e}{}", cause.unwrap_or_default())
}
