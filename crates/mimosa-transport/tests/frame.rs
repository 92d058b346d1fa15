//! Frames over an in-memory stream.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use googletest::prelude::*;
use mimosa_protocol::Revision;
use mimosa_protocol::message::EntryMessage;
use mimosa_transport::frame;
use tokio::io::AsyncRead;
use tokio::io::ReadBuf;

fn in_force() -> EntryMessage {
    EntryMessage::InForce {
        revision: Revision(7),
        probe: 1,
    }
}

#[googletest::test]
#[tokio::test]
async fn a_written_message_is_read_back_and_the_end_of_the_stream_is_none() {
    let mut buf = Vec::new();
    frame::write(&mut buf, &in_force()).await.unwrap();
    let mut stream = buf.as_slice();
    expect_that!(
        frame::read::<EntryMessage>(&mut stream).await.unwrap(),
        some(eq(&in_force()))
    );
    expect_that!(
        frame::read::<EntryMessage>(&mut stream).await.unwrap(),
        none()
    );
}

#[googletest::test]
#[tokio::test]
async fn a_corrupt_frame_fails_the_checksum() {
    let mut buf = frame::encode(&in_force()).unwrap();
    *buf.last_mut().unwrap() ^= 1;
    let answer = frame::read::<EntryMessage>(&mut buf.as_slice()).await;
    expect_that!(answer, err(displays_as(contains_substring("checksum"))));
}

#[googletest::test]
#[tokio::test]
async fn a_truncated_frame_is_an_error() {
    let buf = frame::encode(&in_force()).unwrap();
    let answer = frame::read::<EntryMessage>(&mut &buf[..buf.len() - 1]).await;
    expect_that!(answer, err(anything()));
}

#[googletest::test]
#[tokio::test]
async fn a_message_over_the_limit_is_refused_by_its_header() {
    let buf = frame::encode(&in_force()).unwrap();
    let length = buf.len() - 8;
    let read = frame::read_at_most::<EntryMessage>(&mut buf.as_slice(), length - 1).await;
    expect_that!(read, err(displays_as(contains_substring("limit"))));
    let read = frame::read_at_most::<EntryMessage>(&mut buf.as_slice(), length).await;
    expect_that!(read, ok(some(eq(&in_force()))));
}

/// Guards against memory that a sender takes by announcing a long message.
#[googletest::test]
#[tokio::test]
async fn a_frame_takes_memory_as_its_bytes_arrive() {
    let mut header = (frame::MAX_FRAME_BYTES as u32).to_le_bytes().to_vec();
    header.extend([0; 4]);
    let mut stream = CountingReader {
        bytes: [header, vec![0; 100]].concat(),
        largest_buffer: 0,
    };
    let read = frame::read::<EntryMessage>(&mut stream).await;
    expect_that!(read, err(anything()));
    expect_that!(stream.largest_buffer, le(frame::MAX_HELLO_BYTES));
}

/// Returns its bytes, then the end, and records the largest buffer that it was given.
struct CountingReader {
    bytes: Vec<u8>,
    largest_buffer: usize,
}

impl AsyncRead for CountingReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        self.largest_buffer = self.largest_buffer.max(buf.remaining());
        let length = self.bytes.len().min(buf.remaining());
        let start: Vec<u8> = self.bytes.drain(..length).collect();
        buf.put_slice(&start);
        Poll::Ready(Ok(()))
    }
}
