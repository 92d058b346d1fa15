//! Progress and end of attempts.

use std::time::Duration;

use mimosa_protocol::KvBlocks;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use super::DispatchNeed;
use super::Scheduler;
use crate::Action;
use crate::AttemptEnd;
use crate::attempt::Attempt;
use crate::attempt::PendingPrompt;
use crate::pool::Slot;

/// Added to the actual and the expected prefill time before they are compared, because the times of
/// short prompts vary by this order of magnitude.
const PROMPT_OVERHEAD: Duration = Duration::from_millis(10);

impl Scheduler {
    pub(super) fn on_prefilled(&mut self, now: Timestamp, request: RequestId) -> DispatchNeed {
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return DispatchNeed::Skip;
        };
        let Some(prompt) = attempt.prompt.take() else {
            return DispatchNeed::Skip;
        };
        let tokens = attempt.submission.prompt;
        let transfer = attempt.transfer;
        let decode = attempt.decode;
        let prefix = std::mem::take(&mut attempt.submission.prefix);
        let took = self.release_prompt(now, request, prompt);
        let uncached = tokens.saturating_sub(prompt.cached);
        let ramp = &self.settings.ramp;
        let cache_missed = prompt.cached > Tokens::ZERO && took > prompt.time * 2;
        self.pool.update(now, prompt.slot, |endpoint| {
            let capacity = endpoint.config.capacity;
            let expected = capacity.prefill_rate.time_for(uncached).unwrap_or_default();
            endpoint.ramp.reset_failures();
            endpoint
                .ramp
                .record_success(now, capacity.concurrency, ramp);
            let [took, expected] = [took, expected].map(|time| time + PROMPT_OVERHEAD);
            if !cache_missed && endpoint.latency.sample(took, expected, ramp) {
                endpoint.ramp.restart(now, ramp);
            }
        });
        if cache_missed {
            self.prefixes.clear(prompt.slot);
        }
        self.record_prefix(prompt.slot, &prefix);
        if let Some(transfer) = transfer {
            for slot in [transfer.from, decode] {
                self.pool.update(now, slot, |endpoint| {
                    endpoint.link.reserve(request, now, transfer.time);
                });
            }
        }
        DispatchNeed::Dispatch
    }

    fn record_prefix(&mut self, slot: Slot, prefix: &[u64]) {
        let max = self.settings.placement.max_prefixes;
        prefix
            .iter()
            .for_each(|hash| self.prefixes.store(slot, *hash, max));
    }

    pub(super) fn on_transferred(&mut self, now: Timestamp, request: RequestId) -> DispatchNeed {
        let need = self.on_prefilled(now, request);
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return need;
        };
        let Some(transfer) = attempt.transfer.take() else {
            return need;
        };
        attempt.output_at = now;
        for slot in [transfer.from, attempt.decode] {
            self.pool
                .update(now, slot, |endpoint| endpoint.link.release(request));
        }
        DispatchNeed::Dispatch
    }

    pub(super) fn on_progress(
        &mut self,
        now: Timestamp,
        request: RequestId,
        output: Tokens,
        actions: &mut Vec<Action>,
    ) -> DispatchNeed {
        let need = self.on_transferred(now, request);
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return need;
        };
        if output <= attempt.output {
            return need;
        }
        let first = attempt.output == Tokens::ZERO;
        let new_tokens = output.saturating_sub(attempt.output);
        let elapsed = now.since(attempt.output_at);
        let decode = attempt.decode;
        let granted_at = attempt.granted_at;
        attempt.output = output;
        attempt.output_at = now;
        if first {
            let ramp = &self.settings.ramp;
            self.pool.update(now, decode, |endpoint| {
                let concurrency = endpoint.config.capacity.concurrency;
                if granted_at >= endpoint.last_cold_start {
                    endpoint.ramp.record_success(now, concurrency, ramp);
                }
            });
        } else {
            self.observe_token_gap(
                now,
                decode,
                elapsed / u32::try_from(new_tokens.0).unwrap_or(1).max(1),
            );
        }
        self.grow_if_needed(now, request, actions);
        if first { DispatchNeed::Dispatch } else { need }
    }

    fn observe_token_gap(&mut self, now: Timestamp, slot: Slot, gap: Duration) {
        let ramp = &self.settings.ramp;
        self.pool.update(now, slot, |endpoint| {
            let expected = endpoint.config.capacity.token_gap;
            if endpoint.latency.sample(gap, expected, ramp) {
                endpoint.ramp.restart(now, ramp);
            }
        });
    }

    /// Grows the reservation of an attempt before its output exceeds it. If the endpoint has no
    /// free memory, the youngest attempt there without output is aborted. The growing attempt is
    /// aborted when its own reservation is used up, so that memory use never exceeds the
    /// reservations.
    fn grow_if_needed(&mut self, now: Timestamp, request: RequestId, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get(&request) else {
            return;
        };
        let endpoint = self.pool.endpoint(attempt.decode);
        let size = endpoint.config.capacity.tokens_per_block;
        let held_tokens = attempt.held_tokens();
        let reserved = Tokens(attempt.grant.blocks.0.saturating_mul(size.0));
        let due = held_tokens.saturating_add(self.settings.placement.growth_margin) > reserved;
        let overrun = attempt.output > attempt.submission.max_output;
        if !due || !overrun || attempt.aborted || attempt.grant.blocks == KvBlocks::ZERO {
            return;
        }
        if endpoint.memory.free() > KvBlocks::ZERO {
            self.grow(now, request);
            return;
        }
        if let Some(victim) = self.youngest_without_output(attempt.decode, request) {
            self.abort(now, victim, actions);
        }
        if held_tokens >= reserved {
            self.abort(now, request, actions);
        }
    }

    fn grow(&mut self, now: Timestamp, request: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return;
        };
        attempt.grant.blocks += KvBlocks(1);
        let decode = attempt.decode;
        self.pool.update(now, decode, |endpoint| {
            endpoint.memory.grow(now, KvBlocks(1))
        });
    }

    /// Selects the attempt to preempt for a growing reservation; `None` while an aborted attempt
    /// still holds memory.
    fn youngest_without_output(&self, slot: Slot, growing: RequestId) -> Option<RequestId> {
        let here = || {
            let attempts = self.pool.endpoint(slot).attempts.iter();
            attempts.filter_map(|request| self.attempts.get(request))
        };
        if here().any(|attempt| attempt.aborted) {
            return None;
        }
        here()
            .filter(|attempt| attempt.can_be_preempted() && attempt.grant.request != growing)
            .max_by_key(|attempt| (attempt.granted_at, attempt.grant.request))
            .map(|attempt| attempt.grant.request)
    }

    pub(super) fn abort(&mut self, now: Timestamp, request: RequestId, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return;
        };
        if !attempt.aborted {
            attempt.aborted = true;
            let retry = now + self.settings.recovery.abort_retry_interval;
            self.aborts.insert((retry, request));
        }
        actions.push(Action::Abort { request });
    }

    pub(super) fn repeat_aborts(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some((at, request)) = self.aborts.first().copied() {
            if at > now {
                return;
            }
            self.aborts.remove(&(at, request));
            if self.attempts.contains_key(&request) {
                let retry = now + self.settings.recovery.abort_retry_interval;
                self.aborts.insert((retry, request));
                actions.push(Action::Abort { request });
            }
        }
    }

    pub(super) fn on_ended(
        &mut self,
        now: Timestamp,
        request: RequestId,
        end: AttemptEnd,
    ) -> DispatchNeed {
        let Some(attempt) = self.attempts.remove(&request) else {
            return DispatchNeed::Skip;
        };
        self.record_result(now, &attempt, end);
        self.free(now, &attempt);
        DispatchNeed::Dispatch
    }

    /// Records the result of an attempt for the endpoint that worked on it last.
    fn record_result(&mut self, now: Timestamp, attempt: &Attempt, end: AttemptEnd) {
        let last_endpoint = attempt.prompt.map_or(attempt.decode, |prompt| prompt.slot);
        let ramp = &self.settings.ramp;
        let submission = &attempt.submission;
        match end {
            AttemptEnd::Cancelled => {}
            AttemptEnd::Failed | AttemptEnd::Refused => {
                let last_cold_start = self.pool.endpoint(last_endpoint).last_cold_start;
                if attempt.granted_at >= last_cold_start {
                    self.pool.update(now, last_endpoint, |endpoint| {
                        endpoint.ramp.record_failure(now, ramp)
                    });
                }
            }
            AttemptEnd::Complete => {
                self.holding_time.record(now.since(attempt.granted_at));
                self.output_ratio
                    .record(attempt.output, submission.max_output);
                self.pool.update(now, attempt.decode, |endpoint| {
                    endpoint.ramp.reset_failures();
                    if attempt.output == Tokens::ZERO {
                        let concurrency = endpoint.config.capacity.concurrency;
                        endpoint.ramp.record_success(now, concurrency, ramp);
                    }
                });
                if !self.pool.summary().disaggregated {
                    self.record_prefix(attempt.decode, &submission.prefix);
                }
            }
        }
    }

    /// Removes an attempt whose end will not be reported.
    pub(super) fn remove_attempt(&mut self, now: Timestamp, request: RequestId) {
        if let Some(attempt) = self.attempts.remove(&request) {
            self.free(now, &attempt);
        }
    }

    /// Frees the reservations of an attempt and corrects the charge of its account.
    fn free(&mut self, now: Timestamp, attempt: &Attempt) {
        let request = attempt.grant.request;
        if let Some(prompt) = attempt.prompt {
            self.release_prompt(now, request, prompt);
        }
        if let Some(transfer) = attempt.transfer {
            self.pool.update(now, transfer.from, |endpoint| {
                endpoint.link.release(request)
            });
        }
        self.pool.update(now, attempt.decode, |endpoint| {
            endpoint.attempts.remove(&request);
            endpoint.link.release(request);
            endpoint.memory.release(now, attempt.grant.blocks);
        });
        let served_tokens = self.served_tokens(attempt);
        self.queue
            .charge(&attempt.submission.account, served_tokens, attempt.charged);
    }

    /// Tokens processed for an attempt; zero if its prompt was not processed.
    fn served_tokens(&self, attempt: &Attempt) -> Tokens {
        if attempt.prompt.is_some() {
            return Tokens::ZERO;
        }
        attempt.held_tokens()
    }

    fn release_prompt(
        &mut self,
        now: Timestamp,
        request: RequestId,
        prompt: PendingPrompt,
    ) -> Duration {
        self.pool.update(now, prompt.slot, |endpoint| {
            endpoint.attempts.remove(&request);
            endpoint.memory.release(now, KvBlocks::ZERO);
            endpoint.backlog.finish(now, prompt.time)
        })
    }
}
