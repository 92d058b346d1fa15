//! Tests of the account shared among tasks.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_memory::AccountSizes;
use mimosa_memory::EvictionSignal;
use mimosa_memory::Memory;
use mimosa_memory::Progress;
use mimosa_memory::Refused;
use mimosa_memory::Reservation;
use mimosa_protocol::Timestamp;

const SIZES: AccountSizes = AccountSizes {
    general: 3_000,
    reserved: 1_000,
    small: 64,
    tiny: 8,
    stall_time: Duration::from_secs(3),
};
const START: Timestamp = Timestamp::from_secs(1);
const LATER: Timestamp = Timestamp::from_secs(9);

fn holder(memory: &Memory) -> Reservation {
    memory.holder(Progress::new(START), None, 0, EvictionSignal::default())
}

/// Guards against bytes that stay counted after their holder is gone.
#[gtest]
#[tokio::test]
async fn dropping_a_reservation_releases_its_bytes() {
    let memory = Memory::new(SIZES);
    let mut reservation = holder(&memory);
    expect_that!(reservation.grow_to(|| START, 3_000).await, ok(anything()));
    expect_that!(memory.usage().general, eq(3_000));
    reservation.shrink_to(START, 100);
    expect_that!(memory.usage().general, eq(100));
    drop(reservation);
    expect_that!(memory.usage().general, eq(0));
    expect_that!(memory.usage().holders, eq(0));
}

/// Guards against a waiting task that misses the release, and against an evicted one that is not told.
#[gtest]
#[tokio::test]
async fn a_new_holder_waits_until_the_evicted_one_releases_its_bytes() {
    let memory = Memory::new(SIZES);
    let mut stalled = holder(&memory);
    stalled
        .grow_to(|| START, 3_000)
        .await
        .expect("there is room");
    let mut early = holder(&memory);
    expect_that!(early.grow_to(|| START, 500).await, err(eq(Refused)));
    let mut new = memory.holder(Progress::new(LATER), None, 0, EvictionSignal::default());
    let evicted = tokio::spawn(async move {
        stalled.signal().wait().await;
        let refused = stalled.grow_to(|| LATER, 3_001).await;
        drop(stalled);
        refused
    });
    expect_that!(new.grow_to(|| LATER, 500).await, ok(anything()));
    expect_that!(evicted.await, ok(err(eq(&Refused))));
    expect_that!(memory.usage().general, eq(500));
}

/// Guards against connections that stay open although no byte of their body ever arrived.
#[gtest]
fn a_holder_without_bytes_can_be_evicted() {
    let memory = Memory::new(SIZES);
    let reservation = holder(&memory);
    expect_that!(memory.evict_one(START), eq(false));
    expect_that!(memory.evict_one(LATER), eq(true));
    expect_that!(reservation.signal().is_set(), eq(true));
    expect_that!(memory.evict_one(LATER), eq(false));
}
