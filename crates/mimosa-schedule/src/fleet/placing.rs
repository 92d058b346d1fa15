//! Finds the endpoints of a request.

use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::Timestamp;

use super::FleetScheduler;
use super::Run;
use super::endpoint::FleetEndpoint;
use super::forecast;
use super::forecast::Load;
use super::message::Action;
use super::message::Placement;
use super::message::PlacementRequest;
use super::waiting::Waiting;

impl FleetScheduler {
    pub(super) fn find(&self, now: Timestamp, waiting: &Waiting) -> Option<Placement> {
        let ask = &waiting.ask;
        if let Some(holder) = &ask.kv_cache_at {
            let from = now + self.settings.first_output_time;
            let load = self.pace.load(ask, from);
            let home = self
                .endpoints
                .get(holder)
                .and_then(|each| each.data_centre.clone());
            let decode = self.find_decode(now, ask, &load, home.as_ref())?;
            return Some(Placement {
                prefill: None,
                decode,
            });
        }
        let prefill_time = self.pace.prefill_time(ask.prompt);
        let has_prefill = self.endpoints.values().any(FleetEndpoint::prefills);
        let prefill = self
            .free_prefills(now)
            .filter(|(id, ..)| !self.avoids(ask, id))
            .min_by_key(|(_, each, free_at)| (!each.is_in(&ask.data_centre), *free_at));
        if has_prefill && prefill.is_none() {
            return None;
        }
        let starts = prefill
            .as_ref()
            .map_or(now, |(.., free_at)| (*free_at).max(now));
        let from = starts + prefill_time + self.settings.first_output_time;
        let load = self.pace.load(ask, from);
        let home = prefill
            .as_ref()
            .and_then(|(_, each, _)| each.data_centre.clone());
        let decode = self.find_decode(now, ask, &load, home.as_ref())?;
        Some(Placement {
            prefill: prefill.map(|(id, ..)| id.clone()),
            decode,
        })
    }

    /// The prefill endpoints that take a prompt now, with the time when each is free.
    pub(super) fn free_prefills(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&EndpointId, &FleetEndpoint, Timestamp)> {
        let limit = now + self.settings.prefill_lookahead;
        let turn = self.view.cold_pacing;
        self.endpoints
            .iter()
            .filter(move |(_, each)| each.prefills() && each.takes_work(now, turn))
            .map(move |(id, each)| (id, each, each.free_at(now)))
            .filter(move |(.., free_at)| *free_at <= limit)
    }

    /// Whether a request should go elsewhere than to an endpoint, as long as there is an elsewhere.
    fn avoids(&self, ask: &PlacementRequest, id: &EndpointId) -> bool {
        if !ask.avoid.contains(id) {
            return false;
        }
        let role = self.endpoints.get(id).map(|each| each.role);
        let mut alike = self
            .endpoints
            .iter()
            .filter(|(_, each)| Some(each.role) == role);
        alike.any(|(other, _)| !ask.avoid.contains(other))
    }

    /// The decode endpoint with the most room of those that have enough, near the KV cache if it
    /// makes little difference.
    fn find_decode(
        &self,
        now: Timestamp,
        ask: &PlacementRequest,
        load: &Load,
        home: Option<&DataCentreId>,
    ) -> Option<EndpointId> {
        let memory = self.view.memory.0 * self.settings.fill_permille / 1_000;
        let token_time = self.pace.token_time();
        // Moves between data centres take twice as long and cost more.
        let far = |each: &FleetEndpoint| {
            let is_near = home.is_some_and(|home| each.is_in(home));
            if is_near { 0 } else { load.prompt.0 }
        };
        let takes_work = |each: &FleetEndpoint| {
            let turn = self.view.cold_pacing;
            each.decodes() && each.takes_work(now, turn) && now >= each.full_until
        };
        let mut open: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(id, each)| takes_work(each) && !self.avoids(ask, id))
            .filter(|(_, each)| each.loads.len() < self.view.slots as usize)
            .map(|(id, each)| {
                let present = forecast::present(now, each.loads.values(), token_time);
                (present + far(each), id, each)
            })
            .collect();
        let most = self.settings.max_forecasts;
        if open.len() > most {
            open.select_nth_unstable_by_key(most, |(cost, id, _)| (*cost, *id));
            open.truncate(most);
        }
        open.iter()
            .filter_map(|(_, id, each)| {
                let loads = each.loads.values();
                let peak = forecast::peak_within(now, loads, load, token_time, memory)?;
                Some((peak + far(each), *id))
            })
            .min()
            .map(|(_, id)| id.clone())
    }

    pub(super) fn place(
        &mut self,
        now: Timestamp,
        waiting: Waiting,
        placement: Placement,
    ) -> Action {
        let ask = waiting.ask;
        let ticket = ask.id.clone();
        let prefill_time = self.pace.prefill_time(ask.prompt);
        let turn = self.view.cold_pacing;
        let mut ready = now;
        if let Some(prefill) = &placement.prefill
            && let Some(endpoint) = self.endpoints.get_mut(prefill)
        {
            ready = endpoint.start_prefill(now, &ticket, prefill_time, turn);
        }
        let from = ready + self.settings.first_output_time;
        let load = self.pace.load(&ask, from);
        if let Some(endpoint) = self.endpoints.get_mut(&placement.decode) {
            endpoint.loads.insert(ticket.clone(), load);
            endpoint.cold.record_request(now, turn);
        }
        let run = Run {
            ask,
            placement: placement.clone(),
            load,
        };
        self.runs.insert(ticket.clone(), run);
        Action::Place {
            id: ticket,
            placement,
        }
    }
}
