//! Frames on a byte stream, with one message each.
//!
//! ```text
//! length u32 | checksum u32 | message as postcard bytes
//! ```
//!
//! Numbers are little-endian. The checksum is a CRC-32 of the message.

use std::io;
use std::time::Duration;

use mimosa_protocol::Error;
use mimosa_protocol::Result;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use crate::reserved_buffer::ProcessMemory;
use crate::reserved_buffer::WhenFull;

/// Maximum size of an encoded message, without the header of its frame: 64 MiB. It leaves ample room for a complete configuration, the
/// largest message.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Maximum size of the first message on a connection, whose sender is not known yet.
pub const MAX_HELLO_BYTES: usize = 64 << 10;

/// Time limit of a message after its header.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest frame that is not counted in the memory account, but as part of its connection's buffers. Most messages
/// are smaller, and are read without taking the lock of the account.
const UNCOUNTED_BYTES: usize = 4 << 10;

const HEADER_BYTES: usize = 8;

/// Encodes a message as one frame.
///
/// # Errors
///
/// [`Error::BadMessage`] if the message is larger than [`MAX_FRAME_BYTES`].
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>> {
    let body = postcard::to_stdvec(message).map_err(bad_message)?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(Error::BadMessage {
            reason: format!(
                "a message of {} bytes exceeds the maximum frame size",
                body.len()
            ),
        });
    }
    let mut buf = Vec::with_capacity(HEADER_BYTES + body.len());
    buf.extend_from_slice(&(body.len() as u32).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    buf.extend_from_slice(&body);
    Ok(buf)
}

/// Writes one message and flushes the stream.
///
/// # Errors
///
/// [`Error::BadMessage`] if the message is too large, [`Error::Network`] if the stream fails.
pub async fn write(stream: &mut (impl AsyncWrite + Unpin), message: &impl Serialize) -> Result<()> {
    write_encoded(stream, &encode(message)?).await
}

/// Writes a frame that [`encode`] returned and flushes the stream. Use it to encode a message once
/// for several peers.
///
/// # Errors
///
/// [`Error::Network`] if the stream fails.
pub async fn write_encoded(stream: &mut (impl AsyncWrite + Unpin), buf: &[u8]) -> Result<()> {
    stream
        .write_all(buf)
        .await
        .map_err(|source| network("write to", source))?;
    stream
        .flush()
        .await
        .map_err(|source| network("write to", source))
}

/// Reads one message; `None` if the stream ends between two frames.
///
/// # Errors
///
/// [`Error::BadMessage`] if the frame is corrupt or larger than [`MAX_FRAME_BYTES`],
/// [`Error::Network`] if the stream fails, ends inside a frame or sends one for more than 60 s.
pub async fn read<T: DeserializeOwned>(stream: &mut (impl AsyncRead + Unpin)) -> Result<Option<T>> {
    read_at_most(stream, MAX_FRAME_BYTES).await
}

/// Like [`read`], for a message of at most `max_bytes`.
///
/// # Errors
///
/// Those of [`read`], with this limit.
pub async fn read_at_most<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> Result<Option<T>> {
    let Some((length, checksum)) = read_header(stream, max_bytes).await? else {
        return Ok(None);
    };
    let body = timeout(BODY_TIMEOUT, read_body(stream, length)).await;
    decode(&received(body)?, checksum)
}

/// Like [`read_at_most`], with the frame in the memory account of the process while it arrives. In a full account
/// it waits for room.
///
/// # Errors
///
/// Those of [`read_at_most`]; [`Error::Network`] also if the frame stalls and its memory is needed.
pub async fn read_reserved<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
    memory: &ProcessMemory,
) -> Result<Option<T>> {
    let Some((length, checksum)) = read_header(stream, max_bytes).await? else {
        return Ok(None);
    };
    if length <= UNCOUNTED_BYTES {
        let body = timeout(BODY_TIMEOUT, read_body(stream, length)).await;
        return decode(&received(body)?, checksum);
    }
    let mut buffer = memory.buffer(None, Some(length), length, WhenFull::Wait);
    let evicted = buffer.reservation().signal().clone();
    let reading = async {
        while buffer.len() < length {
            let left = length - buffer.len();
            if buffer.read_from(stream, left).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    };
    let read = tokio::select! {
        read = timeout(BODY_TIMEOUT, reading) => read,
        () = evicted.wait() => Ok(Err(io::ErrorKind::TimedOut.into())),
    };
    received(read)?;
    decode(buffer.as_slice(), checksum)
}

/// Length and checksum of the next frame; `None` if the stream ends before it.
async fn read_header(
    stream: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> Result<Option<(usize, u32)>> {
    let mut header = [0; HEADER_BYTES];
    match stream.read_exact(&mut header[..1]).await {
        Ok(_) => {}
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(e) => return Err(network("read from", e)),
    }
    stream
        .read_exact(&mut header[1..])
        .await
        .map_err(|source| network("read from", source))?;
    let [l0, l1, l2, l3, c0, c1, c2, c3] = header;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    let checksum = u32::from_le_bytes([c0, c1, c2, c3]);
    if length > max_bytes {
        return Err(Error::BadMessage {
            reason: format!("a message of {length} bytes exceeds the limit of {max_bytes} bytes"),
        });
    }
    Ok(Some((length, checksum)))
}

fn received<T>(read: std::result::Result<io::Result<T>, Elapsed>) -> Result<T> {
    read.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(|source| network("read from", source))
}

fn decode<T: DeserializeOwned>(body: &[u8], checksum: u32) -> Result<Option<T>> {
    if crc32fast::hash(body) != checksum {
        return Err(Error::BadMessage {
            reason: "the checksum does not match".into(),
        });
    }
    postcard::from_bytes(body).map(Some).map_err(bad_message)
}

/// Reads the body of a frame. Memory grows with the bytes that arrive, not with the announced length.
async fn read_body(stream: &mut (impl AsyncRead + Unpin), length: usize) -> io::Result<Vec<u8>> {
    let mut body = Vec::with_capacity(length.min(MAX_HELLO_BYTES));
    stream.take(length as u64).read_to_end(&mut body).await?;
    match body.len() == length {
        true => Ok(body),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

fn bad_message(e: postcard::Error) -> Error {
    Error::BadMessage {
        reason: e.to_string(),
    }
}

fn network(action: &'static str, source: io::Error) -> Error {
    Error::Network {
        action,
        peer: "the peer".into(),
        source,
    }
}
