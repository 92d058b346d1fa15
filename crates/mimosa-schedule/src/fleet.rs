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

use mimosa_protocol::EndpointId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;

use crate::balance::Demand;
use crate::balance::Pools;

mod endpoint;
mod forecast;
mod message;
mod pace;
mod placing;
mod settings;
mod waiting;

pub use self::message::Action;
pub use self::message::Event;
pub use self::message::GatewayRequestId;
pub use self::message::Placement;
pub use self::message::PlacementRefusal;
pub use self::message::PlacementRequest;
pub use self::message::RunEnd;
pub use self::message::RunningRequest;
pub use self::settings::Settings;
pub use self::settings::View;
pub use self::settings::ViewEndpoint;

use self::endpoint::FleetEndpoint;
use self::forecast::Load;
use self::pace::Pace;
use self::waiting::Waiting;

/// A request that was placed.
#[derive(Clone, Debug)]
struct Run {
    ask: PlacementRequest,
    placement: Placement,
    load: Load,
}

/// The scheduler of one service.
#[derive(Debug)]
pub struct FleetScheduler {
    settings: Settings,
    view: View,
    endpoints: BTreeMap<EndpointId, FleetEndpoint>,
    waiting: Vec<Waiting>,
    runs: BTreeMap<GatewayRequestId, Run>,
    pace: Pace,
    /// Whether the endpoints were told; requests wait before.
    is_configured: bool,
    /// Until then nothing is placed: gateways may still tell what runs already.
    silent_until: Timestamp,
}

impl FleetScheduler {
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
    pub fn least_loaded(&self, role: EndpointRole) -> Option<&EndpointId> {
        let endpoints = self.endpoints.iter();
        endpoints
            .filter(|(_, each)| each.role == Some(role))
            .min_by_key(|(id, each)| (each.in_hand(), *id))
            .map(|(id, _)| id)
    }

    /// The state in one line, for the log: the busiest endpoints and those that get nothing by name.
    pub fn summary(&self, now: Timestamp) -> String {
        /// Endpoints that one line names at most.
        const NAMED: usize = 32;
        let mut endpoints: Vec<_> = self.endpoints.iter().collect();
        let pools = self.pools();
        let left_out = endpoints.len().saturating_sub(NAMED);
        if left_out > 0 {
            let weight = |each: &FleetEndpoint| (each.is_blocked(now), each.in_hand());
            endpoints.sort_by_key(|(_, each)| std::cmp::Reverse(weight(each)));
            endpoints.truncate(NAMED);
        }
        let endpoints: Vec<String> = endpoints
            .iter()
            .map(|(id, each)| format!("{id}:{}", each.summary(now)))
            .collect();
        format!(
            "waiting={} running={} prefill_tokens_per_s={} token_us={} prefill={} decode={} \
             endpoints=[{}] unnamed={left_out}",
            self.waiting.len(),
            self.runs.len(),
            self.pace.prefill_rate(),
            self.pace.token_time().as_micros(),
            pools.prefill,
            pools.decode,
            endpoints.join(" ")
        )
    }

    /// Decides on one event.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Configure(view) => self.configure(now, view),
            Event::Submit(ask) => self.ask(now, ask, &mut actions),
            Event::Adopt(held) => self.hold(now, held),
            Event::Prefilled { id: ticket, took } => self.prefilled(now, &ticket, took),
            Event::Started { id: ticket } => self.started(now, &ticket),
            Event::Ended { id: ticket, end } => self.ended(now, &ticket, &end),
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
            .map(|at| at.minus(lookahead))
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

    fn configure(&mut self, now: Timestamp, view: View) {
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
            known.cold.set_until(now, each.cold_until);
        }
        self.view = view;
        self.is_configured = true;
    }

    fn ask(&mut self, now: Timestamp, ask: PlacementRequest, actions: &mut Vec<Action>) {
        let ticket = ask.id.clone();
        if self.is_configured && !self.endpoints.values().any(FleetEndpoint::decodes) {
            return actions.push(Action::Refuse {
                id: ticket,
                reason: PlacementRefusal::NoEndpoint,
                retry_after: self.settings.no_room_pause,
            });
        }
        if self.is_configured && ask.prompt > self.view.memory {
            return actions.push(Action::Refuse {
                id: ticket,
                reason: PlacementRefusal::TooLarge,
                retry_after: Duration::ZERO,
            });
        }
        let waiting = Waiting::new(now, ask, &self.settings);
        let place = self
            .waiting
            .partition_point(|each| each.order() <= waiting.order());
        self.waiting.insert(place, waiting);
    }

    fn hold(&mut self, now: Timestamp, held: RunningRequest) {
        let ticket = held.request.id.clone();
        if self.runs.contains_key(&ticket) {
            return;
        }
        let load = self.pace.load(&held.request, now.minus(held.decoding_for));
        if let Some(endpoint) = self.endpoints.get_mut(&held.decode) {
            endpoint.loads.insert(ticket.clone(), load);
        }
        let run = Run {
            placement: Placement {
                prefill: None,
                decode: held.decode,
            },
            ask: held.request,
            load,
        };
        self.runs.insert(ticket, run);
    }

    fn prefilled(&mut self, now: Timestamp, ticket: &GatewayRequestId, took: Duration) {
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

    fn started(&mut self, now: Timestamp, ticket: &GatewayRequestId) {
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

    fn ended(&mut self, now: Timestamp, ticket: &GatewayRequestId, end: &RunEnd) {
        if let RunEnd::Unreachable(endpoint) | RunEnd::EndpointLost(endpoint) = end
            && let Some(endpoint) = self.endpoints.get_mut(endpoint)
        {
            endpoint.failed(now);
        }
        self.waiting.retain(|each| each.ask.id != *ticket);
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
            (RunEnd::NoCapacity, _) => endpoint.full_until = now + self.settings.no_room_pause,
            _ => {}
        }
    }

    fn gateway_lost(&mut self, now: Timestamp, gateway: &InstanceId) {
        let runs = self.runs.keys().filter(|ticket| ticket.gateway == *gateway);
        let lost: Vec<GatewayRequestId> = runs.cloned().collect();
        for ticket in &lost {
            self.ended(now, ticket, &RunEnd::Aborted);
        }
        self.waiting.retain(|each| each.ask.id.gateway != *gateway);
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
                return self.refuse_hopeless(now, actions);
            };
            let waiting = self.waiting.remove(place);
            actions.push(self.place(now, waiting, placement));
        }
    }

    /// Refuses at once what would wait for decode memory until it is given up. Who waits gets room
    /// when so many have ended as wait before it.
    fn refuse_hopeless(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !self.waits_for_memory(now) {
            return;
        }
        let rooms = self.ends(now);
        let retry_after = self.time_to_room(now);
        let mut place = 0;
        self.keep_waiting(actions, retry_after, |each| {
            let room = rooms.get(place).or(rooms.last());
            let keeps = room.is_none_or(|room| *room <= each.given_up_at);
            place += usize::from(keeps);
            keeps
        });
    }

    /// Refuses the waiting requests that are not kept.
    fn keep_waiting(
        &mut self,
        actions: &mut Vec<Action>,
        retry_after: Duration,
        mut keeps: impl FnMut(&Waiting) -> bool,
    ) {
        self.waiting.retain(|each| {
            let kept = keeps(each);
            if !kept {
                actions.push(Action::Refuse {
                    id: each.ask.id.clone(),
                    reason: PlacementRefusal::TooLate,
                    retry_after,
                });
            }
            kept
        });
    }

    /// Whether requests wait although a prefill endpoint is free.
    fn waits_for_memory(&self, now: Timestamp) -> bool {
        !self.waiting.is_empty() && self.free_prefills(now).next().is_some()
    }

    /// Refuses what can no longer be served, and sorts what can no longer be in time behind the rest.
    fn give_up(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            return;
        }
        let retry_after = self.time_to_room(now);
        let prefill = |ask: &PlacementRequest| self.pace.prefill_time(ask.prompt);
        for each in &mut self.waiting {
            let needs = prefill(&each.ask) + self.settings.first_output_time;
            each.is_late = now + needs > each.target;
        }
        self.waiting.sort_by_key(Waiting::order);
        self.keep_waiting(actions, retry_after, |each| now < each.given_up_at);
    }

    /// When the running requests are expected to end, the first one first.
    fn ends(&self, now: Timestamp) -> Vec<Timestamp> {
        let loads = self.endpoints.values().flat_map(|each| each.loads.values());
        let mut ends: Vec<_> = loads
            .map(|load| load.end(now, self.pace.token_time()))
            .collect();
        ends.sort_unstable();
        ends
    }

    /// When so many of the running requests are expected to have ended that those who wait have room
    /// and one more.
    fn time_to_room(&self, now: Timestamp) -> Duration {
        let ends = self.ends(now);
        let wanted = self.waiting.len().min(ends.len().saturating_sub(1));
        let time = ends.get(wanted).map(|end| end.since(now));
        time.unwrap_or_default().max(self.settings.no_room_pause)
    }
}
