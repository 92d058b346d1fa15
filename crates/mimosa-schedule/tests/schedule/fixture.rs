//! Configurations, requests and a session that records events and actions.

use std::fmt::Write;
use std::time::Duration;

use mimosa_protocol::ByteRate;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::Capacity;
use mimosa_protocol::configuration::DataCentre;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::configuration::ServiceKind;
use mimosa_schedule::Action;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Policy;
use mimosa_schedule::Scheduler;
use mimosa_schedule::Settings;
use mimosa_schedule::Submission;
use mimosa_schedule::event::LoadReport;
use mimosa_schedule::event::View;
use mimosa_schedule::settings::RampSettings;

pub const FIRST_TOKEN_TARGET: Duration = Duration::from_secs(2);
pub const TOKEN_GAP_TARGET: Duration = Duration::from_millis(40);

pub fn endpoint_id(text: &str) -> EndpointId {
    text.parse().expect("the name is well-formed")
}

pub fn endpoint(role: EndpointRole, i: usize) -> Endpoint {
    let kind = match role {
        EndpointRole::Prefill => "prefill",
        EndpointRole::Decode => "decode",
        EndpointRole::Plain => "plain",
    };
    Endpoint {
        id: endpoint_id(&format!("{kind}-{i}")),
        service: "model".parse().expect("the name is well-formed"),
        data_centre: "dc".parse().expect("the name is well-formed"),
        address: ([127, 0, 0, 1], 1).into(),
        role,
        state: EndpointState::Active,
        capacity: Capacity {
            blocks: KvBlocks(8),
            concurrency: 4,
            prefill_rate: TokenRate(20_000),
            ..Capacity::default()
        },
        checks_fencing: false,
    }
}

/// Configuration of a model with the given numbers of prefill and decode endpoints.
pub fn model(prefill: usize, decode: usize) -> View {
    let prefill = (0..prefill).map(|i| endpoint(EndpointRole::Prefill, i));
    let decode = (0..decode).map(|i| endpoint(EndpointRole::Decode, i));
    View {
        service: Service {
            id: "model".parse().expect("the name is well-formed"),
            kind: ServiceKind::Model,
            open: false,
            first_token_target: FIRST_TOKEN_TARGET,
            token_gap_target: TOKEN_GAP_TARGET,
            max_queue_time: Duration::from_secs(10),
        },
        data_centre: DataCentre {
            id: "dc".parse().expect("the name is well-formed"),
            state: DataCentreState::In,
            link_rate: ByteRate(10_000_000_000),
        },
        endpoints: prefill.chain(decode).collect(),
    }
}

/// Settings with ramp-up permits above the concurrency of the endpoints.
pub fn warm_settings() -> Settings {
    Settings {
        ramp: RampSettings {
            initial_permits: 100,
            ..RampSettings::default()
        },
        ..Settings::default()
    }
}

pub fn submission(request: u128, account: &str, arrived: Timestamp) -> Submission {
    Submission {
        request: RequestId(request),
        account: account.parse().expect("the name is well-formed"),
        weight: 1,
        prompt: Tokens(4_000),
        max_output: Tokens(500),
        prefix: Vec::new(),
        arrived,
        idempotent: true,
        avoid: Vec::new(),
    }
}

pub fn load(endpoint: &str, measured: Timestamp) -> LoadReport {
    LoadReport {
        endpoint: endpoint_id(endpoint),
        incarnation: Incarnation(1),
        measured_at: measured,
        running: 0,
        waiting: 0,
        used_blocks: KvBlocks(0),
        token_gap: None,
    }
}

/// A scheduler with a record of its events and actions.
pub struct Session {
    pub scheduler: Scheduler,
    pub now: Timestamp,
    pub record: String,
}

impl Session {
    pub fn new(settings: Settings, view: View) -> Self {
        Self::with_scheduler(Scheduler::new(settings), view)
    }

    pub fn with_scheduler(scheduler: Scheduler, view: View) -> Self {
        let mut session = Self {
            scheduler,
            now: Timestamp::ZERO,
            record: String::new(),
        };
        session.send(Event::Configure(Box::new(view)));
        session
    }

    /// Advances the time and sends the ticks that the scheduler requests.
    pub fn wait(&mut self, millis: u64) -> Vec<Action> {
        let end = self.now + Duration::from_millis(millis);
        let mut actions = Vec::new();
        while let Some(wake) = self.scheduler.next_wake().filter(|wake| *wake <= end) {
            self.now = wake.max(self.now);
            actions.extend(self.send(Event::Tick));
            let next = self.scheduler.next_wake();
            assert!(
                next.is_none_or(|next| next > self.now),
                "wake-up requested for {next:?}, which is not after {}",
                self.now
            );
        }
        self.now = end;
        actions
    }

    pub fn send(&mut self, event: Event) -> Vec<Action> {
        let at = self.now;
        let text = describe_event(&event);
        let actions = self.scheduler.handle(at, event);
        if !(text == "tick" && actions.is_empty()) {
            writeln!(self.record, "{at} {text}").expect("writing to a string succeeds");
        }
        for action in &actions {
            let text = describe_action(action);
            writeln!(self.record, "         -> {text}").expect("writing to a string succeeds");
        }
        actions
    }

    pub fn submit(&mut self, request: u128, account: &str) -> Vec<Action> {
        self.send(Event::Submit(submission(request, account, self.now)))
    }

    pub fn prefilled(&mut self, request: u128) -> Vec<Action> {
        let request = RequestId(request);
        self.send(Event::Prefilled { request })
    }

    pub fn transferred(&mut self, request: u128) -> Vec<Action> {
        let request = RequestId(request);
        self.send(Event::Transferred { request })
    }

    pub fn progress(&mut self, request: u128, output: u64) -> Vec<Action> {
        self.send(Event::Progress {
            request: RequestId(request),
            output: Tokens(output),
        })
    }

    pub fn end(&mut self, request: u128, end: AttemptEnd) -> Vec<Action> {
        let request = RequestId(request);
        self.send(Event::Ended { request, end })
    }

    /// Advances an attempt to its first token.
    pub fn run_to_first_token(&mut self, request: u128) {
        self.prefilled(request);
        self.transferred(request);
        self.progress(request, 1);
    }
}

/// Ids of the started requests.
pub fn started(actions: &[Action]) -> Vec<u128> {
    let start = |action: &Action| match action {
        Action::Start(grant) => Some(grant.request.0),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

/// Ids of the aborted requests.
pub fn aborted(actions: &[Action]) -> Vec<u128> {
    let abort = |action: &Action| match action {
        Action::Abort { request } => Some(request.0),
        _ => None,
    };
    actions.iter().filter_map(abort).collect()
}

fn describe_event(event: &Event) -> String {
    match event {
        Event::Configure(view) => {
            let state = view.data_centre.state;
            format!("configure {} endpoints, {state:?}", view.endpoints.len())
        }
        Event::Submit(each) => format!(
            "submit {} of {}: {} + {} tokens",
            each.request.0, each.account, each.prompt, each.max_output
        ),
        Event::Cancel { request } => format!("cancel {}", request.0),
        Event::Prefilled { request } => format!("prefilled {}", request.0),
        Event::Transferred { request } => format!("transferred {}", request.0),
        Event::Progress { request, output } => format!("progress {}: {output}", request.0),
        Event::Ended { request, end } => format!("ended {}: {end:?}", request.0),
        Event::Load(report) => {
            format!(
                "load of {}: {} blocks used",
                report.endpoint, report.used_blocks
            )
        }
        Event::Cache(report) => format!("cache of {}: {}", report.endpoint, report.sequence),
        Event::EndpointDown { endpoint } => format!("lost {endpoint}"),
        Event::EndpointUp {
            endpoint,
            incarnation,
        } => format!("found {endpoint}, life {incarnation}"),
        Event::Report(report) => format!(
            "report of {} at epoch {}: {} attempts, {} waiting",
            report.instance,
            report.epoch,
            report.attempts.len(),
            report.queued.len()
        ),
        Event::Lease { until } => format!("lease until {until}"),
        Event::Tick => "tick".to_owned(),
    }
}

fn describe_action(action: &Action) -> String {
    match action {
        Action::Start(grant) => {
            let prefill = grant.prefill.as_ref().map_or("-", EndpointId::as_str);
            format!(
                "start {} on {prefill} and {}, {} blocks, by {}, epoch {}",
                grant.request.0, grant.decode, grant.blocks, grant.start_by, grant.epoch
            )
        }
        Action::Refuse { request, refusal } => format!(
            "refuse {}: {}, ran {}, again after {:?}",
            request.0, refusal.reason, refusal.ran, refusal.retry_after
        ),
        Action::Abort { request } => format!("abort {}", request.0),
    }
}
