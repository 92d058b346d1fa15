//! Opens the data folder as a replica's disk.

use std::collections::BTreeSet;

use log::info;
use mimosa_consensus::Durable;
use mimosa_consensus::Membership;
use mimosa_consensus::ReplicaId;
use mimosa_protocol::Error;
use mimosa_protocol::Result;
use mimosa_storage::ClusterId;
use mimosa_storage::FileStore;
use mimosa_storage::LogStore;
use mimosa_storage::replica;

use crate::clock;
use crate::settings::FOUNDERS_LIFE;
use crate::settings::Settings;

/// An open disk and what stands on it.
pub struct Opened {
    /// The disk.
    pub store: Box<dyn LogStore>,
    /// The replica that it belongs to.
    pub id: ReplicaId,
    /// What the replica starts from.
    pub durable: Durable,
}

/// Opens the data folder. An empty one becomes a new incarnation; it founds a cluster only if the
/// settings ask for it or no other instance is configured.
///
/// # Errors
///
/// If the folder cannot be used, is damaged, or belongs to another instance.
pub fn open(settings: &Settings) -> Result<Opened> {
    let store_settings = mimosa_storage::Settings {
        cluster: cluster_id(&settings.cluster),
        instance: settings.instance.clone(),
        new_incarnation: settings.new_incarnation(clock::now()),
        ..mimosa_storage::Settings::default()
    };
    let mut store = FileStore::open(&settings.data_folder, store_settings)?;
    let id = replica::replica_id(&store);
    if settings.founds() {
        let founders = founders(settings, &id);
        if replica::found(&mut store, founders)? {
            info!("{id} founds the cluster {}", settings.cluster);
        }
    }
    let durable = replica::load(&store)?;
    Ok(Opened {
        store: Box::new(store),
        id,
        durable,
    })
}

/// The first voters: this replica, and those that found the system together with it.
fn founders(settings: &Settings, own: &ReplicaId) -> Membership {
    let together = settings.founders.iter().map(|instance| ReplicaId {
        instance: instance.clone(),
        incarnation: FOUNDERS_LIFE,
    });
    let mut voters: BTreeSet<ReplicaId> = together.collect();
    voters.insert(own.clone());
    Membership::of_voters(voters)
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
