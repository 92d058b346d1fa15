//! Execution of attempts on the simulated engines.

use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Grant;

use crate::engine::AttemptId;
use crate::engine::Decode;
use crate::engine::Milestone;
use crate::engine::Prefill;
use crate::simulation::End;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

/// Bandwidth of the network link of each endpoint, in bytes per second.
const LINK_BYTES_PER_S: f64 = 10e9;

fn request(attempt: AttemptId) -> RequestId {
    RequestId(attempt.index as u128)
}

impl Simulation<'_> {
    fn grant(&self, attempt: AttemptId) -> Grant {
        let grant = self.states[attempt.index].grant.clone();
        grant.expect("a running attempt has a grant")
    }

    fn data_centre(&self, attempt: AttemptId) -> usize {
        self.states[attempt.index].data_centre
    }

    fn prefill_of(&mut self, attempt: AttemptId) -> (EndpointId, &mut Prefill) {
        let id = self
            .grant(attempt)
            .prefill
            .expect("models have prefill pools");
        let data_centre = self.data_centre(attempt);
        let prefill = self.data_centres[data_centre].prefill.get_mut(&id);
        (id, prefill.expect("the endpoint exists"))
    }

    fn decode_of(&mut self, attempt: AttemptId) -> (EndpointId, &mut Decode) {
        let id = self.grant(attempt).decode;
        let data_centre = self.data_centre(attempt);
        let decode = self.data_centres[data_centre].decode.get_mut(&id);
        (id, decode.expect("the endpoint exists"))
    }

    pub(crate) fn start(&mut self, attempt: AttemptId) {
        if !self.is_current(attempt) {
            return;
        }
        let (_, prefill) = self.prefill_of(attempt);
        prefill.queue.push_back(attempt);
        if prefill.queue.len() == 1 {
            self.start_prefill(attempt);
        }
    }

    fn start_prefill(&mut self, attempt: AttemptId) {
        let capacity = self.deployment.capacity;
        let arrival = self.arrival(attempt);
        let (_, prefill) = self.prefill_of(attempt);
        let time = prefill.time(&capacity, arrival.prompt, &arrival.prefix);
        self.schedule(self.now + time, SimEvent::PrefillEnd(attempt));
    }

    pub(crate) fn prefill_end(&mut self, attempt: AttemptId) {
        if !self.is_current(attempt) {
            return;
        }
        let arrival = self.arrival(attempt);
        let (_, prefill) = self.prefill_of(attempt);
        prefill.queue.pop_front();
        prefill.store(&arrival.prefix);
        let next = prefill.queue.front().copied();
        if let Some(next) = next {
            self.start_prefill(next);
        }
        self.states[attempt.index].prefilled_at = self.now;
        self.outcomes[attempt.index].prefilled_tokens += arrival.prompt.0;
        let request = request(attempt);
        self.deliver(self.data_centre(attempt), Event::Prefilled { request });
        self.transfer(attempt);
    }

    /// Starts a transfer if the decode endpoint has capacity, or waits for it until the prefill
    /// result expires.
    fn transfer(&mut self, attempt: AttemptId) {
        let now = self.now;
        let arrival = self.arrival(attempt);
        let capacity = self.deployment.capacity;
        let bytes = arrival.prompt.0 * capacity.bytes_per_token.0;
        let time = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
        let from_free = self.prefill_of(attempt).1.link_free;
        let (id, decode) = self.decode_of(attempt);
        let cold = decode.max_streams(now) < capacity.concurrency as usize;
        if cold && decode.streams.len() + decode.incoming.len() >= decode.max_streams(now) {
            self.outcomes[attempt.index].cold_refusals += 1;
            self.discard_result(attempt, AttemptEnd::Refused, &id);
            return;
        }
        let start = now.max(from_free).max(decode.link_free);
        let expires = self.states[attempt.index].prefilled_at + capacity.prefill_life.max(time);
        if start + time > expires {
            self.discard_result(attempt, AttemptEnd::Failed, &id);
            return;
        }
        let (_, decode) = self.decode_of(attempt);
        if !decode.has_room(arrival.prompt) {
            decode.waiting.push_back(attempt);
            let last = expires.minus(time) + Duration::from_micros(1);
            self.schedule(last.max(now), SimEvent::ResultExpired(attempt));
            return;
        }
        decode.incoming.push((attempt, arrival.prompt));
        decode.link_free = start + time;
        self.prefill_of(attempt).1.link_free = start + time;
        self.schedule(start + time, SimEvent::Transferred(attempt));
    }

    pub(crate) fn result_expired(&mut self, attempt: AttemptId) {
        if !self.is_current(attempt) {
            return;
        }
        let (id, decode) = self.decode_of(attempt);
        if decode.waiting.contains(&attempt) {
            self.discard_result(attempt, AttemptEnd::Failed, &id);
        }
    }

    fn discard_result(
        &mut self,
        attempt: AttemptId,
        end: AttemptEnd,
        failed_endpoint: &EndpointId,
    ) {
        self.outcomes[attempt.index].wasted_tokens += self.arrival(attempt).prompt.0;
        let now = self.now;
        self.decode_of(attempt).1.remove(now, attempt);
        self.reschedule(attempt);
        self.attempt_failed(attempt, end, failed_endpoint);
    }

    pub(crate) fn transferred(&mut self, attempt: AttemptId) {
        if !self.is_current(attempt) {
            return;
        }
        let now = self.now;
        let arrival = self.arrival(attempt);
        let (_, decode) = self.decode_of(attempt);
        decode.join(now, attempt, arrival.prompt, arrival.output);
        self.reschedule(attempt);
        let request = request(attempt);
        self.deliver(self.data_centre(attempt), Event::Transferred { request });
    }

    /// Schedules the next milestone of the decode endpoint of an attempt.
    fn reschedule(&mut self, attempt: AttemptId) {
        let data_centre = self.data_centre(attempt);
        let (id, _) = self.decode_of(attempt);
        self.reschedule_endpoint(data_centre, &id);
    }

    fn reschedule_endpoint(&mut self, data_centre: usize, id: &EndpointId) {
        let now = self.now;
        let decode = self.data_centres[data_centre].decode.get_mut(id);
        let decode = decode.expect("the endpoint exists");
        let version = decode.version;
        if let Some(at) = decode.next_milestone(now) {
            self.schedule(at, SimEvent::Decode(data_centre, id.clone(), version));
        }
    }

    pub(crate) fn decode(&mut self, data_centre: usize, id: &EndpointId, version: u64) {
        let now = self.now;
        let decode = self.data_centres[data_centre].decode.get_mut(id);
        let decode = decode.expect("the endpoint exists");
        if decode.version != version {
            return;
        }
        let milestones = decode.milestones(now);
        let memory_victim = decode.memory_victim();
        for milestone in milestones {
            self.handle_milestone(data_centre, milestone);
        }
        if let Some(attempt) = memory_victim {
            self.preempt(attempt, id);
        }
        let decode = self.data_centres[data_centre].decode.get_mut(id);
        let waiting = std::mem::take(&mut decode.expect("the endpoint exists").waiting);
        waiting
            .into_iter()
            .for_each(|attempt| self.transfer(attempt));
        self.reschedule_endpoint(data_centre, id);
    }

    fn handle_milestone(&mut self, data_centre: usize, milestone: Milestone) {
        let attempt = milestone.attempt;
        let request = request(attempt);
        let output = milestone.output;
        let outcome = &mut self.outcomes[attempt.index];
        outcome.first_token.get_or_insert(self.now);
        self.deliver(data_centre, Event::Progress { request, output });
        if milestone.done {
            let outcome = &mut self.outcomes[attempt.index];
            outcome.end = Some(End::Complete);
            outcome.finished = Some(self.now);
            let end = AttemptEnd::Complete;
            self.deliver(data_centre, Event::Ended { request, end });
        }
    }

    fn preempt(&mut self, attempt: AttemptId, failed_endpoint: &EndpointId) {
        if self.is_current(attempt) {
            let now = self.now;
            self.decode_of(attempt).1.remove(now, attempt);
            self.attempt_failed(attempt, AttemptEnd::Failed, failed_endpoint);
        }
    }

    /// Aborts an attempt in any stage.
    pub(crate) fn stop(&mut self, attempt: AttemptId) {
        if !self.is_current(attempt) || self.states[attempt.index].grant.is_none() {
            return;
        }
        let now = self.now;
        let (id, prefill) = self.prefill_of(attempt);
        let at_head = prefill.queue.front() == Some(&attempt);
        prefill.queue.retain(|other| *other != attempt);
        let next = prefill.queue.front().copied().filter(|_| at_head);
        if let Some(next) = next {
            self.start_prefill(next);
        }
        self.decode_of(attempt).1.remove(now, attempt);
        self.reschedule(attempt);
        self.attempt_failed(attempt, AttemptEnd::Cancelled, &id);
    }
}

/// Mean time between output tokens, in seconds.
pub fn mean_gap(first: Timestamp, finished: Timestamp, output: Tokens) -> f64 {
    let tokens = output.0.saturating_sub(1).max(1);
    finished.since(first).as_secs_f64() / tokens as f64
}
