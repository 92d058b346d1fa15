//! The encoding of a record in a segment, and the distinction of a torn write from corruption.
//!
//! ```text
//! length u32 | index u64 | checksum of both u32 | checksum of the body u32 | body | end mark u8
//! ```
//!
//! A write that a crash interrupted ends early, or in zeros where blocks were not written. As the
//! end mark is not zero, a complete record never ends like that, so a flipped bit in a synced
//! record is distinguished from a torn write. An invalid record that is followed by a complete one
//! is always corruption.

use std::ops::Range;

use crate::store::RecordIndex;

const HEADER_BYTES: usize = 20;
const HEADER_CHECKED_BYTES: usize = 12;
const END_MARK: u8 = 0xA5;

/// The result of decoding at an offset of a segment.
pub(crate) enum Frame {
    /// A complete record.
    Complete {
        index: RecordIndex,
        /// Byte range of the content of the record.
        body: Range<usize>,
        /// Offset of the next record.
        end: usize,
    },
    /// The segment ends at the offset.
    End,
    /// An interrupted write.
    Torn,
    /// Corruption, with a description of the failed check.
    Damaged(&'static str),
}

/// Appends the encoded record to a buffer.
pub(crate) fn encode(index: RecordIndex, body: &[u8], buf: &mut Vec<u8>) {
    let len = u32::try_from(body.len()).expect("records are far below 4 GiB");
    let start = buf.len();
    buf.extend_from_slice(&len.to_le_bytes());
    buf.extend_from_slice(&index.0.to_le_bytes());
    let header_sum = crc32fast::hash(&buf[start..]);
    buf.extend_from_slice(&header_sum.to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    buf.extend_from_slice(body);
    buf.push(END_MARK);
}

/// Size in bytes of an encoded record with a body of `body_len` bytes.
pub(crate) const fn encoded_len(body_len: usize) -> usize {
    HEADER_BYTES + body_len + 1
}

/// Decodes the frame at an offset.
pub(crate) fn decode(bytes: &[u8], offset: usize) -> Frame {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Frame::End;
    }
    if rest.len() < HEADER_BYTES {
        return Frame::Torn;
    }
    match decode_complete(rest) {
        Ok((index, len)) => Frame::Complete {
            index,
            body: offset + HEADER_BYTES..offset + HEADER_BYTES + len,
            end: offset + encoded_len(len),
        },
        Err(_) if has_complete_frame_after(rest) => {
            Frame::Damaged("a damaged record before intact ones")
        }
        Err(fault) => fault,
    }
}

/// Decodes the complete frame at the start of `rest`. Returns index and body length, or
/// [`Frame::Torn`] or [`Frame::Damaged`].
fn decode_complete(rest: &[u8]) -> Result<(RecordIndex, usize), Frame> {
    let Some((index, len, body_sum)) = decode_header(rest) else {
        return Err(if is_zero(&rest[HEADER_BYTES - 1..]) {
            Frame::Torn
        } else {
            Frame::Damaged("the header of a record is invalid")
        });
    };
    let end = encoded_len(len);
    if rest.len() < end || is_zero(&rest[end - 1..]) {
        return Err(Frame::Torn);
    }
    if rest[end - 1] != END_MARK {
        return Err(Frame::Damaged("the end mark of a record is invalid"));
    }
    if crc32fast::hash(&rest[HEADER_BYTES..end - 1]) != body_sum {
        return Err(Frame::Damaged("the checksum of a record does not match"));
    }
    Ok((index, len))
}

/// Decodes the header at the start of `rest` into index, body length and checksum of the body.
/// Returns `None` if the header is incomplete or its checksum does not match.
fn decode_header(rest: &[u8]) -> Option<(RecordIndex, usize, u32)> {
    let checked = rest.get(..HEADER_CHECKED_BYTES)?;
    let sum = u32_at(rest, HEADER_CHECKED_BYTES)?;
    if crc32fast::hash(checked) != sum {
        return None;
    }
    let len = usize::try_from(u32_at(rest, 0)?).ok()?;
    let index = u64::from_le_bytes(rest.get(4..HEADER_CHECKED_BYTES)?.try_into().ok()?);
    Some((
        RecordIndex(index),
        len,
        u32_at(rest, HEADER_CHECKED_BYTES + 4)?,
    ))
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + 4)?;
    field.try_into().ok().map(u32::from_le_bytes)
}

fn has_complete_frame_after(rest: &[u8]) -> bool {
    (1..rest.len().saturating_sub(HEADER_BYTES)).any(|at| decode_complete(&rest[at..]).is_ok())
}

fn is_zero(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}
