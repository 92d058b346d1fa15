//! How attempts run on the fake engines.

use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_schedule::AttemptEnd;
use mimosa_schedule::Event;
use mimosa_schedule::Grant;

use crate::engine::Decode;
use crate::engine::Job;
use crate::engine::Milestone;
use crate::engine::Prefill;
use crate::world::End;
use crate::world::Happening;
use crate::world::World;

/// Bytes a second of the link of each endpoint.
const LINK_RATE: f64 = 10e9;

fn request(job: Job) -> RequestId {
    RequestId(job.index as u128)
}

impl World<'_> {
    fn grant(&self, job: Job) -> Grant {
        let grant = self.live[job.index].grant.clone();
        grant.expect("a running attempt has a grant")
    }

    fn site(&self, job: Job) -> usize {
        self.live[job.index].site
    }

    fn prefill_of(&mut self, job: Job) -> (EndpointId, &mut Prefill) {
        let id = self.grant(job).prefill.expect("models have prefill pools");
        let site = self.site(job);
        let prefill = self.sites[site].prefill.get_mut(&id);
        (id, prefill.expect("the endpoint exists"))
    }

    fn decode_of(&mut self, job: Job) -> (EndpointId, &mut Decode) {
        let id = self.grant(job).decode;
        let site = self.site(job);
        let decode = self.sites[site].decode.get_mut(&id);
        (id, decode.expect("the endpoint exists"))
    }

    pub(crate) fn start(&mut self, job: Job) {
        if !self.is_current(job) {
            return;
        }
        let (_, prefill) = self.prefill_of(job);
        prefill.queue.push_back(job);
        if prefill.queue.len() == 1 {
            self.begin_prompt(job);
        }
    }

    fn begin_prompt(&mut self, job: Job) {
        let capacity = self.deployment.capacity;
        let arrival = self.arrival(job);
        let (_, prefill) = self.prefill_of(job);
        let time = prefill.time(&capacity, arrival.prompt, &arrival.prefix);
        self.plan(self.now + time, Happening::PrefillDone(job));
    }

    pub(crate) fn prefill_done(&mut self, job: Job) {
        if !self.is_current(job) {
            return;
        }
        let arrival = self.arrival(job);
        let (_, prefill) = self.prefill_of(job);
        prefill.queue.pop_front();
        prefill.keep(&arrival.prefix);
        let next = prefill.queue.front().copied();
        if let Some(next) = next {
            self.begin_prompt(next);
        }
        self.live[job.index].prefilled_at = self.now;
        self.outcomes[job.index].prefilled_tokens += arrival.prompt.0;
        let request = request(job);
        self.deliver(self.site(job), Event::Prefilled { request });
        self.transfer(job);
    }

    /// Starts a transfer if the decode endpoint has room, or waits for room while the result lives.
    fn transfer(&mut self, job: Job) {
        let now = self.now;
        let arrival = self.arrival(job);
        let capacity = self.deployment.capacity;
        let bytes = arrival.prompt.0 * capacity.bytes_per_token.0;
        let time = Duration::from_secs_f64(bytes as f64 / LINK_RATE);
        let from_free = self.prefill_of(job).1.link_free;
        let (id, decode) = self.decode_of(job);
        let cold = decode.bears(now) < capacity.concurrency as usize;
        if cold && decode.streams.len() + decode.incoming.len() >= decode.bears(now) {
            self.outcomes[job.index].cold_refusals += 1;
            self.lose_result(job, AttemptEnd::Refused, &id);
            return;
        }
        let start = now.max(from_free).max(decode.link_free);
        let dies = self.live[job.index].prefilled_at + capacity.prefill_life.max(time);
        if start + time > dies {
            self.lose_result(job, AttemptEnd::Failed, &id);
            return;
        }
        let (_, decode) = self.decode_of(job);
        if !decode.has_room(arrival.prompt) {
            decode.waiting.push_back(job);
            let last = dies.minus(time) + Duration::from_micros(1);
            self.plan(last.max(now), Happening::ResultDies(job));
            return;
        }
        decode.incoming.push((job, arrival.prompt));
        decode.link_free = start + time;
        self.prefill_of(job).1.link_free = start + time;
        self.plan(start + time, Happening::Transferred(job));
    }

    pub(crate) fn result_dies(&mut self, job: Job) {
        if !self.is_current(job) {
            return;
        }
        let (id, decode) = self.decode_of(job);
        if decode.waiting.contains(&job) {
            self.lose_result(job, AttemptEnd::Failed, &id);
        }
    }

    fn lose_result(&mut self, job: Job, end: AttemptEnd, blamed: &EndpointId) {
        self.outcomes[job.index].wasted_tokens += self.arrival(job).prompt.0;
        let now = self.now;
        self.decode_of(job).1.remove(now, job);
        self.replan(job);
        self.attempt_failed(job, end, blamed);
    }

    pub(crate) fn transferred(&mut self, job: Job) {
        if !self.is_current(job) {
            return;
        }
        let now = self.now;
        let arrival = self.arrival(job);
        let (_, decode) = self.decode_of(job);
        decode.join(now, job, arrival.prompt, arrival.output);
        self.replan(job);
        let request = request(job);
        self.deliver(self.site(job), Event::Transferred { request });
    }

    /// Plans the next milestone of the decode endpoint of an attempt.
    fn replan(&mut self, job: Job) {
        let site = self.site(job);
        let (id, _) = self.decode_of(job);
        self.replan_endpoint(site, &id);
    }

    fn replan_endpoint(&mut self, site: usize, id: &EndpointId) {
        let now = self.now;
        let decode = self.sites[site].decode.get_mut(id);
        let decode = decode.expect("the endpoint exists");
        let version = decode.version;
        if let Some(at) = decode.next_milestone(now) {
            self.plan(at, Happening::Decode(site, id.clone(), version));
        }
    }

    pub(crate) fn decode(&mut self, site: usize, id: &EndpointId, version: u64) {
        let now = self.now;
        let decode = self.sites[site].decode.get_mut(id);
        let decode = decode.expect("the endpoint exists");
        if decode.version != version {
            return;
        }
        let reached = decode.milestones(now);
        let overrun = decode.overrun();
        for milestone in reached {
            self.reached(site, milestone);
        }
        if let Some(job) = overrun {
            self.broken_off(job, id);
        }
        let decode = self.sites[site].decode.get_mut(id);
        let waiting = std::mem::take(&mut decode.expect("the endpoint exists").waiting);
        waiting.into_iter().for_each(|job| self.transfer(job));
        self.replan_endpoint(site, id);
    }

    fn reached(&mut self, site: usize, milestone: Milestone) {
        let job = milestone.job;
        let request = request(job);
        let output = milestone.output;
        let outcome = &mut self.outcomes[job.index];
        outcome.first_token.get_or_insert(self.now);
        self.deliver(site, Event::Progress { request, output });
        if milestone.done {
            let outcome = &mut self.outcomes[job.index];
            outcome.end = Some(End::Complete);
            outcome.finished = Some(self.now);
            let end = AttemptEnd::Complete;
            self.deliver(site, Event::Ended { request, end });
        }
    }

    fn broken_off(&mut self, job: Job, blamed: &EndpointId) {
        if self.is_current(job) {
            let now = self.now;
            self.decode_of(job).1.remove(now, job);
            self.attempt_failed(job, AttemptEnd::Failed, blamed);
        }
    }

    /// Stops an attempt wherever it is.
    pub(crate) fn stop(&mut self, job: Job) {
        if !self.is_current(job) || self.live[job.index].grant.is_none() {
            return;
        }
        let now = self.now;
        let (id, prefill) = self.prefill_of(job);
        let at_head = prefill.queue.front() == Some(&job);
        prefill.queue.retain(|other| *other != job);
        let next = prefill.queue.front().copied().filter(|_| at_head);
        if let Some(next) = next {
            self.begin_prompt(next);
        }
        self.decode_of(job).1.remove(now, job);
        self.replan(job);
        self.attempt_failed(job, AttemptEnd::Cancelled, &id);
    }
}

/// Time between tokens of an answer in the mean, in seconds.
pub fn mean_gap(first: Timestamp, finished: Timestamp, output: Tokens) -> f64 {
    let tokens = output.0.saturating_sub(1).max(1);
    finished.since(first).as_secs_f64() / tokens as f64
}
