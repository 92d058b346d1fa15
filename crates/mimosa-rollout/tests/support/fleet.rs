//! Simulates one rollout with gateways, leaders, a replicated log and a network that loses, repeats
//! and delays messages, under a manual clock.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_rollout::OutcomeCounts;
use mimosa_rollout::PermitGrant;
use mimosa_rollout::RolloutNumber;
use mimosa_rollout::RolloutPhase;
use mimosa_rollout::RolloutReport;
use mimosa_rollout::RolloutView;
use mimosa_rollout::exposure::ExposureSettings;
use mimosa_rollout::permits::Permits;
use mimosa_rollout::permits::REPORT_INTERVAL;
use mimosa_rollout::trial::EndpointCounts;
use mimosa_rollout::trial::Proposal;
use mimosa_rollout::trial::Trial;
use mimosa_rollout::trial::TrialStart;

#[path = "random.rs"]
mod random;

pub use self::random::Random;

const STEP: Duration = Duration::from_millis(20);
pub const ROUTES: [&str; 3] = ["a.example/", "a.example/b/", "c.example/"];
pub const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];
/// Endpoints of each version.
const ENDPOINTS: u32 = 8;
const NUMBER: RolloutNumber = RolloutNumber(7);
/// Bound of the specification on requests to a bad version after its 50th bad response.
const ROLLBACK_TIME: Duration = Duration::from_secs(5);

/// Outcome of one request.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    Complete(Duration),
    Failed,
    Refused,
}

/// A request, as the behaviour of the endpoints may depend on it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Time since the order.
    pub at: Duration,
    pub is_new: bool,
    pub route: usize,
    pub data_centre: usize,
    /// Load of the endpoints of the new version in use, relative to that of the old ones before.
    pub load: f64,
}

/// How endpoints respond. Returns the outcome and whether it is a bad response of a bad version.
pub type Behaviour = dyn Fn(&Request, &mut Random) -> (Outcome, bool);

/// What goes wrong besides the version.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost: f64,
    pub duplicated: f64,
    pub late: f64,
    /// Probability per second that a gateway freezes for up to 3 s.
    pub frozen: f64,
    /// Probability per second that the leader is lost, either killed or deposed without knowing it.
    pub leader_lost: f64,
    /// Probability per second that a gateway's process restarts.
    pub restarted: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub seed: u64,
    pub gateways: usize,
    /// Requests per second of all gateways.
    pub rate: f64,
    pub duration: Duration,
    pub faults: Faults,
}

/// What happened.
#[derive(Clone, Debug)]
pub struct Report {
    pub phase: RolloutPhase,
    pub reason: String,
    pub ended: Option<Duration>,
    pub requests: u64,
    pub new_requests: u64,
    /// Requests at the new version before its move.
    pub tested: u64,
    pub bad_responses: u64,
    /// Whether a request went to the new version too long after its 50th bad response.
    pub late_request: bool,
    /// Requests that were in flight at the old version when the rollout completed.
    pub cut: u64,
    pub leaders: u64,
}

impl Report {
    /// Checks the bound on the number of requests to a bad version.
    pub fn is_within_share(&self) -> bool {
        let limit = 50.0 + 0.1 * self.requests as f64;
        self.new_requests as f64 <= limit
    }

    /// Checks both bounds on the requests to a bad version.
    pub fn is_within_exposure(&self) -> bool {
        self.is_within_share() && !self.late_request
    }
}

struct Gateway {
    id: InstanceId,
    incarnation: u64,
    data_centre: usize,
    phase: RolloutPhase,
    permits: Permits,
    outcomes: BTreeMap<(bool, usize, usize), OutcomeCounts>,
    in_flight: Vec<(Timestamp, Request, Outcome, bool)>,
    frozen_until: Timestamp,
    next_report: Timestamp,
    leader: usize,
}

struct Leader {
    trial: Trial,
    polled_at: Timestamp,
    /// A killed leader does nothing; a deposed one still grants until then.
    stops_at: Option<Timestamp>,
}

enum Event {
    Report(usize, usize, u64, RolloutReport),
    Grant(usize, u64, PermitGrant),
    Phase(usize, RolloutPhase),
}

pub struct Fleet<'a> {
    setup: Setup,
    behaviour: &'a Behaviour,
    random: Random,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), Event>,
    event_count: u64,
    gateways: Vec<Gateway>,
    leaders: Vec<Leader>,
    next_leader_at: Option<Timestamp>,
    phase: RolloutPhase,
    reserved: u64,
    recent_new: HashMap<bool, f64>,
    fiftieth_bad: Option<Timestamp>,
    report: Report,
}

fn start_time() -> Timestamp {
    Timestamp::from_secs(1_000)
}

pub fn run(setup: Setup, behaviour: &Behaviour) -> Report {
    Fleet::new(setup, behaviour).run()
}

impl<'a> Fleet<'a> {
    fn new(setup: Setup, behaviour: &'a Behaviour) -> Self {
        let now = start_time();
        let gateways = (0..setup.gateways).map(|index| Gateway {
            id: format!("gateway-{index}").parse().unwrap(),
            incarnation: 1,
            data_centre: index % DATA_CENTRES.len(),
            phase: RolloutPhase::Testing,
            permits: Permits::new(NUMBER),
            outcomes: BTreeMap::new(),
            in_flight: Vec::new(),
            frozen_until: now,
            next_report: now + Duration::from_millis(index as u64 % 250),
            leader: 0,
        });
        let mut fleet = Self {
            gateways: gateways.collect(),
            setup,
            behaviour,
            random: Random(setup.seed),
            now,
            events: BTreeMap::new(),
            event_count: 0,
            leaders: Vec::new(),
            next_leader_at: None,
            phase: RolloutPhase::Testing,
            reserved: 0,
            recent_new: HashMap::new(),
            fiftieth_bad: None,
            report: Report {
                phase: RolloutPhase::Testing,
                reason: String::new(),
                ended: None,
                requests: 0,
                new_requests: 0,
                tested: 0,
                bad_responses: 0,
                late_request: false,
                cut: 0,
                leaders: 0,
            },
        };
        fleet.elect();
        fleet
    }

    fn run(mut self) -> Report {
        // A request later than the rollback time breaks a bound.
        let stop = self.now + self.setup.duration + ROLLBACK_TIME + Duration::from_secs(2);
        while self.now < stop {
            self.now = self.now + STEP;
            self.deliver();
            self.lose_leaders();
            (0..self.leaders.len()).for_each(|index| self.poll_leader(index));
            (0..self.gateways.len()).for_each(|index| self.run_gateway(index));
        }
        self.report.phase = self.phase;
        self.report.leaders = self.leaders.len() as u64;
        self.report
    }

    fn elapsed(&self) -> Duration {
        self.now.since(start_time())
    }

    fn elect(&mut self) {
        let start = TrialStart {
            service: "shop".parse().unwrap(),
            number: NUMBER,
            term: self.leaders.len() as u64 + 1,
            phase: self.phase,
            elapsed: self.elapsed(),
            duration: self.setup.duration,
            reserved: self.reserved,
            is_successor: !self.leaders.is_empty(),
            is_model: false,
            exposure: ExposureSettings::default(),
        };
        let mut trial = Trial::new(self.now, start);
        // The new version's endpoints appear in the list after a while.
        trial.set_endpoints(EndpointCounts {
            new: ENDPOINTS,
            old: ENDPOINTS,
        });
        self.leaders.push(Leader {
            trial,
            polled_at: self.now,
            stops_at: None,
        });
        let current = self.leaders.len() - 1;
        for gateway in &mut self.gateways {
            gateway.leader = current;
        }
    }

    fn lose_leaders(&mut self) {
        if let Some(at) = self.next_leader_at {
            if self.now >= at {
                self.next_leader_at = None;
                self.elect();
                // Some gateways keep the connection to a deposed leader for a while.
                let previous = self.leaders.len() - 2;
                for index in 0..self.gateways.len() {
                    if self.random.chance(0.3) {
                        self.gateways[index].leader = previous;
                    }
                }
            }
            return;
        }
        let chance = self.setup.faults.leader_lost * STEP.as_secs_f64();
        if self.random.chance(chance) {
            let current = self.leaders.len() - 1;
            let lasts = match self.random.chance(0.5) {
                true => Duration::ZERO,
                false => self.random.millis(1_000, 5_000),
            };
            self.leaders[current].stops_at = Some(self.now + lasts);
            self.next_leader_at = Some(self.now + self.random.millis(300, 1_500));
        }
    }

    fn poll_leader(&mut self, index: usize) {
        let is_current = index + 1 == self.leaders.len() && self.next_leader_at.is_none();
        let leader = &mut self.leaders[index];
        if leader.stops_at.is_some_and(|at| self.now >= at)
            || self.now.since(leader.polled_at) < Duration::from_millis(100)
        {
            return;
        }
        leader.polled_at = self.now;
        // A deposed leader does not see what the log takes after it.
        if is_current {
            leader.trial.observe(self.now, self.phase, self.reserved);
        }
        match leader.trial.poll(self.now) {
            Some(Proposal::Reserve { expected, total }) => {
                let accepted = is_current && self.reserved == expected;
                if accepted {
                    self.reserved = total;
                }
                // The answer may be lost, although the log took the entry.
                let is_known = !self.random.chance(self.setup.faults.lost);
                let reserved = match is_current {
                    true => self.reserved,
                    false => expected,
                };
                let trial = &mut self.leaders[index].trial;
                trial.finish_reservation(accepted && is_known, reserved);
            }
            Some(Proposal::Enter { phase, reason }) if is_current => {
                self.enter(phase, reason);
            }
            Some(Proposal::Enter { .. }) => leader.trial.phase_not_stored(),
            None => {}
        }
    }

    fn enter(&mut self, phase: RolloutPhase, reason: String) {
        self.phase = phase;
        self.report.reason = reason;
        if phase == RolloutPhase::Moving {
            self.report.tested = self.report.new_requests;
        }
        if !phase.is_running() {
            self.report.ended = Some(self.elapsed());
        }
        if phase == RolloutPhase::Completed {
            let gateways = self.gateways.iter();
            let in_flight = gateways.flat_map(|gateway| &gateway.in_flight);
            self.report.cut = in_flight.filter(|(_, r, _, _)| !r.is_new).count() as u64;
        }
        for index in 0..self.gateways.len() {
            let delay = self.random.millis(10, 80);
            self.post(delay, Event::Phase(index, phase));
        }
    }

    fn post(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), event);
    }

    /// Sends a message over the faulty network.
    fn send(&mut self, event: impl Fn() -> Event) {
        let faults = self.setup.faults;
        if self.random.chance(faults.lost) {
            return;
        }
        let copies = 1 + u32::from(self.random.chance(faults.duplicated));
        for _ in 0..copies {
            let delay = match self.random.chance(faults.late) {
                true => self.random.millis(200, 4_000),
                false => self.random.millis(3, 40),
            };
            self.post(delay, event());
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Event::Report(leader, gateway, incarnation, report) => {
                    self.deliver_report(leader, gateway, incarnation, &report);
                }
                Event::Grant(gateway, incarnation, grant) => {
                    let gateway = &mut self.gateways[gateway];
                    if gateway.incarnation == incarnation {
                        // A frozen gateway handles the message when it runs again.
                        let at = self.now.max(gateway.frozen_until);
                        gateway.permits.on_grant(at, &grant);
                    }
                }
                Event::Phase(gateway, phase) => {
                    let until = self.gateways[gateway].frozen_until;
                    if until > self.now {
                        let delay = until.since(self.now);
                        self.post(delay, Event::Phase(gateway, phase));
                    } else if self.gateways[gateway].phase < phase {
                        self.gateways[gateway].phase = phase;
                    }
                }
            }
        }
    }

    fn deliver_report(
        &mut self,
        leader: usize,
        gateway: usize,
        incarnation: u64,
        report: &RolloutReport,
    ) {
        // The port drops messages of connections of an earlier process.
        let target = &self.gateways[gateway];
        let state = &mut self.leaders[leader];
        if target.incarnation != incarnation || state.stops_at.is_some_and(|at| self.now >= at) {
            return;
        }
        let id = target.id.clone();
        let incarnation_id = Incarnation(incarnation);
        let grant = state.trial.on_report(self.now, &id, incarnation_id, report);
        if let Some(grant) = grant {
            self.send(|| Event::Grant(gateway, incarnation, grant.clone()));
        }
    }

    fn run_gateway(&mut self, index: usize) {
        let faults = self.setup.faults;
        let step = STEP.as_secs_f64();
        if self.random.chance(faults.frozen * step) {
            let until = self.now + self.random.millis(500, 3_000);
            self.gateways[index].frozen_until = until;
        }
        if self.random.chance(faults.restarted * step) {
            let gateway = &mut self.gateways[index];
            gateway.incarnation += 1;
            gateway.permits = Permits::new(NUMBER);
            gateway.outcomes.clear();
            gateway.in_flight.clear();
            // The first state that the new process gets is the one of the log.
            gateway.phase = self.phase;
        }
        if self.gateways[index].frozen_until > self.now {
            return;
        }
        self.finish_requests(index);
        let chance = self.setup.rate / self.setup.gateways as f64 * step;
        let mut left = chance;
        while left > 0.0 {
            if self.random.chance(left.min(1.0)) {
                self.start_request(index);
            }
            left -= 1.0;
        }
        if self.now >= self.gateways[index].next_report {
            self.report(index);
        }
    }

    fn start_request(&mut self, index: usize) {
        let route = (self.random.next() % ROUTES.len() as u64) as usize;
        let data_centre = match self.random.chance(0.8) {
            true => self.gateways[index].data_centre,
            false => (self.random.next() % DATA_CENTRES.len() as u64) as usize,
        };
        let gateway = &mut self.gateways[index];
        gateway.permits.count_request();
        self.report.requests += u64::from(self.report.ended.is_none());
        let is_new = match gateway.phase {
            RolloutPhase::Testing => gateway.permits.take(self.now),
            RolloutPhase::Moving | RolloutPhase::Completed => true,
            RolloutPhase::RolledBack => false,
        };
        let endpoints = match gateway.phase {
            RolloutPhase::Testing => gateway.permits.endpoints().max(1),
            _ => ENDPOINTS,
        };
        // The part of the last requests that went to the new version, as a measure of load.
        let part = self.recent_new.entry(true).or_default();
        *part = *part * 0.98 + if is_new { 0.02 } else { 0.0 };
        let request = Request {
            at: self.now.since(start_time()),
            is_new,
            route,
            data_centre,
            load: *part * f64::from(ENDPOINTS) / f64::from(endpoints),
        };
        let (outcome, is_bad) = (self.behaviour)(&request, &mut self.random);
        let took = match outcome {
            Outcome::Complete(took) => took,
            Outcome::Failed | Outcome::Refused => Duration::from_millis(5),
        };
        if is_new {
            // All requests go to the new version once the rollout has completed.
            self.report.new_requests += u64::from(self.phase != RolloutPhase::Completed);
            if self
                .fiftieth_bad
                .is_some_and(|at| self.now.since(at) > ROLLBACK_TIME)
            {
                self.report.late_request = true;
            }
        }
        let entry = (self.now + took, request, outcome, is_bad);
        self.gateways[index].in_flight.push(entry);
    }

    fn finish_requests(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        let now = self.now;
        let (done, rest) = std::mem::take(&mut gateway.in_flight)
            .into_iter()
            .partition(|(until, ..)| *until <= now);
        gateway.in_flight = rest;
        let done: Vec<(Timestamp, Request, Outcome, bool)> = done;
        for (_, request, outcome, is_bad) in done {
            let key = (request.is_new, request.route, request.data_centre);
            let cell = gateway
                .outcomes
                .entry(key)
                .or_insert_with(|| OutcomeCounts {
                    is_new: request.is_new,
                    route: ROUTES[request.route].to_owned(),
                    data_centre: DATA_CENTRES[request.data_centre].parse().unwrap(),
                    complete: 0,
                    failed: 0,
                    refused: 0,
                    durations: mimosa_rollout::DurationHistogram::default(),
                });
            match outcome {
                Outcome::Complete(took) => {
                    cell.complete += 1;
                    cell.durations.record(took);
                }
                Outcome::Failed => cell.failed += 1,
                Outcome::Refused => cell.refused += 1,
            }
            if is_bad {
                self.report.bad_responses += 1;
                if self.report.bad_responses == 50 {
                    self.fiftieth_bad = Some(now);
                }
            }
        }
    }

    fn report(&mut self, index: usize) {
        let is_running = self.phase.is_running();
        let current = self.leaders.len() - 1;
        let gateway = &mut self.gateways[index];
        gateway.next_report = self.now + REPORT_INTERVAL;
        if !is_running {
            return;
        }
        let view = RolloutView {
            service: "shop".parse().unwrap(),
            number: NUMBER,
            to: "v2".parse().unwrap(),
            from: vec!["v1".parse().unwrap()],
            barred: Vec::new(),
            phase: gateway.phase,
        };
        let mut report = gateway.permits.report(self.now, &view);
        let in_flight = gateway.in_flight.iter();
        let old = in_flight.filter(|(_, request, ..)| !request.is_new).count() as u32;
        report.in_flight_old = old;
        report.in_flight_new = gateway.in_flight.len() as u32 - old;
        report.outcomes = gateway.outcomes.values().cloned().collect();
        let (leader, incarnation) = (gateway.leader, gateway.incarnation);
        if leader < current
            && self.leaders[leader]
                .stops_at
                .is_some_and(|at| self.now >= at)
        {
            self.gateways[index].leader = current;
        }
        self.send(|| Event::Report(leader, index, incarnation, report.clone()));
    }
}
