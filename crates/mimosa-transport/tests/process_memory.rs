//! Tests of what is counted in the memory account of a process: frames and connections.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_memory::AccountSizes;
use mimosa_memory::EvictionSignal;
use mimosa_protocol::Timestamp;
use mimosa_transport::bounded_connections::BoundedConnections;
use mimosa_transport::bounded_connections::Closable;
use mimosa_transport::bounded_connections::WaitingFor;
use mimosa_transport::clock::Clock;
use mimosa_transport::frame;
use mimosa_transport::frame::MAX_FRAME_BYTES;
use mimosa_transport::reserved_buffer::ProcessMemory;
use tokio::io::AsyncWriteExt;
use tokio::io::duplex;

/// Room for one of the frames of the tests, not for two.
const SIZES: AccountSizes = AccountSizes {
    general: 300_000,
    reserved: 1_000,
    small: 100,
    tiny: 100,
    stall_time: Duration::from_millis(200),
};
const FRAME_BYTES: usize = 200_000;

fn memory() -> ProcessMemory {
    ProcessMemory::new(SIZES, Clock::start())
}

fn encoded() -> Vec<u8> {
    frame::encode(&vec![7_u8; FRAME_BYTES]).unwrap()
}

/// Guards against frames that are counted for good, or not at all.
#[gtest]
#[tokio::test]
async fn a_frame_is_counted_while_it_arrives() {
    let memory = memory();
    let (mut tx, mut rx) = duplex(1 << 10);
    let account = memory.account.clone();
    let reading = tokio::spawn(async move {
        frame::read_reserved::<Vec<u8>>(&mut rx, MAX_FRAME_BYTES, &memory).await
    });
    let frame = encoded();
    tx.write_all(&frame[..FRAME_BYTES / 2]).await.unwrap();
    expect_that!(account.usage().general, ge(FRAME_BYTES as u64 / 2 - 1_024));
    tx.write_all(&frame[FRAME_BYTES / 2..]).await.unwrap();
    let read = reading.await.unwrap().unwrap();
    expect_that!(read, some(eq(&vec![7; FRAME_BYTES])));
    expect_that!(account.usage().general, eq(0));
}

/// Guards against peers that stop within a frame and keep its memory from others.
#[gtest]
#[tokio::test]
async fn a_stalled_frame_is_evicted_for_another() {
    let memory = memory();
    let (mut stalled_tx, mut stalled_rx) = duplex(1 << 20);
    let (mut tx, mut rx) = duplex(1 << 20);
    let frame = encoded();
    stalled_tx.write_all(&frame[..FRAME_BYTES]).await.unwrap();
    let stalled_memory = memory.clone();
    let stalled = tokio::spawn(async move {
        frame::read_reserved::<Vec<u8>>(&mut stalled_rx, MAX_FRAME_BYTES, &stalled_memory).await
    });
    while memory.account.usage().general < FRAME_BYTES as u64 / 2 {
        tokio::task::yield_now().await;
    }
    tx.write_all(&frame).await.unwrap();
    let read = frame::read_reserved::<Vec<u8>>(&mut rx, MAX_FRAME_BYTES, &memory).await;
    expect_that!(read.unwrap(), some(len(eq(FRAME_BYTES))));
    expect_that!(stalled.await.unwrap(), err(anything()));
    expect_that!(memory.account.usage().holders, eq(0));
}

struct Waiting {
    since: Option<(WaitingFor, Timestamp)>,
    closing: EvictionSignal,
}

impl Closable for Waiting {
    fn waiting_since(&self) -> Option<(WaitingFor, Timestamp)> {
        self.since
    }

    fn closing(&self) -> &EvictionSignal {
        &self.closing
    }
}

/// Guards against a bound that closes connections which handle a request, or newer ones first.
#[gtest]
#[tokio::test]
async fn the_longest_idle_connection_is_closed_first_then_an_incomplete_head() {
    let memory = memory();
    let connections = BoundedConnections::new(3);
    let add = |since| {
        let waiting = Arc::new(Waiting {
            since,
            closing: EvictionSignal::default(),
        });
        let open = connections.add(Arc::clone(&waiting) as Arc<dyn Closable>);
        (waiting, open)
    };
    let at = Timestamp::from_secs;
    let (head, head_open) = add(Some((WaitingFor::RestOfHead, at(1))));
    let (busy, _busy_open) = add(None);
    let (idle, idle_open) = add(Some((WaitingFor::Request, at(5))));
    let mut others = Vec::new();
    for (expected, open) in [(&idle, idle_open), (&head, head_open)] {
        let closing = expected.closing.clone();
        let room = connections.wait_for_room(&memory);
        let closed = async move {
            closing.wait().await;
            drop(open);
        };
        tokio::join!(room, closed);
        others.push(add(None));
    }
    expect_that!(busy.closing.is_set(), eq(false));
    expect_that!(connections.closed_for_room(), eq(2));
    expect_that!(connections.open(), eq(3));
}
