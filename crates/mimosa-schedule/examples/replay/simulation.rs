//! Event simulation of one trace with one policy: entries, engines and the network between them.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_schedule::Action;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Grant;
use mimosa_schedule::Policy;
use mimosa_schedule::Submission;

use crate::data_centre::SimDataCentre;
use crate::engine::AttemptId;
use crate::random::Random;
use crate::rate_limiter::RateLimiter;
use crate::workload::Arrival;
use crate::workload::COLD_TIME;
use crate::workload::Deployment;
use crate::workload::END;
use crate::workload::OUT_SPAN;
use crate::workload::Scenario;
use crate::workload::Trace;
use crate::workload::account;

/// Network latency between two processes, one way.
const NETWORK_LATENCY: Duration = Duration::from_millis(1);
/// Interval of load and cache reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the load balancer still sends requests to a data centre that is out of service.
const BALANCER_LAG: Duration = Duration::from_secs(2);
/// Maximum number of attempts and of reroutes of a request.
const MAX_ATTEMPTS: u32 = 3;
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after the last arrival until the simulation ends.
const DRAIN_TIME: Duration = Duration::from_secs(120);
/// Data centre that goes out of service and in which an endpoint becomes cold.
const FAULTY_DATA_CENTRE: usize = 0;

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// Rejected by the rate limiter.
    OverRate,
    /// Refused by the policy.
    Refused(RefusalReason),
    /// Failed in the last attempt or after the first token.
    Failed,
    /// Completed.
    Complete,
}

/// Behaviour of the entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryOptions {
    /// Number of entries that each enforce a fixed part of the rates; `None` for one global rate
    /// limiter.
    pub static_parts: Option<usize>,
    /// Whether refused requests that have not run are forwarded to the next data centre.
    pub forward: bool,
}

/// Measurements of one request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Whether the request was within the rate and burst of its account.
    pub inside_rate: bool,
    pub end: Option<End>,
    pub first_token: Option<Timestamp>,
    pub finished: Option<Timestamp>,
    pub prefilled_tokens: u64,
    pub wasted_tokens: u64,
    pub cold_refusals: u32,
}

/// State of a request that has not ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestState {
    pub attempt_number: u32,
    pub data_centre: usize,
    pub grant: Option<Grant>,
    pub prefilled_at: Timestamp,
    avoid: Vec<EndpointId>,
    reroutes: u32,
}

/// A scheduled event of the simulation.
pub(crate) enum SimEvent {
    Arrive(usize),
    Submit(AttemptId),
    Start(AttemptId),
    PrefillEnd(AttemptId),
    ResultExpired(AttemptId),
    Transferred(AttemptId),
    Decode(usize, EndpointId, u64),
    Stop(AttemptId),
    Deliver(usize, Event),
    Report,
    Wake(usize),
    Configure(usize, DataCentreState),
    EndpointCold,
}

/// State of a simulation.
pub struct Simulation<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) trace: &'a Trace,
    pub(crate) data_centres: Vec<SimDataCentre>,
    /// State of each request, by its index in the trace.
    pub(crate) states: Vec<RequestState>,
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) now: Timestamp,
    global_limiter: RateLimiter,
    entry_limiters: Option<Vec<RateLimiter>>,
    forward: bool,
    random: Random,
    events: BTreeMap<(Timestamp, u64), SimEvent>,
    next_event_number: u64,
}

impl<'a> Simulation<'a> {
    /// Simulates a trace and returns the outcome of each request.
    pub fn replay(
        deployment: &'a Deployment,
        scenario: Scenario,
        trace: &'a Trace,
        entries: EntryOptions,
        policy: &dyn Fn() -> Box<dyn Policy>,
    ) -> Vec<Outcome> {
        let data_centre =
            |i| SimDataCentre::new(policy(), &deployment.view(i, DataCentreState::In));
        let entry_limiters =
            |entries: usize| vec![RateLimiter::new(&trace.rates, 1.0 / entries as f64); entries];
        let mut simulation = Simulation {
            deployment,
            trace,
            data_centres: (0..deployment.data_centres.len())
                .map(data_centre)
                .collect(),
            states: vec![RequestState::default(); trace.arrivals.len()],
            outcomes: vec![Outcome::default(); trace.arrivals.len()],
            now: Timestamp::ZERO,
            global_limiter: RateLimiter::new(&trace.rates, 1.0),
            entry_limiters: entries.static_parts.map(entry_limiters),
            forward: entries.forward,
            random: Random::new(7),
            events: BTreeMap::new(),
            next_event_number: 0,
        };
        simulation.prepare(scenario);
        simulation.run();
        simulation.outcomes
    }

    fn prepare(&mut self, scenario: Scenario) {
        for data_centre in 0..self.data_centres.len() {
            self.schedule(
                Timestamp::ZERO,
                SimEvent::Configure(data_centre, DataCentreState::In),
            );
        }
        for (i, arrival) in self.trace.arrivals.iter().enumerate() {
            self.schedule(arrival.at, SimEvent::Arrive(i));
        }
        self.schedule(Timestamp::ZERO + REPORT_INTERVAL, SimEvent::Report);
        if scenario.faults {
            let out = SimEvent::Configure(FAULTY_DATA_CENTRE, DataCentreState::Out);
            let back = SimEvent::Configure(FAULTY_DATA_CENTRE, DataCentreState::In);
            self.schedule(OUT_SPAN.0, out);
            self.schedule(OUT_SPAN.1, back);
            self.schedule(COLD_TIME, SimEvent::EndpointCold);
        }
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > END + DRAIN_TIME {
                return;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    pub(crate) fn schedule(&mut self, at: Timestamp, event: SimEvent) {
        self.next_event_number += 1;
        self.events.insert((at, self.next_event_number), event);
    }

    pub(crate) fn schedule_hop(&mut self, event: SimEvent) {
        self.schedule(self.now + NETWORK_LATENCY, event);
    }

    /// Sends an event to the policy of a data centre over the network.
    pub(crate) fn deliver(&mut self, data_centre: usize, event: Event) {
        self.schedule_hop(SimEvent::Deliver(data_centre, event));
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(i) => self.arrive(i),
            SimEvent::Submit(attempt) => self.submit(attempt),
            SimEvent::Start(attempt) => self.start(attempt),
            SimEvent::PrefillEnd(attempt) => self.prefill_end(attempt),
            SimEvent::ResultExpired(attempt) => self.result_expired(attempt),
            SimEvent::Transferred(attempt) => self.transferred(attempt),
            SimEvent::Decode(data_centre, endpoint, version) => {
                self.decode(data_centre, &endpoint, version)
            }
            SimEvent::Stop(attempt) => self.stop(attempt),
            SimEvent::Deliver(data_centre, event) => self.pass_to_policy(data_centre, event),
            SimEvent::Report => self.send_reports(),
            SimEvent::Wake(data_centre) => {
                self.data_centres[data_centre].wake = None;
                self.pass_to_policy(data_centre, Event::Tick);
            }
            SimEvent::Configure(data_centre, state) => {
                self.data_centres[data_centre].state = state;
                let view = self.deployment.view(data_centre, state);
                self.pass_to_policy(data_centre, Event::Configure(Box::new(view)));
            }
            SimEvent::EndpointCold => self.set_endpoint_cold(),
        }
    }

    pub(crate) fn arrival(&self, attempt: AttemptId) -> &'a Arrival {
        &self.trace.arrivals[attempt.index]
    }

    pub(crate) fn is_current(&self, attempt: AttemptId) -> bool {
        let ended = self.outcomes[attempt.index].end.is_some();
        !ended && self.states[attempt.index].attempt_number == attempt.number
    }

    fn arrive(&mut self, index: usize) {
        let arrival = &self.trace.arrivals[index];
        let now = self.now.as_micros() as f64 / 1e6;
        let tokens = (arrival.prompt + arrival.output).0 as f64;
        let is_inside_rate = self.global_limiter.admit(now, arrival.account, tokens);
        let admitted = self
            .entry_limiters
            .as_mut()
            .map_or(is_inside_rate, |entries| {
                let entry = (arrival.balancer_position * 1e6) as usize % entries.len();
                entries[entry].admit(now, arrival.account, tokens)
            });
        self.outcomes[index].inside_rate = is_inside_rate;
        if !admitted {
            self.outcomes[index].end = Some(End::OverRate);
            return;
        }
        self.states[index].data_centre = self.select_data_centre(arrival.balancer_position);
        self.submit(AttemptId { index, number: 0 });
    }

    /// Data centre that the load balancer selects for a request, weighted by the number of decode
    /// endpoints.
    fn select_data_centre(&self, balancer_position: f64) -> usize {
        let known_out_from = OUT_SPAN.0 + BALANCER_LAG;
        let known = |(i, data_centre): (usize, &SimDataCentre)| {
            let open = data_centre.state == DataCentreState::In || self.now < known_out_from;
            let (_, decode) = self.deployment.data_centres[i];
            if open { decode as f64 } else { 0.0 }
        };
        let shares: Vec<f64> = self.data_centres.iter().enumerate().map(known).collect();
        let mut left = balancer_position * shares.iter().sum::<f64>();
        let contains = |share: &f64| {
            left -= share;
            left < 0.0
        };
        shares.iter().position(contains).unwrap_or(shares.len() - 1)
    }

    fn submit(&mut self, attempt: AttemptId) {
        if !self.is_current(attempt) {
            return;
        }
        let arrival = self.arrival(attempt);
        let state = &self.states[attempt.index];
        let submission = Submission {
            request: RequestId(attempt.index as u128),
            account: account(arrival.account),
            weight: 1,
            prompt: arrival.prompt,
            max_output: arrival.max_output,
            prefix: arrival.prefix.clone(),
            arrived: arrival.at,
            idempotent: true,
            avoid: state.avoid.clone(),
        };
        self.deliver(state.data_centre, Event::Submit(submission));
    }

    fn pass_to_policy(&mut self, data_centre: usize, event: Event) {
        let policy = &mut self.data_centres[data_centre].policy;
        let actions = policy.handle(self.now, event);
        let next = policy.next_wake();
        for action in actions {
            self.handle_action(action);
        }
        let scheduled = self.data_centres[data_centre].wake;
        if let Some(next) = next.filter(|next| scheduled.is_none_or(|scheduled| *next < scheduled))
        {
            self.data_centres[data_centre].wake = Some(next);
            self.schedule(next.max(self.now), SimEvent::Wake(data_centre));
        }
    }

    fn handle_action(&mut self, action: Action) {
        match action {
            Action::Start(grant) => {
                let attempt = self.attempt(grant.request);
                self.states[attempt.index].grant = Some(grant);
                self.schedule_hop(SimEvent::Start(attempt));
            }
            Action::Refuse { request, refusal } => {
                let attempt = self.attempt(request);
                self.handle_refusal(attempt, refusal.reason);
            }
            Action::Abort { request } => {
                let attempt = self.attempt(request);
                self.schedule_hop(SimEvent::Stop(attempt));
            }
        }
    }

    fn attempt(&self, request: RequestId) -> AttemptId {
        let index = request.0 as usize;
        let number = self.states[index].attempt_number;
        AttemptId { index, number }
    }

    fn handle_refusal(&mut self, attempt: AttemptId, reason: RefusalReason) {
        let full = matches!(reason, RefusalReason::TooLate | RefusalReason::QueueFull);
        let elsewhere = reason == RefusalReason::DataCentreOut || self.forward && full;
        let state = &mut self.states[attempt.index];
        if elsewhere && state.reroutes < MAX_ATTEMPTS {
            state.reroutes += 1;
            state.data_centre = (state.data_centre + 1) % self.data_centres.len();
            self.schedule_hop(SimEvent::Submit(attempt));
            return;
        }
        self.outcomes[attempt.index].end = Some(End::Refused(reason));
    }

    /// Handles a failed attempt: reports its end to the policy and schedules a retry by the entry.
    pub(crate) fn attempt_failed(
        &mut self,
        attempt: AttemptId,
        end: AttemptEnd,
        failed_endpoint: &EndpointId,
    ) {
        let request = RequestId(attempt.index as u128);
        let state = &mut self.states[attempt.index];
        let data_centre = state.data_centre;
        state.attempt_number += 1;
        state.grant = None;
        if end != AttemptEnd::Cancelled {
            state.avoid.push(failed_endpoint.clone());
        }
        let next = AttemptId {
            index: attempt.index,
            number: state.attempt_number,
        };
        let has_output = self.outcomes[attempt.index].first_token.is_some();
        self.deliver(data_centre, Event::Ended { request, end });
        if has_output || next.number >= MAX_ATTEMPTS {
            self.outcomes[attempt.index].end = Some(End::Failed);
        } else {
            self.schedule(self.now + RETRY_DELAY, SimEvent::Submit(next));
        }
    }

    fn send_reports(&mut self) {
        for i in 0..self.data_centres.len() {
            for report in self.data_centres[i].load_reports(self.now) {
                let delay = self.random_delay(0.2, 0.8);
                self.schedule(self.now + delay, SimEvent::Deliver(i, Event::Load(report)));
            }
            for report in self.data_centres[i].cache_reports() {
                let delay = self.random_delay(0.5, 2.0);
                if self.random.unit() < 0.95 {
                    self.schedule(self.now + delay, SimEvent::Deliver(i, report));
                }
            }
        }
        if self.now < END + DRAIN_TIME {
            self.schedule(self.now + REPORT_INTERVAL, SimEvent::Report);
        }
    }

    fn random_delay(&mut self, least: f64, most: f64) -> Duration {
        Duration::from_secs_f64(least + (most - least) * self.random.unit())
    }

    fn set_endpoint_cold(&mut self) {
        let now = self.now;
        let last = self.data_centres[FAULTY_DATA_CENTRE]
            .decode
            .values_mut()
            .last();
        last.into_iter().for_each(|decode| decode.set_cold(now));
    }
}
