//! Fair shares of the accounts in the queue of the fleet scheduler.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use super::FleetScheduler;
use super::GatewayRequestId;
use super::Run;
use super::forecast::MemoryLoad;
use super::message::Action;
use super::message::PlacementRefusal;
use super::message::RunEnd;
use super::queue::QueuedRequest;
use crate::fair_share::FairShares;
use crate::fair_share::ToldClients;
use crate::fair_share::Weights;

/// Length of the queue, as a multiple of the lookahead, up to which it is arranged in each decision.
/// A longer one is arranged at the rescan interval, because a decision must not take longer the more
/// requests are queued.
const ARRANGED_LOOKAHEADS: usize = 4;
/// Maximum number of accounts in a log line.
const MAX_LISTED_ACCOUNTS: usize = 8;

/// State of the fair shares.
#[derive(Debug)]
pub(super) struct Sharing {
    pub(super) shares: FairShares,
    told: ToldClients,
    /// Charges of the runs.
    charges: HashMap<GatewayRequestId, Charge>,
    arranged_at: Timestamp,
    /// Number of queued requests that were examined to rank them.
    visits: u64,
    /// Number of clients that returned when they were told to.
    returned: u64,
}

/// The cost of a run that its account was charged, in token-seconds.
#[derive(Clone, Copy, Debug)]
struct Charge {
    cost: f64,
    charged_at: Timestamp,
}

impl Sharing {
    fn new(weights: Arc<Weights>) -> Self {
        Self {
            shares: FairShares::new(weights),
            told: ToldClients::default(),
            charges: HashMap::new(),
            arranged_at: Timestamp::ZERO,
            visits: 0,
            returned: 0,
        }
    }

    /// Remembers that the client of a refused request was told when to return.
    pub(super) fn record_told(&mut self, now: Timestamp, refused: &QueuedRequest, due: Timestamp) {
        if let Some(fingerprint) = refused.request.fingerprint {
            self.told.record(now, fingerprint, due);
        }
    }
}

impl FleetScheduler {
    /// Number of queued requests that were examined to rank them so far; 0 without fair shares.
    pub fn visits(&self) -> u64 {
        self.sharing.as_ref().map_or(0, |sharing| sharing.visits)
    }

    /// Number of clients that were recognised as they returned when they were told to.
    pub fn returned(&self) -> u64 {
        self.sharing.as_ref().map_or(0, |sharing| sharing.returned)
    }

    /// Number of accounts with queued requests; 0 without fair shares.
    pub fn waiting_accounts(&self) -> usize {
        let sharing = self.sharing.as_ref().filter(|_| !self.queue.is_empty());
        sharing.map_or(0, |sharing| sharing.shares.waiting_accounts())
    }

    /// Describes the accounts with the most queued requests in one line for the log, as
    /// `account:requests/lead in token-seconds`; `None` without fair shares or queued requests.
    pub fn share_summary(&self) -> Option<String> {
        let sharing = self.sharing.as_ref().filter(|_| !self.queue.is_empty())?;
        let accounts = sharing.shares.summary(MAX_LISTED_ACCOUNTS);
        let accounts: Vec<String> = accounts
            .iter()
            .map(|each| {
                let account = each.account.as_ref().map_or("none", |id| id.as_str());
                format!("{account}:{}/{:.0}", each.waiting, each.lead)
            })
            .collect();
        Some(format!(
            "accounts_waiting={} returned={} shares=[{}]",
            sharing.shares.waiting_accounts(),
            sharing.returned,
            accounts.join(" ")
        ))
    }

    /// Enables or disables fair shares by the current view. When they are enabled, the running
    /// requests are charged, which a new leader learns from the gateways.
    pub(super) fn configure_sharing(&mut self, now: Timestamp) {
        let Some(weights) = self.view.weights.clone() else {
            self.sharing = None;
            self.queue.iter_mut().for_each(|each| each.rank = None);
            return;
        };
        if let Some(sharing) = &mut self.sharing {
            return sharing.shares.set_weights(weights);
        }
        self.sharing = Some(Sharing::new(weights));
        let runs: Vec<GatewayRequestId> = self.runs.keys().cloned().collect();
        for id in &runs {
            self.charge_run(now, id);
        }
    }

    /// Charges the forecast cost of a run from now on to its account. What a run of an earlier leader
    /// used before was charged there.
    pub(super) fn charge_run(&mut self, now: Timestamp, id: &GatewayRequestId) {
        let (Some(sharing), Some(run)) = (&mut self.sharing, self.runs.get(id)) else {
            return;
        };
        let end = run.load.end(now, self.estimates.token_time());
        let cost = cost(&run.load, now, end, run.load.output.0);
        let request = &run.request;
        sharing
            .shares
            .charge(request.priority, &request.account, cost);
        let charged_at = now;
        let charge = Charge { cost, charged_at };
        sharing.charges.insert(id.clone(), charge);
    }

    /// Corrects the charge of a run that ended to the memory and time that it used. Runs that failed
    /// with their endpoint are not charged.
    pub(super) fn settle_run(
        &mut self,
        now: Timestamp,
        run: &Run,
        load: &MemoryLoad,
        end: &RunEnd,
    ) {
        let Some(sharing) = &mut self.sharing else {
            return;
        };
        let Some(charge) = sharing.charges.remove(&run.request.id) else {
            return;
        };
        let used = match end {
            RunEnd::Complete(output) => cost(load, charge.charged_at, now, output.0),
            RunEnd::Aborted => {
                let decoding = now.since(load.decode_start).as_secs_f64();
                let token_time = self.estimates.token_time().as_secs_f64();
                let output = (decoding / token_time.max(1e-9)) as u64;
                let output = output.min(load.max_output.0);
                cost(load, charge.charged_at, now, output)
            }
            RunEnd::NoCapacity | RunEnd::Unreachable(_) | RunEnd::EndpointLost(_) => 0.0,
        };
        let request = &run.request;
        let correction = used - charge.cost;
        sharing
            .shares
            .charge(request.priority, &request.account, correction);
    }

    /// Prepares a submitted request for the queue: recognises a client that returned as told, and
    /// ranks the request.
    pub(super) fn rank_submitted(&mut self, now: Timestamp, queued: &mut QueuedRequest) {
        let Some(sharing) = &mut self.sharing else {
            return;
        };
        if let Some(fingerprint) = queued.request.fingerprint {
            queued.is_returning = sharing.told.take(now, fingerprint);
            sharing.returned += u64::from(queued.is_returning);
        }
        let start = now + self.estimates.prefill_time(queued.request.prompt);
        let load = self
            .estimates
            .memory_load(&queued.request, start + self.settings.first_output_time);
        let end = load.end(now, self.estimates.token_time());
        queued.cost = cost(&load, now, end, load.output.0);
        sharing.visits += 1;
        queued.rank = Some(sharing.shares.rank_newcomer(&queued.waiting(now)));
    }

    /// Arranges the queue by fair shares and refuses requests past their deadline, if this is due.
    /// Returns whether it was.
    pub(super) fn arrange(&mut self, now: Timestamp, actions: &mut Vec<Action>) -> bool {
        let Some(sharing) = &mut self.sharing else {
            return false;
        };
        sharing.shares.decay(now);
        if now < self.handover_until {
            // The virtual time must not advance before the backlog of all accounts is known.
            return false;
        }
        let is_short = self.queue.len() <= self.settings.lookahead * ARRANGED_LOOKAHEADS;
        let is_due = now >= sharing.arranged_at + self.settings.rescan_interval;
        if self.queue.is_empty() || !is_short && !is_due {
            return false;
        }
        sharing.arranged_at = now;
        sharing.visits += self.queue.len() as u64;
        let after_prefill = self.estimates.prefill_latency() + self.settings.first_output_time;
        for each in &mut self.queue {
            let needs = self.estimates.prefill_time(each.request.prompt) + after_prefill;
            each.is_late = now + needs > each.target;
        }
        let waiting: Vec<_> = self.queue.iter().map(|each| each.waiting(now)).collect();
        let ranks = sharing.shares.arrange(&waiting);
        for (each, rank) in self.queue.iter_mut().zip(ranks) {
            each.rank = Some(rank);
        }
        self.queue.sort_by(QueuedRequest::compare);
        if self.queue.iter().any(|each| now >= each.refuse_at) {
            self.refuse_beyond_share(now, actions, |each, _| now < each.refuse_at);
        }
        true
    }

    /// Refuses requests that are not expected to start before their deadline in the present order.
    pub(super) fn refuse_unservable_share(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.refuse_beyond_share(now, actions, |each, start| start <= each.refuse_at);
    }

    /// Refuses the queued requests for which `keeps` returns false for their expected start. Each
    /// client is told when the share of its account is expected.
    fn refuse_beyond_share(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<Action>,
        keeps: impl Fn(&QueuedRequest, Timestamp) -> bool,
    ) {
        let forecast = self.start_forecast(now);
        let Some(sharing) = &mut self.sharing else {
            return;
        };
        let mut index = 0;
        let mut prompts = 0;
        let estimates = &self.estimates;
        let backoff = self.settings.no_capacity_backoff;
        self.queue.retain(|each| {
            let prompt_time = estimates.prefill_time(Tokens(prompts));
            let has_cache = each.request.kv_cache_at.is_some();
            let expected = forecast.start(now, index, prompt_time, has_cache);
            if keeps(each, expected) {
                index += 1;
                prompts += if has_cache { 0 } else { each.request.prompt.0 };
                return true;
            }
            let waiting = each.waiting(now);
            let expected = expected.max(now + backoff);
            let retry_after = sharing
                .shares
                .turn(now, &waiting, expected, forecast.interval);
            sharing.record_told(now, each, now + retry_after);
            actions.push(Action::Refuse {
                id: each.request.id.clone(),
                reason: PlacementRefusal::TooLate,
                retry_after,
            });
            false
        });
    }

    /// Forecast of when queued requests start, from the end of running requests and of the prompts
    /// before them.
    fn start_forecast(&self, now: Timestamp) -> StartForecast {
        let pacing = self.view.cold_pacing;
        let prefills = self.endpoints.values().filter(|each| each.is_prefill());
        let accepting = prefills
            .clone()
            .filter(|each| each.accepts_work(now, pacing));
        let first_prefill = accepting.map(|each| each.free_at(now).max(now)).min();
        let ends = self.expected_ends(now);
        let interval = match (ends.first(), ends.last()) {
            (Some(_), Some(last)) => {
                last.since(now) / u32::try_from(ends.len()).unwrap_or(u32::MAX)
            }
            _ => self.settings.no_capacity_backoff,
        };
        StartForecast {
            // While all prefill endpoints are busy, requests wait for these and not for memory.
            ends: if self.waits_for_memory(now) {
                ends
            } else {
                Vec::new()
            },
            interval,
            // Cold endpoints and those in a backoff will accept prompts soon. Counting them refuses too
            // few requests rather than too many.
            prefills: u32::try_from(prefills.count()).unwrap_or(u32::MAX),
            first_prefill: first_prefill.unwrap_or(now),
        }
    }
}

/// Forecast of when queued requests start.
struct StartForecast {
    /// Ends of the running requests in ascending order; empty if requests do not wait for memory.
    ends: Vec<Timestamp>,
    /// Average time between two ends.
    interval: Duration,
    /// Number of prefill endpoints.
    prefills: u32,
    /// When the first of those that accept prompts is free.
    first_prefill: Timestamp,
}

impl StartForecast {
    /// Start of the request at an index of the queue, behind prompts that take `prompt_time` at one
    /// prefill endpoint. A queued request gets memory when as many running requests have ended as
    /// are queued before it.
    fn start(
        &self,
        now: Timestamp,
        index: usize,
        prompt_time: Duration,
        has_cache: bool,
    ) -> Timestamp {
        let memory = match (self.ends.get(index), self.ends.last()) {
            (Some(end), _) => *end,
            (None, Some(last)) => {
                let beyond = u32::try_from(index - self.ends.len() + 1).unwrap_or(u32::MAX);
                *last + self.interval.saturating_mul(beyond)
            }
            (None, None) => now,
        };
        if has_cache || self.prefills == 0 {
            return memory;
        }
        memory.max(self.first_prefill + prompt_time / self.prefills)
    }
}

/// Cost in token-seconds of a request in a time: the memory that it holds, which is its prompt and an
/// output that grows from the start of the decode to a given length at the end of that time.
fn cost(load: &MemoryLoad, from: Timestamp, to: Timestamp, output: u64) -> f64 {
    let held = to.since(from).as_secs_f64();
    let decoded = to.since(load.decode_start).as_secs_f64();
    let decoded_before = from.since(load.decode_start).as_secs_f64();
    let prompt = load.prompt.0 as f64 * held;
    if decoded <= 0.0 {
        return prompt;
    }
    let rate = output as f64 / decoded;
    prompt + rate / 2.0 * (decoded * decoded - decoded_before * decoded_before)
}
