//! Simulated engines with limited memory behind a fleet scheduler, with a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::cold::Pacing;
use mimosa_schedule::fleet::Action;
use mimosa_schedule::fleet::Event;
use mimosa_schedule::fleet::FleetScheduler;
use mimosa_schedule::fleet::GatewayRequestId;
use mimosa_schedule::fleet::Placement;
use mimosa_schedule::fleet::PlacementRequest;
use mimosa_schedule::fleet::RunEnd;
use mimosa_schedule::fleet::Settings;
use mimosa_schedule::fleet::View;
use mimosa_schedule::fleet::ViewEndpoint;

pub const DECODE_MEMORY_TOKENS: u64 = 105_738;
const PREFILL_ENDPOINTS: usize = 4;
const DECODE_ENDPOINTS: usize = 5;
const PREFILL_TOKENS_PER_S: u64 = 55_000;
const TOKEN_TIME: Duration = Duration::from_micros(690);
/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(5);
const START: Timestamp = Timestamp::from_secs(100);

pub fn view() -> View {
    view_of(PREFILL_ENDPOINTS, DECODE_ENDPOINTS)
}

pub fn view_of(prefills: usize, decodes: usize) -> View {
    let endpoint = |name: String, role| ViewEndpoint {
        id: name.parse().unwrap(),
        data_centre: "north".parse().unwrap(),
        role,
        cold_until: Timestamp::ZERO,
        version: None,
    };
    let prefills = (1..=prefills).map(|n| endpoint(format!("p-{n}"), EndpointRole::Prefill));
    let decodes = (1..=decodes).map(|n| endpoint(format!("d-{n}"), EndpointRole::Decode));
    View {
        memory: Tokens(DECODE_MEMORY_TOKENS),
        slots: 64,
        cold_pacing: Pacing::single_sender(0),
        max_pause: Some(Duration::from_millis(300)),
        endpoints: prefills.chain(decodes).collect(),
        rollout: None,
        weights: None,
    }
}

pub fn request(number: u64, prompt: u64, output: u64) -> PlacementRequest {
    PlacementRequest {
        id: GatewayRequestId {
            gateway: "gateway-1".parse().unwrap(),
            number,
        },
        account: None,
        prompt: Tokens(prompt),
        max_output: Tokens(8_970),
        expected_output: Some(Tokens(output)),
        priority: 1,
        time_to_target: Duration::from_millis(900),
        time_to_timeout: Duration::from_millis(3_600),
        data_centre: "north".parse().unwrap(),
        avoid: Vec::new(),
        exclude: Vec::new(),
        kv_cache_at: None,
        resumes: None,
        fingerprint: None,
    }
}

/// Numbers of requests by result, as seen by the clients.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub submitted: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub preempted: u64,
    /// Longest time from the submission of a request to its refusal.
    pub longest_refusal: Duration,
}

struct Job {
    submitted: Timestamp,
    prompt: u64,
    output: u64,
    placement: Option<Placement>,
    placed_at: Timestamp,
    prefill_done: Option<Timestamp>,
    decoding_since: Option<Timestamp>,
}

pub struct Simulation {
    random_state: u64,
    fleet: FleetScheduler,
    jobs: BTreeMap<u64, Job>,
    prefill_free: BTreeMap<EndpointId, Timestamp>,
    /// Time from the end of the processing of a prompt to the response, during which the engine
    /// processes the next one.
    prefill_latency: Duration,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        Self::with_pools(seed, PREFILL_ENDPOINTS, DECODE_ENDPOINTS)
    }

    pub fn with_pools(seed: u64, prefills: usize, decodes: usize) -> Self {
        let mut fleet = FleetScheduler::new(Settings::default(), Timestamp::ZERO);
        fleet.handle(START, Event::Configure(view_of(prefills, decodes)));
        Self {
            random_state: seed * 2_654_435_761 + 1,
            fleet,
            jobs: BTreeMap::new(),
            prefill_free: BTreeMap::new(),
            prefill_latency: Duration::ZERO,
            outcome: Outcome::default(),
        }
    }

    pub fn with_prefill_latency(self, prefill_latency: Duration) -> Self {
        Self {
            prefill_latency,
            ..self
        }
    }

    /// Submits requests at `rate` per second for the given time and runs until all have ended.
    pub fn run(mut self, rate: f64, time: Duration) -> Outcome {
        let mut now = START;
        let mut next = START;
        let mut number = 0;
        while now < START + time || !self.jobs.is_empty() {
            while next <= now && next < START + time {
                number += 1;
                self.submit(now, number);
                let pause = -(1.0 - self.random_unit()).ln() / rate;
                next = next + Duration::from_secs_f64(pause);
            }
            self.run_engines(now);
            let actions = self.fleet.handle(now, Event::Tick);
            self.apply(now, actions);
            now = now + STEP;
        }
        self.outcome
    }

    fn submit(&mut self, now: Timestamp, number: u64) {
        let prompt = 2_000 + (self.random_unit() * 6_400.0) as u64;
        let output = 2_000 + (self.random_unit() * 5_600.0) as u64;
        // The estimate is correct at the median and off by up to half.
        let estimate = (output as f64 * (0.5 + self.random_unit())) as u64;
        let job = Job {
            submitted: now,
            prompt,
            output,
            placement: None,
            placed_at: now,
            prefill_done: None,
            decoding_since: None,
        };
        self.jobs.insert(number, job);
        self.outcome.submitted += 1;
        let actions = self
            .fleet
            .handle(now, Event::Submit(request(number, prompt, estimate)));
        self.apply(now, actions);
    }

    fn apply(&mut self, now: Timestamp, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Place { id, placement } => {
                    let job = self.jobs.get_mut(&id.number).unwrap();
                    let micros = job.prompt * 1_000_000 / PREFILL_TOKENS_PER_S;
                    let (endpoint, micros) = match &placement.prefill {
                        Some(prefill) => (prefill, micros),
                        // Decode endpoints process prompts at half the speed.
                        None => (&placement.decode, micros * 2),
                    };
                    let free = self.prefill_free.entry(endpoint.clone()).or_insert(now);
                    *free = (*free).max(now) + Duration::from_micros(micros);
                    job.prefill_done = Some(*free + self.prefill_latency);
                    job.placed_at = now;
                    job.placement = Some(placement);
                }
                Action::Refuse { id, .. } => {
                    let job = self.jobs.remove(&id.number).unwrap();
                    let waited = now.since(job.submitted);
                    self.outcome.refused += 1;
                    self.outcome.longest_refusal = self.outcome.longest_refusal.max(waited);
                }
            }
        }
    }

    fn run_engines(&mut self, now: Timestamp) {
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            let id = request(number, 1, 1).id;
            // Actions of an earlier iteration may have refused it.
            let Some(job) = self.jobs.get_mut(&number) else {
                continue;
            };
            match (job.prefill_done, job.decoding_since) {
                (Some(done), None) if now >= done => {
                    job.decoding_since = Some(now);
                    if now.since(job.submitted) <= Duration::from_millis(900) {
                        self.outcome.in_time += 1;
                    } else {
                        self.outcome.late += 1;
                    }
                    let took = done.since(job.placed_at);
                    let mut actions = Vec::new();
                    if job
                        .placement
                        .as_ref()
                        .is_some_and(|each| each.prefill.is_some())
                    {
                        let id = id.clone();
                        actions.extend(self.fleet.handle(now, Event::Prefilled { id, took }));
                    }
                    actions.extend(self.fleet.handle(now, Event::Started { id }));
                    self.apply(now, actions);
                }
                (_, Some(since)) if now >= since + TOKEN_TIME * job.output as u32 => {
                    let end = RunEnd::Complete(Tokens(job.output));
                    self.jobs.remove(&number);
                    let actions = self.fleet.handle(now, Event::Ended { id, end });
                    self.apply(now, actions);
                }
                _ => {}
            }
        }
        self.preempt(now);
    }

    /// Preempts the newest request of each endpoint whose memory is exhausted. The request counts
    /// as late and ends.
    fn preempt(&mut self, now: Timestamp) {
        let mut used: BTreeMap<EndpointId, (u64, u64)> = BTreeMap::new();
        for (number, job) in &self.jobs {
            if let (Some(placement), Some(since)) = (&job.placement, job.decoding_since) {
                let generated = now.since(since).as_micros() / TOKEN_TIME.as_micros();
                let usage = used.entry(placement.decode.clone()).or_default();
                usage.0 += job.prompt + generated as u64;
                usage.1 = *number;
            }
        }
        for (memory, newest) in used.into_values() {
            if memory > DECODE_MEMORY_TOKENS {
                self.jobs.remove(&newest);
                self.outcome.preempted += 1;
                self.outcome.in_time = self.outcome.in_time.saturating_sub(1);
                let id = request(newest, 1, 1).id;
                let end = RunEnd::Aborted;
                let actions = self.fleet.handle(now, Event::Ended { id, end });
                self.apply(now, actions);
            }
        }
    }

    fn random_unit(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1_u64 << 53) as f64
    }
}
