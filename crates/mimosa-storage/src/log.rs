//! The log as a sequence of segment files.

use std::io;

use mimosa_protocol::Error;
use mimosa_protocol::Result;

use crate::atomic_file;
use crate::disk::Disk;
use crate::segment;
use crate::segment::Scan;
use crate::segment::Segment;
use crate::store::Record;
use crate::store::RecordIndex;

/// The segments of one generation, without gaps between them.
pub(crate) struct Log {
    segments: Vec<Segment>,
    generation: u64,
    /// Index of the next record.
    next: RecordIndex,
    /// Whether the directory entry of the last segment is not durable yet.
    directory_dirty: bool,
    /// Whether the last segment has content that is not durable yet.
    file_dirty: bool,
    /// Whether the next record starts a new segment.
    is_sealed: bool,
}

impl Log {
    /// Scans the segments that continue a snapshot, truncates a torn tail and removes segments of
    /// discarded generations.
    pub(crate) fn open(
        disk: &mut dyn Disk,
        generation: u64,
        snapshot: RecordIndex,
    ) -> Result<Self> {
        let names = segment_names(disk)?;
        let (current, stale): (Vec<String>, Vec<String>) = names.into_iter().partition(|name| {
            segment::parse_file_name(name).is_none_or(|parsed| parsed.0 >= generation)
        });
        for name in stale {
            remove(disk, &name)?;
        }
        let mut log = Self {
            segments: Vec::new(),
            generation,
            next: snapshot.next(),
            directory_dirty: false,
            file_dirty: false,
            is_sealed: false,
        };
        for (position, name) in current.iter().enumerate() {
            log.open_segment(disk, name, position + 1 == current.len())?;
        }
        log.check_continues_snapshot(disk, snapshot)?;
        log.sync_recovered(disk)?;
        Ok(log)
    }

    /// Makes the recovered records durable. A killed process may have left records that were
    /// written but not synced, and they are part of the log from now on.
    fn sync_recovered(&mut self, disk: &mut dyn Disk) -> Result<()> {
        self.file_dirty = true;
        self.directory_dirty = true;
        self.sync(disk)
            .map_err(|source| file_error(disk, "sync", "", source))
    }

    fn open_segment(&mut self, disk: &mut dyn Disk, name: &str, is_last: bool) -> Result<()> {
        let (mut segment, torn) = match Segment::scan(disk, name, is_last)? {
            Scan::Uninitialized => return remove(disk, name),
            Scan::Segment { segment, torn } => (segment, torn),
        };
        let follows = self
            .segments
            .last()
            .is_none_or(|last| last.next() == segment.first);
        if !follows || segment.generation != self.generation {
            return Err(atomic_file::damaged(
                disk,
                name,
                0,
                "the preceding segment is missing",
            ));
        }
        if torn {
            let from = segment.next();
            segment
                .truncate(disk, from)
                .map_err(|source| file_error(disk, "truncate", name, source))?;
        }
        self.next = segment.next();
        self.segments.push(segment);
        Ok(())
    }

    fn check_continues_snapshot(&self, disk: &dyn Disk, snapshot: RecordIndex) -> Result<()> {
        let Some(first) = self.segments.first() else {
            return Ok(());
        };
        if first.first > snapshot.next() || self.next < snapshot.next() {
            let reason = format!("the log does not continue the snapshot at index {snapshot}");
            return Err(atomic_file::damaged(disk, &first.name, 0, reason));
        }
        Ok(())
    }

    /// Index of the first record; the index of the next one if the log is empty.
    pub(crate) fn first(&self) -> RecordIndex {
        self.segments
            .first()
            .map_or(self.next, |segment| segment.first)
    }

    /// Index of the next record; one above the snapshot if no record follows it.
    pub(crate) fn next(&self) -> RecordIndex {
        self.next
    }

    pub(crate) const fn generation(&self) -> u64 {
        self.generation
    }

    /// Appends records. Starts a new segment first if the last one has reached `segment_size`
    /// bytes.
    pub(crate) fn append(
        &mut self,
        disk: &mut dyn Disk,
        records: &[Record],
        segment_size: u64,
    ) -> io::Result<()> {
        let is_full = self
            .segments
            .last()
            .is_none_or(|last| last.len() >= segment_size);
        if is_full || self.is_sealed {
            self.sync(disk)?;
            self.segments
                .push(Segment::create(disk, self.generation, self.next)?);
            self.is_sealed = false;
            self.directory_dirty = true;
        }
        let last = self.segments.last_mut().expect("pushed above if missing");
        last.append(disk, records)?;
        self.next = last.next();
        self.file_dirty = true;
        Ok(())
    }

    /// Makes the next record start a new segment.
    pub(crate) fn seal(&mut self, disk: &mut dyn Disk) -> io::Result<()> {
        // An empty last segment is removed, as the new segment would have the same name.
        while let Some(last) = self.segments.pop_if(|last| last.next() == last.first) {
            disk.remove(&last.name)?;
            disk.sync_directory()?;
        }
        self.is_sealed = true;
        Ok(())
    }

    /// Makes the content of the last segment durable, then its directory entry.
    pub(crate) fn sync(&mut self, disk: &mut dyn Disk) -> io::Result<()> {
        if let Some(last) = self.segments.last().filter(|_| self.file_dirty) {
            disk.sync(&last.name)?;
            self.file_dirty = false;
        }
        if self.directory_dirty {
            disk.sync_directory()?;
            self.directory_dirty = false;
        }
        Ok(())
    }

    /// Reads at least one record, if there is one, and no further ones beyond `limit` bytes.
    pub(crate) fn read(
        &self,
        disk: &dyn Disk,
        from: RecordIndex,
        limit: u64,
    ) -> Result<Vec<Record>> {
        let from = from.max(self.first());
        let start = self
            .segments
            .partition_point(|segment| segment.next() <= from);
        let mut records = Vec::new();
        let mut bytes_read = 0;
        for segment in &self.segments[start..] {
            if bytes_read >= limit && !records.is_empty() {
                break;
            }
            let at = from.max(segment.first);
            if at >= segment.next() {
                continue;
            }
            let mut more = segment.read(disk, at, limit - bytes_read)?;
            bytes_read += more
                .iter()
                .map(|record| record.bytes.len() as u64)
                .sum::<u64>();
            records.append(&mut more);
            let read_to_end = records
                .last()
                .is_some_and(|last| last.index.next() == segment.next());
            if !read_to_end {
                break;
            }
        }
        Ok(records)
    }

    /// Removes all records from an index on. The newest segments are removed first, each one
    /// durably, so that a crash leaves no gap.
    pub(crate) fn truncate_suffix(
        &mut self,
        disk: &mut dyn Disk,
        from: RecordIndex,
    ) -> io::Result<()> {
        if from >= self.next {
            return Ok(());
        }
        while let Some(last) = self.segments.pop_if(|last| last.first >= from) {
            disk.remove(&last.name)?;
            disk.sync_directory()?;
        }
        if let Some(last) = self.segments.last_mut().filter(|last| last.next() > from) {
            last.truncate(disk, from)?;
        }
        self.file_dirty = false;
        self.directory_dirty = false;
        self.next = from;
        Ok(())
    }

    /// Removes segments whose records are all below an index, except the last segment. The oldest
    /// are removed first, each one durably, so that a crash leaves no gap.
    pub(crate) fn drop_prefix(
        &mut self,
        disk: &mut dyn Disk,
        below: RecordIndex,
    ) -> io::Result<()> {
        let count = self
            .segments
            .iter()
            .take_while(|segment| segment.next() <= below)
            .count()
            .min(self.segments.len().saturating_sub(1));
        for segment in self.segments.drain(..count) {
            disk.remove(&segment.name)?;
            disk.sync_directory()?;
        }
        Ok(())
    }

    /// Discards all segments and continues after a snapshot with an empty log of a new generation.
    /// The snapshot, which records the generation, must be durable before.
    pub(crate) fn restart(
        &mut self,
        disk: &mut dyn Disk,
        generation: u64,
        snapshot: RecordIndex,
    ) -> io::Result<()> {
        while let Some(last) = self.segments.pop() {
            disk.remove(&last.name)?;
        }
        disk.sync_directory()?;
        self.generation = generation;
        self.next = snapshot.next();
        self.file_dirty = false;
        self.directory_dirty = false;
        Ok(())
    }
}

fn segment_names(disk: &dyn Disk) -> Result<Vec<String>> {
    let names = disk
        .list()
        .map_err(|source| file_error(disk, "list", "", source))?;
    Ok(names
        .into_iter()
        .filter(|name| name.starts_with("log-"))
        .collect())
}

fn remove(disk: &mut dyn Disk, name: &str) -> Result<()> {
    disk.remove(name)
        .and_then(|()| disk.sync_directory())
        .map_err(|source| file_error(disk, "remove", name, source))
}

/// Creates the error of a failed file operation. An empty `name` refers to the
/// directory.
pub(crate) fn file_error(
    disk: &dyn Disk,
    action: &'static str,
    name: &str,
    source: io::Error,
) -> Error {
    Error::File {
        action,
        path: disk.path(name),
        source,
    }
}
