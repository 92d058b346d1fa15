//! Compares methods of deciding between two versions on streams of good and bad responses: fixed steps,
//! a sequential probability ratio test, its restarted form (CUSUM), and a Bayesian test. Prints the
//! errors in 1,000 streams and the mean number of responses until a roll-back, for the numbers of
//! responses that 12 s at 5, 50 and 500 requests/s allow.

#[path = "../tests/support/random.rs"]
mod random;

use self::random::Random;

const STREAMS: u64 = 1_000;
/// Part of bad responses of a good version, and of a bad one.
const GOOD: f64 = 0.005;
const BAD: f64 = 0.35;
/// Hypotheses of the sequential tests.
const USUAL: f64 = 0.02;
const SUSPECT: f64 = 0.15;

/// The response at which a method rolls back; `None` if it does not.
type Method = fn(&[bool]) -> Option<usize>;

/// Rolls back if more than a tenth of the responses so far is bad after 10, 20, 40, .. responses.
fn fixed_steps(responses: &[bool]) -> Option<usize> {
    let mut step = 10;
    while step <= responses.len() {
        let bad = responses[..step].iter().filter(|bad| **bad).count();
        if bad * 10 > step {
            return Some(step);
        }
        step *= 2;
    }
    None
}

fn evidence(bad: bool) -> f64 {
    match bad {
        true => (SUSPECT / USUAL).ln(),
        false => ((1.0 - SUSPECT) / (1.0 - USUAL)).ln(),
    }
}

/// Accepts the version for good at the lower limit.
fn sequential(responses: &[bool]) -> Option<usize> {
    let mut sum = 0.0;
    for (index, bad) in responses.iter().enumerate() {
        sum += evidence(*bad);
        if sum >= 8.0 {
            return Some(index + 1);
        }
        if sum <= -4.6 {
            return None;
        }
    }
    None
}

fn restarted(responses: &[bool]) -> Option<usize> {
    let mut sum = 0.0_f64;
    for (index, bad) in responses.iter().enumerate() {
        sum = (sum + evidence(*bad)).max(0.0);
        if sum >= 8.0 {
            return Some(index + 1);
        }
    }
    None
}

/// Rolls back once the part of bad responses is above 5% with a probability of 99.9%, from a uniform
/// prior. That probability is the one of at most `bad` successes in `n + 1` trials at 5%.
fn bayesian(responses: &[bool]) -> Option<usize> {
    let mut bad = 0;
    for (index, is_bad) in responses.iter().enumerate() {
        bad += u32::from(*is_bad);
        let trials = index as f64 + 2.0;
        let mut term = 0.95_f64.powf(trials);
        let mut sum = term;
        for successes in 1..=bad {
            let successes = f64::from(successes);
            term *= (trials - successes + 1.0) / successes * 0.05 / 0.95;
            sum += term;
        }
        if sum >= 0.999 {
            return Some(index + 1);
        }
    }
    None
}

fn main() {
    let methods: [(&str, Method); 4] = [
        ("fixed steps", fixed_steps),
        ("sequential", sequential),
        ("restarted", restarted),
        ("bayesian", bayesian),
    ];
    for (rate, length) in [(5, 50), (50, 80), (500, 550)] {
        for (name, method) in methods {
            let mut random = Random(rate);
            let mut results = [0, 0, 0];
            let mut needed = [0, 0];
            for _ in 0..STREAMS {
                let good: Vec<bool> = (0..length).map(|_| random.chance(GOOD)).collect();
                let bad: Vec<bool> = (0..length).map(|_| random.chance(BAD)).collect();
                let mut later = good.clone();
                later[length / 2..].copy_from_slice(&bad[length / 2..]);
                results[0] += u64::from(method(&good).is_some());
                for (index, stream) in [bad, later].iter().enumerate() {
                    match method(stream) {
                        Some(at) => needed[index] += at,
                        None => results[index + 1] += 1,
                    }
                }
            }
            let mean = |index: usize| {
                let found = STREAMS - results[index + 1];
                needed[index] as f64 / found.max(1) as f64
            };
            println!(
                "rate={rate} responses={length} method=\"{name}\" false_positives={} missed={} \
                 needed={:.1} missed_later={} needed_later={:.1}",
                results[0],
                results[1],
                mean(0),
                results[2],
                mean(1) - length as f64 / 2.0
            );
        }
    }
}
