//! Write-ahead log and snapshot files with checksums, synced before they are acknowledged.
//!
//! [`LogStore`] is the interface: a log of opaque records, a state record, a snapshot, and the
//! identity of the directory. [`FileStore`] implements it with files of one directory. It accesses
//! them through the trait [`disk::Disk`], so that tests can run the same code on
//! [`fault::FaultyDisk`] with crashes, torn writes, flipped bits, failed syncs, a full disk and a
//! lost disk.
//!
//! Records are durable once [`LogStore::sync`] has returned `Ok`, the state record and the snapshot
//! once the method that saves them has. After a failed write or sync the store refuses all further
//! writes: it is unknown which data the kernel dropped, so the process has to open the directory
//! again.
//!
//! ```
//! use mimosa_storage::FileStore;
//! use mimosa_storage::LogStore;
//! use mimosa_storage::Record;
//! use mimosa_storage::RecordIndex;
//! use mimosa_storage::Settings;
//!
//! # fn main() -> mimosa_protocol::Result<()> {
//! # let directory = tempfile::tempdir().unwrap();
//! let mut store = FileStore::open(directory.path(), Settings::default())?;
//! store.append(&[Record { index: RecordIndex(1), bytes: b"first".to_vec() }])?;
//! store.sync()?;
//! assert_eq!(store.last_index(), RecordIndex(1));
//! # Ok(())
//! # }
//! ```

mod atomic_file;
pub mod disk;
pub mod fault;
mod file_store;
mod frame;
mod log;
mod os_disk;
pub mod replica;
mod segment;
mod store;

pub use crate::file_store::FileStore;
pub use crate::os_disk::OsDisk;
pub use crate::store::ClusterId;
pub use crate::store::Identity;
pub use crate::store::LogStore;
pub use crate::store::Record;
pub use crate::store::RecordIndex;
pub use crate::store::Settings;
pub use crate::store::Snapshot;
pub use crate::store::Tail;
