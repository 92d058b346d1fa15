//! KV allocations, injected faults and counters of a stand-in engine.

use std::collections::BTreeMap;

use mimosa_protocol::KvBlocks;
use mimosa_protocol::Tokens;
use serde::Serialize;

/// KV cache memory reserved for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KvAllocation {
    /// The request's `X-Request-Id`.
    pub request: String,
    /// Reserved blocks.
    pub blocks: KvBlocks,
    /// Whether this is a prefill result that another engine may import.
    pub exported: bool,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) incarnation: u64,
    pub(crate) runs: u64,
    pub(crate) refuse_next: u32,
    pub(crate) abort_next: u32,
    pub(crate) truncate_next: u32,
    pub(crate) misdeliver_next: u32,
    pub(crate) received_headers: Vec<String>,
    pub(crate) fencing_token: u64,
    pub(crate) last_order: String,
    pub(crate) cache_sequence: u64,
    pub(crate) cached_prefix_bytes: Vec<u64>,
    next_handle: u64,
    allocations: BTreeMap<u64, KvAllocation>,
}

impl State {
    pub(crate) fn allocations(&self) -> Vec<KvAllocation> {
        self.allocations.values().cloned().collect()
    }

    pub(crate) fn used_blocks(&self) -> KvBlocks {
        self.allocations
            .values()
            .map(|allocation| allocation.blocks)
            .sum()
    }

    /// Reserves memory and returns its handle, or `None` if the capacity is exceeded.
    pub(crate) fn allocate(&mut self, capacity: KvBlocks, allocation: KvAllocation) -> Option<u64> {
        if self.used_blocks() + allocation.blocks > capacity {
            return None;
        }
        self.next_handle += 1;
        self.allocations.insert(self.next_handle, allocation);
        Some(self.next_handle)
    }

    pub(crate) fn release(&mut self, handle: u64) -> Option<KvAllocation> {
        self.allocations.remove(&handle)
    }

    pub(crate) fn is_allocated(&self, handle: u64) -> bool {
        self.allocations.contains_key(&handle)
    }

    pub(crate) fn cancel(&mut self, request: &str) -> bool {
        let before = self.allocations.len();
        self.allocations
            .retain(|_, allocation| allocation.request != request);
        self.allocations.len() < before
    }

    /// Drops all allocations and cached prefixes, as a restart after a crash does.
    pub(crate) fn crash(&mut self) {
        self.incarnation += 1;
        self.allocations.clear();
        self.cached_prefix_bytes.clear();
    }

    pub(crate) fn consume_refusal(&mut self) -> bool {
        let refuse = self.refuse_next > 0;
        self.refuse_next = self.refuse_next.saturating_sub(1);
        refuse
    }

    pub(crate) fn consume_misdelivery(&mut self) -> bool {
        let misdeliver = self.misdeliver_next > 0;
        self.misdeliver_next = self.misdeliver_next.saturating_sub(1);
        misdeliver
    }

    pub(crate) fn consume_truncation(&mut self) -> bool {
        let truncate = self.truncate_next > 0;
        self.truncate_next = self.truncate_next.saturating_sub(1);
        truncate
    }

    pub(crate) fn consume_abort(&mut self) -> bool {
        let abort = self.abort_next > 0;
        self.abort_next = self.abort_next.saturating_sub(1);
        abort
    }
}

/// Number of tokens of a text, at four bytes a token.
pub(crate) fn count_tokens(text: &str) -> Tokens {
    Tokens(text.len().div_ceil(4) as u64)
}
