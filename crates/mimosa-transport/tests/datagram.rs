//! Encoding of packets, rejection of invalid ones, and a socket on the loopback interface.

use googletest::prelude::*;
use mimosa_transport::datagram;
use mimosa_transport::datagram::ClusterTag;
use mimosa_transport::datagram::MAX_DATAGRAM_BYTES;
use mimosa_transport::datagram::PacketError;
use mimosa_transport::datagram::Received;
use mimosa_transport::datagram::Socket;

type Message = (u64, String);

fn message() -> Message {
    (7, "seven".into())
}

#[googletest::test]
fn every_invalid_packet_is_rejected_with_its_error() {
    let tag = ClusterTag::of("orchid");
    let packet = datagram::encode(tag, &message()).unwrap();
    expect_that!(
        datagram::decode::<Message>(tag, &packet),
        ok(eq(&message()))
    );

    for length in 0..packet.len() {
        expect_that!(
            datagram::decode::<Message>(tag, &packet[..length]),
            err(anything())
        );
    }
    for bit in 0..packet.len() * 8 {
        let mut corrupt = packet.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        expect_that!(
            datagram::decode::<Message>(tag, &corrupt),
            err(eq(&PacketError::Checksum))
        );
    }
    let other = ClusterTag::of("scholar");
    expect_that!(
        datagram::decode::<Message>(other, &packet),
        err(eq(&PacketError::OtherCluster(tag)))
    );
    expect_that!(
        datagram::decode::<u8>(tag, &packet),
        err(eq(&PacketError::Undecodable))
    );
    expect_that!(
        datagram::decode::<Message>(tag, &[0; MAX_DATAGRAM_BYTES + 1]),
        err(eq(&PacketError::TooLong))
    );
}

#[googletest::test]
fn encoding_a_message_larger_than_a_packet_fails() {
    let large = "x".repeat(MAX_DATAGRAM_BYTES);
    expect_that!(datagram::encode(ClusterTag(1), &large), err(anything()));
}

#[googletest::test]
#[tokio::test]
async fn a_socket_receives_messages_after_an_invalid_packet() {
    let tag = ClusterTag::of("orchid");
    let any = "127.0.0.1:0".parse().unwrap();
    let (rx, tx) = (
        Socket::bind(any, tag).await.unwrap(),
        Socket::bind(any, tag).await.unwrap(),
    );
    let stranger = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let to = rx.local_addr().unwrap();

    stranger
        .send_to(&[0xff; MAX_DATAGRAM_BYTES + 9], to)
        .await
        .unwrap();
    expect_that!(
        rx.receive::<Message>().await.unwrap(),
        eq(&Received::Rejected {
            from: stranger.local_addr().unwrap(),
            reason: PacketError::TooLong,
        })
    );
    tx.send(to, &message()).await.unwrap();
    expect_that!(
        rx.receive::<Message>().await.unwrap(),
        eq(&Received::Message {
            from: tx.local_addr().unwrap(),
            message: message(),
        })
    );
}
