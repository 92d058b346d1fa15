//! The sequence of segments.

use std::io;

use mimosa_protocol::Error;
use mimosa_protocol::Result;

use crate::disk::Disk;
use crate::segment;
use crate::segment::Scan;
use crate::segment::Segment;
use crate::store::Record;
use crate::store::RecordIndex;
use crate::whole;

/// All segments of one generation, without gaps.
pub(crate) struct Log {
    segments: Vec<Segment>,
    generation: u64,
    /// Index of the next record.
    next: RecordIndex,
    /// Whether the last segment's name is not durable yet.
    folder_dirty: bool,
    /// Whether the last segment holds bytes that are not durable yet.
    file_dirty: bool,
    /// Whether the next record begins a new segment.
    is_sealed: bool,
}

impl Log {
    /// Scans the segments that continue a snapshot, cuts a torn tail and removes what a discarded
    /// generation left.
    pub(crate) fn open(
        disk: &mut dyn Disk,
        generation: u64,
        snapshot: RecordIndex,
    ) -> Result<Self> {
        let names = segment_names(disk)?;
        let (kept, stale): (Vec<String>, Vec<String>) = names
            .into_iter()
            .partition(|name| segment::place(name).is_none_or(|place| place.0 >= generation));
        for name in stale {
            remove(disk, &name)?;
        }
        let mut log = Self {
            segments: Vec::new(),
            generation,
            next: snapshot.next(),
            folder_dirty: false,
            file_dirty: false,
            is_sealed: false,
        };
        for (at, name) in kept.iter().enumerate() {
            log.take_segment(disk, name, at + 1 == kept.len())?;
        }
        log.check_reach(disk, snapshot)?;
        log.sync_found(disk)?;
        Ok(log)
    }

    /// Makes what was found durable: a process that was killed may have left records that were
    /// written and never synced, and from now on they count.
    fn sync_found(&mut self, disk: &mut dyn Disk) -> Result<()> {
        self.file_dirty = true;
        self.folder_dirty = true;
        self.sync(disk)
            .map_err(|source| file_error(disk, "sync", "", source))
    }

    fn take_segment(&mut self, disk: &mut dyn Disk, name: &str, is_last: bool) -> Result<()> {
        let (mut segment, torn) = match Segment::scan(disk, name, is_last)? {
            Scan::Unborn => return remove(disk, name),
            Scan::Segment { segment, torn } => (segment, torn),
        };
        let follows = self
            .segments
            .last()
            .is_none_or(|last| last.next() == segment.first);
        if !follows || segment.generation != self.generation {
            return Err(whole::damaged(
                disk,
                name,
                0,
                "the segment before it is missing",
            ));
        }
        if torn {
            let from = segment.next();
            segment
                .truncate(disk, from)
                .map_err(|source| file_error(disk, "cut", name, source))?;
        }
        self.next = segment.next();
        self.segments.push(segment);
        Ok(())
    }

    fn check_reach(&self, disk: &dyn Disk, snapshot: RecordIndex) -> Result<()> {
        let Some(first) = self.segments.first() else {
            return Ok(());
        };
        if first.first > snapshot.next() || self.next < snapshot.next() {
            let reason = format!("the log does not meet the snapshot at {snapshot}");
            return Err(whole::damaged(disk, &first.name, 0, reason));
        }
        Ok(())
    }

    pub(crate) fn first(&self) -> RecordIndex {
        self.segments
            .first()
            .map_or(self.next, |segment| segment.first)
    }

    pub(crate) fn next(&self) -> RecordIndex {
        self.next
    }

    pub(crate) const fn generation(&self) -> u64 {
        self.generation
    }

    /// Appends records; starts a new segment when the last one is full.
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
            self.folder_dirty = true;
        }
        let last = self.segments.last_mut().expect("pushed above if missing");
        last.append(disk, records)?;
        self.next = last.next();
        self.file_dirty = true;
        Ok(())
    }

    /// Lets the next record begin a new segment.
    pub(crate) fn seal(&mut self, disk: &mut dyn Disk) -> io::Result<()> {
        // The new segment would have the name of one without records.
        while let Some(last) = self.segments.pop_if(|last| last.next() == last.first) {
            disk.remove(&last.name)?;
            disk.sync_folder()?;
        }
        self.is_sealed = true;
        Ok(())
    }

    /// Makes the last segment durable, then its name.
    pub(crate) fn sync(&mut self, disk: &mut dyn Disk) -> io::Result<()> {
        if let Some(last) = self.segments.last().filter(|_| self.file_dirty) {
            disk.sync(&last.name)?;
            self.file_dirty = false;
        }
        if self.folder_dirty {
            disk.sync_folder()?;
            self.folder_dirty = false;
        }
        Ok(())
    }

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
        let mut taken = 0;
        for segment in &self.segments[start..] {
            if taken >= limit && !records.is_empty() {
                break;
            }
            let at = from.max(segment.first);
            if at >= segment.next() {
                continue;
            }
            let mut more = segment.read(disk, at, limit - taken)?;
            taken += more
                .iter()
                .map(|record| record.bytes.len() as u64)
                .sum::<u64>();
            records.append(&mut more);
            let whole_segment = records
                .last()
                .is_some_and(|last| last.index.next() == segment.next());
            if !whole_segment {
                break;
            }
        }
        Ok(records)
    }

    /// Removes the newest segments first, so that a crash leaves no gap.
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
            disk.sync_folder()?;
        }
        if let Some(last) = self.segments.last_mut().filter(|last| last.next() > from) {
            last.truncate(disk, from)?;
        }
        self.file_dirty = false;
        self.folder_dirty = false;
        self.next = from;
        Ok(())
    }

    /// Removes the oldest segments first, each one durably, so that a crash leaves no gap.
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
            disk.sync_folder()?;
        }
        Ok(())
    }

    /// Goes on empty after a snapshot, in the next generation. The snapshot that names the
    /// generation is durable already.
    pub(crate) fn restart(
        &mut self,
        disk: &mut dyn Disk,
        generation: u64,
        snapshot: RecordIndex,
    ) -> io::Result<()> {
        while let Some(last) = self.segments.pop() {
            disk.remove(&last.name)?;
        }
        disk.sync_folder()?;
        self.generation = generation;
        self.next = snapshot.next();
        self.file_dirty = false;
        self.folder_dirty = false;
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
        .and_then(|()| disk.sync_folder())
        .map_err(|source| file_error(disk, "remove", name, source))
}

/// The error of a file operation.
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
