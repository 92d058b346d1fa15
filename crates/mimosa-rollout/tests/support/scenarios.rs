//! Behaviours of simulated endpoints: good versions under disturbances, and bad versions.

use std::time::Duration;

use crate::fleet::Behaviour;
use crate::fleet::Outcome;
use crate::fleet::Random;
use crate::fleet::Request;

/// Part of the responses of a bad version that are bad.
const BAD_PART: f64 = 0.35;
/// How many times slower they are.
const BAD_SLOWNESS: u32 = 4;

pub struct Scenario {
    pub name: &'static str,
    pub is_good: bool,
    pub behaviour: Box<Behaviour>,
}

fn usual(random: &mut Random) -> Duration {
    Duration::from_secs_f64(0.03 * random.spread())
}

pub fn good(_: &Request, random: &mut Random) -> (Outcome, bool) {
    match random.chance(0.005) {
        true => (Outcome::Failed, false),
        false => (Outcome::Complete(usual(random)), false),
    }
}

/// A part of the new version's responses fail or are slow if `is_bad` says so.
pub fn bad_when(
    is_bad: impl Fn(&Request) -> bool + 'static,
    fails: bool,
) -> impl Fn(&Request, &mut Random) -> (Outcome, bool) {
    move |request, random| {
        if !request.is_new || !is_bad(request) || !random.chance(BAD_PART) {
            return good(request, random);
        }
        match fails {
            true => (Outcome::Failed, true),
            false => (Outcome::Complete(usual(random) * BAD_SLOWNESS), true),
        }
    }
}

fn slow_old(request: &Request, random: &mut Random) -> (Outcome, bool) {
    let factor = if request.is_new { 1 } else { 4 };
    (Outcome::Complete(usual(random) * factor), false)
}

fn fault_of_both(request: &Request, random: &mut Random) -> (Outcome, bool) {
    let during = Duration::from_secs(3)..Duration::from_secs(6);
    match during.contains(&request.at) && random.chance(0.4) {
        true => (Outcome::Failed, false),
        false => good(request, random),
    }
}

fn cut_data_centre(request: &Request, random: &mut Random) -> (Outcome, bool) {
    let during = Duration::from_secs(3)..Duration::from_secs(6);
    match during.contains(&request.at) && request.data_centre == 1 {
        true => (Outcome::Failed, false),
        false => good(request, random),
    }
}

fn hot_account(request: &Request, random: &mut Random) -> (Outcome, bool) {
    let during = Duration::from_secs(2)..Duration::from_secs(8);
    if during.contains(&request.at) && random.chance(0.25) {
        return (Outcome::Refused, false);
    }
    let factor = if during.contains(&request.at) { 3 } else { 1 };
    (Outcome::Complete(usual(random) * factor), false)
}

/// Endpoints differ in speed by factors of 0.7 to 1.7. Other work on their machines makes them 2.5
/// times as slow 15% of the time, for 600 ms at a time. The new version is tested on one of them.
fn shared_machines(request: &Request, random: &mut Random) -> (Outcome, bool) {
    let endpoint = match request.is_new {
        true => 8,
        false => random.next() % 8,
    };
    let slowness = [0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.4, 1.7, 1.4][endpoint as usize];
    let slot = request.at.as_millis() as u64 / 600;
    let is_disturbed = Random(slot * 31 + endpoint).chance(0.15);
    let disturbed = if is_disturbed { 2.5 } else { 1.0 };
    let took = usual(random).mul_f64(slowness * disturbed);
    (Outcome::Complete(took), false)
}

/// All scenarios of the specification, and interference by other work.
pub fn all() -> Vec<Scenario> {
    let good_one = |name, behaviour: Box<Behaviour>| Scenario {
        name,
        is_good: true,
        behaviour,
    };
    let mut scenarios = vec![
        good_one("good", Box::new(good)),
        good_one("slow old version", Box::new(slow_old)),
        good_one("fault of both versions", Box::new(fault_of_both)),
        good_one("data centre cut off", Box::new(cut_data_centre)),
        good_one("hot account", Box::new(hot_account)),
        good_one("shared machines", Box::new(shared_machines)),
    ];
    type IsBad = fn(&Request) -> bool;
    let bad: [(&'static str, &'static str, IsBad); 5] = [
        ("fails immediately", "slow immediately", |_| true),
        ("fails later", "slow later", |r| {
            r.at > Duration::from_secs(6)
        }),
        ("fails under load", "slow under load", |r| r.load > 0.3),
        ("fails under full load", "slow under full load", |r| {
            r.load > 0.8
        }),
        ("fails on one route", "slow on one route", |r| r.route == 1),
    ];
    for (fails, slow, is_bad) in bad {
        for (name, is_failing) in [(fails, true), (slow, false)] {
            scenarios.push(Scenario {
                name,
                is_good: false,
                behaviour: Box::new(bad_when(is_bad, is_failing)),
            });
        }
    }
    scenarios
}
