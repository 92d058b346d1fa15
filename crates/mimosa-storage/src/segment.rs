//! A segment, which is one file of the log.
//!
//! ```text
//! magic [u8; 4] | format version u16 | generation u64 | first index u64 | checksum u32 | frames
//! ```

use mimosa_protocol::Error;
use mimosa_protocol::Result;

use crate::atomic_file;
use crate::disk::Disk;
use crate::frame;
use crate::frame::Frame;
use crate::store::Record;
use crate::store::RecordIndex;

const MAGIC: &[u8; 4] = b"MSWL";
const FORMAT_VERSION: u16 = 1;
const HEADER_BYTES: usize = 26;
const PREFIX: &str = "log-";

/// A segment with the positions of its records.
pub(crate) struct Segment {
    pub(crate) name: String,
    pub(crate) generation: u64,
    pub(crate) first: RecordIndex,
    /// Offset of each frame, followed by the size of the file.
    offsets: Vec<u64>,
}

impl Segment {
    /// Index of the next record.
    pub(crate) fn next(&self) -> RecordIndex {
        RecordIndex(self.first.0 + self.offsets.len() as u64 - 1)
    }

    /// Size of the file in bytes.
    pub(crate) fn len(&self) -> u64 {
        *self
            .offsets
            .last()
            .expect("the last element is the file size")
    }

    /// Creates the file with its header, without syncing it.
    pub(crate) fn create(
        disk: &mut dyn Disk,
        generation: u64,
        first: RecordIndex,
    ) -> std::io::Result<Self> {
        let name = file_name(generation, first);
        disk.append(&name, &encode_header(generation, first))?;
        Ok(Self {
            name,
            generation,
            first,
            offsets: vec![HEADER_BYTES as u64],
        })
    }

    /// Appends records in one write, without syncing them.
    pub(crate) fn append(
        &mut self,
        disk: &mut dyn Disk,
        records: &[Record],
    ) -> std::io::Result<()> {
        let mut buf = Vec::new();
        let start = self.len();
        let mut ends = Vec::with_capacity(records.len());
        for record in records {
            frame::encode(record.index, &record.bytes, &mut buf);
            ends.push(start + buf.len() as u64);
        }
        disk.append(&self.name, &buf)?;
        self.offsets.append(&mut ends);
        Ok(())
    }

    /// Removes the records from an index on and syncs the file.
    pub(crate) fn truncate(
        &mut self,
        disk: &mut dyn Disk,
        from: RecordIndex,
    ) -> std::io::Result<()> {
        let keep = usize::try_from(from.0 - self.first.0).expect("a segment fits in memory");
        self.offsets.truncate(keep + 1);
        disk.truncate(&self.name, self.len())?;
        disk.sync(&self.name)
    }

    /// Reads records from an index on: at least one, and no further ones beyond `limit` encoded
    /// bytes.
    pub(crate) fn read(
        &self,
        disk: &dyn Disk,
        from: RecordIndex,
        limit: u64,
    ) -> Result<Vec<Record>> {
        let at = usize::try_from(from.0 - self.first.0).expect("a segment fits in memory");
        let start = self.offsets[at];
        let count = self.offsets[at + 1..]
            .iter()
            .take_while(|end| **end - start <= limit)
            .count()
            .max(1);
        let end = self.offsets[(at + count).min(self.offsets.len() - 1)];
        let len = usize::try_from(end - start).expect("a segment fits in memory");
        let bytes = disk
            .read(&self.name, start, len)
            .map_err(|source| Error::File {
                action: "read",
                path: disk.path(&self.name),
                source,
            })?;
        self.decode_records(disk, &bytes, start)
    }

    fn decode_records(&self, disk: &dyn Disk, bytes: &[u8], start: u64) -> Result<Vec<Record>> {
        let mut records = Vec::new();
        let mut at = 0;
        loop {
            match frame::decode(bytes, at) {
                Frame::Complete { index, body, end } => {
                    records.push(Record {
                        index,
                        bytes: bytes[body].to_vec(),
                    });
                    at = end;
                }
                Frame::End => return Ok(records),
                Frame::Torn | Frame::Damaged(_) => {
                    let reason = "a record changed since the store was opened";
                    return Err(atomic_file::damaged(
                        disk,
                        &self.name,
                        start + at as u64,
                        reason,
                    ));
                }
            }
        }
    }

    /// Reads and validates a file. Only the last segment may have a torn tail or an incomplete
    /// header.
    pub(crate) fn scan(disk: &dyn Disk, name: &str, is_last: bool) -> Result<Scan> {
        let size = disk.size(name).map_err(|source| Error::File {
            action: "read",
            path: disk.path(name),
            source,
        })?;
        let len = usize::try_from(size).expect("a segment fits in memory");
        let bytes = disk.read(name, 0, len).map_err(|source| Error::File {
            action: "read",
            path: disk.path(name),
            source,
        })?;
        let Some((generation, first)) = parse_file_name(name) else {
            return Err(atomic_file::damaged(
                disk,
                name,
                0,
                "the file name is not that of a segment",
            ));
        };
        let expected = encode_header(generation, first);
        if !bytes.starts_with(&expected) {
            return if is_last && is_torn_header(&bytes, &expected) {
                Ok(Scan::Uninitialized)
            } else {
                Err(atomic_file::damaged(disk, name, 0, header_error(&bytes)))
            };
        }
        let mut segment = Self {
            name: name.to_owned(),
            generation,
            first,
            offsets: vec![HEADER_BYTES as u64],
        };
        let torn = segment.scan_frames(disk, &bytes)?;
        if torn && !is_last {
            return Err(atomic_file::damaged(
                disk,
                name,
                segment.len(),
                "the segment ends with an incomplete record, but is not the last one",
            ));
        }
        Ok(Scan::Segment { segment, torn })
    }

    /// Fills in the offsets and returns whether the tail is torn.
    fn scan_frames(&mut self, disk: &dyn Disk, bytes: &[u8]) -> Result<bool> {
        loop {
            let offset = self.len();
            let at = usize::try_from(offset).expect("a segment fits in memory");
            let reason = match frame::decode(bytes, at) {
                Frame::Complete { index, end, .. } if index == self.next() => {
                    self.offsets.push(end as u64);
                    continue;
                }
                Frame::Complete { .. } => "the index of a record is out of order",
                Frame::End => return Ok(false),
                Frame::Torn => return Ok(true),
                Frame::Damaged(reason) => reason,
            };
            return Err(atomic_file::damaged(disk, &self.name, offset, reason));
        }
    }
}

/// The result of scanning a file.
pub(crate) enum Scan {
    /// A segment with a valid header.
    Segment {
        segment: Segment,
        /// Whether an incomplete record follows the last complete one.
        torn: bool,
    },
    /// A file whose header was not completely written.
    Uninitialized,
}

/// Parses generation and first index from a file name.
pub(crate) fn parse_file_name(name: &str) -> Option<(u64, RecordIndex)> {
    let (generation, first) = name.strip_prefix(PREFIX)?.split_once('-')?;
    Some((generation.parse().ok()?, first.parse().ok()?))
}

fn file_name(generation: u64, first: RecordIndex) -> String {
    format!("{PREFIX}{generation:010}-{:020}", first.0)
}

fn encode_header(generation: u64, first: RecordIndex) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&generation.to_le_bytes());
    bytes.extend_from_slice(&first.0.to_le_bytes());
    let sum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

/// Whether a crash interrupted the creation of the file: it then holds a prefix of the header,
/// which may be followed by zeros.
fn is_torn_header(bytes: &[u8], expected: &[u8]) -> bool {
    let matching = bytes
        .iter()
        .zip(expected)
        .take_while(|(actual, expected)| actual == expected)
        .count();
    bytes[matching..].iter().all(|byte| *byte == 0)
}

fn header_error(bytes: &[u8]) -> String {
    match bytes.get(4..6) {
        Some(version) if bytes.starts_with(MAGIC) && version != FORMAT_VERSION.to_le_bytes() => {
            format!(
                "format version {} is not {FORMAT_VERSION}, which this program reads",
                u16::from_le_bytes([version[0], version[1]])
            )
        }
        _ => "the header of the segment is invalid".to_owned(),
    }
}
