//! Snapshot tests of whole sessions of a data centre, and failures that random sessions rarely
//! reach.

#[path = "support/simulation.rs"]
mod simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_membership::Action;
use mimosa_membership::Event;
use mimosa_membership::Identity;
use mimosa_membership::Membership;
use mimosa_membership::NotActing;
use mimosa_membership::Role;
use mimosa_membership::Settings;
use mimosa_membership::Shard;
use mimosa_membership::View;
use mimosa_membership::agreement::Voter;
use mimosa_membership::lease::Leases;
use mimosa_membership::message::Accept;
use mimosa_membership::message::Ballot;
use mimosa_membership::message::Body;
use mimosa_membership::message::Message;
use mimosa_membership::message::Proposal;
use mimosa_membership::view::MAX_MEMBERS;
use mimosa_membership::view::Member;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Timestamp;
use simulation::Simulation;
use simulation::address;
use simulation::instance;

const RELAY: Role = Role::ConfigurationRelay;

fn run(sim: &mut Simulation, secs: u64) {
    sim.run(Duration::from_secs(secs), |_| {});
}

fn run_with_one_holder(sim: &mut Simulation, secs: u64) {
    sim.run(Duration::from_secs(secs), |sim| {
        for shard in 0..20 {
            let acting = sim.acting(&Role::RateKeeper(Shard(shard)));
            assert!(
                acting.len() <= 1,
                "two holders at {} ms: {acting:?}",
                sim.millis
            );
        }
    });
}

fn log_phase(sim: &mut Simulation, text: &str) {
    let holders = |sim: &Simulation| {
        let acting = sim.acting(&RELAY);
        acting
            .keys()
            .map(|who| instance(*who).to_string())
            .collect::<Vec<_>>()
    };
    let acting = holders(sim).join(" and ");
    sim.log.push(format!("-- {text}; relay: {acting}"));
}

#[test]
fn a_session_with_a_restart_a_pause_a_partition_and_a_drain_matches_the_snapshot() {
    let mut sim = Simulation::new(3, 7, Settings::default());
    run(&mut sim, 6);
    log_phase(&mut sim, "all started; entry-2 restarts");
    sim.restart(1);
    run(&mut sim, 6);
    log_phase(&mut sim, "back in the view; entry-3 freezes for 5 s");
    sim.processes[2].paused_until = sim.millis + 5_000;
    run(&mut sim, 10);
    log_phase(&mut sim, "it woke; entry-1 is cut off");
    sim.processes[0].partition = 1;
    run(&mut sim, 6);
    log_phase(&mut sim, "the rest went on; the cut heals");
    sim.processes[0].partition = 0;
    run(&mut sim, 6);
    log_phase(&mut sim, "entry-2 drains");
    sim.drain(1, true);
    run(&mut sim, 3);
    log_phase(&mut sim, "it keeps its vote only; then it ends");
    sim.processes[1].paused_until = u64::MAX;
    sim.processes[1].listed = false;
    run(&mut sim, 14);
    log_phase(&mut sim, "the platform dropped it");
    insta::assert_snapshot!(sim.log.join("\n"));
}

#[test]
fn a_session_of_two_entries_that_hang_in_turn_matches_the_snapshot() {
    let mut sim = Simulation::new(2, 7, Settings::default());
    run(&mut sim, 6);
    log_phase(
        &mut sim,
        "all started; entry-2 hangs: the first outvotes it",
    );
    sim.processes[1].paused_until = sim.millis + 8_000;
    run(&mut sim, 8);
    log_phase(&mut sim, "it wakes");
    run(&mut sim, 6);
    log_phase(&mut sim, "entry-1 hangs: the second waits");
    sim.processes[0].paused_until = u64::MAX;
    run(&mut sim, 6);
    log_phase(&mut sim, "the platform drops entry-1");
    sim.processes[0].listed = false;
    run(&mut sim, 16);
    log_phase(
        &mut sim,
        "the second goes on alone; entry-1 wakes after all",
    );
    sim.processes[0].paused_until = 0;
    run_with_one_holder(&mut sim, 3);
    log_phase(&mut sim, "it learns the view; the platform lists it again");
    sim.processes[0].listed = true;
    run_with_one_holder(&mut sim, 6);
    log_phase(&mut sim, "both are in");
    insta::assert_snapshot!(sim.log.join("\n"));
}

#[googletest::test]
fn duplicate_and_superseded_processes_are_reported_and_may_not_act() {
    let mut sim = Simulation::new(3, 7, Settings::default());
    run(&mut sim, 6);
    let heartbeat = |sim: &Simulation, who: usize, incarnation: u64| Message {
        from: Identity {
            instance: instance(who),
            incarnation: Incarnation(incarnation),
        },
        data_centre: "harbour".parse().unwrap(),
        body: Body::Accepted {
            base: Epoch(sim.millis),
            ballot: Ballot {
                round: 0,
                proposer: instance(who),
            },
        },
    };
    let receive = |sim: &mut Simulation, from: usize, message: Message| {
        let from = address(from);
        let now = sim.now(0);
        sim.processes[0]
            .membership
            .handle(now, Event::Received { from, message })
    };
    // From an old incarnation of a peer, a second process of the same incarnation, and two
    // instances at one address.
    sim.restart(1);
    run(&mut sim, 1);
    let old_incarnation = heartbeat(&sim, 1, 1);
    expect_that!(
        receive(&mut sim, 1, old_incarnation),
        contains(matches_pattern!(Action::Send {
            message: matches_pattern!(Message {
                body: eq(&Body::Stop { by: Incarnation(2) }),
                ..
            }),
            ..
        }))
    );
    let duplicate = heartbeat(&sim, 1, 2);
    expect_that!(
        receive(&mut sim, 8, duplicate),
        contains(eq(&Action::DuplicateInstance {
            instance: instance(1),
            address: address(8),
        }))
    );
    let same_address = heartbeat(&sim, 4, 1);
    expect_that!(
        receive(&mut sim, 2, same_address),
        contains(matches_pattern!(Action::DuplicateAddress { .. }))
    );
    // From a duplicate of the receiving process, then from a later incarnation of it.
    let own_duplicate = heartbeat(&sim, 0, 1);
    receive(&mut sim, 8, own_duplicate);
    expect_that!(sim.may_act(0, &RELAY), err(eq(&NotActing::Duplicated)));
    let later_incarnation = heartbeat(&sim, 0, 2);
    expect_that!(
        receive(&mut sim, 8, later_incarnation),
        contains(eq(&Action::Superseded { by: Incarnation(2) }))
    );
    run(&mut sim, 1);
    expect_that!(sim.may_act(0, &RELAY), err(anything()));
}

#[test]
fn a_cut_off_voter_with_an_outdated_view_gets_no_quorum_with_restarted_members() {
    let mut sim = Simulation::new(6, 7, Settings::default());
    for late in 3..6 {
        sim.processes[late].listed = false;
        sim.processes[late].paused_until = u64::MAX;
    }
    run_with_one_holder(&mut sim, 6);
    // entry-3 is cut off while 4, 5 and 6 join 1 and 2. Then 1 and 2 restart in the partition of
    // entry-3, which still knows the view of 1, 2 and 3 only.
    sim.processes[2].partition = 1;
    for late in 3..6 {
        sim.processes[late].listed = true;
        sim.processes[late].paused_until = 0;
    }
    run_with_one_holder(&mut sim, 12);
    for restarted in 0..2 {
        sim.restart(restarted);
        sim.processes[restarted].partition = 1;
    }
    run_with_one_holder(&mut sim, 30);
    let acting = sim.acting(&RELAY);
    assert!(
        acting.keys().all(|who| *who >= 3),
        "an entry of the smaller partition acts: {acting:?}"
    );
}

#[test]
fn partitions_present_from_the_start_form_no_view_until_they_merge() {
    let mut sim = Simulation::new(4, 7, Settings::default());
    sim.processes[2].partition = 1;
    sim.processes[3].partition = 1;
    run_with_one_holder(&mut sim, 20);
    assert!(sim.acting(&RELAY).is_empty());
    sim.processes
        .iter_mut()
        .for_each(|process| process.partition = 0);
    run_with_one_holder(&mut sim, 6);
    assert_eq!(sim.acting(&RELAY).len(), 1);
}

fn view(epoch: u64, members: &[usize]) -> View {
    let member = Member {
        incarnation: Incarnation(1),
        eligible: true,
    };
    let members: BTreeMap<_, _> = members.iter().map(|who| (instance(*who), member)).collect();
    View {
        epoch: Epoch(epoch),
        members,
    }
}

fn proposal(round: u64, view: View) -> Proposal {
    let ballot = Ballot {
        round,
        proposer: instance(0),
    };
    Proposal { ballot, view }
}

#[googletest::test]
fn a_voter_that_accepted_the_next_view_acknowledges_no_lease() {
    let mut sim = Simulation::new(3, 7, Settings::default());
    run(&mut sim, 6);
    let base = sim.processes[1].membership.view().unwrap().epoch;
    let acknowledges = |membership: &mut Membership, now: Timestamp| {
        let actions = membership.handle(now, Event::Tick);
        actions.into_iter().find_map(|action| match action {
            Action::Send { message, .. } => match message.body {
                Body::Heartbeat(heartbeat) => Some(heartbeat.acknowledges),
                _ => None,
            },
            _ => None,
        })
    };
    let now = sim.now(1) + Duration::from_millis(500);
    let membership = &mut sim.processes[1].membership;
    expect_that!(acknowledges(membership, now), some(eq(true)));
    let accept = Accept {
        base,
        proposal: proposal(99, view(base.next().get(), &[0, 2])),
    };
    let from = address(0);
    let message = Message {
        from: Identity {
            instance: instance(0),
            incarnation: Incarnation(1),
        },
        data_centre: "harbour".parse().unwrap(),
        body: Body::Accept(accept),
    };
    let answer = membership.handle(now, Event::Received { from, message });
    expect_that!(answer, len(eq(1)));
    let later = now + Duration::from_millis(500);
    expect_that!(acknowledges(membership, later), some(eq(false)));
}

#[test]
fn a_restarted_entry_rejoins_a_view_of_maximum_size() {
    let last = MAX_MEMBERS - 1;
    let mut sim = Simulation::new(MAX_MEMBERS, 7, Settings::default());
    run(&mut sim, 5);
    sim.restart(last);
    run(&mut sim, 5);
    let view = sim.processes[0].membership.view().unwrap();
    let member = view.members.get(&instance(last));
    assert_eq!(
        member.map(|member| member.incarnation),
        Some(Incarnation(2))
    );
}

#[googletest::test]
fn a_late_copy_of_a_first_view_is_not_accepted_again() {
    let mut sim = Simulation::new(3, 7, Settings::default());
    run(&mut sim, 6);
    let first = sim.processes[0].membership.view().unwrap().clone();
    sim.restart(1);
    run(&mut sim, 1);
    expect_that!(sim.processes[1].membership.view(), some(anything()));
    let accept = Accept {
        base: Epoch::ZERO,
        proposal: proposal(99, first),
    };
    let message = Message {
        from: Identity {
            instance: instance(0),
            incarnation: Incarnation(1),
        },
        data_centre: "harbour".parse().unwrap(),
        body: Body::Accept(accept),
    };
    let (now, from) = (sim.now(1), address(0));
    let event = Event::Received { from, message };
    expect_that!(sim.processes[1].membership.handle(now, event), is_empty());
}

#[googletest::test]
fn a_voter_rejects_ballots_below_its_promise_and_other_bases() {
    let mut voter = Voter::new(Epoch(5));
    let low = proposal(1, view(6, &[0]));
    let high = proposal(2, view(6, &[1]));
    expect_that!(voter.prepare(Epoch(5), &high.ballot), some(anything()));
    expect_that!(voter.prepare(Epoch(5), &low.ballot), none());
    expect_that!(voter.accept(Epoch(5), low), eq(false));
    expect_that!(voter.accept(Epoch(4), high.clone()), eq(false));
    expect_that!(voter.accept(Epoch(5), high), eq(true));
}

#[googletest::test]
fn a_holder_that_missed_a_view_waits_like_a_successor() {
    let identity = Identity {
        instance: instance(0),
        incarnation: Incarnation(1),
    };
    let settings = Settings::default();
    let wait = settings.lease + settings.guard;
    let secs = Timestamp::from_secs;
    // (epochs installed at 10 s and at 20 s, epoch in which it acts at 20.1 s)
    for (epochs, acting) in [([5, 6], Some(Epoch(5))), ([5, 7], None)] {
        let mut leases = Leases::new(identity.clone(), &settings);
        leases.install(secs(10), view(epochs[0], &[0]));
        leases.install(secs(20), view(epochs[1], &[0]));
        leases.heartbeat_sent(secs(20), 1, true);
        let soon = secs(20) + Duration::from_millis(100);
        expect_that!(leases.may_act(soon, &RELAY).ok(), eq(acting));
        leases.heartbeat_sent(secs(20) + wait, 2, true);
        expect_that!(leases.may_act(secs(20) + wait, &RELAY), ok(anything()));
    }
}
