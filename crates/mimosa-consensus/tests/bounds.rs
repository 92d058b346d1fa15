//! Limits on the log and on membership changes.

use googletest::prelude::*;

use mimosa_consensus::Action;
use mimosa_consensus::ChangeRefusal;
use mimosa_consensus::Event;
use mimosa_consensus::Membership;
use mimosa_consensus::MembershipChange;
use mimosa_consensus::PersistentState;
use mimosa_consensus::ProposalId;
use mimosa_consensus::ProposalRefusal;
use mimosa_consensus::Replica;
use mimosa_consensus::ReplicaId;
use mimosa_consensus::Settings;
use mimosa_protocol::ByteSize;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Timestamp;

fn replica_id(number: usize, incarnation: u64) -> ReplicaId {
    ReplicaId {
        instance: format!("r{number}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

/// Confirms writes immediately, and takes snapshots if `takes_snapshots` is set. Returns the other
/// actions.
fn drive(replica: &mut Replica, mut actions: Vec<Action>, takes_snapshots: bool) -> Vec<Action> {
    let mut others = Vec::new();
    while !actions.is_empty() {
        let mut next = Vec::new();
        for action in actions {
            let event = match &action {
                Action::Persist(persist) => Event::Persisted {
                    write_id: persist.write_id,
                },
                Action::TakeSnapshot { index } if takes_snapshots => Event::SnapshotTaken {
                    index: *index,
                    bytes: Vec::new(),
                },
                _ => {
                    others.push(action);
                    continue;
                }
            };
            next.extend(replica.handle(Timestamp::ZERO, event));
        }
        actions = next;
    }
    others
}

/// Proposes 300 commands to a sole voter. Returns how many were refused as busy, and the maximum
/// number of entries in memory.
fn propose_all(settings: Settings, command: ByteSize, takes_snapshots: bool) -> (usize, u64) {
    let durable = PersistentState::bootstrap(Membership::from_voters([replica_id(1, 1)]));
    let (mut replica, mut actions) =
        Replica::start(Timestamp::ZERO, replica_id(1, 1), durable, settings);
    actions.extend(replica.handle(Timestamp::ZERO, Event::Wake));
    drive(&mut replica, actions, takes_snapshots);
    let mut refused = 0;
    let mut max_entries = 0;
    for number in 0..300 {
        let bytes = vec![7; usize::try_from(command.0).unwrap()];
        let id = ProposalId(number);
        let actions = replica.handle(Timestamp::ZERO, Event::Propose { id, bytes });
        let actions = drive(&mut replica, actions, takes_snapshots);
        refused += actions
            .iter()
            .filter(|action| {
                matches!(
                    action,
                    Action::ProposalRefused {
                        reason: ProposalRefusal::Busy,
                        ..
                    }
                )
            })
            .count();
        max_entries = max_entries.max(replica.last_index().0 + 1 - replica.first_index().0);
    }
    (refused, max_entries)
}

#[googletest::test]
fn the_log_in_memory_is_bounded_by_count_and_by_size() {
    let by_count = Settings {
        snapshot_after: 20,
        retained_entries: 5,
        ..Settings::default()
    };
    let by_size = Settings {
        snapshot_after_size: ByteSize(20_000),
        retained_size: ByteSize(5_000),
        ..Settings::default()
    };
    for (settings, command) in [(by_count, ByteSize(10)), (by_size, ByteSize(1_000))] {
        let (refused, max_entries) = propose_all(settings.clone(), command, true);
        expect_that!((refused, max_entries), (eq(0), le(26)));
        let (refused, max_entries) = propose_all(settings, command, false);
        expect_that!((refused, max_entries), (ge(200), le(86)));
    }
}

#[googletest::test]
fn invalid_membership_changes_are_refused_and_a_learner_replaces_its_old_incarnation() {
    let three = Membership::from_voters((1..=3).map(|number| replica_id(number, 1)));
    let nine = Membership::from_voters((1..=9).map(|number| replica_id(number, 1)));
    let one = Membership::from_voters([replica_id(1, 1)]);
    let add = MembershipChange::AddLearner;
    let cases = [
        (&nine, add(replica_id(10, 1)), ChangeRefusal::TooMany),
        (&three, add(replica_id(2, 1)), ChangeRefusal::Invalid),
        (&three, add(replica_id(2, 0)), ChangeRefusal::OldIncarnation),
        (
            &three,
            MembershipChange::Promote(replica_id(4, 1)),
            ChangeRefusal::Invalid,
        ),
        (
            &three,
            MembershipChange::Remove(replica_id(4, 1)),
            ChangeRefusal::Invalid,
        ),
        (
            &one,
            MembershipChange::Remove(replica_id(1, 1)),
            ChangeRefusal::Invalid,
        ),
    ];
    for (members, change, refusal) in cases {
        expect_that!(members.after(&change), err(eq(&refusal)), "{change:?}");
    }
    let replaced = three.after(&add(replica_id(2, 2))).unwrap();
    expect_that!(
        replaced.to_string(),
        eq("voters [r1@1 r3@1] learners [r2@2]")
    );
    let promoted = replaced
        .after(&MembershipChange::Promote(replica_id(2, 2)))
        .unwrap();
    expect_that!(promoted.to_string(), eq("voters [r1@1 r2@2 r3@1]"));
}
