//! Replay of the requests of several accounts through a fleet scheduler, with simulated engines and a
//! virtual clock. It combines a hot account, a burst and a lost data centre.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::cold::Pacing;
use mimosa_schedule::fair_share::Weights;
use mimosa_schedule::fleet::Action;
use mimosa_schedule::fleet::Event;
use mimosa_schedule::fleet::FleetScheduler;
use mimosa_schedule::fleet::GatewayRequestId;
use mimosa_schedule::fleet::Placement;
use mimosa_schedule::fleet::PlacementRequest;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::RunningRequest;
use mimosa_schedule::fleet::Settings;
use mimosa_schedule::fleet::View;
use mimosa_schedule::fleet::ViewEndpoint;

use crate::score::Outcome;

pub const START: Timestamp = Timestamp::from_secs(100);
pub const TARGET: Duration = Duration::from_millis(900);
/// Quota rates of the accounts in thousands of tokens per second. The usual load of an account is
/// in proportion to its rate.
pub const RATES: [u64; 12] = [8, 8, 8, 12, 12, 12, 20, 20, 20, 40, 40, 80];
/// The account that becomes hot.
pub const HOT: usize = 6;
const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];
const LOST_DATA_CENTRE: &str = "west";
const PREFILLS_PER_DATA_CENTRE: usize = 4;
const DECODES_PER_DATA_CENTRE: usize = 8;
const DECODE_MEMORY_TOKENS: u64 = 105_738;
const PREFILL_TOKENS_PER_S: u64 = 55_000;
const TOKEN_TIME: Duration = Duration::from_micros(690);
/// Time from the end of a prefill to the first output.
const FIRST_OUTPUT_TIME: Duration = Duration::from_millis(40);
/// Number of times that a client sends a request.
const MAX_TRIES: u32 = 3;
/// What happens in a replay; times are relative to its start.
#[derive(Clone, Debug)]
pub struct Day {
    pub length: Duration,
    /// Requests per second of all accounts together at their usual load.
    pub usual_rate: f64,
    /// When an account sends `hot_factor` times its usual load.
    pub hot: Range<u64>,
    pub hot_factor: f64,
    /// When all accounts send 2.3 times their usual load.
    pub burst: Range<u64>,
    /// When a third of the endpoints is lost.
    pub lost: Range<u64>,
    /// When another leader takes over.
    pub takeover: Option<u64>,
    pub has_shares: bool,
}

/// A request of a client, with all its tries.
pub struct Job {
    pub account: usize,
    /// When the client sent it, for each try.
    pub sent_at: Vec<Timestamp>,
    sent: Timestamp,
    prompt: u64,
    output: u64,
    estimate: u64,
    tries: u32,
    placement: Option<Placement>,
    placed_at: Timestamp,
    started: Option<Timestamp>,
    /// Whether the first output met the latency target of the last try.
    pub is_good: bool,
    /// Whether the output is complete.
    pub is_over: bool,
}

impl Job {
    pub fn cost(&self) -> f64 {
        let time = TOKEN_TIME.as_secs_f64() * self.output as f64;
        time * (self.prompt as f64 + self.output as f64 / 2.0)
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive(usize),
    Send(usize),
    Prefilled(usize, u32),
    Started(usize, u32),
    Ended(usize, u32),
    LoseDataCentre,
    RestoreDataCentre,
    TakeOver,
    Tick,
}

pub struct Replay {
    day: Day,
    random_state: u64,
    fleet: FleetScheduler,
    jobs: Vec<Job>,
    steps: BTreeMap<(Timestamp, u64), Step>,
    next_step: u64,
    next_tick: Timestamp,
    prefill_free: BTreeMap<String, Timestamp>,
    refusals: u64,
    decisions: u64,
    has_lost: bool,
}

pub fn account(index: usize) -> AccountId {
    format!("account-{index}").parse().unwrap()
}

pub fn weights() -> Arc<Weights> {
    let rates = RATES.iter().enumerate();
    Arc::new(Weights::new(
        rates.map(|(index, rate)| (account(index), TokenRate(rate * 1_000))),
    ))
}

pub fn view(has_shares: bool, without: Option<&str>) -> View {
    let mut endpoints = Vec::new();
    for data_centre in DATA_CENTRES {
        if Some(data_centre) == without {
            continue;
        }
        let roles = [
            ("p", PREFILLS_PER_DATA_CENTRE, EndpointRole::Prefill),
            ("d", DECODES_PER_DATA_CENTRE, EndpointRole::Decode),
        ];
        for (name, count, role) in roles {
            endpoints.extend((1..=count).map(|number| ViewEndpoint {
                id: format!("{name}-{data_centre}-{number}").parse().unwrap(),
                data_centre: data_centre.parse().unwrap(),
                role,
                cold_until: Timestamp::ZERO,
                version: None,
            }));
        }
    }
    View {
        memory: Tokens(DECODE_MEMORY_TOKENS),
        slots: 64,
        cold_pacing: Pacing::single_sender(0),
        max_pause: Some(Duration::from_millis(300)),
        endpoints,
        rollout: None,
        weights: has_shares.then(weights),
    }
}

pub fn request(number: u64, account_index: usize, prompt: u64, output: u64) -> PlacementRequest {
    PlacementRequest {
        id: GatewayRequestId {
            gateway: "gateway-1".parse().unwrap(),
            number,
        },
        account: Some(account(account_index)),
        prompt: Tokens(prompt),
        max_output: Tokens(8_970),
        expected_output: Some(Tokens(output)),
        priority: 1,
        time_to_target: TARGET,
        time_to_timeout: TARGET * 4,
        data_centre: DATA_CENTRES[number as usize % 2].parse().unwrap(),
        avoid: Vec::new(),
        exclude: Vec::new(),
        kv_cache_at: None,
        resumes: None,
        fingerprint: None,
    }
}

impl Replay {
    pub fn new(seed: u64, day: Day) -> Self {
        let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
        fleet.handle(START, Event::Configure(view(day.has_shares, None)));
        Self {
            day,
            random_state: seed * 2_654_435_761 + 1,
            fleet,
            jobs: Vec::new(),
            steps: BTreeMap::new(),
            next_step: 0,
            next_tick: Timestamp::ZERO,
            prefill_free: BTreeMap::new(),
            refusals: 0,
            decisions: 0xcbf2_9ce4_8422_2325,
            has_lost: false,
        }
    }

    pub fn run(mut self) -> Outcome {
        let at = |second: u64| START + Duration::from_secs(second);
        for index in 0..RATES.len() {
            self.schedule(START, Step::Arrive(index));
        }
        let lost = self.day.lost.clone();
        if !lost.is_empty() {
            self.schedule(at(lost.start), Step::LoseDataCentre);
            self.schedule(at(lost.end), Step::RestoreDataCentre);
        }
        if let Some(takeover) = self.day.takeover {
            self.schedule(at(takeover), Step::TakeOver);
        }
        while let Some(((now, _), step)) = self.steps.pop_first() {
            self.step(now, step);
            if let Some(wake) = self.fleet.next_wake(now) {
                let wake = wake.max(now + Duration::from_micros(1));
                if self.next_tick <= now || wake < self.next_tick {
                    self.next_tick = wake;
                    self.schedule(wake, Step::Tick);
                }
            }
        }
        Outcome::new(&self.jobs, self.refusals, self.decisions)
    }

    fn schedule(&mut self, at: Timestamp, step: Step) {
        self.next_step += 1;
        self.steps.insert((at, self.next_step), step);
    }

    fn step(&mut self, now: Timestamp, step: Step) {
        match step {
            Step::Arrive(account) => self.arrive(now, account),
            Step::Send(index) => self.send(now, index),
            Step::Prefilled(index, tries) if self.is_running(index, tries) => {
                let took = now.since(self.jobs[index].placed_at);
                let id = self.id(index);
                self.handle(now, Event::Prefilled { id, took });
            }
            Step::Started(index, tries) if self.is_running(index, tries) => {
                let job = &mut self.jobs[index];
                job.started = Some(now);
                job.is_good = now.since(job.sent) <= TARGET;
                let ends = now + TOKEN_TIME * job.output as u32;
                self.schedule(ends, Step::Ended(index, tries));
                let id = self.id(index);
                self.handle(now, Event::Started { id });
            }
            Step::Ended(index, tries) if self.is_running(index, tries) => {
                let id = self.id(index);
                let job = &mut self.jobs[index];
                job.is_over = true;
                let end = RunEnd::Complete(Tokens(job.output));
                self.handle(now, Event::Ended { id, end });
            }
            Step::LoseDataCentre => self.lose_data_centre(now),
            Step::RestoreDataCentre => {
                self.has_lost = false;
                self.configure(now);
            }
            Step::TakeOver => self.take_over(now),
            Step::Tick => self.handle(now, Event::Tick),
            Step::Prefilled(..) | Step::Started(..) | Step::Ended(..) => {}
        }
    }

    fn arrive(&mut self, now: Timestamp, account: usize) {
        let second = now.since(START).as_secs();
        if now.since(START) >= self.day.length {
            return;
        }
        let is_hot = account == HOT && self.day.hot.contains(&second);
        let hot = if is_hot { self.day.hot_factor } else { 1.0 };
        let burst = if self.day.burst.contains(&second) {
            2.3
        } else {
            1.0
        };
        let part = RATES[account] as f64 / RATES.iter().sum::<u64>() as f64;
        let rate = self.day.usual_rate * part * hot * burst;
        let pause = -(1.0 - self.random_unit()).ln() / rate;
        self.schedule(now + Duration::from_secs_f64(pause), Step::Arrive(account));
        let output = 2_000 + (self.random_unit() * 5_600.0) as u64;
        let job = Job {
            account,
            sent_at: Vec::new(),
            sent: now,
            prompt: 2_000 + (self.random_unit() * 6_400.0) as u64,
            output,
            // The estimate is correct at the median and off by up to half.
            estimate: (output as f64 * (0.5 + self.random_unit())) as u64,
            tries: 0,
            placement: None,
            placed_at: now,
            started: None,
            is_good: false,
            is_over: false,
        };
        self.jobs.push(job);
        self.send(now, self.jobs.len() - 1);
    }

    fn id(&self, index: usize) -> GatewayRequestId {
        request(self.number(index), 0, 1, 1).id
    }

    /// Each try has its own number.
    fn number(&self, index: usize) -> u64 {
        index as u64 * 100 + u64::from(self.jobs[index].tries)
    }

    fn is_running(&self, index: usize, tries: u32) -> bool {
        let job = &self.jobs[index];
        !job.is_over && job.placement.is_some() && job.tries == tries
    }

    fn request(&self, index: usize) -> PlacementRequest {
        let job = &self.jobs[index];
        PlacementRequest {
            fingerprint: Some(index as u64),
            ..request(self.number(index), job.account, job.prompt, job.estimate)
        }
    }

    fn send(&mut self, now: Timestamp, index: usize) {
        let job = &mut self.jobs[index];
        job.tries += 1;
        job.sent = now;
        job.sent_at.push(now);
        job.placement = None;
        job.started = None;
        let request = self.request(index);
        self.handle(now, Event::Submit(request));
    }

    fn handle(&mut self, now: Timestamp, event: Event) {
        let actions = self.fleet.handle(now, event);
        self.apply(now, actions);
    }

    fn apply(&mut self, now: Timestamp, actions: Vec<Action>) {
        for action in actions {
            self.record_decision(now, &action);
            match action {
                Action::Place { id, placement } => self.place(now, &id, placement),
                Action::Refuse {
                    id, retry_after, ..
                } => {
                    let index = (id.number / 100) as usize;
                    self.refusals += 1;
                    if self.jobs[index].tries < MAX_TRIES {
                        let at = now + retry_after + Duration::from_millis(5);
                        self.schedule(at, Step::Send(index));
                    }
                }
            }
        }
    }

    /// Adds a decision to the hash (FNV-1a).
    fn record_decision(&mut self, now: Timestamp, action: &Action) {
        for byte in format!("{now} {action:?}").bytes() {
            self.decisions = (self.decisions ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    fn place(&mut self, now: Timestamp, id: &GatewayRequestId, placement: Placement) {
        let index = (id.number / 100) as usize;
        let job = &mut self.jobs[index];
        let micros = job.prompt * 1_000_000 / PREFILL_TOKENS_PER_S;
        let (endpoint, micros) = match &placement.prefill {
            Some(prefill) => (prefill, micros),
            // Decode endpoints process prompts at half the speed.
            None => (&placement.decode, micros * 2),
        };
        let free = self.prefill_free.entry(endpoint.to_string());
        let free = free.or_insert(now);
        *free = (*free).max(now) + Duration::from_micros(micros);
        let prefilled = *free;
        job.placed_at = now;
        let has_prefill = placement.prefill.is_some();
        job.placement = Some(placement);
        let tries = job.tries;
        if has_prefill {
            self.schedule(prefilled, Step::Prefilled(index, tries));
        }
        let started = prefilled + FIRST_OUTPUT_TIME;
        self.schedule(started, Step::Started(index, tries));
    }

    fn configure(&mut self, now: Timestamp) {
        let without = self.has_lost.then_some(LOST_DATA_CENTRE);
        let view = view(self.day.has_shares, without);
        self.handle(now, Event::Configure(view));
    }

    /// Ends all requests in the data centre; their clients send them again.
    fn lose_data_centre(&mut self, now: Timestamp) {
        self.has_lost = true;
        self.configure(now);
        let is_lost = |id: &str| id.contains(LOST_DATA_CENTRE);
        for index in 0..self.jobs.len() {
            let job = &self.jobs[index];
            let Some(placement) = job.placement.clone().filter(|_| !job.is_over) else {
                continue;
            };
            let is_prefill_lost = job.started.is_none()
                && placement
                    .prefill
                    .as_ref()
                    .is_some_and(|prefill| is_lost(prefill.as_str()));
            if !is_lost(placement.decode.as_str()) && !is_prefill_lost {
                continue;
            }
            let id = self.id(index);
            let end = RunEnd::EndpointLost(placement.decode);
            self.jobs[index].placement = None;
            self.handle(now, Event::Ended { id, end });
            self.schedule(now, Step::Send(index));
        }
    }

    /// Replaces the scheduler. The gateways report the running requests and ask again for others.
    fn take_over(&mut self, now: Timestamp) {
        let handover = now + Duration::from_millis(200);
        self.fleet = FleetScheduler::new(Settings::default(), handover);
        self.configure(now);
        for index in 0..self.jobs.len() {
            let job = &self.jobs[index];
            if job.is_over {
                continue;
            }
            let request = self.request(index);
            if let Some(placement) = &job.placement {
                let running = RunningRequest {
                    request,
                    decode: placement.decode.clone(),
                    decoding_for: job.started.map(|at| now.since(at)).unwrap_or_default(),
                };
                self.handle(now, Event::Adopt(running));
            } else if job.sent + TARGET * 4 > now && !self.is_sent_later(index) {
                let waited = now.since(job.sent);
                let request = PlacementRequest {
                    time_to_target: TARGET.saturating_sub(waited),
                    time_to_timeout: (TARGET * 4).saturating_sub(waited),
                    ..request
                };
                self.handle(now, Event::Submit(request));
            }
        }
    }

    /// Whether the client of a refused request will send it again, or has given up.
    fn is_sent_later(&self, index: usize) -> bool {
        let is_send = |step: &Step| matches!(step, Step::Send(other) if *other == index);
        self.steps.values().any(is_send) || self.jobs[index].tries == MAX_TRIES
    }

    fn random_unit(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1_u64 << 53) as f64
    }
}
