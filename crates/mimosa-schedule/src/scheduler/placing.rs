//! Selection of the next request and of its endpoints.

use std::time::Duration;

use mimosa_protocol::KvBlocks;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use super::EndpointReservation;
use super::Scheduler;
use crate::Action;
use crate::Grant;
use crate::Submission;
use crate::affinity::PrefixMatch;
use crate::attempt::Attempt;
use crate::attempt::PendingPrompt;
use crate::attempt::PendingTransfer;
use crate::link::common_start;
use crate::pool::Slot;

/// Share of the lifetime of a prefill result, in fifths, within which its transfer must end.
const TRANSFER_DEADLINE_FIFTHS: u32 = 4;

/// Endpoints and reservations chosen for a request.
#[derive(Clone, Copy, Debug)]
struct Placement {
    prompt: Option<PendingPrompt>,
    transfer: Option<(Timestamp, Duration)>,
    decode: Slot,
    blocks: KvBlocks,
}

/// Reason why a request cannot be placed now.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Blocker {
    /// No endpoint has enough memory for the stream.
    Memory,
    /// No prefill endpoint becomes idle soon enough.
    Prefill,
    /// The KV cache cannot be transferred before the prefill result expires.
    Link,
    /// The first token would miss its target.
    Late,
}

/// A possible prefill endpoint for a prompt, with the expected end of the prefill.
#[derive(Clone, Copy, Debug)]
struct PrefillOption {
    prompt: PendingPrompt,
    end: Timestamp,
}

impl Scheduler {
    pub(super) fn dispatch(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        loop {
            while let Some((request, placement)) = self.select_next(now) {
                actions.extend(self.start(now, request, placement).map(Action::Start));
            }
            // The last request may have used the last permit of an endpoint whose doubling is due.
            if !self.pool.reopen_due(now) {
                return;
            }
        }
    }

    /// Selects the first request in fair order that fits somewhere.
    fn select_next(&mut self, now: Timestamp) -> Option<(RequestId, Placement)> {
        let starts_by = now + self.settings.placement.prefill_lookahead;
        let disaggregated = self.pool.summary().disaggregated;
        let prefill_is_busy = disaggregated && self.pool.by_prefill_end(starts_by).next().is_none();
        if prefill_is_busy || self.pool.by_free_blocks().next().is_none() {
            return None;
        }
        let mut reservation = None;
        let mut found = None;
        for queued in self.queue.heads().take(self.settings.queue.lookahead) {
            let submission = &queued.submission;
            match self.place(now, submission, reservation.as_ref()) {
                Ok(placement) => {
                    found = Some((submission.request, placement));
                    break;
                }
                Err(Blocker::Memory) if reservation.is_none() => {
                    reservation = self.reserve_for(submission)
                }
                Err(_) => {}
            }
        }
        self.reservation = reservation;
        found
    }

    /// Reserves an endpoint for the account that is due but does not fit, so that smaller requests
    /// of other accounts do not use up the memory that it waits for.
    fn reserve_for(&self, submission: &Submission) -> Option<EndpointReservation> {
        let account = &submission.account;
        let old = self.reservation.as_ref();
        let old = old.filter(|old| old.account == *account && self.is_reservable(old.slot));
        let mut slots = self.pool.by_free_blocks().map(|(_, slot)| slot);
        let most_free = || slots.find(|slot| !self.avoids(submission, *slot));
        let slot = old.map(|old| old.slot).or_else(most_free)?;
        Some(EndpointReservation {
            account: account.clone(),
            slot,
        })
    }

    fn is_reservable(&self, slot: Slot) -> bool {
        let endpoint = self.pool.endpoint(slot);
        endpoint.is_active() && !endpoint.down
    }

    fn place(
        &self,
        now: Timestamp,
        submission: &Submission,
        reservation: Option<&EndpointReservation>,
    ) -> Result<Placement, Blocker> {
        let options = self.stream_options(submission, reservation);
        if options.is_empty() {
            return Err(Blocker::Memory);
        }
        if !self.pool.summary().disaggregated {
            return Ok(self.place_combined(submission, &options));
        }
        let prefill = self.best_prefill(now, submission).ok_or(Blocker::Prefill)?;
        let time = self.profile.transfer_time(submission.prompt);
        let target = self.transfer_target(submission);
        if prefill.end + time > target {
            return Err(Blocker::Late);
        }
        let placed = |(decode, blocks): &(Slot, KvBlocks)| {
            let start = self.transfer_start(&prefill, *decode, time)?;
            if start + time > target {
                return None;
            }
            Some(Placement {
                prompt: Some(prefill.prompt),
                transfer: Some((start, time)),
                decode: *decode,
                blocks: *blocks,
            })
        };
        options.iter().find_map(placed).ok_or(Blocker::Link)
    }

    /// Places a request at an endpoint that processes both the prompt and the output.
    fn place_combined(&self, submission: &Submission, options: &[(Slot, KvBlocks)]) -> Placement {
        let matches = self.prefix_matches(submission);
        let has_match =
            |(slot, _): &&(Slot, KvBlocks)| matches.iter().any(|each| each.slot == *slot);
        let (decode, blocks) = *options.iter().find(has_match).unwrap_or(&options[0]);
        Placement {
            prompt: None,
            transfer: None,
            decode,
            blocks,
        }
    }

    /// Endpoints with enough memory for the stream, those with the most free blocks first.
    fn stream_options(
        &self,
        submission: &Submission,
        reservation: Option<&EndpointReservation>,
    ) -> Vec<(Slot, KvBlocks)> {
        let settings = &self.settings.placement;
        self.pool
            .by_free_blocks()
            .filter(|(_, slot)| reservation.is_none_or(|reservation| reservation.slot != *slot))
            .filter(|(_, slot)| !self.avoids(submission, *slot))
            .take(settings.max_candidates)
            .filter_map(|(free, slot)| {
                let endpoint = self.pool.endpoint(slot);
                let blocks =
                    endpoint.blocks_for(submission.prompt, submission.max_output, settings);
                (blocks <= free).then_some((slot, blocks))
            })
            .collect()
    }

    /// Selects the prefill endpoint with the earliest expected end, considering cached prefixes.
    fn best_prefill(&self, now: Timestamp, submission: &Submission) -> Option<PrefillOption> {
        let deadline = now + self.settings.placement.prefill_lookahead;
        let matches = self.prefix_matches(submission);
        let caching = matches.iter().map(|each| each.slot);
        let caching = caching.filter(|slot| self.pool.accepts_prompt(*slot, deadline));
        let candidates = self
            .pool
            .by_prefill_end(deadline)
            .filter(|slot| !self.avoids(submission, *slot));
        candidates
            .take(self.settings.placement.max_candidates)
            .chain(caching)
            .map(|slot| self.prefill_option(now, submission, slot, &matches))
            .min_by_key(|option| (option.end, option.prompt.slot))
    }

    fn prefill_option(
        &self,
        now: Timestamp,
        submission: &Submission,
        slot: Slot,
        matches: &[PrefixMatch],
    ) -> PrefillOption {
        let found = matches.iter().find(|each| each.slot == slot);
        let depth = found.map_or(0, |each| each.depth as u64);
        let cached = depth.saturating_mul(self.settings.placement.prefix_tokens.0);
        let cached = Tokens(cached.min(submission.prompt.0));
        let endpoint = self.pool.endpoint(slot);
        let time = endpoint.prefill_time(submission.prompt.saturating_sub(cached));
        PrefillOption {
            prompt: PendingPrompt { slot, time, cached },
            end: endpoint.prefill_start(now) + time,
        }
    }

    fn prefix_matches(&self, submission: &Submission) -> Vec<PrefixMatch> {
        let limit = self.settings.placement.max_candidates;
        let mut matches = self.prefixes.lookup(&submission.prefix, limit);
        matches.retain(|each| !self.avoids(submission, each.slot));
        matches
    }

    /// Start of the transfer; `None` if it would not end before the prefill result expires.
    fn transfer_start(
        &self,
        prefill: &PrefillOption,
        decode: Slot,
        time: Duration,
    ) -> Option<Timestamp> {
        let from = self.pool.endpoint(prefill.prompt.slot);
        let to = self.pool.endpoint(decode);
        let start = common_start(&from.link, &to.link, prefill.end, time);
        let lifetime = from.config.capacity.prefill_life * TRANSFER_DEADLINE_FIFTHS / 5;
        (start + time <= prefill.end + lifetime.max(time)).then_some(start)
    }

    /// Whether to avoid an endpoint because the request failed there. If it failed at all
    /// endpoints, none is avoided.
    fn avoids(&self, submission: &Submission, slot: Slot) -> bool {
        let summary = self.pool.summary();
        let avoid = &submission.avoid;
        let everywhere = avoid.len() >= summary.active_decode.max(summary.active_prefill);
        !everywhere && avoid.contains(&self.pool.endpoint(slot).config.id)
    }

    /// Makes the reservations of a placement and charges the account.
    fn start(&mut self, now: Timestamp, request: RequestId, placement: Placement) -> Option<Grant> {
        let queued = self.queue.take(request)?;
        let submission = queued.submission;
        self.throughput.add(now, queued.cost);
        let prefill = placement.prompt.map(|prompt| prompt.slot);
        let id = |slot: Slot| self.pool.endpoint(slot).config.id.clone();
        let grant = Grant {
            request,
            epoch: self.settings.epoch,
            prefill: prefill.map(id),
            decode: id(placement.decode),
            blocks: placement.blocks,
            start_by: now + self.settings.grant_ttl,
        };
        self.reserve_prompt(now, request, &placement);
        self.reserve_stream(now, request, &placement);
        let transfer = prefill.zip(placement.transfer);
        let attempt = Attempt {
            submission,
            grant: grant.clone(),
            granted_at: now,
            prompt: placement.prompt,
            transfer: transfer.map(|(from, (_, time))| PendingTransfer { from, time }),
            decode: placement.decode,
            charged: queued.cost,
            output: Tokens::ZERO,
            output_at: now,
            aborted: false,
            owner: None,
            missing_since: None,
        };
        self.attempts.insert(request, attempt);
        Some(grant)
    }

    fn reserve_prompt(&mut self, now: Timestamp, request: RequestId, placement: &Placement) {
        let Some(prompt) = placement.prompt else {
            return;
        };
        self.pool.update(now, prompt.slot, |endpoint| {
            endpoint.attempts.insert(request);
            endpoint.memory.reserve(now, KvBlocks::ZERO);
            endpoint.backlog.add(now, prompt.time);
            if let Some((start, time)) = placement.transfer {
                endpoint.link.reserve(request, start, time);
            }
        });
    }

    fn reserve_stream(&mut self, now: Timestamp, request: RequestId, placement: &Placement) {
        self.pool.update(now, placement.decode, |endpoint| {
            endpoint.attempts.insert(request);
            endpoint.memory.reserve(now, placement.blocks);
            if let Some((start, time)) = placement.transfer {
                endpoint.link.reserve(request, start, time);
            }
        });
    }
}
