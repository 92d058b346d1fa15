//! Tests of the account's decisions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_memory::AccountSizes;
use mimosa_memory::Progress;
use mimosa_memory::account::Account;
use mimosa_memory::account::Decision;
use mimosa_memory::account::HolderId;
use mimosa_memory::account::HolderInfo;
use mimosa_memory::eviction::HolderView;
use mimosa_memory::eviction::select_victims;
use mimosa_memory::sizes::ProcessLimits;
use mimosa_memory::sizes::ProcessSizes;
use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use proptest::prelude::Strategy;
use proptest::prelude::prop_oneof;
use proptest::proptest;

const STALL_TIME: Duration = Duration::from_secs(3);
const SIZES: AccountSizes = AccountSizes {
    general: 3_000,
    reserved: 1_000,
    small: 64,
    tiny: 8,
    stall_time: STALL_TIME,
};

fn add(account: &mut Account, now: Timestamp) -> (HolderId, Arc<Progress>) {
    let progress = Arc::new(Progress::new(now));
    let info = HolderInfo {
        owner: None,
        declared: 0,
        progress: Arc::clone(&progress),
    };
    (account.add(info), progress)
}

fn account_id(name: &str) -> AccountId {
    name.parse().expect("the name is valid")
}

/// Guards against large bodies that fill the account up to the last byte, so that ordinary requests
/// are refused.
#[gtest]
fn large_holders_leave_room_for_small_ones() {
    let mut account = Account::new(SIZES);
    let now = Timestamp::from_secs(1);
    let (large, _) = add(&mut account, now);
    expect_that!(account.resize(now, large, 3_001), eq(&Decision::Refused));
    expect_that!(account.resize(now, large, 3_000), eq(&Decision::Granted));
    for _ in 0..11 {
        let (small, _) = add(&mut account, now);
        expect_that!(account.resize(now, small, 64), eq(&Decision::Granted));
    }
    let (small, _) = add(&mut account, now);
    expect_that!(account.resize(now, small, 64), eq(&Decision::Refused));
    for _ in 0..37 {
        let (tiny, _) = add(&mut account, now);
        expect_that!(account.resize(now, tiny, 8), eq(&Decision::Granted));
    }
    let (tiny, _) = add(&mut account, now);
    expect_that!(account.resize(now, tiny, 8), eq(&Decision::Refused));
}

/// Guards against a large upload that fills the reserved part because its first bytes are few.
#[gtest]
fn a_declared_size_keeps_a_large_holder_out_of_the_reserved_part() {
    let mut account = Account::new(SIZES);
    let now = Timestamp::from_secs(1);
    let info = HolderInfo {
        owner: None,
        declared: 2_000,
        progress: Arc::new(Progress::new(now)),
    };
    let holder = account.add(info);
    expect_that!(account.resize(now, holder, 10), eq(&Decision::Granted));
    expect_that!(account.usage().reserved, eq(0));
    expect_that!(account.usage().general, eq(10));
}

/// Guards against a client that is evicted although it sends at a slow but steady rate, and against one
/// that keeps its memory by sending single bytes.
#[gtest]
fn only_holders_without_progress_are_evicted() {
    let mut account = Account::new(SIZES);
    let start = Timestamp::from_secs(1);
    let (steady, steady_progress) = add(&mut account, start);
    let (trickling, trickling_progress) = add(&mut account, start);
    account.resize(start, steady, 1_500);
    account.resize(start, trickling, 1_500);
    let (new, _) = add(&mut account, start);
    for millis in (0..=6_000).step_by(100) {
        let now = start + Duration::from_millis(millis);
        // 1 KB/s with pauses of 2 s.
        if millis % 3_000 < 1_000 {
            steady_progress.record(now, 102);
        }
        trickling_progress.record(now, 1);
    }
    let now = start + Duration::from_secs(6);
    let wait = Decision::Wait(vec![trickling]);
    expect_that!(account.resize(now, new, 500), eq(&wait));
    expect_that!(account.resize(now, new, 500), eq(&Decision::Wait(vec![])));
    expect_that!(
        account.resize(now, trickling, 1_501),
        eq(&Decision::Refused)
    );
    account.remove(trickling);
    expect_that!(account.resize(now, new, 500), eq(&Decision::Granted));
    expect_that!(account.usage().evicted, eq(1));
}

/// Guards against the eviction of a request that waits for its endpoint, whose client did nothing wrong.
#[gtest]
fn a_holder_that_does_not_wait_for_its_client_stays() {
    let mut account = Account::new(SIZES);
    let now = Timestamp::from_secs(1);
    let (kept, progress) = add(&mut account, now);
    account.resize(now, kept, 3_000);
    progress.stop_waiting();
    let later = Timestamp::from_secs(60);
    let (new, _) = add(&mut account, later);
    expect_that!(account.resize(later, new, 500), eq(&Decision::Refused));
    expect_that!(account.evict_stalled(later, STALL_TIME), is_empty());
}

/// Guards against evictions in an order that hurts many small clients to make room for a large one.
#[gtest]
fn the_largest_stalled_holders_go_first_then_those_of_the_largest_account() {
    let (busy, calm) = (account_id("busy"), account_id("calm"));
    let view = |id, bytes, secs, owner| HolderView {
        id: HolderId(id),
        bytes,
        stalled_for: Duration::from_secs(secs),
        owner,
    };
    let holders = [
        view(1, 100, 9, None),
        view(2, 1_000, 1, None),
        view(3, 600, 4, Some(&calm)),
        view(4, 600, 3, Some(&busy)),
        view(5, 600, 5, Some(&busy)),
    ];
    let victims = |needed| select_victims(&holders, needed, STALL_TIME);
    expect_that!(victims(1), elements_are![eq(&HolderId(5))]);
    expect_that!(
        victims(1_801),
        elements_are![
            eq(&HolderId(5)),
            eq(&HolderId(4)),
            eq(&HolderId(3)),
            eq(&HolderId(1))
        ]
    );
    expect_that!(victims(1_901), is_empty());
}

/// Guards against sizes that exceed the limit of a machine, or leave no room for one permitted body.
#[gtest]
fn parts_stay_within_the_limit_and_hold_a_permitted_body() {
    for megabytes in [88, 96, 220, 256] {
        let memory = megabytes * 1_000_000;
        let limits = ProcessLimits {
            memory,
            ..ProcessLimits::default()
        };
        let sizes = ProcessSizes::of(&limits);
        expect_that!(
            sizes.account.total() + sizes.connections,
            lt(memory * 3 / 4)
        );
        expect_that!(sizes.account.general, gt(2 * (4 << 20)));
        expect_that!(sizes.account.reserved, gt(64 * sizes.account.small));
    }
}

#[derive(Clone, Debug)]
enum Operation {
    Add { declared: u64 },
    Resize { holder: usize, bytes: u64 },
    Progress { holder: usize, bytes: u64 },
    StopWaiting { holder: usize },
    Remove { holder: usize },
    EvictStalled,
    EvictOne,
    Pass { millis: u64 },
}

fn operation() -> impl Strategy<Value = Operation> {
    let holder = 0..40_usize;
    prop_oneof![
        3 => (0..1_500_u64).prop_map(|declared| Operation::Add { declared }),
        3 => proptest::strategy::Just(Operation::Add { declared: 0 }),
        8 => (holder.clone(), 0..1_500_u64)
            .prop_map(|(holder, bytes)| Operation::Resize { holder, bytes }),
        8 => (holder.clone(), 0..65_u64)
            .prop_map(|(holder, bytes)| Operation::Resize { holder, bytes }),
        3 => (holder.clone(), 0..600_u64)
            .prop_map(|(holder, bytes)| Operation::Progress { holder, bytes }),
        1 => holder.clone().prop_map(|holder| Operation::StopWaiting { holder }),
        3 => holder.prop_map(|holder| Operation::Remove { holder }),
        1 => proptest::strategy::Just(Operation::EvictStalled),
        1 => proptest::strategy::Just(Operation::EvictOne),
        3 => (0..2_500_u64).prop_map(|millis| Operation::Pass { millis }),
    ]
}

#[derive(Clone)]
struct Model {
    declared: u64,
    bytes: u64,
    progress: Arc<Progress>,
}

proptest! {
    /// Guards against an account that grants more than its sizes, leaks bytes, evicts a holder that
    /// makes progress, or refuses a small holder while its reserved part has room.
    #[test]
    fn no_sequence_exceeds_the_account_or_leaks(
        operations in proptest::collection::vec(operation(), 1..300)
    ) {
        let mut account = Account::new(SIZES);
        let mut now = Timestamp::from_secs(1);
        let mut held: BTreeMap<HolderId, Model> = BTreeMap::new();
        let mut evicted = BTreeSet::new();
        for operation in operations {
            let nth = |index: usize| held.keys().nth(index % held.len().max(1)).copied();
            match operation {
                Operation::Add { declared } => {
                    let progress = Arc::new(Progress::new(now));
                    let info = HolderInfo { owner: None, declared, progress: Arc::clone(&progress) };
                    held.insert(account.add(info), Model { declared, bytes: 0, progress });
                }
                Operation::Resize { holder, bytes } => {
                    let Some(id) = nth(holder) else { continue };
                    let reserved = match bytes <= SIZES.tiny {
                        true => SIZES.reserved,
                        false => SIZES.reserved_for_small(),
                    };
                    let room = reserved.saturating_sub(account.usage().reserved);
                    let model = held[&id].clone();
                    let decision = account.resize(now, id, bytes);
                    if let Decision::Wait(victims) = &decision {
                        for victim in victims {
                            let stalled = held[victim].progress.stalled_for(now);
                            assert!(stalled >= STALL_TIME, "evicted after {stalled:?}");
                            evicted.insert(*victim);
                        }
                    }
                    let is_small = bytes.max(model.declared) <= SIZES.small;
                    if is_small && bytes <= room && !evicted.contains(&id) {
                        assert_eq!(decision, Decision::Granted, "a small holder was not admitted");
                    }
                    if decision == Decision::Granted {
                        held.get_mut(&id).expect("known").bytes = bytes;
                    }
                }
                Operation::Progress { holder, bytes } => {
                    if let Some(id) = nth(holder) {
                        held[&id].progress.record(now, bytes);
                    }
                }
                Operation::StopWaiting { holder } => {
                    if let Some(id) = nth(holder) {
                        held[&id].progress.stop_waiting();
                    }
                }
                Operation::Remove { holder } => {
                    if let Some(id) = nth(holder) {
                        account.remove(id);
                        held.remove(&id);
                    }
                }
                Operation::EvictStalled => {
                    evicted.extend(account.evict_stalled(now, STALL_TIME));
                }
                Operation::EvictOne => {
                    evicted.extend(account.evict_one(now));
                }
                Operation::Pass { millis } => now = now + Duration::from_millis(millis),
            }
            let usage = account.usage();
            assert!(usage.general <= SIZES.general && usage.reserved <= SIZES.reserved);
            let sum: u64 = held.values().map(|model| model.bytes).sum();
            assert_eq!(usage.general + usage.reserved, sum, "bytes leaked or lost");
        }
        for id in held.keys() {
            account.remove(*id);
        }
        let usage = account.usage();
        assert_eq!((usage.general, usage.reserved, usage.holders), (0, 0, 0));
        // Nothing of the evicted holders remains counted as about to be released.
        let (new, _) = add(&mut account, now);
        assert_eq!(account.resize(now, new, SIZES.general), Decision::Granted);
        let (other, _) = add(&mut account, now);
        assert_eq!(account.resize(now, other, 65), Decision::Refused);
    }
}
