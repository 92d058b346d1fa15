//! Rate limits of endpoints, kept by many senders that do not coordinate.

use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::RequestRate;
use mimosa_protocol::Timestamp;
use mimosa_schedule::rate_limit::RateLimit;
use mimosa_schedule::rate_limit::Senders;

const START: Timestamp = Timestamp::from_secs(100);
const STEP: Duration = Duration::from_millis(10);
const WINDOW: Duration = Duration::from_secs(4);
/// Seeds of each case.
const SEEDS: u64 = 4;
const DAY: Duration = Duration::from_secs(60);

/// The users' bound: one and a half times the limit, and five requests.
fn allowed(limit: RequestRate) -> usize {
    (limit.0 as usize * 4 * 3).div_ceil(2 * 1_000) + 5
}

/// How long senders are simulated, and at which interval they try to send.
#[derive(Clone, Copy)]
struct Run {
    time: Duration,
    step: Duration,
}

const SHORT: Run = Run {
    time: DAY,
    step: STEP,
};

/// Times of all requests of senders that send whenever they may and `wants` is true, oldest first.
fn sent_by(
    count: u32,
    limit: RequestRate,
    seed: u64,
    run: Run,
    wants: impl Fn(Timestamp) -> bool,
) -> Vec<Timestamp> {
    let mut random = SplitMix(seed);
    let mut senders: Vec<_> = (0..count)
        .map(|_| {
            let senders = Senders {
                count,
                number: random.next(),
            };
            let mut state = RateLimit::default();
            state.record_response(START, START, Some(limit), senders);
            (state, senders)
        })
        .collect();
    let mut sent = Vec::new();
    let mut now = START;
    while now.since(START) < run.time {
        for (state, senders) in &mut senders {
            if wants(now) && state.allows_request(now, *senders) {
                state.record_request(now, *senders);
                sent.push(now);
            }
        }
        now = now + run.step;
    }
    sent
}

struct SplitMix(u64);

impl SplitMix {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

fn most_in_window(sent: &[Timestamp]) -> usize {
    let windows = sent.iter().enumerate().map(|(index, end)| {
        let inside = sent[..=index].iter().rev();
        inside.take_while(|at| end.since(**at) <= WINDOW).count()
    });
    windows.max().unwrap_or_default()
}

const LIMITS: [u64; 6] = [300, 1_000, 1_900, 2_600, 5_600, 50_000];
const COUNTS: [u32; 5] = [1, 2, 6, 86, 294];

/// Checks the users' bound for senders that are busy at the given times.
fn check_limits(is_busy: impl Fn(Timestamp) -> bool) {
    for limit in LIMITS.map(RequestRate) {
        for count in COUNTS {
            for seed in 0..SEEDS {
                let sent = sent_by(count, limit, seed, SHORT, &is_busy);
                let most = most_in_window(&sent);
                assert_that!(most, le(allowed(limit)), "{limit} {count} {seed}");
            }
        }
    }
}

#[test]
fn senders_that_are_always_busy_keep_the_limit_together() {
    check_limits(|_| true);
}

/// Guards against senders that save up slots and use them at the same moment.
#[test]
fn senders_that_become_busy_at_the_same_moment_keep_the_limit_together() {
    check_limits(|now| now.since(START) > DAY / 2);
}

/// Guards against limits that are kept by sending nothing.
#[test]
fn busy_senders_use_at_least_half_of_the_limit() {
    for limit in LIMITS.map(RequestRate) {
        for count in COUNTS {
            // Long enough for 400 requests at the limit, as the slots of many senders are random.
            let time = DAY.max(Duration::from_secs(400_000 / limit.0));
            let step = if time > DAY { STEP * 5 } else { STEP };
            let sent = sent_by(count, limit, 1, Run { time, step }, |_| true).len() as u64;
            let expected = limit.0 * time.as_secs() / 1_000;
            assert_that!(sent, ge(expected / 2), "{limit} {count}");
        }
    }
}

#[test]
fn a_limit_ends_only_with_a_response_to_a_later_request() {
    let mut state = RateLimit::default();
    let later = START + WINDOW;
    let limit = Some(RequestRate(1_000));
    assert_that!(
        state.record_response(START, START, limit, Senders::SINGLE),
        eq(true)
    );
    assert_that!(
        state.record_response(later, START, None, Senders::SINGLE),
        eq(false)
    );
    assert_that!(state.rate(), eq(limit));
    assert_that!(
        state.record_response(later, later, None, Senders::SINGLE),
        eq(true)
    );
    assert_that!(state.rate(), none());
    assert_that!(state.allows_request(later, Senders::SINGLE), eq(true));
}

#[test]
fn a_limit_of_zero_allows_no_request_and_names_no_time() {
    let mut state = RateLimit::default();
    state.record_response(START, START, Some(RequestRate(0)), Senders::SINGLE);
    assert_that!(state.wait(START + DAY, Senders::SINGLE), none());
}

#[test]
fn request_rates_are_read_from_decimal_numbers_only() {
    for (text, rate) in [
        ("2.6", 2_600),
        ("0", 0),
        ("300", 300_000),
        ("1e30", u64::MAX),
    ] {
        assert_that!(text.parse::<RequestRate>(), ok(eq(RequestRate(rate))));
    }
    for text in ["", "-1", "nan", "inf", "1e999", "3 a second", "0x10"] {
        assert_that!(text.parse::<RequestRate>(), err(anything()), "{text}");
    }
    assert_that!(RequestRate(2_600).to_string(), eq("2.600"));
}
