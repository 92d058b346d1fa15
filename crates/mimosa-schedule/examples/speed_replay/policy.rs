//! The alternatives for the selection of an endpoint by a gateway.

use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Timestamp;
use mimosa_schedule::health::Health;
use mimosa_schedule::pick::Candidate;
use mimosa_schedule::pick::pick;
use mimosa_schedule::speed::SpeedEstimate;
use mimosa_schedule::speed::SpeedTable;
use mimosa_schedule::speed::WorkSums;
use mimosa_schedule::speed::select::RatedCandidate;
use mimosa_schedule::speed::select::draw;
use mimosa_schedule::speed::select::select;

use crate::ENDPOINTS;
use crate::SLOTS;

/// Age up to which the load in a response is used.
const LOAD_TTL: Duration = Duration::from_millis(500);

/// Age up to which the load of an endpoint is known well enough to compare it with another one.
const FRESH_TIME: Duration = Duration::from_millis(100);

/// A response as a gateway sees it.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub gateway: usize,
    pub endpoint: usize,
    pub took: Duration,
    pub running: u32,
    pub waiting: u32,
    pub percent: u16,
}

/// What an endpoint states about itself.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub running: u32,
    pub waiting: u32,
    pub percent: u16,
}

/// An alternative, with the state of all gateways and of the leader.
pub trait Policy {
    /// Selects an endpoint. `in_flight` counts the gateway's own requests.
    fn choose(
        &mut self,
        now: Timestamp,
        gateway: usize,
        in_flight: &[u32; ENDPOINTS],
        probe: &dyn Fn(usize) -> Load,
        random: u64,
    ) -> usize;

    fn on_answer(&mut self, now: Timestamp, answer: &Answer);

    /// Number of calls to the health path of endpoints.
    fn asked(&self) -> u32 {
        0
    }

    /// The exchange of reports and digests with the leader, once a second.
    fn exchange(&mut self, _now: Timestamp) {}
}

/// Equal shares.
pub struct Equal;

impl Policy for Equal {
    fn choose(
        &mut self,
        _: Timestamp,
        _: usize,
        _: &[u32; ENDPOINTS],
        _: &dyn Fn(usize) -> Load,
        random: u64,
    ) -> usize {
        (random % ENDPOINTS as u64) as usize
    }

    fn on_answer(&mut self, _: Timestamp, _: &Answer) {}
}

#[derive(Clone, Default)]
struct Seen {
    health: Health,
    load: Option<(Timestamp, u64)>,
    /// Peak EWMA of the duration in ms, and its time.
    peak: (f64, Timestamp),
    /// Concurrency limit, for AIMD and gradient.
    limit: f64,
    least_ms: f64,
}

/// What each gateway knows by itself.
pub struct Alone {
    gateways: Vec<[Seen; ENDPOINTS]>,
    kind: Kind,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Kind {
    /// The selection of gateways without the feature.
    Present,
    /// Peak EWMA and two choices.
    PeakEwma,
    /// Concurrency limits by additive increase and multiplicative decrease.
    Aimd,
    /// Concurrency limits by the gradient of the duration.
    Gradient,
}

impl Alone {
    pub fn new(gateways: usize, kind: Kind) -> Self {
        let seen = Seen {
            limit: 2.0,
            ..Seen::default()
        };
        Self {
            gateways: vec![std::array::from_fn(|_| seen.clone()); gateways],
            kind,
        }
    }
}

impl Policy for Alone {
    fn choose(
        &mut self,
        now: Timestamp,
        gateway: usize,
        in_flight: &[u32; ENDPOINTS],
        _: &dyn Fn(usize) -> Load,
        random: u64,
    ) -> usize {
        let seen = &self.gateways[gateway];
        let first = (random % ENDPOINTS as u64) as usize;
        let second = (first + 1 + (random >> 32) as usize % (ENDPOINTS - 1)) % ENDPOINTS;
        match self.kind {
            Kind::Present => {
                let candidates: [Candidate; ENDPOINTS] = std::array::from_fn(|at| Candidate {
                    own_load: u64::from(in_flight[at]),
                    reported_load: seen[at]
                        .load
                        .filter(|(at, _)| now.since(*at) < LOAD_TTL)
                        .map(|(_, load)| load),
                    concurrency: SLOTS as u64,
                    latency: seen[at].health.latency(),
                    is_local: true,
                    ..Candidate::default()
                });
                pick(&candidates, random).unwrap_or(first)
            }
            Kind::PeakEwma => {
                let cost = |at: usize| {
                    let (peak, since) = seen[at].peak;
                    let decay = (-now.since(since).as_secs_f64() / 10.0).exp();
                    peak * decay * f64::from(in_flight[at] + 1)
                };
                if cost(second) < cost(first) {
                    second
                } else {
                    first
                }
            }
            Kind::Aimd | Kind::Gradient => {
                let spare = |at: usize| seen[at].limit - f64::from(in_flight[at]);
                if spare(second) > spare(first) {
                    second
                } else {
                    first
                }
            }
        }
    }

    fn on_answer(&mut self, now: Timestamp, answer: &Answer) {
        let seen = &mut self.gateways[answer.gateway][answer.endpoint];
        let ms = answer.took.as_secs_f64() * 1e3;
        seen.health.record_answer(now, answer.took);
        seen.load = Some((now, u64::from(answer.running + answer.waiting)));
        let (peak, since) = seen.peak;
        let decay = (-now.since(since).as_secs_f64() / 10.0).exp();
        let next = if ms > peak {
            ms
        } else {
            peak * decay + ms * (1.0 - decay)
        };
        seen.peak = (next, now);
        match self.kind {
            Kind::Aimd if ms > 60.0 => seen.limit = (seen.limit * 0.9).max(1.0),
            Kind::Aimd => seen.limit = (seen.limit + 0.1).min(8.0),
            Kind::Gradient => {
                seen.least_ms = match seen.least_ms {
                    0.0 => ms,
                    least => least.min(ms),
                };
                let gradient = (seen.least_ms * 2.0 / ms).clamp(0.5, 1.0);
                let goal = seen.limit * gradient + 1.0;
                seen.limit = (seen.limit * 0.8 + goal * 0.2).clamp(1.0, 8.0);
            }
            _ => {}
        }
    }
}

/// Little's law: shares by the rate of completions for each running request, from counts that the
/// leader merges.
pub struct Little {
    counts: [(f64, f64); ENDPOINTS],
    weights: [f64; ENDPOINTS],
}

impl Little {
    pub fn new() -> Self {
        Self {
            counts: [(0.0, 0.0); ENDPOINTS],
            weights: [1.0; ENDPOINTS],
        }
    }
}

impl Policy for Little {
    fn choose(
        &mut self,
        _: Timestamp,
        _: usize,
        _: &[u32; ENDPOINTS],
        _: &dyn Fn(usize) -> Load,
        random: u64,
    ) -> usize {
        let sum: f64 = self.weights.iter().sum();
        let mut left = (random >> 11) as f64 / (1_u64 << 53) as f64 * sum;
        for (at, weight) in self.weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return at;
            }
        }
        ENDPOINTS - 1
    }

    fn on_answer(&mut self, _: Timestamp, answer: &Answer) {
        let (count, time) = &mut self.counts[answer.endpoint];
        *count += 1.0;
        *time += answer.took.as_secs_f64();
    }

    fn exchange(&mut self, _: Timestamp) {
        for (weight, (count, time)) in self.weights.iter_mut().zip(&mut self.counts) {
            if *count > 0.0 {
                *weight = *weight * 0.7 + 0.3 * *count / *time / 50.0;
            }
            (*count, *time) = (0.0, 0.0);
        }
    }
}

/// Load of the endpoints as one gateway last saw it.
type Loads = [Option<(Timestamp, u64)>; ENDPOINTS];

/// The step time model of [`mimosa_schedule::speed`].
pub struct Model {
    ids: Vec<EndpointId>,
    leader: SpeedTable,
    reports: [WorkSums; ENDPOINTS],
    /// Digests, of which the last is in force; it is a second old when it arrives.
    digests: Vec<[SpeedEstimate; ENDPOINTS]>,
    gateways: Vec<(SpeedTable, Loads)>,
    has_leader: bool,
    asks: bool,
    asked: u32,
}

impl Model {
    pub fn new(gateways: usize, has_leader: bool, asks: bool) -> Self {
        let ids = (0..ENDPOINTS).map(|at| format!("plain-{at}").parse().unwrap());
        Self {
            ids: ids.collect(),
            leader: SpeedTable::default(),
            reports: Default::default(),
            digests: Vec::new(),
            gateways: (0..gateways).map(|_| Default::default()).collect(),
            has_leader,
            asks,
            asked: 0,
        }
    }
}

impl Model {
    fn candidates(
        &self,
        now: Timestamp,
        gateway: usize,
        in_flight: &[u32; ENDPOINTS],
    ) -> Vec<RatedCandidate> {
        let (table, loads) = &self.gateways[gateway];
        (0..ENDPOINTS)
            .map(|at| RatedCandidate {
                candidate: Candidate {
                    own_load: u64::from(in_flight[at]),
                    reported_load: loads[at]
                        .filter(|(at, _)| now.since(*at) < FRESH_TIME)
                        .map(|(_, load)| load),
                    concurrency: SLOTS as u64,
                    is_local: true,
                    ..Candidate::default()
                },
                estimate: match self.digests.first().filter(|_| self.has_leader) {
                    Some(digest) => digest[at],
                    None => table.estimate(now, &self.ids[at]),
                },
                current_permille: table.current_permille(now, &self.ids[at]),
            })
            .collect()
    }
}

impl Policy for Model {
    fn choose(
        &mut self,
        now: Timestamp,
        gateway: usize,
        in_flight: &[u32; ENDPOINTS],
        probe: &dyn Fn(usize) -> Load,
        random: u64,
    ) -> usize {
        let candidates = self.candidates(now, gateway, in_flight);
        let drawn = draw(&candidates, random).expect("there are endpoints");
        if !self.asks {
            return select(&candidates, drawn);
        }
        let (table, loads) = &mut self.gateways[gateway];
        for at in [Some(drawn.first), drawn.second].into_iter().flatten() {
            if loads[at].is_some_and(|(at, _)| now.since(at) < FRESH_TIME) {
                continue;
            }
            self.asked += 1;
            let load = probe(at);
            table.record_percent(now, &self.ids[at], load.percent);
            loads[at] = Some((now, u64::from(load.running + load.waiting)));
        }
        select(&self.candidates(now, gateway, in_flight), drawn)
    }

    fn on_answer(&mut self, now: Timestamp, answer: &Answer) {
        let mut sums = WorkSums::default();
        sums.record_call(answer.took, answer.running, answer.waiting);
        self.reports[answer.endpoint].add(&sums);
        let (table, loads) = &mut self.gateways[answer.gateway];
        let id = &self.ids[answer.endpoint];
        table.record(now, id, &sums);
        table.record_percent(now, id, answer.percent);
        loads[answer.endpoint] = Some((now, u64::from(answer.running + answer.waiting)));
    }

    fn asked(&self) -> u32 {
        self.asked
    }

    fn exchange(&mut self, now: Timestamp) {
        for (id, sums) in self.ids.iter().zip(&mut self.reports) {
            self.leader.record(now, id, sums);
            *sums = WorkSums::default();
        }
        let digest = std::array::from_fn(|at| self.leader.estimate(now, &self.ids[at]));
        self.digests.push(digest);
        if self.digests.len() > 2 {
            self.digests.remove(0);
        }
    }
}
