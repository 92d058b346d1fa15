//! A [`LogStore`] that keeps its data as files of one directory.
//!
//! | file | content |
//! |---|---|
//! | `identity` | the [`Identity`]; written last when a directory is initialised |
//! | `state` | the state record |
//! | `snapshot` | index, log generation and content of the snapshot |
//! | `log-<generation>-<first index>` | one segment of the log |

use std::io;
use std::path::Path;

use log::warn;

use mimosa_protocol::ByteSize;
use mimosa_protocol::Error;
use mimosa_protocol::Result;
use mimosa_protocol::data;

use crate::atomic_file;
use crate::disk::Disk;
use crate::log::Log;
use crate::log::file_error;
use crate::os_disk::OsDisk;
use crate::store::Identity;
use crate::store::LogStore;
use crate::store::Record;
use crate::store::RecordIndex;
use crate::store::Settings;
use crate::store::Snapshot;
use crate::store::Tail;

const IDENTITY: &str = "identity";
const STATE: &str = "state";
const SNAPSHOT: &str = "snapshot";

data! {
    /// Header of the snapshot file; the content of the snapshot follows it.
    #[derive(Copy, Default)]
    struct SnapshotHeader {
        index: u64,
        /// Generation of the log segments that continue the snapshot.
        generation: u64,
    }
}

const SNAPSHOT_HEADER_BYTES: usize = 16;

/// A [`LogStore`] that keeps its data as files of one directory.
pub struct FileStore {
    disk: Box<dyn Disk>,
    settings: Settings,
    identity: Identity,
    is_new: bool,
    state: Vec<u8>,
    snapshot: Option<SnapshotHeader>,
    log: Log,
    /// Why all further writes are refused.
    poison: Option<String>,
}

impl FileStore {
    /// Opens and locks a directory, which is created if it does not exist.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if another process has locked the directory or if it belongs to another
    /// instance or cluster, [`Error::Damaged`] if a file is corrupt or missing, [`Error::File`] if
    /// an operation on a file fails.
    pub fn open(directory: impl AsRef<Path>, settings: Settings) -> Result<Self> {
        OsDisk::open(directory).and_then(|disk| Self::open_on(Box::new(disk), settings))
    }

    /// Opens a store on a [`Disk`]; fails as [`Self::open`] does.
    pub fn open_on(mut disk: Box<dyn Disk>, settings: Settings) -> Result<Self> {
        let names = remove_temporary_files(disk.as_mut())?;
        let has = |name: &str| names.iter().any(|found| found == name);
        let is_new = !has(IDENTITY);
        if is_new {
            initialize(disk.as_mut(), &names, &settings)?;
        }
        let identity = read_identity(disk.as_ref(), &settings)?;
        if !is_new && !has(STATE) {
            let reason = "the file is missing";
            return Err(atomic_file::damaged(disk.as_ref(), STATE, 0, reason));
        }
        let state = atomic_file::read(disk.as_ref(), STATE)?;
        let snapshot = has(SNAPSHOT)
            .then(|| read_snapshot(disk.as_ref()).map(|(header, _)| header))
            .transpose()?;
        let header = snapshot.unwrap_or_default();
        let log = Log::open(disk.as_mut(), header.generation, RecordIndex(header.index))?;
        Ok(Self {
            disk,
            settings,
            identity,
            is_new,
            state,
            snapshot,
            log,
            poison: None,
        })
    }

    /// Runs a write operation. Any failure poisons the store, as the kernel may have dropped data
    /// that earlier operations wrote.
    fn write<T>(&mut self, operation: impl FnOnce(&mut Self) -> Result<T>) -> Result<T> {
        if let Some(reason) = &self.poison {
            return Err(Error::Refused {
                what: format!("a write to {}", self.disk.path("").display()),
                reason: reason.clone(),
                help: Some("check the disk, then restart this process".to_owned()),
            });
        }
        let result = operation(self);
        if let Err(e) = &result {
            let cause = std::error::Error::source(e).map_or_else(String::new, |e| format!(": {e}"));
            let reason = format!("an earlier write failed and may be lost ({e}{cause})");
            warn!("the store refuses all further writes: {reason}");
            self.poison = Some(reason);
        }
        result
    }

    fn write_log(
        &mut self,
        action: &'static str,
        operation: impl FnOnce(&mut Log, &mut dyn Disk) -> io::Result<()>,
    ) -> Result<()> {
        self.write(|store| {
            operation(&mut store.log, store.disk.as_mut())
                .map_err(|source| file_error(store.disk.as_ref(), action, "", source))
        })
    }

    fn snapshot_index(&self) -> RecordIndex {
        RecordIndex(self.snapshot.unwrap_or_default().index)
    }
}

impl LogStore for FileStore {
    fn identity(&self) -> &Identity {
        &self.identity
    }

    fn is_new(&self) -> bool {
        self.is_new
    }

    fn state(&self) -> &[u8] {
        &self.state
    }

    fn save_state(&mut self, bytes: &[u8]) -> Result<()> {
        self.write(|store| atomic_file::replace(store.disk.as_mut(), STATE, bytes))?;
        self.state = bytes.to_vec();
        Ok(())
    }

    fn first_index(&self) -> RecordIndex {
        self.log.first()
    }

    fn last_index(&self) -> RecordIndex {
        RecordIndex(self.log.next().0 - 1)
    }

    fn append(&mut self, records: &[Record]) -> Result<()> {
        let in_order = records
            .iter()
            .zip(self.log.next().0..)
            .all(|(record, index)| record.index.0 == index);
        if !in_order {
            return Err(refused(
                "an append",
                "the records do not follow the last one",
            ));
        }
        if records.is_empty() {
            return Ok(());
        }
        let size = self.settings.segment_size.0;
        self.write_log("append to", |log, disk| log.append(disk, records, size))
    }

    fn sync(&mut self) -> Result<()> {
        self.write_log("sync", Log::sync)
    }

    fn read(&self, from: RecordIndex, limit: ByteSize) -> Result<Vec<Record>> {
        self.log.read(self.disk.as_ref(), from, limit.0)
    }

    fn truncate_suffix(&mut self, from: RecordIndex) -> Result<()> {
        if from <= self.snapshot_index() {
            return Err(refused("a truncation", "the snapshot covers the records"));
        }
        self.write_log("truncate", |log, disk| log.truncate_suffix(disk, from))
    }

    fn start_segment(&mut self) -> Result<()> {
        self.write_log("seal", |log, disk| log.seal(disk))
    }

    fn drop_prefix(&mut self, below: RecordIndex) -> Result<()> {
        let below = below.min(self.snapshot_index().next());
        self.write_log("drop segments of", |log, disk| log.drop_prefix(disk, below))
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, tail: Tail) -> Result<()> {
        if snapshot.index < self.snapshot_index() {
            return Err(refused("a snapshot", "the stored one has a higher index"));
        }
        let discard = tail == Tail::Discard || self.last_index() < snapshot.index;
        let header = SnapshotHeader {
            index: snapshot.index.0,
            generation: self.log.generation() + u64::from(discard),
        };
        let content = encode_snapshot(header, &snapshot.bytes);
        self.sync()?;
        self.write(|store| atomic_file::replace(store.disk.as_mut(), SNAPSHOT, &content))?;
        self.snapshot = Some(header);
        if discard {
            self.write_log("restart", |log, disk| {
                log.restart(disk, header.generation, snapshot.index)
            })?;
        }
        Ok(())
    }

    fn snapshot(&self) -> Result<Option<Snapshot>> {
        self.snapshot
            .map(|_| {
                read_snapshot(self.disk.as_ref()).map(|(header, bytes)| Snapshot {
                    index: RecordIndex(header.index),
                    bytes,
                })
            })
            .transpose()
    }

    fn poisoned(&self) -> Option<&str> {
        self.poison.as_deref()
    }

    fn disk_size(&self) -> Result<ByteSize> {
        let fail = |source| file_error(self.disk.as_ref(), "list", "", source);
        self.disk
            .list()
            .map_err(fail)?
            .iter()
            .map(|name| self.disk.size(name).map(ByteSize).map_err(fail))
            .sum()
    }
}

/// Writes the files of a new directory. The identity is written last, so that a directory counts as
/// new until its initialisation is complete.
fn initialize(disk: &mut dyn Disk, names: &[String], settings: &Settings) -> Result<()> {
    if let Some(name) = names.iter().find(|name| *name != STATE) {
        let reason = "the identity file of its folder is missing";
        return Err(atomic_file::damaged(disk, name, 0, reason));
    }
    let identity = Identity {
        cluster: settings.cluster,
        instance: settings.instance.clone(),
        incarnation: settings.new_incarnation,
    };
    let bytes = postcard::to_stdvec(&identity).expect("an identity can be encoded");
    atomic_file::replace(disk, STATE, &[])?;
    atomic_file::replace(disk, IDENTITY, &bytes)
}

fn read_identity(disk: &dyn Disk, settings: &Settings) -> Result<Identity> {
    let bytes = atomic_file::read(disk, IDENTITY)?;
    let identity: Identity = postcard::from_bytes(&bytes)
        .map_err(|e| atomic_file::damaged(disk, IDENTITY, 0, e.to_string()))?;
    if identity.cluster == settings.cluster && identity.instance == settings.instance {
        return Ok(identity);
    }
    Err(Error::Refused {
        what: format!("opening {}", disk.path("").display()),
        reason: format!(
            "it belongs to {} of cluster {}",
            identity.instance, identity.cluster
        ),
        help: Some("give each instance of each cluster its own data folder".to_owned()),
    })
}

fn encode_snapshot(header: SnapshotHeader, content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(SNAPSHOT_HEADER_BYTES + content.len());
    bytes.extend_from_slice(&header.index.to_le_bytes());
    bytes.extend_from_slice(&header.generation.to_le_bytes());
    bytes.extend_from_slice(content);
    bytes
}

fn read_snapshot(disk: &dyn Disk) -> Result<(SnapshotHeader, Vec<u8>)> {
    let mut bytes = atomic_file::read(disk, SNAPSHOT)?;
    if bytes.len() < SNAPSHOT_HEADER_BYTES {
        return Err(atomic_file::damaged(
            disk,
            SNAPSHOT,
            0,
            "the file is too short for its header",
        ));
    }
    let content = bytes.split_off(SNAPSHOT_HEADER_BYTES);
    let field = |at: usize| bytes[at..at + 8].try_into().map_or(0, u64::from_le_bytes);
    let header = SnapshotHeader {
        index: field(0),
        generation: field(8),
    };
    Ok((header, content))
}

/// Removes files whose replacement was interrupted and returns the names of the others.
fn remove_temporary_files(disk: &mut dyn Disk) -> Result<Vec<String>> {
    let names = disk
        .list()
        .map_err(|source| file_error(disk, "list", "", source))?;
    let (temporary, regular): (Vec<String>, Vec<String>) = names
        .into_iter()
        .partition(|name| name.ends_with(atomic_file::TEMPORARY_SUFFIX));
    for name in temporary {
        disk.remove(&name)
            .map_err(|source| file_error(disk, "remove", &name, source))?;
    }
    Ok(regular)
}

fn refused(what: &str, reason: &str) -> Error {
    Error::Refused {
        what: what.to_owned(),
        reason: reason.to_owned(),
        help: None,
    }
}
