//! The storage interface of a replicated log.

use mimosa_protocol::ByteSize;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Result;
use mimosa_protocol::data;
use mimosa_protocol::quantity;

quantity! {
    /// Position of a record in the log, starting at 1.
    RecordIndex(u64);
    /// Identifies a cluster. A directory that belongs to another cluster is refused.
    ClusterId(u64);
}

data! {
    /// A record of the log. Its content is opaque to the store.
    pub struct Record {
        /// Position in the log, one above that of the preceding record.
        pub index: RecordIndex,
        /// Content as the user of the store encoded it; less than 4 GiB.
        pub bytes: Vec<u8>,
    }

    /// A snapshot that replaces all records up to its index.
    pub struct Snapshot {
        /// The last record that the snapshot covers.
        pub index: RecordIndex,
        /// Content as the user of the store encoded it.
        pub bytes: Vec<u8>,
    }

    /// The owner of a directory. It is written once, when the directory is first opened.
    pub struct Identity {
        /// Cluster of the instance. Opening the directory for another one fails.
        pub cluster: ClusterId,
        /// Instance that the directory belongs to. Opening it for another one fails.
        pub instance: InstanceId,
        /// Distinguishes successive directories of an instance; a directory that was emptied gets a
        /// new incarnation.
        pub incarnation: Incarnation,
    }

    /// Whether the records after a new snapshot are kept.
    #[derive(Copy)]
    pub enum Tail {
        /// The records continue the snapshot and are kept.
        Keep,
        /// The records conflict with the snapshot or end before it. All are discarded, and the log
        /// continues empty after the snapshot.
        Discard,
    }

    /// The owner that a store must have, and the size of its files.
    pub struct Settings {
        /// The cluster that the directory must belong to.
        pub cluster: ClusterId,
        /// The instance that the directory must belong to.
        pub instance: InstanceId,
        /// Incarnation of a newly initialised directory. It must be higher than all earlier ones of
        /// the instance; the current time in microseconds satisfies this.
        pub new_incarnation: Incarnation,
        /// File size in bytes at which a new segment of the log is started.
        pub segment_size: ByteSize,
    }
}

/// Default file size at which a new segment of the log is started: 4 MiB.
pub const SEGMENT_SIZE: ByteSize = ByteSize(4 * 1024 * 1024);

impl Default for Settings {
    fn default() -> Self {
        Self {
            cluster: ClusterId(1),
            instance: "control-1".parse().expect("the name is valid"),
            new_incarnation: Incarnation(1),
            segment_size: SEGMENT_SIZE,
        }
    }
}

/// A log of opaque records with a state record and a snapshot.
///
/// After a failed write or sync, every method that writes fails with
/// [`mimosa_protocol::Error::Refused`].
pub trait LogStore: Send {
    /// Returns the owner of the directory, as recorded when it was initialised.
    fn identity(&self) -> &Identity;

    /// Whether the directory was initialised when it was opened.
    fn is_new(&self) -> bool;

    /// Returns the state record as last saved; empty in a new directory.
    fn state(&self) -> &[u8];

    /// Replaces the state record. It is durable when the method returns `Ok`.
    fn save_state(&mut self, bytes: &[u8]) -> Result<()>;

    /// Index of the first stored record; [`Self::last_index`] plus 1 if there is none.
    fn first_index(&self) -> RecordIndex;

    /// Index of the last record, synced or not; the index of the snapshot if no record follows it.
    fn last_index(&self) -> RecordIndex;

    /// Appends records, which must follow the last one without a gap. They are durable only after
    /// [`Self::sync`].
    fn append(&mut self, records: &[Record]) -> Result<()>;

    /// Makes all appended records durable, including the directory entries of their files.
    fn sync(&mut self) -> Result<()>;

    /// Reads records from an index on, up to a total size but at least one if there is one. Starts
    /// at [`Self::first_index`] if `from` is below it.
    fn read(&self, from: RecordIndex, limit: ByteSize) -> Result<Vec<Record>>;

    /// Makes the next record start a new file. After a failed sync the kernel may have dropped data
    /// written to the last file, which later syncs of that file do not report.
    fn start_segment(&mut self) -> Result<()>;

    /// Removes the records from an index on. Durable when the method returns `Ok`.
    fn truncate_suffix(&mut self, from: RecordIndex) -> Result<()>;

    /// Frees the disk space of records below an index, as far as the snapshot covers them. Only
    /// complete segments are removed, so that up to one segment of such records may remain.
    fn drop_prefix(&mut self, below: RecordIndex) -> Result<()>;

    /// Replaces the snapshot and, atomically with it, keeps or discards the records after it.
    /// Durable when the method returns `Ok`.
    fn save_snapshot(&mut self, snapshot: &Snapshot, tail: Tail) -> Result<()>;

    /// Reads and validates the snapshot, if there is one.
    fn snapshot(&self) -> Result<Option<Snapshot>>;

    /// Why writes are refused; `None` if they are accepted.
    fn poisoned(&self) -> Option<&str>;

    /// Total size of all files in bytes.
    fn disk_size(&self) -> Result<ByteSize>;
}
