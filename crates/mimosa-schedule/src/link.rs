//! Time reservations for KV cache transfers on the network link of an endpoint.

use std::time::Duration;

use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;

/// Maximum number of iterations in the search for a common free time of two links.
const MAX_ITERATIONS: usize = 16;

/// Reserved transfers on one link, ordered by start time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    transfers: Vec<Transfer>,
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    start: Timestamp,
    end: Timestamp,
    request: RequestId,
}

impl Link {
    /// Earliest time, not before `from`, at which the link is free for `duration`.
    pub fn free_from(&self, from: Timestamp, duration: Duration) -> Timestamp {
        self.transfers
            .iter()
            .filter(|transfer| transfer.end > from)
            .try_fold(from, |start, transfer| {
                if start + duration <= transfer.start {
                    return Err(start);
                }
                Ok(start.max(transfer.end))
            })
            .unwrap_or_else(|start| start)
    }

    /// Reserves the link for a transfer. Replaces an earlier reservation of the same request.
    pub fn reserve(&mut self, request: RequestId, start: Timestamp, duration: Duration) {
        self.release(request);
        let index = self.transfers.partition_point(|other| other.start <= start);
        let end = start + duration;
        self.transfers.insert(
            index,
            Transfer {
                start,
                end,
                request,
            },
        );
    }

    pub fn release(&mut self, request: RequestId) {
        self.transfers
            .retain(|transfer| transfer.request != request);
    }
}

/// Earliest time, not before `from`, at which both links are free for `duration`.
pub(crate) fn common_start(a: &Link, b: &Link, from: Timestamp, duration: Duration) -> Timestamp {
    let mut start = from;
    for _ in 0..MAX_ITERATIONS {
        let at_a = a.free_from(start, duration);
        start = b.free_from(at_a, duration);
        if start == at_a {
            break;
        }
    }
    start
}
