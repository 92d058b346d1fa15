//! Golden sessions of a data centre, and focused failures that random sessions rarely meet.

#[path = "support/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::Fleet;
use fleet::address;
use fleet::instance;
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

const RELAY: Role = Role::ConfigurationRelay;

fn run(fleet: &mut Fleet, secs: u64) {
    fleet.run(Duration::from_secs(secs), |_| {});
}

fn run_with_one_holder(fleet: &mut Fleet, secs: u64) {
    fleet.run(Duration::from_secs(secs), |fleet| {
        for shard in 0..20 {
            let acting = fleet.acting(&Role::RateKeeper(Shard(shard)));
            assert!(
                acting.len() <= 1,
                "two holders at {} ms: {acting:?}",
                fleet.millis
            );
        }
    });
}

fn say(fleet: &mut Fleet, text: &str) {
    let holders = |fleet: &Fleet| {
        let acting = fleet.acting(&RELAY);
        acting
            .keys()
            .map(|who| instance(*who).to_string())
            .collect::<Vec<_>>()
    };
    let acting = holders(fleet).join(" and ");
    fleet.log.push(format!("-- {text}; relay: {acting}"));
}

#[test]
fn a_session_of_three_entries() {
    let mut fleet = Fleet::new(3, 7, Settings::default());
    run(&mut fleet, 6);
    say(&mut fleet, "all started; entry-2 restarts");
    fleet.restart(1);
    run(&mut fleet, 6);
    say(&mut fleet, "back in the view; entry-3 freezes for 5 s");
    fleet.processes[2].frozen_until = fleet.millis + 5_000;
    run(&mut fleet, 10);
    say(&mut fleet, "it woke; entry-1 is cut off");
    fleet.processes[0].side = 1;
    run(&mut fleet, 6);
    say(&mut fleet, "the rest went on; the cut heals");
    fleet.processes[0].side = 0;
    run(&mut fleet, 6);
    say(&mut fleet, "entry-2 drains");
    fleet.drain(1, true);
    run(&mut fleet, 3);
    say(&mut fleet, "it keeps its vote only; then it ends");
    fleet.processes[1].frozen_until = u64::MAX;
    fleet.processes[1].listed = false;
    run(&mut fleet, 14);
    say(&mut fleet, "the platform dropped it");
    insta::assert_snapshot!(fleet.log.join("\n"));
}

#[test]
fn a_session_of_two_entries() {
    let mut fleet = Fleet::new(2, 7, Settings::default());
    run(&mut fleet, 6);
    say(
        &mut fleet,
        "all started; entry-2 hangs: the first outvotes it",
    );
    fleet.processes[1].frozen_until = fleet.millis + 8_000;
    run(&mut fleet, 8);
    say(&mut fleet, "it wakes");
    run(&mut fleet, 6);
    say(&mut fleet, "entry-1 hangs: the second waits");
    fleet.processes[0].frozen_until = u64::MAX;
    run(&mut fleet, 6);
    say(&mut fleet, "the platform drops entry-1");
    fleet.processes[0].listed = false;
    run(&mut fleet, 16);
    say(
        &mut fleet,
        "the second goes on alone; entry-1 wakes after all",
    );
    fleet.processes[0].frozen_until = 0;
    run_with_one_holder(&mut fleet, 3);
    say(
        &mut fleet,
        "it learns the view; the platform lists it again",
    );
    fleet.processes[0].listed = true;
    run_with_one_holder(&mut fleet, 6);
    say(&mut fleet, "both are in");
    insta::assert_snapshot!(fleet.log.join("\n"));
}

#[googletest::test]
fn duplicated_processes_and_addresses_are_typed_outcomes() {
    let mut fleet = Fleet::new(3, 7, Settings::default());
    run(&mut fleet, 6);
    let heartbeat = |fleet: &Fleet, who: usize, life: u64| Message {
        from: Identity {
            instance: instance(who),
            incarnation: Incarnation(life),
        },
        data_centre: "harbour".parse().unwrap(),
        body: Body::Accepted {
            base: Epoch(fleet.millis),
            ballot: Ballot {
                round: 0,
                proposer: instance(who),
            },
        },
    };
    let receive = |fleet: &mut Fleet, from: usize, message: Message| {
        let from = address(from);
        let now = fleet.now(0);
        fleet.processes[0]
            .members
            .handle(now, Event::Received { from, message })
    };
    // An old life of a peer, a second process of the same life, one address for two names.
    fleet.restart(1);
    run(&mut fleet, 1);
    let old_life = heartbeat(&fleet, 1, 1);
    expect_that!(
        receive(&mut fleet, 1, old_life),
        contains(matches_pattern!(Action::Send {
            message: matches_pattern!(Message {
                body: eq(&Body::Stop { by: Incarnation(2) }),
                ..
            }),
            ..
        }))
    );
    let twin = heartbeat(&fleet, 1, 2);
    expect_that!(
        receive(&mut fleet, 8, twin),
        contains(eq(&Action::DuplicateInstance {
            instance: instance(1),
            address: address(8),
        }))
    );
    let same_address = heartbeat(&fleet, 4, 1);
    expect_that!(
        receive(&mut fleet, 2, same_address),
        contains(matches_pattern!(Action::DuplicateAddress { .. }))
    );
    // A twin of this very process, then a later life of it.
    let own_twin = heartbeat(&fleet, 0, 1);
    receive(&mut fleet, 8, own_twin);
    expect_that!(fleet.may_act(0, &RELAY), err(eq(&NotActing::Duplicated)));
    let later_life = heartbeat(&fleet, 0, 2);
    expect_that!(
        receive(&mut fleet, 8, later_life),
        contains(eq(&Action::Superseded { by: Incarnation(2) }))
    );
    run(&mut fleet, 1);
    expect_that!(fleet.may_act(0, &RELAY), err(anything()));
}

#[test]
fn a_cut_off_voter_does_not_outvote_a_view_that_the_dead_chose() {
    let mut fleet = Fleet::new(6, 7, Settings::default());
    for late in 3..6 {
        fleet.processes[late].listed = false;
        fleet.processes[late].frozen_until = u64::MAX;
    }
    run_with_one_holder(&mut fleet, 6);
    // Entry 3 is cut off while 4, 5 and 6 join 1 and 2; then 1 and 2 restart on its side.
    fleet.processes[2].side = 1;
    for late in 3..6 {
        fleet.processes[late].listed = true;
        fleet.processes[late].frozen_until = 0;
    }
    run_with_one_holder(&mut fleet, 12);
    for dead in 0..2 {
        fleet.restart(dead);
        fleet.processes[dead].side = 1;
    }
    run_with_one_holder(&mut fleet, 30);
    let acting = fleet.acting(&RELAY);
    assert!(
        acting.keys().all(|who| *who >= 3),
        "not the larger part: {acting:?}"
    );
}

#[test]
fn halves_that_never_met_form_no_view() {
    let mut fleet = Fleet::new(4, 7, Settings::default());
    fleet.processes[2].side = 1;
    fleet.processes[3].side = 1;
    run_with_one_holder(&mut fleet, 20);
    assert!(fleet.acting(&RELAY).is_empty());
    fleet.processes.iter_mut().for_each(|each| each.side = 0);
    run_with_one_holder(&mut fleet, 6);
    assert_eq!(fleet.acting(&RELAY).len(), 1);
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
    let mut fleet = Fleet::new(3, 7, Settings::default());
    run(&mut fleet, 6);
    let base = fleet.processes[1].members.view().unwrap().epoch;
    let acknowledges = |members: &mut Membership, now: Timestamp| {
        let actions = members.handle(now, Event::Tick);
        actions.into_iter().find_map(|action| match action {
            Action::Send { message, .. } => match message.body {
                Body::Heartbeat(heartbeat) => Some(heartbeat.acknowledges),
                _ => None,
            },
            _ => None,
        })
    };
    let now = fleet.now(1) + Duration::from_millis(500);
    let members = &mut fleet.processes[1].members;
    expect_that!(acknowledges(members, now), some(eq(true)));
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
    let answer = members.handle(now, Event::Received { from, message });
    expect_that!(answer, len(eq(1)));
    let later = now + Duration::from_millis(500);
    expect_that!(acknowledges(members, later), some(eq(false)));
}

#[test]
fn an_entry_that_restarts_comes_back_into_a_large_view() {
    let last = MAX_MEMBERS - 1;
    let mut fleet = Fleet::new(MAX_MEMBERS, 7, Settings::default());
    run(&mut fleet, 5);
    fleet.restart(last);
    run(&mut fleet, 5);
    let view = fleet.processes[0].members.view().unwrap();
    let back = view.members.get(&instance(last));
    assert_eq!(back.map(|member| member.incarnation), Some(Incarnation(2)));
}

#[googletest::test]
fn a_late_copy_of_a_first_view_is_not_accepted_again() {
    let mut fleet = Fleet::new(3, 7, Settings::default());
    run(&mut fleet, 6);
    let first = fleet.processes[0].members.view().unwrap().clone();
    fleet.restart(1);
    run(&mut fleet, 1);
    expect_that!(fleet.processes[1].members.view(), some(anything()));
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
    let (now, from) = (fleet.now(1), address(0));
    let event = Event::Received { from, message };
    expect_that!(fleet.processes[1].members.handle(now, event), is_empty());
}

#[googletest::test]
fn a_voter_refuses_rounds_below_its_promise() {
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
    let me = Identity {
        instance: instance(0),
        incarnation: Incarnation(1),
    };
    let settings = Settings::default();
    let wait = settings.lease + settings.guard;
    let secs = Timestamp::from_secs;
    // (epochs installed at 10 s and at 20 s, epoch in which it acts at 20.1 s)
    for (epochs, acting) in [([5, 6], Some(Epoch(5))), ([5, 7], None)] {
        let mut leases = Leases::new(me.clone(), &settings);
        leases.install(secs(10), view(epochs[0], &[0]));
        leases.install(secs(20), view(epochs[1], &[0]));
        leases.sent(secs(20), 1, true);
        let soon = secs(20) + Duration::from_millis(100);
        expect_that!(leases.may_act(soon, &RELAY).ok(), eq(acting));
        leases.sent(secs(20) + wait, 2, true);
        expect_that!(leases.may_act(secs(20) + wait, &RELAY), ok(anything()));
    }
}
