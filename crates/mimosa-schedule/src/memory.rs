//! Memory accounting of one endpoint: own reservations and foreign use.
//!
//! Own reservations are exact. If an endpoint reports more than was reserved at the time of its
//! measurement, the difference is foreign use: attempts of earlier schedulers, or memory that is
//! not yet freed.

use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::KvBlocks;
use mimosa_protocol::Timestamp;

/// Maximum age of a load report for a comparison with the reservations at its measurement.
const HISTORY_SPAN: Duration = Duration::from_secs(5);

/// Reserved and foreign memory at one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Memory {
    total: KvBlocks,
    reserved: KvBlocks,
    foreign_blocks: KvBlocks,
    running: u32,
    foreign_running: u32,
    history: VecDeque<UsageSample>,
}

#[derive(Clone, Copy, Debug, Default)]
struct UsageSample {
    at: Timestamp,
    reserved: KvBlocks,
    running: u32,
}

impl Memory {
    pub fn resize(&mut self, total: KvBlocks) {
        self.total = total;
    }

    pub fn total(&self) -> KvBlocks {
        self.total
    }

    /// Number of requests placed by this scheduler.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of running requests, including those of other schedulers.
    pub fn total_running(&self) -> u32 {
        self.running + self.foreign_running
    }

    /// Blocks that are neither reserved nor in foreign use.
    pub fn free(&self) -> KvBlocks {
        self.total
            .saturating_sub(self.reserved + self.foreign_blocks)
    }

    /// Reserves blocks for a new request.
    pub fn reserve(&mut self, now: Timestamp, blocks: KvBlocks) {
        self.reserved += blocks;
        self.running += 1;
        self.record_usage(now);
    }

    /// Reserves more blocks for a running request.
    pub fn grow(&mut self, now: Timestamp, blocks: KvBlocks) {
        self.reserved += blocks;
        self.record_usage(now);
    }

    /// Releases the blocks of one request.
    pub fn release(&mut self, now: Timestamp, blocks: KvBlocks) {
        self.reserved = self.reserved.saturating_sub(blocks);
        self.running = self.running.saturating_sub(1);
        self.record_usage(now);
    }

    /// Updates the foreign use from a load report.
    pub fn report(&mut self, measured: Timestamp, used: KvBlocks, running: u32) {
        let then = self.usage_at(measured);
        self.foreign_blocks = used.saturating_sub(then.reserved);
        self.foreign_running = running.saturating_sub(then.running);
    }

    /// Resets the foreign use after a restart of the endpoint.
    pub fn clear_foreign(&mut self) {
        self.foreign_blocks = KvBlocks::ZERO;
        self.foreign_running = 0;
    }

    fn usage_at(&self, time: Timestamp) -> UsageSample {
        let after = self.history.partition_point(|usage| usage.at <= time);
        let known = after.checked_sub(1).and_then(|i| self.history.get(i));
        known.copied().unwrap_or_default()
    }

    fn record_usage(&mut self, now: Timestamp) {
        let limit = now.minus(HISTORY_SPAN);
        while self.history.get(1).is_some_and(|next| next.at < limit) {
            self.history.pop_front();
        }
        self.history.push_back(UsageSample {
            at: now,
            reserved: self.reserved,
            running: self.running,
        });
    }
}
