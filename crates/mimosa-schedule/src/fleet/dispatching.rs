//! Selection of the queued requests that are placed in a decision.

use mimosa_protocol::Timestamp;

use super::FleetScheduler;
use super::message::Action;

impl FleetScheduler {
    /// Places queued requests. With hundreds of running requests a try is expensive, and events
    /// arrive faster than capacity is freed, so a request that found no capacity is tried again only
    /// after capacity was freed or after [`Settings::rescan_interval`].
    pub(super) fn dispatch(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let has_shares = self.sharing.is_some();
        let is_arranged = self.arrange(now, actions);
        if !has_shares {
            self.refuse_expired(now, actions);
        }
        self.refuse_beyond_limits(now, actions);
        if now < self.handover_until || self.queue.is_empty() {
            return;
        }
        let is_due = now >= self.last_scan + self.settings.rescan_interval;
        if self.has_new_capacity || is_due || self.has_freed_prefill(now) {
            self.has_new_capacity = false;
            self.last_scan = now;
            self.queue
                .iter_mut()
                .for_each(|each| each.was_tried = false);
        }
        let mut has_tried = false;
        while let Some(index) = self
            .queue
            .iter()
            .take(self.lookahead(now))
            .position(|each| !each.was_tried)
        {
            has_tried = true;
            self.tries += 1;
            match self.find_placement(now, index, &self.queue[index]) {
                Some(found) => {
                    let mut queued = self.queue.remove(index);
                    if !found.uses_cache {
                        queued.request.kv_cache_at = None;
                    }
                    if found.uses_permit {
                        self.permits.spend(now);
                    }
                    let id = queued.request.id.clone();
                    actions.push(self.place(now, queued, found.placement));
                    self.charge_run(now, &id);
                }
                None => self.queue[index].was_tried = true,
            }
        }
        if has_tried && is_arranged {
            self.refuse_unservable_share(now, actions);
        } else if has_tried && !has_shares {
            self.refuse_unservable(now, actions);
        }
    }

    /// Number of queued requests to try. With fair shares, nothing is placed before an urgent first
    /// request that waits for memory: smaller requests of other accounts would take all memory that is
    /// freed, and a large one would wait until it misses its target. A request that may not run
    /// at some endpoints does not hold up those that may.
    fn lookahead(&self, now: Timestamp) -> usize {
        let first = self.queue.first().filter(|_| self.sharing.is_some());
        let is_reserved = first.is_some_and(|first| {
            let request = &first.request;
            first.is_urgent(now)
                && !first.is_late
                && request.avoid.is_empty()
                && request.exclude.is_empty()
                && self.waits_for_memory(now)
        });
        if is_reserved {
            1
        } else {
            self.settings.lookahead
        }
    }

    /// Whether a prefill endpoint has come close enough to the end of its prompts since the last scan
    /// to be sent another one.
    pub(super) fn has_freed_prefill(&self, now: Timestamp) -> bool {
        let lookahead = self.settings.prefill_lookahead;
        let open = self.endpoints.values().filter(|each| each.is_open);
        let mut prefills = open.filter(|each| each.is_prefill());
        prefills.any(|each| {
            let free_at = each.last_processing_end().map(|at| at.minus(lookahead));
            free_at.is_some_and(|at| self.last_scan < at && at <= now)
        })
    }
}
