//! Division of the memory limit and the descriptors of a process.

use std::time::Duration;

use crate::account::AccountSizes;

/// Largest part of the memory limit that is kept for the process at rest, as a divisor.
const REST_DIVISOR: u64 = 3;
/// Memory of a process at rest in a cluster of the target size.
const REST_BYTES: u64 = 32 << 20;
/// Part of the remaining memory that the account gets, as a divisor. A quarter goes to the buffers of
/// connections, the last quarter to kernel buffers, copies while buffers grow, and the allocator.
const ACCOUNT_DIVISOR: u64 = 2;
const CONNECTIONS_DIVISOR: u64 = 4;
/// Part of the account that is reserved for small holders, as a divisor.
const RESERVED_DIVISOR: u64 = 4;
/// Largest small holder, unless the reserved part is small. Plain requests and prompts of some
/// thousand tokens are below it.
const SMALL_BYTES: u64 = 64 << 10;
/// Largest tiny holder: the first step of a body's buffer, in which ordinary requests fit.
const TINY_BYTES: u64 = 4 << 10;
/// Small holders for which the reserved part has room at least.
const MIN_SMALL_HOLDERS: u64 = 32;
/// Time without progress after which a holder may be evicted from a full account. A client may pause
/// for 2 s.
const STALL_TIME: Duration = Duration::from_secs(3);
/// Descriptors kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Descriptors kept for connections to control instances, metrics and probes.
const INTERNAL_DESCRIPTORS: u64 = 64;

/// What a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in bytes.
    pub memory: u64,
    /// Whether the settings limit the memory. If not, sockets keep the system's buffers and bodies have
    /// no time limit but that of their request.
    pub is_limited: bool,
    /// Size of the memory account; `None` derives it from `memory`.
    pub account: Option<u64>,
    /// Number of file descriptors.
    pub descriptors: u64,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory: 1 << 30,
            is_limited: false,
            account: None,
            descriptors: 1 << 16,
        }
    }
}

/// Division of a process's memory and descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessSizes {
    /// The memory account.
    pub account: AccountSizes,
    /// Memory for the buffers of client connections.
    pub connections: u64,
}

impl ProcessSizes {
    /// Divides the memory of a process.
    pub fn of(limits: &ProcessLimits) -> Self {
        let rest = REST_BYTES.min(limits.memory / REST_DIVISOR);
        let available = limits.memory - rest;
        let account = limits.account.unwrap_or(available / ACCOUNT_DIVISOR);
        Self {
            account: account_sizes(account),
            connections: available / CONNECTIONS_DIVISOR,
        }
    }

    /// Largest number of connections to endpoints.
    pub fn max_endpoint_connections(&self, descriptors: u64) -> u32 {
        u32::try_from((sockets(descriptors) / 2).max(1)).unwrap_or(u32::MAX)
    }

    /// Largest number of client connections, each with buffers of `buffer_bytes`. Half of the sockets
    /// are kept for connections to endpoints, as each request may need one.
    pub fn max_connections(&self, descriptors: u64, buffer_bytes: u64) -> usize {
        let by_descriptors = sockets(descriptors) / 2;
        let by_memory = self.connections / buffer_bytes.max(1);
        usize::try_from(by_descriptors.min(by_memory).max(1)).unwrap_or(usize::MAX)
    }
}

/// Descriptors for connections to clients and endpoints.
const fn sockets(descriptors: u64) -> u64 {
    descriptors.saturating_sub(FILE_DESCRIPTORS + INTERNAL_DESCRIPTORS)
}

/// Divides the bytes of an account.
pub const fn account_sizes(account: u64) -> AccountSizes {
    let reserved = account / RESERVED_DIVISOR;
    let small = reserved / MIN_SMALL_HOLDERS;
    AccountSizes {
        general: account - reserved,
        reserved,
        small: if small < SMALL_BYTES {
            small
        } else {
            SMALL_BYTES
        },
        tiny: if small < TINY_BYTES {
            small
        } else {
            TINY_BYTES
        },
        stall_time: STALL_TIME,
    }
}
