//! Scores of a replay: what each account got, compared with its fair share.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::Timestamp;

use crate::replay::Job;
use crate::replay::RATES;
use crate::replay::START;

/// Length of the slices over which fair shares are computed. Shares are of the capacity for which
/// accounts wait, so a slice must be shorter than the time in which a burst fills the memory (3 s).
const SLICE: Duration = Duration::from_secs(2);

/// Results of an account, in token-seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub demand: f64,
    pub good: f64,
    pub fair: f64,
}

/// Result of a replay.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub accounts: Vec<Served>,
    pub requests: u64,
    /// Requests whose first output met the latency target of the try that was served.
    pub in_time: u64,
    pub late: u64,
    pub refusals: u64,
    /// Hash of all decisions of the scheduler and their times.
    pub decisions: u64,
}

impl Outcome {
    /// Scores the requests of a replay.
    pub fn new(jobs: &[Job], refusals: u64, decisions: u64) -> Self {
        // A request counts in each slice in which its client sent it, and is served in the last one.
        let mut slices: BTreeMap<u128, Vec<(&Job, bool)>> = BTreeMap::new();
        for job in jobs {
            let slice = |at: &Timestamp| at.since(START).as_micros() / SLICE.as_micros();
            let mut sent_in: Vec<u128> = job.sent_at.iter().map(slice).collect();
            sent_in.dedup();
            let last = sent_in.last().copied();
            for slice in sent_in {
                let is_served = job.is_good && job.is_over && Some(slice) == last;
                slices.entry(slice).or_default().push((job, is_served));
            }
        }
        let mut accounts = vec![Served::default(); RATES.len()];
        for sent in slices.values() {
            let mut slice = vec![Served::default(); RATES.len()];
            for (job, is_served) in sent {
                slice[job.account].demand += job.cost();
                if *is_served {
                    slice[job.account].good += job.cost();
                }
            }
            divide(&mut slice);
            for (sum, each) in accounts.iter_mut().zip(slice) {
                sum.demand += each.demand;
                sum.good += each.good;
                sum.fair += each.fair;
            }
        }
        let count = |is: fn(&Job) -> bool| jobs.iter().filter(|job| is(job)).count() as u64;
        Self {
            accounts,
            requests: jobs.len() as u64,
            in_time: count(|job| job.is_good && job.is_over),
            late: count(|job| !job.is_good && job.is_over),
            refusals,
            decisions,
        }
    }

    /// Part of its fair share that each account gets.
    pub fn parts(&self) -> Vec<f64> {
        let accounts = self.accounts.iter();
        accounts.map(|each| each.good / each.fair).collect()
    }

    /// Part of its fair share that the account served worst gets.
    pub fn worst(&self) -> f64 {
        self.parts().into_iter().fold(f64::MAX, f64::min)
    }
}

/// Divides what all accounts got together into weighted max-min fair shares of their demands.
fn divide(accounts: &mut [Served]) {
    let mut left: f64 = accounts.iter().map(|each| each.good).sum();
    let mut order: Vec<usize> = (0..accounts.len()).collect();
    let by_weight = |index: usize| accounts[index].demand / RATES[index] as f64;
    order.sort_by(|a, b| by_weight(*a).total_cmp(&by_weight(*b)));
    let mut weight: f64 = RATES.iter().map(|rate| *rate as f64).sum();
    for index in order {
        let own = RATES[index] as f64;
        let fair = accounts[index].demand.min(left * own / weight);
        accounts[index].fair = fair;
        left -= fair;
        weight -= own;
    }
}
