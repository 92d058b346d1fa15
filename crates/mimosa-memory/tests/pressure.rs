//! Tests of the pressure on an account.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_memory::Pressure;
use mimosa_memory::PressureTracker;
use mimosa_memory::Usage;
use mimosa_memory::pressure::PressureChange;
use mimosa_protocol::Timestamp;

const SIZE: u64 = 1_000;

/// Guards against a log line for each wave of a flood.
#[gtest]
fn a_flood_in_waves_causes_two_changes() {
    let mut tracker = PressureTracker::default();
    let mut changes = Vec::new();
    let mut usage = Usage::default();
    for second in 0..120 {
        let now = Timestamp::from_secs(second);
        let is_wave = second < 60 && second % 6 < 2;
        usage.general = if is_wave { SIZE } else { 0 };
        usage.refused += u64::from(is_wave) * 100;
        changes.extend(tracker.update(now, &usage, SIZE, 0));
    }
    let change = |from, to, refused| PressureChange {
        from,
        to,
        evicted: 0,
        stalled: 0,
        refused,
        closed: 0,
    };
    let expected = [
        change(Pressure::Low, Pressure::Full, 100),
        change(Pressure::Full, Pressure::Low, 1_900),
    ];
    expect_that!(changes, container_eq(expected));
}

/// Guards against a line each second while the held bytes vary around a threshold.
#[gtest]
fn the_pressure_has_hysteresis() {
    let mut tracker = PressureTracker::default();
    let mut levels = Vec::new();
    for (second, general) in [(0, 400), (1, 510), (2, 490), (3, 510), (4, 260), (5, 240)] {
        let usage = Usage {
            general,
            ..Usage::default()
        };
        let change = tracker.update(Timestamp::from_secs(second), &usage, SIZE, 0);
        levels.extend(change.map(|change| change.to));
    }
    expect_that!(levels, container_eq([Pressure::High, Pressure::Low]));
    let now = Timestamp::ZERO + Duration::from_secs(6);
    expect_that!(
        tracker.update(now, &Usage::default(), SIZE, 1),
        some(anything())
    );
    expect_that!(tracker.pressure(), eq(Pressure::Full));
}
