//! A link over the loopback interface with a lost connection and a slow peer, and its backoff.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_transport::backoff::Backoff;
use mimosa_transport::frame;
use mimosa_transport::link::Disconnect;
use mimosa_transport::link::Event;
use mimosa_transport::link::Link;
use mimosa_transport::link::Outbox;
use mimosa_transport::link::SendOutcome;
use mimosa_transport::link::Settings;
use tokio::net::TcpListener;

type TestLink = Link<u32, Vec<u8>>;

fn settings() -> Settings {
    Settings {
        first_backoff: Duration::from_millis(1),
        max_backoff: Duration::from_millis(5),
        ..Settings::default()
    }
}

async fn connected(link: &mut TestLink) -> Outbox<Vec<u8>> {
    loop {
        if let Event::Connected(outbox) = link.next().await {
            return outbox;
        }
    }
}

#[googletest::test]
#[tokio::test]
async fn a_message_for_a_lost_connection_is_not_sent_on_the_next_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut link = TestLink::open(listener.local_addr().unwrap(), settings());

    let (mut peer, _) = listener.accept().await.unwrap();
    let first = connected(&mut link).await;
    expect_that!(first.send(vec![1]), eq(SendOutcome::Queued));
    expect_that!(
        frame::read::<Vec<u8>>(&mut peer).await.unwrap(),
        some(eq(&vec![1]))
    );
    frame::write(&mut peer, &5_u32).await.unwrap();
    expect_that!(link.next().await, matches_pattern!(Event::Message(eq(&5))));
    drop(peer);
    expect_that!(
        link.next().await,
        matches_pattern!(Event::Disconnected(matches_pattern!(Disconnect::Closed)))
    );
    expect_that!(first.send(vec![2]), eq(SendOutcome::Gone));

    let (mut peer, _) = listener.accept().await.unwrap();
    let second = connected(&mut link).await;
    expect_that!(second.send(vec![3]), eq(SendOutcome::Queued));
    expect_that!(
        frame::read::<Vec<u8>>(&mut peer).await.unwrap(),
        some(eq(&vec![3]))
    );
}

#[googletest::test]
#[tokio::test]
async fn a_slow_peer_fills_a_bounded_outbox_and_is_then_disconnected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = Settings {
        outbox_messages: 2,
        write_timeout: Duration::from_millis(50),
        ..settings()
    };
    let mut link = TestLink::open(listener.local_addr().unwrap(), settings);
    let _silent_peer = listener.accept().await.unwrap();
    let outbox = connected(&mut link).await;
    let mut was_full = false;
    loop {
        match outbox.send(vec![0; 1 << 20]) {
            SendOutcome::Queued => {}
            SendOutcome::Full => was_full = true,
            SendOutcome::Gone => break,
        }
        tokio::task::yield_now().await;
    }
    expect_that!(was_full, eq(true));
    expect_that!(
        link.next().await,
        matches_pattern!(Event::Disconnected(matches_pattern!(Disconnect::SlowPeer)))
    );
}

#[googletest::test]
fn delays_double_up_to_the_maximum_and_depend_only_on_the_seed() {
    let new = |seed| Backoff::new(Duration::from_millis(100), Duration::from_secs(1), seed);
    let delays = |mut backoff: Backoff| {
        (0..6)
            .map(move |_| backoff.next_delay())
            .collect::<Vec<_>>()
    };
    for (delay, cap) in delays(new(1))
        .into_iter()
        .zip([100, 200, 400, 800, 1_000, 1_000])
    {
        let cap = Duration::from_millis(cap);
        expect_that!(delay, all!(ge(cap / 2), le(cap)));
    }
    expect_that!(delays(new(1)), eq(&delays(new(1))));
    expect_that!(delays(new(1)), not(eq(&delays(new(2)))));
}
