//! Places the requests of one model service over all its endpoints from one place.
//!
//! It answers the load of a model whose decode memory is the scarce part: prompts of some thousand
//! tokens that grow by as many while they are decoded, with bursts of twice what the memory bears.
//! It forecasts the memory of each decode endpoint from the sizes and the pace of what runs there,
//! starts a prefill only when its decode has room, and keeps the queue here instead of in the
//! engines, where a request that does not fit is preempted in the middle of its stream.
//!
//! Like all deciding code it takes `(now, event)` and returns actions. Its state is soft: a successor
//! rebuilds it from what the gateways hold.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::data;

use crate::balance::Demand;
use crate::balance::Pools;

mod endpoint;
mod forecast;
mod pace;
mod waiting;

use self::endpoint::FleetEndpoint;
use self::forecast::Load;
use self::pace::Pace;
use self::waiting::Waiting;

data! {
    /// Names a request: the gateway that serves it and the gateway's own number.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Ticket {
        /// The gateway.
        pub gateway: InstanceId,
        /// Its number for the request.
        pub number: u64,
    }

    /// A request that wants to be placed.
    pub struct Ask {
        /// Names it.
        pub ticket: Ticket,
        /// Whom it runs for.
        pub account: Option<AccountId>,
        /// Prompt size.
        pub prompt: Tokens,
        /// Most output.
        pub max_output: Tokens,
        /// The caller's estimate of the output.
        pub expected_output: Option<Tokens>,
        /// Rank; 0 is the most urgent.
        pub priority: u8,
        /// Time until the first output is late.
        pub target_left: Duration,
        /// Time until the caller gives up without a first output.
        pub patience_left: Duration,
        /// Where the gateway stands.
        pub data_centre: DataCentreId,
        /// The endpoint that holds the KV cache already, after the decode failed elsewhere.
        pub prefilled: Option<EndpointId>,
    }

    /// A request that runs already, told to a new scheduler.
    pub struct Held {
        /// The request as it was asked for.
        pub ask: Ask,
        /// Where it decodes.
        pub decode: EndpointId,
        /// How long it has decoded.
        pub decoding_for: Duration,
    }

    /// How a run ended.
    pub enum RunEnd {
        /// Complete, with so much output.
        Complete(Tokens),
        /// The decode endpoint had no room and did not run it.
        NoRoom,
        /// An endpoint could not be reached or failed before the run started.
        Unreachable(EndpointId),
        /// It failed, or its caller left.
        Broken,
    }

    /// Where a request runs.
    pub struct Placement {
        /// Where the prompt is processed; nothing if the decode endpoint does it.
        pub prefill: Option<EndpointId>,
        /// Where the output is generated.
        pub decode: EndpointId,
    }

    /// Why a request is not placed.
    #[derive(Copy)]
    pub enum Unplaced {
        /// No endpoint takes work.
        NoEndpoint,
        /// It would not start while its caller waits.
        TooLate,
        /// It is larger than any endpoint's memory.
        TooLarge,
        /// Its account has used up its quota for now.
        OverQuota,
        /// It costs more than the whole burst of its account.
        OverBurst,
    }
}

impl Unplaced {
    /// The reason as a stable word.
    pub const fn word(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::TooLate => "too_late",
            Self::TooLarge => "too_large",
            Self::OverQuota => "over_quota",
            Self::OverBurst => "over_burst",
        }
    }
}

/// What a fleet is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoints changed.
    Configure(View),
    /// A request wants to be placed.
    Ask(Ask),
    /// A request was placed by an earlier scheduler.
    Held(Held),
    /// The prompt of a request was processed, in so much time.
    Prefilled {
        /// The request.
        ticket: Ticket,
        /// How long the prefill endpoint took.
        took: Duration,
    },
    /// The first output of a request arrived.
    Started {
        /// The request.
        ticket: Ticket,
    },
    /// The run of a request ended, or its caller left the queue.
    Ended {
        /// The request.
        ticket: Ticket,
        /// How.
        end: RunEnd,
    },
    /// A gateway is gone, and with it its connections to the endpoints.
    GatewayLost {
        /// The gateway.
        gateway: InstanceId,
    },
    /// Time passed.
    Tick,
}

/// What a fleet decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the request there, now.
    Place {
        /// The request.
        ticket: Ticket,
        /// Where.
        placement: Placement,
    },
    /// End the request: it did not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        why: Unplaced,
        /// When room is expected.
        retry_after: Duration,
    },
}

/// The endpoints of the service.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Memory of each decode endpoint.
    pub memory: Tokens,
    /// Requests that an endpoint runs at once.
    pub slots: u32,
    /// The endpoints that take work.
    pub endpoints: Vec<ViewEndpoint>,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct ViewEndpoint {
    /// Its name.
    pub id: EndpointId,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// What it does.
    pub role: EndpointRole,
    /// Until when it bears few requests.
    pub cold_until: Timestamp,
}

/// How a fleet decides.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Part of the memory, in thousandths, that a forecast may fill. The rest is for outputs that
    /// get longer than estimated: the estimates are often off by half, their sum over a score of
    /// requests by about a tenth.
    pub fill_permille: u64,
    /// How long before a prefill endpoint becomes free the next prompt is sent to it: the way from
    /// here to the gateway and on.
    pub prefill_lookahead: Duration,
    /// Time from the end of a prefill to the first output.
    pub first_output_time: Duration,
    /// Part of the caller's patience, in thousandths, for which a request that missed its target may
    /// go on waiting.
    pub late_permille: u32,
    /// Waiting requests that are weighed in one decision, so that one that fits nowhere does not
    /// stop the others.
    pub lookahead: usize,
    /// Prompt tokens a second assumed before the first prefill was measured.
    pub first_prefill_rate: u64,
    /// Time for one output token assumed before the first was measured.
    pub first_token_time: Duration,
    /// How long an endpoint that had no room gets nothing.
    pub no_room_pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fill_permille: 900,
            prefill_lookahead: Duration::from_millis(10),
            first_output_time: Duration::from_millis(60),
            late_permille: 600,
            lookahead: 16,
            first_prefill_rate: 40_000,
            first_token_time: Duration::from_micros(700),
            no_room_pause: Duration::from_millis(300),
        }
    }
}

/// A request that was placed.
#[derive(Clone, Debug)]
struct Run {
    ask: Ask,
    placement: Placement,
    load: Load,
}

/// The scheduler of one service.
#[derive(Debug)]
pub struct Fleet {
    settings: Settings,
    view: View,
    endpoints: BTreeMap<EndpointId, FleetEndpoint>,
    waiting: Vec<Waiting>,
    runs: BTreeMap<Ticket, Run>,
    pace: Pace,
    /// Whether the endpoints were told; requests wait before.
    is_configured: bool,
    /// Until then nothing is placed: gateways may still tell what runs already.
    silent_until: Timestamp,
}

impl Fleet {
    /// A fleet that knows no endpoint yet. It places nothing before a moment, by which the gateways
    /// have told what they hold.
    pub fn new(settings: Settings, silent_until: Timestamp) -> Self {
        Self {
            silent_until,
            is_configured: false,
            pace: Pace::new(settings.first_prefill_rate, settings.first_token_time),
            settings,
            view: View::default(),
            endpoints: BTreeMap::new(),
            waiting: Vec::new(),
            runs: BTreeMap::new(),
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that were placed and have not ended.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// What one request needs, once enough were seen.
    pub fn demand(&self) -> Option<Demand> {
        self.pace.demand(self.view.memory)
    }

    /// Endpoints that take work.
    pub fn pools(&self) -> Pools {
        let count = |is: fn(&FleetEndpoint) -> bool| {
            let endpoints = self.endpoints.values().filter(|each| is(each));
            u32::try_from(endpoints.count()).unwrap_or(u32::MAX)
        };
        Pools {
            prefill: count(FleetEndpoint::prefills),
            decode: count(FleetEndpoint::decodes),
        }
    }

    /// The endpoint of a role that has the least in hand.
    pub fn idlest(&self, role: EndpointRole) -> Option<&EndpointId> {
        let endpoints = self.endpoints.iter();
        endpoints
            .filter(|(_, each)| each.role == Some(role))
            .min_by_key(|(id, each)| (each.in_hand(), *id))
            .map(|(id, _)| id)
    }

    /// The state in one line, for the log.
    pub fn summary(&self, now: Timestamp) -> String {
        let endpoints: Vec<String> = self
            .endpoints
            .iter()
            .map(|(id, each)| format!("{id}:{}", each.summary(now)))
            .collect();
        format!(
            "waiting={} running={} prefill_tokens_per_s={} token_us={} endpoints=[{}]",
            self.waiting.len(),
            self.runs.len(),
            self.pace.prefill_rate(),
            self.pace.token_time().as_micros(),
            endpoints.join(" ")
        )
    }

    /// Decides on one event.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Configure(view) => self.configure(view),
            Event::Ask(ask) => self.ask(now, ask, &mut actions),
            Event::Held(held) => self.hold(now, held),
            Event::Prefilled { ticket, took } => self.prefilled(now, &ticket, took),
            Event::Started { ticket } => self.started(now, &ticket),
            Event::Ended { ticket, end } => self.ended(now, &ticket, &end),
            Event::GatewayLost { gateway } => self.gateway_lost(now, &gateway),
            Event::Tick => {}
        }
        self.decide(now, &mut actions);
        actions
    }

    /// When [`Event::Tick`] is wanted next, if at all.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        if self.waiting.is_empty() {
            return None;
        }
        let frees = self
            .endpoints
            .values()
            .filter_map(|each| each.next_change(now));
        let lookahead = self.settings.prefill_lookahead;
        let soonest = frees
            .map(|at| at.before(lookahead))
            .filter(|at| *at > now)
            .min();
        let ends = self.waiting.iter().map(|each| each.given_up_at).min();
        /// Longest wait for a look at the queue, as estimates drift.
        const LOOK: Duration = Duration::from_millis(50);
        [soonest, ends]
            .into_iter()
            .flatten()
            .chain([now + LOOK])
            .min()
    }

    fn configure(&mut self, view: View) {
        self.endpoints
            .retain(|id, _| view.endpoints.iter().any(|each| each.id == *id));
        for each in &view.endpoints {
            let is_new = !self.endpoints.contains_key(&each.id);
            let known = self.endpoints.entry(each.id.clone()).or_default();
            if is_new {
                // What gateways told before the endpoints were known.
                let runs = self.runs.iter();
                let here = runs.filter(|(_, run)| run.placement.decode == each.id);
                known.loads = here
                    .map(|(ticket, run)| (ticket.clone(), run.load))
                    .collect();
            }
            known.role = Some(each.role);
            known.data_centre = Some(each.data_centre.clone());
            known.cold_until = each.cold_until;
        }
        self.view = view;
        self.is_configured = true;
    }

    fn ask(&mut self, now: Timestamp, ask: Ask, actions: &mut Vec<Action>) {
        let size = ask.prompt + ask.max_output;
        let ticket = ask.ticket.clone();
        if self.is_configured && !self.endpoints.values().any(FleetEndpoint::decodes) {
            return actions.push(Action::Refuse {
                ticket,
                why: Unplaced::NoEndpoint,
                retry_after: self.settings.no_room_pause,
            });
        }
        if self.is_configured && size > self.view.memory && ask.prompt > self.view.memory {
            return actions.push(Action::Refuse {
                ticket,
                why: Unplaced::TooLarge,
                retry_after: Duration::ZERO,
            });
        }
        let waiting = Waiting::new(now, ask, &self.settings);
        let place = self
            .waiting
            .partition_point(|each| each.order() <= waiting.order());
        self.waiting.insert(place, waiting);
    }

    fn hold(&mut self, now: Timestamp, held: Held) {
        let ticket = held.ask.ticket.clone();
        if self.runs.contains_key(&ticket) {
            return;
        }
        let expected = self.pace.expected_output(&held.ask);
        let load = Load {
            prompt: held.ask.prompt,
            output: expected,
            max_output: held.ask.max_output,
            from: now.before(held.decoding_for),
        };
        if let Some(endpoint) = self.endpoints.get_mut(&held.decode) {
            endpoint.loads.insert(ticket.clone(), load);
        }
        let run = Run {
            placement: Placement {
                prefill: None,
                decode: held.decode,
            },
            ask: held.ask,
            load,
        };
        self.runs.insert(ticket, run);
    }

    fn prefilled(&mut self, now: Timestamp, ticket: &Ticket, took: Duration) {
        let Some(run) = self.runs.get(ticket) else {
            return;
        };
        let Some(prefill) = &run.placement.prefill else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(prefill) {
            let alone = endpoint.prefilled(now, ticket);
            endpoint.answered();
            if alone {
                self.pace.prefilled(run.ask.prompt, took);
            }
        }
    }

    fn started(&mut self, now: Timestamp, ticket: &Ticket) {
        let Some(run) = self.runs.get(ticket) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(&run.placement.decode)
            && let Some(load) = endpoint.loads.get_mut(ticket)
        {
            load.from = now;
            endpoint.answered();
        }
    }

    fn ended(&mut self, now: Timestamp, ticket: &Ticket, end: &RunEnd) {
        if let RunEnd::Unreachable(endpoint) = end
            && let Some(endpoint) = self.endpoints.get_mut(endpoint)
        {
            endpoint.failed(now);
        }
        self.waiting.retain(|each| each.ask.ticket != *ticket);
        let Some(run) = self.runs.remove(ticket) else {
            return;
        };
        if let Some(prefill) = &run.placement.prefill
            && let Some(endpoint) = self.endpoints.get_mut(prefill)
        {
            endpoint.prefilled(now, ticket);
        }
        let Some(endpoint) = self.endpoints.get_mut(&run.placement.decode) else {
            return;
        };
        let load = endpoint.loads.remove(ticket);
        match (end, load) {
            (RunEnd::Complete(output), Some(load)) => {
                let took = now.since(load.from);
                self.pace.completed(&run.ask, *output, took);
            }
            (RunEnd::NoRoom, _) => endpoint.full_until = now + self.settings.no_room_pause,
            _ => {}
        }
    }

    fn gateway_lost(&mut self, now: Timestamp, gateway: &InstanceId) {
        let runs = self.runs.keys().filter(|ticket| ticket.gateway == *gateway);
        let lost: Vec<Ticket> = runs.cloned().collect();
        for ticket in &lost {
            self.ended(now, ticket, &RunEnd::Broken);
        }
        self.waiting
            .retain(|each| each.ask.ticket.gateway != *gateway);
    }

    fn decide(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.give_up(now, actions);
        if now < self.silent_until {
            return;
        }
        loop {
            let placed = (0..self.waiting.len().min(self.settings.lookahead))
                .find_map(|place| Some((place, self.find(now, &self.waiting[place])?)));
            let Some((place, placement)) = placed else {
                return;
            };
            let waiting = self.waiting.remove(place);
            actions.push(self.place(now, waiting, placement));
        }
    }

    /// Refuses what can no longer be served, and sorts what can no longer be in time behind the rest.
    fn give_up(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let retry_after = self.time_to_room(now);
        let prefill = |ask: &Ask| self.pace.prefill_time(ask.prompt);
        for each in &mut self.waiting {
            let needs = prefill(&each.ask) + self.settings.first_output_time;
            each.is_late = now + needs > each.target;
        }
        self.waiting.sort_by_key(Waiting::order);
        self.waiting.retain(|each| {
            let keeps = now < each.given_up_at;
            if !keeps {
                actions.push(Action::Refuse {
                    ticket: each.ask.ticket.clone(),
                    why: Unplaced::TooLate,
                    retry_after,
                });
            }
            keeps
        });
    }

    /// When so many of the running requests are expected to have ended that those who wait have room
    /// and one more.
    fn time_to_room(&self, now: Timestamp) -> Duration {
        let loads = self.endpoints.values().flat_map(|each| each.loads.values());
        let mut ends: Vec<_> = loads
            .map(|load| load.end(now, self.pace.token_time()))
            .collect();
        ends.sort_unstable();
        let wanted = self.waiting.len().min(ends.len().saturating_sub(1));
        let time = ends.get(wanted).map(|end| end.since(now));
        time.unwrap_or_default().max(self.settings.no_room_pause)
    }

    fn find(&self, now: Timestamp, waiting: &Waiting) -> Option<Placement> {
        let ask = &waiting.ask;
        if let Some(holder) = &ask.prefilled {
            let load = Load {
                prompt: ask.prompt,
                output: self.pace.expected_output(ask),
                max_output: ask.max_output,
                from: now + self.settings.first_output_time,
            };
            let home = self
                .endpoints
                .get(holder)
                .and_then(|each| each.data_centre.clone());
            let decode = self.find_decode(now, &load, home.as_ref())?;
            return Some(Placement {
                prefill: None,
                decode,
            });
        }
        let prefill_time = self.pace.prefill_time(ask.prompt);
        let prefills = self.endpoints.iter().filter(|(_, each)| each.prefills());
        let has_prefill = prefills.clone().next().is_some();
        let limit = now + self.settings.prefill_lookahead;
        let prefill = prefills
            .filter(|(_, each)| each.takes_work(now))
            .map(|(id, each)| (id, each, each.free_at(now)))
            .filter(|(.., free_at)| *free_at <= limit)
            .min_by_key(|(_, each, free_at)| (!each.is_in(&ask.data_centre), *free_at));
        if has_prefill && prefill.is_none() {
            return None;
        }
        let starts = prefill
            .as_ref()
            .map_or(now, |(.., free_at)| (*free_at).max(now));
        let from = starts + prefill_time + self.settings.first_output_time;
        let load = Load {
            prompt: ask.prompt,
            output: self.pace.expected_output(ask),
            max_output: ask.max_output,
            from,
        };
        let home = prefill
            .as_ref()
            .and_then(|(_, each, _)| each.data_centre.clone());
        let decode = self.find_decode(now, &load, home.as_ref())?;
        Some(Placement {
            prefill: prefill.map(|(id, ..)| id.clone()),
            decode,
        })
    }

    /// The decode endpoint with the most room of those that have enough, near the KV cache if it
    /// makes little difference.
    fn find_decode(
        &self,
        now: Timestamp,
        load: &Load,
        home: Option<&DataCentreId>,
    ) -> Option<EndpointId> {
        let memory = self.view.memory.0 * self.settings.fill_permille / 1_000;
        let token_time = self.pace.token_time();
        self.endpoints
            .iter()
            .filter(|(_, each)| each.decodes() && each.takes_work(now) && now >= each.full_until)
            .filter(|(_, each)| each.loads.len() < self.view.slots as usize)
            .filter_map(|(id, each)| {
                let loads = each.loads.values();
                let peak = forecast::peak_within(now, loads, load, token_time, memory)?;
                let is_near = home.is_some_and(|home| each.is_in(home));
                // Moves between data centres take twice as long and cost more.
                let cost = if is_near { peak } else { peak + load.prompt.0 };
                Some((cost, id))
            })
            .min()
            .map(|(_, id)| id.clone())
    }

    fn place(&mut self, now: Timestamp, waiting: Waiting, placement: Placement) -> Action {
        let ask = waiting.ask;
        let ticket = ask.ticket.clone();
        let prefill_time = self.pace.prefill_time(ask.prompt);
        let expected = self.pace.expected_output(&ask);
        let mut ready = now;
        if let Some(prefill) = &placement.prefill
            && let Some(endpoint) = self.endpoints.get_mut(prefill)
        {
            ready = endpoint.start_prefill(now, &ticket, prefill_time);
        }
        let load = Load {
            prompt: ask.prompt,
            output: expected,
            max_output: ask.max_output,
            from: ready + self.settings.first_output_time,
        };
        if let Some(endpoint) = self.endpoints.get_mut(&placement.decode) {
            endpoint.loads.insert(ticket.clone(), load);
            endpoint.count_cold(now);
        }
        let run = Run {
            ask,
            placement: placement.clone(),
            load,
        };
        self.runs.insert(ticket.clone(), run);
        Action::Place { ticket, placement }
    }
}
