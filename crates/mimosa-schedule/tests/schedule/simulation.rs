//! A simulation of entries and endpoints that checks invariants of the scheduler.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use mimosa_protocol::Incarnation;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_schedule::Action;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Grant;
use mimosa_schedule::Policy;
use mimosa_schedule::Scheduler;
use mimosa_schedule::Settings;
use mimosa_schedule::Submission;
use mimosa_schedule::event::AttemptReport;
use mimosa_schedule::event::EntryReport;
use mimosa_schedule::event::View;

use crate::fixture::model;
use crate::fixture::submission;
use crate::step::Step;

/// Small blocks, so that outputs often exceed their reservations.
const TOKENS_PER_BLOCK: Tokens = Tokens(256);
/// Memory of each decode endpoint, enough for about 3 requests.
const BLOCKS: KvBlocks = KvBlocks(36);

/// A granted request.
struct Running {
    grant: Grant,
    submission: Submission,
    /// 0 before the end of the prefill, 1 before that of the transfer, 2 before the first output, 3
    /// after it.
    stage: u8,
    output: u64,
}

/// The actual state of requests and endpoints, against which the scheduler is checked.
pub struct Simulation {
    scheduler: Scheduler,
    settings: Settings,
    view: View,
    now: Timestamp,
    next: u128,
    submitted: BTreeMap<u128, Submission>,
    running: BTreeMap<u128, Running>,
    ended: BTreeSet<u128>,
    down: BTreeSet<String>,
    /// Last cold start of each endpoint.
    cold_since: BTreeMap<String, Timestamp>,
    incarnations: BTreeMap<String, u64>,
    /// Last event that may be repeated.
    last_event: Option<Event>,
}

impl Simulation {
    pub fn new(settings: Settings) -> Self {
        let mut view = model(2, 2);
        for endpoint in &mut view.endpoints {
            endpoint.capacity.tokens_per_block = TOKENS_PER_BLOCK;
            endpoint.capacity.blocks = BLOCKS;
        }
        let ids = view.endpoints.iter().map(|each| each.id.to_string());
        let mut simulation = Self {
            scheduler: Scheduler::new(settings.clone()),
            settings,
            now: Timestamp::from_secs(1),
            next: 0,
            submitted: BTreeMap::new(),
            running: BTreeMap::new(),
            ended: BTreeSet::new(),
            down: BTreeSet::new(),
            cold_since: ids.map(|id| (id, Timestamp::from_secs(1))).collect(),
            incarnations: BTreeMap::new(),
            last_event: None,
            view,
        };
        simulation.configure();
        simulation
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Submit {
                account,
                prompt,
                output,
            } => self.submit(account, prompt, output),
            Step::Cancel(which) => {
                if let Some(request) = self.pick_submitted(which) {
                    self.send(Event::Cancel { request });
                }
            }
            Step::Advance { which, tokens } => self.advance(which, tokens),
            Step::End {
                which,
                end,
                end_is_lost,
            } => self.end(which, end, end_is_lost),
            Step::Wait(millis) => self.wait(u64::from(millis)),
            Step::EndpointDown(which) => self.endpoint_down(which),
            Step::EndpointUp(which) => self.endpoint_up(which),
            Step::ToggleDraining(which) => {
                let i = usize::from(which) % self.view.endpoints.len();
                let state = &mut self.view.endpoints[i].state;
                *state = match state {
                    EndpointState::Active => EndpointState::Draining,
                    EndpointState::Draining => EndpointState::Active,
                };
                self.configure();
            }
            Step::ToggleDataCentre => self.toggle_data_centre(),
            Step::Report => self.report(),
            Step::RepeatEvent => {
                let last_event = self.last_event.clone();
                if let Some(event) = last_event.filter(|event| !self.is_resubmission(event)) {
                    self.send(event);
                }
            }
        }
        self.check_memory();
    }

    /// Ends all requests and checks that the scheduler holds none and that none ended twice.
    pub fn drain(&mut self) {
        let requests: Vec<u128> = self.running.keys().copied().collect();
        for request in requests {
            self.finish(request, AttemptEnd::Complete);
        }
        let waiting: Vec<u128> = self.unfinished().collect();
        for request in waiting {
            self.send(Event::Cancel {
                request: RequestId(request),
            });
        }
        let left: Vec<u128> = self.running.keys().copied().collect();
        for request in left {
            self.finish(request, AttemptEnd::Cancelled);
        }
        assert_eq!(self.unfinished().count(), 0, "requests have not ended");
        assert_eq!(self.scheduler.queued(), 0, "requests are still queued");
        assert_eq!(self.scheduler.running(), 0, "attempts are still running");
    }

    fn unfinished(&self) -> impl Iterator<Item = u128> {
        let all = self.submitted.keys().copied();
        all.filter(|request| !self.ended.contains(request))
    }

    fn submit(&mut self, account: u8, prompt: u16, output: u16) {
        self.next += 1;
        let name = format!("account-{}", account % 5);
        let submission = Submission {
            prompt: Tokens(u64::from(prompt % 5_000) + 1),
            max_output: Tokens(u64::from(output % 100) + 1),
            idempotent: !account.is_multiple_of(3),
            ..submission(self.next, &name, self.now)
        };
        self.submitted.insert(self.next, submission.clone());
        self.send(Event::Submit(submission));
    }

    fn pick_submitted(&self, which: u8) -> Option<RequestId> {
        let unfinished: Vec<u128> = self.unfinished().collect();
        let index = unfinished.get(usize::from(which) % unfinished.len().max(1))?;
        Some(RequestId(*index))
    }

    fn pick_running(&self, which: u8) -> Option<u128> {
        let index = usize::from(which) % self.running.len().max(1);
        self.running.keys().nth(index).copied()
    }

    fn advance(&mut self, which: u8, tokens: u8) {
        let Some(request) = self.pick_running(which) else {
            return;
        };
        let id = RequestId(request);
        let running = self.running.get_mut(&request).expect("the request runs");
        running.stage += u8::from(running.stage < 3);
        let event = match running.stage {
            1 => Event::Prefilled { request: id },
            2 => Event::Transferred { request: id },
            _ => {
                running.output += u64::from(tokens % 100) + 1;
                Event::Progress {
                    request: id,
                    output: Tokens(running.output),
                }
            }
        };
        // A quarter of the messages other than progress reports are lost.
        let lost = running.stage < 3 && tokens.is_multiple_of(4);
        if !lost {
            self.send(event);
        }
    }

    fn end(&mut self, which: u8, end: u8, lost: bool) {
        let Some(request) = self.pick_running(which) else {
            return;
        };
        let end = match end % 4 {
            0 => AttemptEnd::Failed,
            1 => AttemptEnd::Refused,
            _ => AttemptEnd::Complete,
        };
        if lost {
            self.running.remove(&request);
            self.ended.insert(request);
            self.recover_by_reports();
        } else {
            self.finish(request, end);
        }
    }

    fn finish(&mut self, request: u128, end: AttemptEnd) {
        if self.running.remove(&request).is_some() {
            assert!(self.ended.insert(request), "request {request} ended twice");
            let request = RequestId(request);
            self.send(Event::Ended { request, end });
        }
    }

    /// Recovers a lost end by two reports, separated by the grace period.
    fn recover_by_reports(&mut self) {
        self.report();
        self.wait(2_100);
        self.report();
    }

    fn report(&mut self) {
        let held = |running: &Running| AttemptReport {
            submission: running.submission.clone(),
            grant: running.grant.clone(),
            prefilled: running.stage > 0,
            transferred: running.stage > 1,
            output: Tokens(running.output),
        };
        let attempts = self.running.values().map(held).collect();
        self.send(Event::Report(Box::new(EntryReport {
            instance: "entry".parse().expect("the name is well-formed"),
            epoch: self.settings.epoch,
            queued: Vec::new(),
            attempts,
        })));
    }

    fn wait(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(wake) = self.scheduler.next_wake().filter(|wake| *wake <= end) {
            self.now = wake.max(self.now);
            self.send(Event::Tick);
            let next = self.scheduler.next_wake();
            assert!(
                next.is_none_or(|next| next > self.now),
                "wake-up requested for {next:?}, which is not after {}",
                self.now
            );
        }
        self.now = end;
    }

    /// Whether the event is a submission of an ended request, which would count as a new request.
    fn is_resubmission(&self, event: &Event) -> bool {
        matches!(event, Event::Submit(each) if self.ended.contains(&each.request.0))
    }

    fn endpoint_name(&self, which: u8) -> String {
        let i = usize::from(which) % self.view.endpoints.len();
        self.view.endpoints[i].id.to_string()
    }

    fn endpoint_down(&mut self, which: u8) {
        let name = self.endpoint_name(which);
        self.down.insert(name.clone());
        let endpoint = name.parse().expect("the name is well-formed");
        self.send(Event::EndpointDown { endpoint });
    }

    fn endpoint_up(&mut self, which: u8) {
        let name = self.endpoint_name(which);
        let number = self.incarnations.entry(name.clone()).or_insert(0);
        *number += 1;
        let incarnation = Incarnation(*number);
        // The first reported incarnation may be the one that has been running from the start.
        if self.down.remove(&name) || *number > 1 {
            self.cold_since.insert(name.clone(), self.now);
        }
        self.send(Event::EndpointUp {
            endpoint: name.parse().expect("the name is well-formed"),
            incarnation,
        });
    }

    fn toggle_data_centre(&mut self) {
        let state = &mut self.view.data_centre.state;
        *state = match state {
            DataCentreState::In => DataCentreState::Out,
            DataCentreState::Out => DataCentreState::In,
        };
        if *state == DataCentreState::In {
            let now = self.now;
            self.cold_since.values_mut().for_each(|since| *since = now);
        }
        self.configure();
    }

    fn configure(&mut self) {
        self.send(Event::Configure(Box::new(self.view.clone())));
    }

    fn send(&mut self, event: Event) {
        if !matches!(
            event,
            Event::Tick | Event::Report(_) | Event::EndpointUp { .. }
        ) {
            self.last_event = Some(event.clone());
        }
        for action in self.scheduler.handle(self.now, event) {
            self.handle_action(action);
        }
    }

    fn handle_action(&mut self, action: Action) {
        match action {
            Action::Start(grant) => self.start(grant),
            Action::Refuse { request, .. } => {
                assert!(
                    !self.running.contains_key(&request.0),
                    "request {} refused while it runs",
                    request.0
                );
                assert!(
                    self.ended.insert(request.0),
                    "request {} refused after its end",
                    request.0
                );
            }
            Action::Abort { request } => self.finish(request.0, AttemptEnd::Cancelled),
        }
    }

    fn start(&mut self, grant: Grant) {
        let request = grant.request.0;
        assert!(
            !self.running.contains_key(&request),
            "request {request} granted while it runs"
        );
        assert!(
            !self.ended.contains(&request),
            "request {request} granted after its end"
        );
        assert_eq!(self.view.data_centre.state, DataCentreState::In);
        let names = [grant.prefill.as_ref(), Some(&grant.decode)];
        for id in names.into_iter().flatten() {
            let mut endpoints = self.view.endpoints.iter();
            let endpoint = endpoints
                .find(|each| each.id == *id)
                .expect("the endpoint is configured");
            assert_eq!(endpoint.state, EndpointState::Active, "{id} is draining");
            assert!(!self.down.contains(id.as_str()), "{id} is down");
        }
        let submission = self.submitted[&request].clone();
        let decode = grant.decode.to_string();
        self.running.insert(
            request,
            Running {
                grant,
                submission,
                stage: 0,
                output: 0,
            },
        );
        self.check_ramp(&decode);
    }

    /// Checks that the number of streams does not exceed the permits since the last cold start.
    fn check_ramp(&self, decode: &str) {
        let here = |each: &&Running| each.grant.decode.as_str() == decode;
        let running = self.running.values().filter(here).count() as u32;
        let ramp = &self.settings.ramp;
        let elapsed = self.now.since(self.cold_since[decode]).as_micros();
        let doublings = (elapsed / ramp.doubling_interval.as_micros()).min(10);
        let permits = ramp.initial_permits << doublings;
        assert!(
            running <= permits,
            "{running} streams at {decode}, {permits} permits"
        );
    }

    /// Checks that the reserved and the used memory fit into each endpoint.
    fn check_memory(&self) {
        let decode =
            |each: &&mimosa_protocol::configuration::Endpoint| each.role == EndpointRole::Decode;
        for endpoint in self.view.endpoints.iter().filter(decode) {
            let size = endpoint.capacity.tokens_per_block;
            let here = self.running.values();
            let here = here.filter(|each| each.grant.decode == endpoint.id);
            let held = |each: &Running| {
                let used = Tokens(each.submission.prompt.0 + each.output).blocks(size);
                used.max(each.grant.blocks).0
            };
            let blocks: u64 = here.map(held).sum();
            let total = endpoint.capacity.blocks.0;
            assert!(
                blocks <= total,
                "{blocks} blocks held of {total} at {}",
                endpoint.id
            );
        }
    }
}
