//! Central scheduler of one model service over all its endpoints.
//!
//! It is designed for models whose decode memory is the bottleneck: prompts of several thousand
//! tokens that grow by as many tokens during decoding, with bursts of twice the available memory.
//! The scheduler forecasts the memory use of each decode endpoint from the sizes and the speed of
//! the requests that run there. It starts a prefill only if a decode endpoint has room for the
//! request. Requests are queued here and not in the engines, because an engine preempts a request
//! that does not fit in the middle of its stream.
//!
//! A gateway is an instance that accepts requests of clients. It submits them to the scheduler and
//! runs them at the endpoints of their [`Placement`].
//!
//! The scheduler takes `(now, event)` and returns actions. Its state is not persisted: a successor
//! rebuilds it from the requests that the gateways hold.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;

use crate::balance::Demand;
use crate::balance::PoolSizes;
use crate::versions;
use crate::versions::VersionUse;

mod dispatching;
mod endpoint;
mod estimates;
mod forecast;
mod message;
mod permits;
mod placing;
mod pools;
mod queue;
mod refusals;
mod settings;
mod sharing;
mod speeds;

pub use self::message::Action;
pub use self::message::Event;
pub use self::message::GatewayRequestId;
pub use self::message::Placement;
pub use self::message::PlacementRefusal;
pub use self::message::PlacementRequest;
pub use self::message::RunEnd;
pub use self::message::RunningRequest;
pub use self::message::StreamVersion;
pub use self::settings::Settings;
pub use self::settings::View;
pub use self::settings::ViewEndpoint;

use self::endpoint::FleetEndpoint;
use self::estimates::EngineEstimates;
use self::forecast::MemoryLoad;
use self::permits::Permits;
use self::queue::QueuedRequest;
use self::sharing::Sharing;
use self::speeds::EndpointSpeeds;

/// A placed request that has not ended.
#[derive(Clone, Debug)]
struct Run {
    request: PlacementRequest,
    placement: Placement,
    load: MemoryLoad,
}

/// Scheduler of one model service over all data centres.
#[derive(Debug)]
pub struct FleetScheduler {
    settings: Settings,
    view: View,
    endpoints: BTreeMap<EndpointId, FleetEndpoint>,
    queue: Vec<QueuedRequest>,
    runs: BTreeMap<GatewayRequestId, Run>,
    estimates: EngineEstimates,
    /// Speeds of single endpoints; `None` if all are assumed to be equally fast.
    speeds: Option<EndpointSpeeds>,
    /// Whether the endpoints are known. Requests are queued before that.
    is_configured: bool,
    tries: u64,
    /// Whether the whole queue is tried again at the next decision, because capacity was freed.
    has_new_capacity: bool,
    /// When the whole queue was last tried.
    last_scan: Timestamp,
    /// Until this time nothing is placed, because gateways may still report running requests.
    handover_until: Timestamp,
    /// Permits for placements on the new version of a rollout.
    permits: Permits,
    /// The versions of the decode endpoints that requests may use without a permit.
    open_versions: Vec<Option<ServiceVersion>>,
    /// Fair shares of the accounts; `None` if they are disabled.
    sharing: Option<Sharing>,
}

impl FleetScheduler {
    /// Creates a scheduler without endpoints. It places nothing before `handover_until`, by which
    /// the gateways have reported their running requests.
    pub fn new(settings: Settings, handover_until: Timestamp) -> Self {
        Self {
            handover_until,
            permits: Permits::default(),
            open_versions: Vec::new(),
            tries: 0,
            has_new_capacity: true,
            last_scan: Timestamp::ZERO,
            is_configured: false,
            estimates: EngineEstimates::new(
                settings.initial_prefill_rate,
                settings.initial_token_time,
            ),
            speeds: EndpointSpeeds::new(settings.endpoint_speeds, settings.uneven_speeds),
            settings,
            view: View::default(),
            endpoints: BTreeMap::new(),
            queue: Vec::new(),
            runs: BTreeMap::new(),
            sharing: None,
        }
    }

    /// Number of queued requests, for which no endpoint has been selected.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of searches for a placement so far, the most expensive part of a decision.
    pub const fn tries(&self) -> u64 {
        self.tries
    }

    /// Number of placed requests that have not ended.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Resources used by an average request; `None` before enough requests have completed.
    pub fn demand(&self, now: Timestamp) -> Option<Demand> {
        let demand = self.estimates.demand(self.view.memory)?;
        Some(self.demand_at_endpoints(now, demand))
    }

    /// Number of permits that were granted last and not used, even if their lease has ended.
    pub const fn unused_permits(&self) -> u32 {
        self.permits.unused()
    }

    /// Number of permits of the current rollout that placements have used.
    pub const fn used_permits(&self) -> u64 {
        self.permits.used()
    }

    /// Number of endpoints of each role in the current view, without those that a rollout keeps from
    /// requests without a permit.
    pub fn pools(&self) -> PoolSizes {
        let count = |is: fn(&FleetEndpoint) -> bool| {
            let open = self.endpoints.values().filter(|each| each.is_open);
            let endpoints = open.filter(|each| is(each));
            u32::try_from(endpoints.count()).unwrap_or(u32::MAX)
        };
        PoolSizes {
            prefill: count(FleetEndpoint::is_prefill),
            decode: count(FleetEndpoint::is_decode),
        }
    }

    /// Returns the endpoint of a role with the fewest requests, and among equals the one with the
    /// lowest id, of those that [`Self::pools`] counts; `None` if none has the role.
    pub fn least_loaded(&self, role: EndpointRole) -> Option<&EndpointId> {
        let endpoints = self.endpoints.iter();
        endpoints
            .filter(|(_, each)| each.is_open && each.role == Some(role))
            .min_by_key(|(id, each)| (each.request_count(), *id))
            .map(|(id, _)| id)
    }

    /// Describes the state in one line for the log, with the endpoints that are blocked or have the
    /// most requests.
    pub fn summary(&self, now: Timestamp) -> String {
        /// Maximum number of endpoints in a line.
        const MAX_LISTED: usize = 32;
        let mut endpoints: Vec<_> = self.endpoints.iter().collect();
        let pools = self.pools();
        let omitted = endpoints.len().saturating_sub(MAX_LISTED);
        if omitted > 0 {
            let rank = |each: &FleetEndpoint| (each.is_blocked(now), each.request_count());
            endpoints.sort_by_key(|(_, each)| std::cmp::Reverse(rank(each)));
            endpoints.truncate(MAX_LISTED);
        }
        let endpoints: Vec<String> = endpoints
            .iter()
            .map(|(id, each)| format!("{id}:{}", each.summary(now)))
            .collect();
        format!(
            "waiting={} running={} prefill_tokens_per_s={} prefill_latency_us={} token_us={} \
             prefill={} decode={} \
             endpoints=[{}] unnamed={omitted}{}",
            self.queue.len(),
            self.runs.len(),
            self.estimates.prefill_rate(),
            self.estimates.prefill_latency().as_micros(),
            self.estimates.token_time().as_micros(),
            pools.prefill,
            pools.decode,
            endpoints.join(" "),
            self.speeds_summary(now)
        )
    }

    /// Processes an event and returns the resulting actions, which the caller executes in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.has_new_capacity |= event.may_free_capacity();
        match event {
            Event::Configure(view) => self.on_configure(now, view),
            Event::Submit(request) => self.submit(now, request, &mut actions),
            Event::Adopt(running) => self.adopt(now, running),
            Event::Prefilled { id, took } => self.on_prefilled(now, &id, took),
            Event::Started { id } => self.on_started(now, &id),
            Event::Ended { id, end } => self.on_ended(now, &id, &end),
            Event::GatewayLost { gateway } => self.on_gateway_lost(now, &gateway),
            Event::Limited { endpoint, max_rate } => {
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    endpoint.limit(now, max_rate);
                }
            }
            Event::GrantPermits {
                rollout,
                permits,
                endpoints,
                until,
            } => self.permits.grant(rollout, permits, endpoints, until),
            Event::Stated { endpoint, percent } => self.on_stated(now, &endpoint, percent),
            Event::Tick => {}
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Time at which the next [`Event::Tick`] is required; `None` if no request is queued.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        if self.queue.is_empty() {
            return None;
        }
        let prefill_ends = self
            .endpoints
            .values()
            .filter_map(|each| each.last_processing_end());
        let lookahead = self.settings.prefill_lookahead;
        let first_prefill_end = prefill_ends
            .map(|at| at.minus(lookahead))
            .filter(|at| *at > now)
            .min();
        let first_deadline = self.queue.iter().map(|each| each.refuse_at).min();
        /// Maximum time between two checks of the queue, because the estimates change over time.
        const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);
        [first_prefill_end, first_deadline]
            .into_iter()
            .flatten()
            .chain([now + MAX_TICK_INTERVAL])
            .min()
    }

    fn on_configure(&mut self, now: Timestamp, view: View) {
        self.endpoints
            .retain(|id, _| view.endpoints.iter().any(|each| each.id == *id));
        for each in &view.endpoints {
            let is_new = !self.endpoints.contains_key(&each.id);
            let known = self.endpoints.entry(each.id.clone()).or_default();
            if is_new {
                // Running requests that gateways reported before the endpoint was known.
                let runs = self.runs.iter();
                let here = runs.filter(|(_, run)| run.placement.decode == each.id);
                known.loads = here.map(|(id, run)| (id.clone(), run.load)).collect();
            }
            known.role = Some(each.role);
            known.data_centre = Some(each.data_centre.clone());
            known.cold.set_until(now, each.cold_until);
            known.is_open = Self::is_open(view.rollout.as_ref(), each.version.as_ref());
            known.version.clone_from(&each.version);
        }
        let rollout = view.rollout.as_ref();
        self.permits
            .set_rollout(rollout.map(|rollout| rollout.number));
        self.open_versions = self.find_open_versions();
        if let Some(speeds) = &mut self.speeds {
            speeds.retain(|id| self.endpoints.contains_key(id));
        }
        self.view = view;
        self.is_configured = true;
        self.configure_sharing(now);
    }

    fn submit(&mut self, now: Timestamp, request: PlacementRequest, actions: &mut Vec<Action>) {
        let id = request.id.clone();
        let has_decode = self.has_decode(&request);
        if self.is_configured && !has_decode {
            return actions.push(Action::Refuse {
                id,
                reason: PlacementRefusal::NoEndpoint,
                retry_after: self.settings.no_capacity_backoff,
            });
        }
        if self.is_configured && request.prompt > self.view.memory {
            return actions.push(Action::Refuse {
                id,
                reason: PlacementRefusal::TooLarge,
                retry_after: Duration::ZERO,
            });
        }
        let mut queued = QueuedRequest::new(now, request, &self.settings);
        self.rank_submitted(now, &mut queued);
        let index = self
            .queue
            .partition_point(|each| each.compare(&queued).is_le());
        self.queue.insert(index, queued);
    }

    /// Whether a decode endpoint may get the request now or later.
    fn has_decode(&self, request: &PlacementRequest) -> bool {
        let may_get = |endpoint: &FleetEndpoint| match (&self.view.rollout, &request.resumes) {
            (Some(rollout), Some(StreamVersion(began_on))) => {
                let version = endpoint.version.as_ref();
                versions::version_use_of_stream(rollout, version, began_on.as_ref())
                    != VersionUse::Excluded
            }
            _ => endpoint.is_open,
        };
        let mut endpoints = self.endpoints.iter();
        endpoints
            .any(|(id, each)| each.is_decode() && may_get(each) && !request.exclude.contains(id))
    }

    fn adopt(&mut self, now: Timestamp, running: RunningRequest) {
        let id = running.request.id.clone();
        if self.runs.contains_key(&id) {
            return;
        }
        let load = self
            .estimates
            .memory_load(&running.request, now.minus(running.decoding_for));
        if let Some(endpoint) = self.endpoints.get_mut(&running.decode) {
            endpoint.loads.insert(id.clone(), load);
        }
        let run = Run {
            placement: Placement {
                prefill: None,
                decode: running.decode,
            },
            request: running.request,
            load,
        };
        self.runs.insert(id.clone(), run);
        self.charge_run(now, &id);
    }

    fn on_prefilled(&mut self, now: Timestamp, id: &GatewayRequestId, took: Duration) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        let Some(prefill) = &run.placement.prefill else {
            return;
        };
        let latency = self.estimates.prefill_latency();
        if let Some(endpoint) = self.endpoints.get_mut(prefill) {
            if let Some(speeds) = &mut self.speeds {
                speeds.record_delay(endpoint.overdue(now, latency));
            }
            let is_measurable = endpoint.finish_prefill(now, id, latency);
            endpoint.record_success();
            if is_measurable {
                if let Some(speeds) = &mut self.speeds {
                    let expected = self.estimates.prefill_time(run.request.prompt) + latency;
                    speeds.record_prefill(now, prefill, expected, took);
                }
                self.estimates.record_prefill(run.request.prompt, took);
            }
        }
    }

    fn on_started(&mut self, now: Timestamp, id: &GatewayRequestId) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        if let Some(endpoint) = self.endpoints.get_mut(&run.placement.decode)
            && let Some(load) = endpoint.loads.get_mut(id)
        {
            load.decode_start = now;
            endpoint.finish_prefill(now, id, self.estimates.prefill_latency());
            endpoint.record_success();
        }
    }

    fn on_ended(&mut self, now: Timestamp, id: &GatewayRequestId, end: &RunEnd) {
        if let RunEnd::Unreachable(endpoint) | RunEnd::EndpointLost(endpoint) = end
            && let Some(endpoint) = self.endpoints.get_mut(endpoint)
        {
            endpoint.record_failure(now);
        }
        self.queue.retain(|each| each.request.id != *id);
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        let endpoint = self.endpoints.get(&run.placement.decode);
        let load = endpoint.and_then(|each| each.loads.get(id)).copied();
        self.settle_run(now, &run, &load.unwrap_or(run.load), end);
        let latency = self.estimates.prefill_latency();
        if let Some(prefill) = &run.placement.prefill
            && let Some(endpoint) = self.endpoints.get_mut(prefill)
        {
            endpoint.finish_prefill(now, id, latency);
        }
        let Some(endpoint) = self.endpoints.get_mut(&run.placement.decode) else {
            return;
        };
        endpoint.finish_prefill(now, id, latency);
        let load = endpoint.loads.remove(id);
        match (end, load) {
            (RunEnd::Complete(output), Some(load)) => {
                let took = now.since(load.decode_start);
                self.estimates
                    .record_completion(&run.request, *output, took);
                if let Some(speeds) = &mut self.speeds {
                    let running = endpoint.loads.len() + 1;
                    speeds.record_decode(now, &run.placement.decode, running, *output, took);
                }
            }
            (RunEnd::NoCapacity, _) => {
                endpoint.no_capacity_until = now + self.settings.no_capacity_backoff
            }
            _ => {}
        }
    }

    fn on_gateway_lost(&mut self, now: Timestamp, gateway: &InstanceId) {
        let runs = self.runs.keys().filter(|id| id.gateway == *gateway);
        let lost: Vec<GatewayRequestId> = runs.cloned().collect();
        for id in &lost {
            self.on_ended(now, id, &RunEnd::Aborted);
        }
        self.queue
            .retain(|each| each.request.id.gateway != *gateway);
    }
}
