//! Decode memory of one endpoint, and what others use there.
//!
//! Own reservations are exact. What the endpoint reports on top of what was reserved at the moment
//! of its report is used by others: attempts of earlier schedulers, or memory not yet freed.

use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::KvBlocks;
use mimosa_protocol::Timestamp;

/// How far back a late load report can be compared with what was placed then.
const HISTORY: Duration = Duration::from_secs(5);

/// Reservations at one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Memory {
    total: KvBlocks,
    reserved: KvBlocks,
    foreign: KvBlocks,
    running: u32,
    foreign_running: u32,
    history: VecDeque<Usage>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    at: Timestamp,
    reserved: KvBlocks,
    running: u32,
}

impl Memory {
    /// Sets the size of the memory.
    pub fn resize(&mut self, total: KvBlocks) {
        self.total = total;
    }

    /// All blocks.
    pub fn total(&self) -> KvBlocks {
        self.total
    }

    /// Requests placed by this scheduler.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests placed by this scheduler or by others.
    pub fn busy(&self) -> u32 {
        self.running + self.foreign_running
    }

    /// Blocks that nobody holds.
    pub fn free(&self) -> KvBlocks {
        self.total.saturating_sub(self.reserved + self.foreign)
    }

    /// Reserves blocks for one more request.
    pub fn reserve(&mut self, now: Timestamp, blocks: KvBlocks) {
        self.reserved += blocks;
        self.running += 1;
        self.remember(now);
    }

    /// Reserves more blocks for a request that is there.
    pub fn grow(&mut self, now: Timestamp, blocks: KvBlocks) {
        self.reserved += blocks;
        self.remember(now);
    }

    /// Gives the blocks of one request back.
    pub fn release(&mut self, now: Timestamp, blocks: KvBlocks) {
        self.reserved = self.reserved.saturating_sub(blocks);
        self.running = self.running.saturating_sub(1);
        self.remember(now);
    }

    /// Takes in what the endpoint measured.
    pub fn report(&mut self, measured: Timestamp, used: KvBlocks, running: u32) {
        let then = self.at(measured);
        self.foreign = used.saturating_sub(then.reserved);
        self.foreign_running = running.saturating_sub(then.running);
    }

    /// Forgets what others used: the endpoint started anew.
    pub fn restart(&mut self) {
        self.foreign = KvBlocks::ZERO;
        self.foreign_running = 0;
    }

    fn at(&self, moment: Timestamp) -> Usage {
        let after = self.history.partition_point(|usage| usage.at <= moment);
        let known = after.checked_sub(1).and_then(|i| self.history.get(i));
        known.copied().unwrap_or_default()
    }

    fn remember(&mut self, now: Timestamp) {
        let limit = now.minus(HISTORY);
        while self.history.get(1).is_some_and(|next| next.at < limit) {
            self.history.pop_front();
        }
        self.history.push_back(Usage {
            at: now,
            reserved: self.reserved,
            running: self.running,
        });
    }
}
