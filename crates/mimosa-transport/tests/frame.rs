//! Frames over an in-memory stream.

use googletest::prelude::*;
use mimosa_protocol::Revision;
use mimosa_protocol::message::EntryMessage;
use mimosa_transport::frame;

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
