//! Evaluation of one replay.

use std::collections::BTreeMap;
use std::fmt;

use mimosa_protocol::RefusalReason;
use mimosa_protocol::Timestamp;

use crate::attempt::mean_gap;
use crate::simulation::End;
use crate::simulation::Outcome;
use crate::workload::ACCOUNT_SHARES;
use crate::workload::Arrival;
use crate::workload::Deployment;
use crate::workload::OUT_SPAN;
use crate::workload::Trace;
use crate::workload::WARM_UP;

/// Period after the return of a data centre for which the goodput is reported.
const RETURN_SECONDS: u64 = 20;

/// Length of the time slices in which shares are compared, because the demand of the accounts and
/// the capacity change over time.
const FAIRNESS_SLICE_MICROS: u64 = 10_000_000;

/// Results of a policy, in per cent unless the name says otherwise.
#[derive(Clone, Debug)]
pub struct Score {
    /// Requests served within their targets.
    pub goodput: f64,
    /// Goodput as a share of the upper bound.
    pub of_bound: f64,
    /// Processed prompt tokens whose result was discarded.
    pub wasted: f64,
    /// Lowest ratio of an account's good tokens to its fair share.
    pub worst_account: f64,
    /// Requests refused by the policy or the rate limiter, and those without a result at the end.
    pub refused: f64,
    /// Requests completed after their targets.
    pub late: f64,
    /// Goodput while a data centre is out of service.
    pub out: f64,
    /// Goodput in the first [`RETURN_SECONDS`] after its return.
    pub back: f64,
    /// Number of attempts that a cold endpoint refused.
    pub cold_refusals: u32,
}

struct Scored<'a> {
    arrival: &'a Arrival,
    outcome: &'a Outcome,
    /// Whether the request was served within its targets.
    good: bool,
}

/// Computes the score over the requests within their rates.
pub fn score(deployment: &Deployment, trace: &Trace, outcomes: &[Outcome], bound: f64) -> Score {
    let scored: Vec<Scored<'_>> = trace
        .arrivals
        .iter()
        .zip(outcomes)
        .filter(|(arrival, outcome)| arrival.at >= WARM_UP && outcome.inside_rate)
        .map(|(arrival, outcome)| Scored {
            good: is_good(deployment, arrival, outcome),
            arrival,
            outcome,
        })
        .collect();
    let all = scored.len() as f64;
    let good = scored.iter().filter(|each| each.good).count() as f64;
    let refused = scored.iter().filter(|each| is_refused(each)).count() as f64;
    let late = scored.iter().filter(|each| is_late(each)).count() as f64;
    let prefilled: u64 = outcomes.iter().map(|each| each.prefilled_tokens).sum();
    let wasted: u64 = outcomes.iter().map(|each| each.wasted_tokens).sum();
    let back = Timestamp::from_secs(OUT_SPAN.1.as_micros() / 1_000_000 + RETURN_SECONDS);
    Score {
        goodput: 100.0 * good / all,
        of_bound: 100.0 * good / bound,
        wasted: 100.0 * wasted as f64 / (prefilled.max(1)) as f64,
        worst_account: worst_account(&scored),
        refused: 100.0 * refused / all,
        late: 100.0 * late / all,
        out: goodput_between(&scored, OUT_SPAN.0, OUT_SPAN.1),
        back: goodput_between(&scored, OUT_SPAN.1, back),
        cold_refusals: outcomes.iter().map(|each| each.cold_refusals).sum(),
    }
}

fn is_good(deployment: &Deployment, arrival: &Arrival, outcome: &Outcome) -> bool {
    let Some((first, finished)) = outcome.first_token.zip(outcome.finished) else {
        return false;
    };
    let gap = mean_gap(first, finished, arrival.output);
    first.since(arrival.at) <= deployment.first_token_target
        && gap <= deployment.token_gap_target.as_secs_f64()
}

fn is_refused(scored: &&Scored<'_>) -> bool {
    matches!(
        scored.outcome.end,
        Some(End::OverRate | End::Refused(_)) | None
    )
}

fn is_late(scored: &&Scored<'_>) -> bool {
    scored.outcome.end == Some(End::Complete) && !scored.good
}

fn goodput_between(scored: &[Scored<'_>], from: Timestamp, to: Timestamp) -> f64 {
    let inside = |each: &&Scored<'_>| each.arrival.at >= from && each.arrival.at < to;
    let all = scored.iter().filter(inside).count();
    let good = scored.iter().filter(inside).filter(|each| each.good);
    100.0 * good.count() as f64 / all.max(1) as f64
}

/// Minimum over all accounts of the ratio of good tokens to the max-min fair share of the good
/// tokens of each time slice.
fn worst_account(scored: &[Scored<'_>]) -> f64 {
    let mut slices: BTreeMap<u64, Vec<&Scored<'_>>> = BTreeMap::new();
    for each in scored {
        let slice = each.arrival.at.as_micros() / FAIRNESS_SLICE_MICROS;
        slices.entry(slice).or_default().push(each);
    }
    let mut served = vec![0.0; ACCOUNT_SHARES.len()];
    let mut shares = vec![0.0; ACCOUNT_SHARES.len()];
    for slice in slices.values() {
        let good = tokens(slice, true);
        let fair = fair_shares(&tokens(slice, false), good.iter().sum());
        served
            .iter_mut()
            .zip(good)
            .for_each(|(sum, got)| *sum += got);
        shares
            .iter_mut()
            .zip(fair)
            .for_each(|(sum, part)| *sum += part);
    }
    let ratios = served.iter().zip(&shares).map(|(got, share)| got / share);
    100.0 * ratios.fold(f64::MAX, f64::min)
}

fn tokens(slice: &[&Scored<'_>], good_only: bool) -> Vec<f64> {
    let mut sums = vec![0.0; ACCOUNT_SHARES.len()];
    for each in slice.iter().filter(|each| each.good || !good_only) {
        sums[each.arrival.account] += (each.arrival.prompt + each.arrival.output).0 as f64;
    }
    sums
}

/// Max-min fair shares of a capacity with equal weights.
fn fair_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut left = capacity;
    let mut shares = vec![0.0; demands.len()];
    for (done, i) in order.iter().enumerate() {
        let part = left / (demands.len() - done) as f64;
        shares[*i] = demands[*i].min(part);
        left -= shares[*i];
    }
    shares
}

impl fmt::Display for Score {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:7.2} | {:7.2} | {:6.2} | {:7.2} | {:7.2} | {:6.2} | {:6.2} | {:6.2} | {:4}",
            self.goodput,
            self.of_bound,
            self.wasted,
            self.worst_account,
            self.refused,
            self.late,
            self.out,
            self.back,
            self.cold_refusals,
        )
    }
}

/// Number of requests by result, for `--detail`.
pub fn reasons(outcomes: &[Outcome]) -> Vec<(String, usize)> {
    let mut counts = BTreeMap::new();
    let ends = outcomes.iter().filter(|each| each.inside_rate);
    for end in ends.map(|each| each.end) {
        let name = match end {
            Some(End::Refused(reason)) => RefusalReason::as_str(reason).to_owned(),
            other => format!("{other:?}"),
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    counts.into_iter().collect()
}

/// Numbers of good and all requests of each account, and the mean prompts of all and of the lost
/// requests.
pub fn by_account(deployment: &Deployment, trace: &Trace, outcomes: &[Outcome]) -> Vec<String> {
    (0..ACCOUNT_SHARES.len())
        .map(|account| {
            let own: Vec<(&Arrival, &Outcome)> = trace
                .arrivals
                .iter()
                .zip(outcomes)
                .filter(|(each, outcome)| each.account == account && outcome.inside_rate)
                .filter(|(each, _)| each.at >= WARM_UP)
                .collect();
            let good = own
                .iter()
                .filter(|each| is_good(deployment, each.0, each.1));
            let lost: Vec<_> = own
                .iter()
                .filter(|each| !is_good(deployment, each.0, each.1))
                .collect();
            let mean = |sum: u64, count: usize| sum / count.max(1) as u64;
            format!(
                "account {account}: {} of {} good, mean prompt {} lost {}",
                good.count(),
                own.len(),
                mean(own.iter().map(|each| each.0.prompt.0).sum(), own.len()),
                mean(lost.iter().map(|each| each.0.prompt.0).sum(), lost.len()),
            )
        })
        .collect()
}
