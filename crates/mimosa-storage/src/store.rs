//! The border of the crate: what a replicated log asks of its disk.

use mimosa_protocol::ByteSize;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Result;
use mimosa_protocol::data;
use mimosa_protocol::quantity;

quantity! {
    /// Place of a record in the log; the first one is 1.
    RecordIndex(u64);
    /// Names a cluster, so that a folder of another one is refused.
    ClusterId(u64);
}

data! {
    /// One record of the log. The store does not look into it.
    pub struct Record {
        /// Its place.
        pub index: RecordIndex,
        /// Its content.
        pub bytes: Vec<u8>,
    }

    /// A snapshot that stands for all records up to its index.
    pub struct Snapshot {
        /// The last record that it covers.
        pub index: RecordIndex,
        /// Its content.
        pub bytes: Vec<u8>,
    }

    /// Whose folder this is. It is written once, when the folder is first opened.
    pub struct Identity {
        /// The cluster.
        pub cluster: ClusterId,
        /// The instance.
        pub instance: InstanceId,
        /// The life of the folder: an emptied folder takes another one.
        pub incarnation: Incarnation,
    }

    /// What becomes of the records after a new snapshot.
    #[derive(Copy)]
    pub enum Tail {
        /// They continue the snapshot.
        Keep,
        /// They contradict the snapshot, or do not reach it: the log goes on empty after it.
        Discard,
    }

    /// How to open a store.
    pub struct Settings {
        /// The cluster that the folder must belong to.
        pub cluster: ClusterId,
        /// The instance that the folder must belong to.
        pub instance: InstanceId,
        /// The incarnation that a new folder takes. It must be higher than any that the instance
        /// had before: the time of day in microseconds will do.
        pub new_incarnation: Incarnation,
        /// Size at which a segment of the log is closed and the next one begun.
        pub segment_size: ByteSize,
    }
}

/// Size at which a segment of the log is closed.
pub const SEGMENT_SIZE: ByteSize = ByteSize(4 * 1024 * 1024);

impl Default for Settings {
    fn default() -> Self {
        Self {
            cluster: ClusterId(1),
            instance: "control-1".parse().expect("a well-formed name"),
            new_incarnation: Incarnation(1),
            segment_size: SEGMENT_SIZE,
        }
    }
}

/// A log of opaque records with a state record and a snapshot, on one disk.
///
/// Every method that writes fails with [`mimosa_protocol::Error::Refused`] once a write or sync
/// failed.
pub trait LogStore: Send {
    /// Whose folder this is.
    fn identity(&self) -> &Identity;

    /// Whether the folder was empty when it was opened.
    fn is_new(&self) -> bool;

    /// The state record as last saved; empty on a new folder.
    fn state(&self) -> &[u8];

    /// Replaces the state record. It is synced when this returns.
    fn save_state(&mut self, bytes: &[u8]) -> Result<()>;

    /// The first record that is still kept; one past [`Self::last_index`] if there is none.
    fn first_index(&self) -> RecordIndex;

    /// The last record, synced or not; the snapshot's index if the log is empty after it.
    fn last_index(&self) -> RecordIndex;

    /// Appends records that follow the last one without a gap. They count only after
    /// [`Self::sync`].
    fn append(&mut self, records: &[Record]) -> Result<()>;

    /// Makes all appended records durable, with the folder entries of their files.
    fn sync(&mut self) -> Result<()>;

    /// Reads records from an index on, at least one if there is one, up to a total size.
    fn read(&self, from: RecordIndex, limit: ByteSize) -> Result<Vec<Record>>;

    /// Lets the next record begin a new file. After a failed sync the kernel may have dropped what
    /// was written to the last one, and later syncs of that file do not tell.
    fn start_segment(&mut self) -> Result<()>;

    /// Removes the records from an index on. Synced when it returns.
    fn truncate_suffix(&mut self, from: RecordIndex) -> Result<()>;

    /// Frees the disk space of records below an index that the snapshot covers. Whole segments go;
    /// up to one segment's worth may stay.
    fn drop_prefix(&mut self, below: RecordIndex) -> Result<()>;

    /// Replaces the snapshot, in one step with what becomes of the records after it. Synced when
    /// it returns.
    fn save_snapshot(&mut self, snapshot: &Snapshot, tail: Tail) -> Result<()>;

    /// The snapshot, if there is one.
    fn snapshot(&self) -> Result<Option<Snapshot>>;

    /// Why writes are refused, if they are.
    fn poisoned(&self) -> Option<&str>;

    /// Bytes that the files take.
    fn disk_size(&self) -> Result<ByteSize>;
}
