//! What an engine holds.

use std::collections::BTreeMap;

use mimosa_protocol::KvBlocks;
use mimosa_protocol::Tokens;
use serde::Serialize;

/// Memory held for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KvAllocation {
    /// The request's `X-Request-Id`.
    pub request: String,
    /// Blocks.
    pub blocks: KvBlocks,
    /// Whether it is a prefill result that waits for its import.
    pub exported: bool,
}

/// The engine's memory and counters.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) incarnation: u64,
    pub(crate) runs: u64,
    pub(crate) refuse_next: u32,
    pub(crate) abort_next: u32,
    pub(crate) truncate_next: u32,
    pub(crate) misdeliver_next: u32,
    pub(crate) headers: Vec<String>,
    pub(crate) fencing: u64,
    pub(crate) order: String,
    pub(crate) cache_sequence: u64,
    pub(crate) cached: Vec<u64>,
    next_hold: u64,
    holds: BTreeMap<u64, KvAllocation>,
}

impl State {
    pub(crate) fn holds(&self) -> Vec<KvAllocation> {
        self.holds.values().cloned().collect()
    }

    pub(crate) fn used(&self) -> KvBlocks {
        self.holds.values().map(|hold| hold.blocks).sum()
    }

    /// Takes memory if there is room.
    pub(crate) fn hold(&mut self, room: KvBlocks, hold: KvAllocation) -> Option<u64> {
        if self.used() + hold.blocks > room {
            return None;
        }
        self.next_hold += 1;
        self.holds.insert(self.next_hold, hold);
        Some(self.next_hold)
    }

    pub(crate) fn release(&mut self, handle: u64) -> Option<KvAllocation> {
        self.holds.remove(&handle)
    }

    pub(crate) fn is_held(&self, handle: u64) -> bool {
        self.holds.contains_key(&handle)
    }

    pub(crate) fn cancel(&mut self, request: &str) -> bool {
        let before = self.holds.len();
        self.holds.retain(|_, hold| hold.request != request);
        self.holds.len() < before
    }

    /// Loses everything, as a crash would.
    pub(crate) fn crash(&mut self) {
        self.incarnation += 1;
        self.holds.clear();
        self.cached.clear();
    }

    pub(crate) fn take_refusal(&mut self) -> bool {
        let refuse = self.refuse_next > 0;
        self.refuse_next = self.refuse_next.saturating_sub(1);
        refuse
    }

    pub(crate) fn take_cross(&mut self) -> bool {
        let cross = self.misdeliver_next > 0;
        self.misdeliver_next = self.misdeliver_next.saturating_sub(1);
        cross
    }

    pub(crate) fn take_stop(&mut self) -> bool {
        let stop = self.truncate_next > 0;
        self.truncate_next = self.truncate_next.saturating_sub(1);
        stop
    }

    pub(crate) fn take_cut(&mut self) -> bool {
        let cut = self.abort_next > 0;
        self.abort_next = self.abort_next.saturating_sub(1);
        cut
    }
}

/// Tokens of a text as this engine counts them: four bytes each.
pub(crate) fn count_tokens(text: &str) -> Tokens {
    Tokens(text.len().div_ceil(4) as u64)
}
