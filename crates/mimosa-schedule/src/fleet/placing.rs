//! Selection of the endpoints of a request.

use std::time::Duration;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use super::FleetScheduler;
use super::Run;
use super::endpoint::FleetEndpoint;
use super::forecast;
use super::forecast::MemoryLoad;
use super::message::Action;
use super::message::Placement;
use super::message::PlacementRequest;
use super::pools::Pool;
use super::queue::QueuedRequest;

/// Endpoints found for a request, and what the placement there uses.
#[derive(Clone, Debug)]
pub(super) struct FoundPlacement {
    pub(super) placement: Placement,
    /// Whether the request's KV cache is used, if it has one.
    pub(super) uses_cache: bool,
    pub(super) uses_permit: bool,
}

/// A request and the endpoints among which it is placed.
#[derive(Clone, Copy)]
struct Search<'a> {
    request: &'a PlacementRequest,
    pool: &'a Pool,
}

impl FleetScheduler {
    /// Selects the endpoints of the request at an index of the queue; `None` if it has to wait.
    pub(super) fn find_placement(
        &self,
        now: Timestamp,
        index: usize,
        queued: &QueuedRequest,
    ) -> Option<FoundPlacement> {
        let pools = self.pools_for(now, &queued.request);
        pools.iter().find_map(|pool| {
            let holder = queued.request.kv_cache_at.as_ref();
            let uses_cache = holder.is_none_or(|holder| self.can_use_cache(pool, holder));
            let holder = holder.filter(|_| uses_cache);
            Some(FoundPlacement {
                placement: self.find_in_pool(now, index, queued, pool, holder)?,
                uses_cache,
                uses_permit: pool.needs_permit(),
            })
        })
    }

    /// Selects the endpoints of a request in a pool; `cache_holder` has the KV cache that is used.
    fn find_in_pool(
        &self,
        now: Timestamp,
        index: usize,
        queued: &QueuedRequest,
        pool: &Pool,
        cache_holder: Option<&EndpointId>,
    ) -> Option<Placement> {
        let request = &queued.request;
        let search = Search { request, pool };
        if let Some(cache_holder) = cache_holder {
            let decode_start = now + self.settings.first_output_time;
            let load = self.estimates.memory_load(request, decode_start);
            let cache_data_centre = self
                .endpoints
                .get(cache_holder)
                .and_then(|each| each.data_centre.clone());
            let cache_data_centre = cache_data_centre.as_ref();
            let decode = self.find_decode(now, search, &load, cache_data_centre, |_| true)?;
            return Some(Placement {
                prefill: None,
                decode,
            });
        }
        let mut in_pool = self.in_pool(pool);
        let has_prefill_pool = in_pool.any(|(_, each)| each.is_prefill());
        let prefill = self
            .free_prefills(now)
            .filter(|(id, each, _)| pool.contains(id, each))
            .filter(|(id, ..)| !self.avoids(request, pool, id))
            .min_by_key(|(id, each, free_at)| {
                let rank = self.prefill_rank(now, id, *free_at, request.prompt);
                (!each.is_in(&request.data_centre), rank)
            });
        if has_prefill_pool && prefill.is_none() {
            if self.prefill_pool_meets_target(now, index, queued, pool) {
                return None;
            }
            return self.find_decode_for_prompt(now, queued, pool);
        }
        let prefill_start = prefill
            .as_ref()
            .map_or(now, |(.., free_at)| (*free_at).max(now));
        let prefill_time = match &prefill {
            Some((id, ..)) => self.prefill_time_at(now, id, request.prompt),
            None => self.estimates.prefill_time(request.prompt),
        };
        let prefill_end = prefill_start + prefill_time + self.estimates.prefill_latency();
        let decode_start = prefill_end + self.settings.first_output_time;
        let load = self.estimates.memory_load(request, decode_start);
        let cache_data_centre = prefill
            .as_ref()
            .and_then(|(_, each, _)| each.data_centre.clone());
        let cache_data_centre = cache_data_centre.as_ref();
        let decode = self.find_decode(now, search, &load, cache_data_centre, |_| true)?;
        Some(Placement {
            prefill: prefill.map(|(id, ..)| id.clone()),
            decode,
        })
    }

    pub(super) fn in_pool(
        &self,
        pool: &Pool,
    ) -> impl Iterator<Item = (&EndpointId, &FleetEndpoint)> {
        let endpoints = self.endpoints.iter();
        endpoints.filter(move |(id, each)| pool.contains(id, each))
    }

    /// Whether the prefill endpoints of a pool are expected to process all prompts up to an index of
    /// the queue in time for the target of the request at that index.
    fn prefill_pool_meets_target(
        &self,
        now: Timestamp,
        index: usize,
        queued: &QueuedRequest,
        pool: &Pool,
    ) -> bool {
        let pacing = self.view.cold_pacing;
        let in_pool = self.in_pool(pool).map(|(_, each)| each);
        let usable = in_pool.filter(|each| each.is_prefill());
        let free_at: Vec<Timestamp> = usable
            .filter(|each| each.accepts_work(now, pacing))
            .map(|each| self.prefill_free_at(now, each).max(now))
            .collect();
        let Some(first_free) = free_at.iter().min() else {
            return false;
        };
        let ahead = self.queue[..index].iter().map(|each| each.request.prompt.0);
        let ahead = Tokens(ahead.sum::<u64>() / free_at.len() as u64);
        let prefill_end = *first_free
            + self.estimates.prefill_time(ahead)
            + self.estimates.prefill_time(queued.request.prompt);
        let latency = self.estimates.prefill_latency() + self.settings.first_output_time;
        prefill_end + latency <= queued.target
    }

    /// Selects a decode endpoint that processes the prompt itself, if the first output is then in
    /// time and the other outputs there do not pause for too long. An endpoint gets one such prompt
    /// at a time.
    fn find_decode_for_prompt(
        &self,
        now: Timestamp,
        queued: &QueuedRequest,
        pool: &Pool,
    ) -> Option<Placement> {
        let request = &queued.request;
        let prefill_time = self.decode_prefill_time(request);
        let latency = self.estimates.prefill_latency() + self.settings.first_output_time;
        let decode_start = now + prefill_time + latency;
        let max_pause = self.view.max_pause.unwrap_or(Duration::MAX);
        let max_time = max_pause.saturating_mul(self.settings.prompt_pause_permille) / 1_000;
        if decode_start > queued.target || prefill_time > max_time {
            return None;
        }
        let load = self.estimates.memory_load(request, decode_start);
        let search = Search { request, pool };
        let is_idle = |each: &FleetEndpoint| each.free_at(now) <= now;
        let decode = self.find_decode(now, search, &load, None, is_idle)?;
        Some(Placement {
            prefill: None,
            decode,
        })
    }

    /// Time in which a decode endpoint processes the prompt of a request.
    fn decode_prefill_time(&self, request: &PlacementRequest) -> Duration {
        self.estimates.prefill_time(request.prompt) * self.settings.decode_prefill_factor
    }

    /// Prefill endpoints that accept a prompt now, with the expected end of their pending prompts.
    pub(super) fn free_prefills(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&EndpointId, &FleetEndpoint, Timestamp)> {
        let limit = now + self.settings.prefill_lookahead;
        let pacing = self.view.cold_pacing;
        self.endpoints
            .iter()
            .filter(move |(_, each)| each.is_prefill() && each.accepts_work(now, pacing))
            .map(move |(id, each)| (id, each, self.prefill_free_at(now, each)))
            .filter(move |(.., free_at)| *free_at <= limit)
    }

    /// Whether to avoid an endpoint, because it takes no requests of the gateway or the request failed
    /// there. Endpoints where it failed are not avoided if it failed at all endpoints of their role in
    /// the pool.
    fn avoids(&self, request: &PlacementRequest, pool: &Pool, id: &EndpointId) -> bool {
        if request.exclude.contains(id) {
            return true;
        }
        if !request.avoid.contains(id) {
            return false;
        }
        let role = self.endpoints.get(id).map(|each| each.role);
        let mut alike = self
            .in_pool(pool)
            .filter(|(_, each)| Some(each.role) == role);
        alike.any(|(other, _)| !request.avoid.contains(other) && !request.exclude.contains(other))
    }

    /// Selects the decode endpoint with the lowest forecast peak among those with enough memory.
    /// The data centre of the KV cache is preferred if the difference is smaller than the prompt.
    fn find_decode(
        &self,
        now: Timestamp,
        search: Search<'_>,
        load: &MemoryLoad,
        cache_data_centre: Option<&DataCentreId>,
        is_suitable: impl Fn(&FleetEndpoint) -> bool,
    ) -> Option<EndpointId> {
        let Search { request, pool } = search;
        let memory = self.view.memory.0 * self.settings.max_fill_permille / 1_000;
        // A KV cache transfer between data centres takes twice as long and costs more.
        let distance_cost = |each: &FleetEndpoint| {
            let is_local =
                cache_data_centre.is_some_and(|cache_data_centre| each.is_in(cache_data_centre));
            if is_local { 0 } else { load.prompt.0 }
        };
        let cost = |memory: u64, id: &EndpointId, each: &FleetEndpoint, token_time| {
            self.decode_cost(now, id, token_time, memory + distance_cost(each))
        };
        let accepts_work = |each: &FleetEndpoint| {
            let pacing = self.view.cold_pacing;
            each.is_decode() && each.accepts_work(now, pacing) && now >= each.no_capacity_until
        };
        let mut candidates: Vec<_> = self
            .in_pool(pool)
            .filter(|(id, each)| accepts_work(each) && !self.avoids(request, pool, id))
            .filter(|(_, each)| is_suitable(each))
            .filter(|(_, each)| each.loads.len() < self.view.slots as usize)
            .map(|(id, each)| {
                let running = each.loads.len() + 1;
                let token_time = self.token_time_at(now, id, running);
                let current = forecast::current_memory(now, each.loads.values(), token_time);
                (cost(current, id, each, token_time), id, each, token_time)
            })
            .collect();
        let max_forecasts = self.settings.max_forecasts;
        if candidates.len() > max_forecasts {
            candidates.select_nth_unstable_by_key(max_forecasts, |(cost, id, ..)| (*cost, *id));
            candidates.truncate(max_forecasts);
        }
        candidates
            .iter()
            .filter_map(|(_, id, each, token_time)| {
                let loads = each.loads.values();
                let peak = forecast::peak_within(now, loads, load, *token_time, memory)?;
                Some((cost(peak, id, each, *token_time), *id))
            })
            .min()
            .map(|(_, id)| id.clone())
    }

    /// Reserves capacity for a request at its endpoints.
    pub(super) fn place(
        &mut self,
        now: Timestamp,
        queued: QueuedRequest,
        placement: Placement,
    ) -> Action {
        let request = queued.request;
        let id = request.id.clone();
        let (prompt_endpoint, prefill_time) = match &placement.prefill {
            Some(prefill) => (prefill, self.prefill_time_at(now, prefill, request.prompt)),
            None => (&placement.decode, self.decode_prefill_time(&request)),
        };
        let mut prefill_end = now;
        if request.kv_cache_at.is_none()
            && let Some(endpoint) = self.endpoints.get_mut(prompt_endpoint)
        {
            prefill_end =
                endpoint.start_prefill(now, &id, prefill_time) + self.estimates.prefill_latency();
        }
        let decode_start = prefill_end + self.settings.first_output_time;
        let load = self.estimates.memory_load(&request, decode_start);
        if let Some(endpoint) = self.endpoints.get_mut(&placement.decode) {
            endpoint.loads.insert(id.clone(), load);
        }
        for endpoint_id in placement.prefill.iter().chain([&placement.decode]) {
            if let Some(endpoint) = self.endpoints.get_mut(endpoint_id) {
                endpoint.record_request(now, self.view.cold_pacing);
            }
            if let Some(speeds) = &mut self.speeds {
                speeds.record_placement(now, endpoint_id);
            }
        }
        let run = Run {
            request,
            placement: placement.clone(),
            load,
        };
        self.runs.insert(id.clone(), run);
        Action::Place { id, placement }
    }
}
