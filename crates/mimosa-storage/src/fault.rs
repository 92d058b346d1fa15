//! An in-memory disk with fault injection from a seeded generator: crashes, torn writes, flipped
//! bits, failed syncs, a full disk and a lost disk. For tests of this crate and of crates that use
//! it.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use mimosa_protocol::ByteSize;
use mimosa_protocol::Error;
use mimosa_protocol::Result;

use crate::disk::Disk;
use crate::file_store::FileStore;
use crate::store::Settings;

/// An in-memory disk that outlives the stores opened on it. Clones share the same files.
#[derive(Clone)]
pub struct FaultyDisk(Arc<Mutex<DiskState>>);

#[derive(Default)]
struct DiskState {
    random: Random,
    /// Directory entries as a running process sees them, by file name.
    names: BTreeMap<String, u64>,
    /// Directory entries that survive a crash.
    durable_names: BTreeMap<String, u64>,
    files: BTreeMap<u64, FileContent>,
    next_file_id: u64,
    /// The handle that may use the disk; `None` after a crash.
    owner: Option<u64>,
    next_owner: u64,
    syncs_until_failure: Option<u64>,
    capacity: Option<ByteSize>,
    syncs: u64,
    ignore_syncs: bool,
}

#[derive(Default)]
struct FileContent {
    bytes: Vec<u8>,
    durable: Vec<u8>,
    /// Whether a sync failed. The dirty pages are then dropped, as the kernel does, and later syncs
    /// succeed without writing them.
    pages_lost: bool,
}

impl FaultyDisk {
    /// Creates an empty disk without a size limit. The seed decides what each crash keeps.
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(DiskState {
            random: Random(seed),
            ..DiskState::default()
        })))
    }

    /// Opens a store, as a process does on start.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] while another store is open that was not stopped by a crash.
    pub fn open(&self, settings: Settings) -> Result<FileStore> {
        let owner = {
            let mut state = self.lock();
            if state.owner.is_some() {
                return Err(Error::Refused {
                    what: "opening the disk".to_owned(),
                    reason: "another process holds its lock".to_owned(),
                    help: None,
                });
            }
            state.next_owner += 1;
            state.owner = Some(state.next_owner);
            state.next_owner
        };
        FileStore::open_on(
            Box::new(Handle {
                disk: self.clone(),
                owner,
            }),
            settings,
        )
    }

    /// Simulates the end of the process: all written data stays, synced or not, and every operation
    /// of the open store fails from now on.
    pub fn kill(&self) {
        self.lock().owner = None;
    }

    /// Simulates a crash of the machine: unsynced data is lost in part or completely, and every
    /// operation of the open store fails from now on.
    pub fn crash(&self) {
        let state = &mut *self.lock();
        state.owner = None;
        state.syncs_until_failure = None;
        if state.random.below(2) == 0 {
            state.names = state.durable_names.clone();
        } else {
            state.durable_names = state.names.clone();
        }
        let linked: Vec<u64> = state.names.values().copied().collect();
        state.files.retain(|id, _| linked.contains(id));
        for content in state.files.values_mut() {
            content.crash(&mut state.random);
        }
    }

    /// Removes all files, as when the disk is replaced. Call [`Self::crash`] first if a store is
    /// open.
    pub fn wipe(&self) {
        let mut state = self.lock();
        state.names.clear();
        state.durable_names.clear();
        state.files.clear();
    }

    /// Fails one sync after the next `syncs` ones have succeeded.
    pub fn fail_sync_after(&self, syncs: u64) {
        self.lock().syncs_until_failure = Some(syncs);
    }

    /// Limits the total size of all files; a write beyond it is cut short and fails. `None` removes
    /// the limit.
    pub fn limit(&self, capacity: Option<ByteSize>) {
        self.lock().capacity = capacity;
    }

    /// Makes every sync succeed without effect, to verify that crash tests detect missing syncs.
    pub fn ignore_syncs(&self, ignore: bool) {
        self.lock().ignore_syncs = ignore;
    }

    /// Durably flips one bit of a file. `bit` is the bit offset from the start of the file.
    pub fn flip_bit(&self, name: &str, bit: usize) {
        self.edit(name, |bytes| bytes[bit / 8] ^= 1 << (bit % 8));
    }

    /// Durably changes the content of a file, if it exists.
    pub fn edit(&self, name: &str, change: impl Fn(&mut Vec<u8>)) {
        let mut state = self.lock();
        if let Ok(content) = state.content(name) {
            change(&mut content.bytes);
            change(&mut content.durable);
        }
    }

    /// Returns the names of all files in ascending order, with their sizes.
    pub fn files(&self) -> Vec<(String, ByteSize)> {
        let state = self.lock();
        let size = |id: &u64| {
            state
                .files
                .get(id)
                .map_or(0, |file| file.bytes.len() as u64)
        };
        state
            .names
            .iter()
            .map(|(name, id)| (name.clone(), ByteSize(size(id))))
            .collect()
    }

    /// Returns the number of successful syncs of files and of the directory.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl DiskState {
    fn content(&mut self, name: &str) -> io::Result<&mut FileContent> {
        let id = self.names.get(name).copied();
        id.and_then(|id| self.files.get_mut(&id))
            .ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let used: u64 = self
            .files
            .values()
            .map(|file| file.bytes.len() as u64)
            .sum();
        let available = self
            .capacity
            .map_or(u64::MAX, |capacity| capacity.0.saturating_sub(used));
        let written =
            usize::try_from(available).map_or(bytes.len(), |available| available.min(bytes.len()));
        if !self.names.contains_key(name) {
            self.next_file_id += 1;
            self.names.insert(name.to_owned(), self.next_file_id);
            self.files.insert(self.next_file_id, FileContent::default());
        }
        self.content(name)?
            .bytes
            .extend_from_slice(&bytes[..written]);
        if written < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    /// Counts a sync and returns whether it succeeds.
    fn count_sync(&mut self) -> io::Result<bool> {
        match &mut self.syncs_until_failure {
            Some(0) => {
                self.syncs_until_failure = None;
                return Ok(false);
            }
            Some(left) => *left -= 1,
            None => (),
        }
        self.syncs += 1;
        Ok(true)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let succeeds = self.count_sync()?;
        let ignore = self.ignore_syncs;
        let content = self.content(name)?;
        if !succeeds {
            content.pages_lost = true;
            return Err(io::Error::other("input/output error"));
        }
        if !content.pages_lost && !ignore {
            content.durable.clone_from(&content.bytes);
        }
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        if !self.count_sync()? {
            return Err(io::Error::other("input/output error"));
        }
        if !self.ignore_syncs {
            self.durable_names.clone_from(&self.names);
            let linked: Vec<u64> = self.names.values().copied().collect();
            self.files.retain(|id, _| linked.contains(id));
        }
        Ok(())
    }
}

impl FileContent {
    /// Keeps the synced content and a random part of the unsynced tail, which may be followed by
    /// zeros.
    fn crash(&mut self, random: &mut Random) {
        let synced = self.durable.len();
        if self.bytes.starts_with(&self.durable) && !self.pages_lost {
            let kept = synced + random.below(self.bytes.len() - synced + 1);
            let zeros = if random.below(2) == 0 {
                0
            } else {
                random.below(64)
            };
            self.bytes.truncate(kept);
            if kept > synced {
                self.bytes.resize(kept + zeros, 0);
            }
        } else {
            self.bytes.clone_from(&self.durable);
        }
        self.durable.clone_from(&self.bytes);
        self.pages_lost = false;
    }
}

/// Access of one opened store to the disk.
struct Handle {
    disk: FaultyDisk,
    owner: u64,
}

impl Handle {
    fn state(&self) -> io::Result<MutexGuard<'_, DiskState>> {
        let state = self.disk.lock();
        if state.owner == Some(self.owner) {
            Ok(state)
        } else {
            Err(io::Error::other("the process crashed"))
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        let mut state = self.disk.lock();
        if state.owner == Some(self.owner) {
            state.owner = None;
        }
    }
}

impl Disk for Handle {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state()?.names.keys().cloned().collect())
    }

    fn size(&self, name: &str) -> io::Result<u64> {
        Ok(self.state()?.content(name)?.bytes.len() as u64)
    }

    fn read(&self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let mut state = self.state()?;
        let start = usize::try_from(offset).map_err(io::Error::other)?;
        state
            .content(name)?
            .bytes
            .get(start..start + len)
            .map(<[u8]>::to_vec)
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.state()?.append(name, bytes)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let len = usize::try_from(len).map_err(io::Error::other)?;
        self.state()?.content(name)?.bytes.truncate(len);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.state()?.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state()?;
        let id = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), id);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.state()?.names.remove(name);
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.state()?.sync_directory()
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from("/memory").join(name)
    }
}

/// A SplitMix64 generator. The same seed yields the same sequence, so that runs are reproducible.
#[derive(Clone, Debug, Default)]
pub struct Random(pub u64);

impl Random {
    /// Returns the next 64 bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        bits ^ (bits >> 31)
    }

    /// Returns a number below `limit`. A limit of 0 is treated as 1.
    pub fn below(&mut self, limit: usize) -> usize {
        let limit = limit.max(1) as u64;
        usize::try_from(self.next_u64() % limit).expect("below a usize")
    }
}
