//! State of one endpoint in the scheduler.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosa_protocol::Incarnation;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;

use crate::latency::LatencyMonitor;
use crate::latency::StreamLimit;
use crate::link::Link;
use crate::memory::Memory;
use crate::pool::PoolSettings;
use crate::ramp::Ramp;
use crate::settings::PlacementSettings;
use crate::settings::RampSettings;

/// Minimum number of blocks of an endpoint for each block that is kept free for growing
/// reservations.
const MIN_BLOCKS_PER_RESERVED: u64 = 16;

/// An endpoint with its configuration, reservations and observed behaviour.
#[derive(Clone, Debug)]
pub(crate) struct TrackedEndpoint {
    /// Last known configuration.
    pub config: Endpoint,
    /// Whether the current configuration contains the endpoint.
    pub configured: bool,
    /// Whether the endpoint is unreachable.
    pub down: bool,
    /// Last known incarnation.
    pub incarnation: Option<Incarnation>,
    /// Time at which the endpoint was first seen or last became cold by a restart or an outage.
    pub last_cold_start: Timestamp,
    /// Attempts with reservations at this endpoint.
    pub attempts: BTreeSet<RequestId>,
    /// Reservations of KV cache memory.
    pub memory: Memory,
    /// Reservations of transfer time on the link.
    pub link: Link,
    pub backlog: Backlog,
    /// Concurrency limit during ramp-up.
    pub ramp: Ramp,
    /// Concurrency limit that keeps the token gap target.
    pub stream_limit: StreamLimit,
    /// Detection of unusual latency.
    pub latency: LatencyMonitor,
    /// Measurement time of the last load report.
    pub load_measured_at: Timestamp,
    /// Set while unreported grants of an earlier scheduler may exist here.
    pub handover_barrier: Option<HandoverBarrier>,
}

/// Times until which an endpoint stays closed during a handover.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HandoverBarrier {
    /// Time from which all grants of the earlier scheduler are void.
    pub grants_end: Timestamp,
    /// Time by which all holds of the earlier scheduler are released.
    pub holds_end: Timestamp,
}

/// What kind of work an endpoint can accept next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Availability {
    /// No new work until the given time, or until its state changes.
    Closed(Option<Timestamp>),
    /// A prompt; its processing starts at about this time.
    Prefill(Timestamp),
    /// A stream or plain request: free blocks and number of free streams.
    Decode(KvBlocks, u32),
}

impl TrackedEndpoint {
    /// Creates a new endpoint, which starts cold.
    pub fn new(now: Timestamp, config: Endpoint, settings: &RampSettings) -> Self {
        let mut endpoint = Self {
            configured: true,
            down: false,
            incarnation: None,
            last_cold_start: now,
            attempts: BTreeSet::new(),
            memory: Memory::default(),
            link: Link::default(),
            backlog: Backlog::default(),
            ramp: Ramp::cold(now, settings),
            stream_limit: StreamLimit::default(),
            latency: LatencyMonitor::default(),
            load_measured_at: Timestamp::ZERO,
            handover_barrier: None,
            config,
        };
        endpoint.memory.resize(endpoint.config.capacity.blocks);
        endpoint
    }

    /// Whether the configuration allows new work at the endpoint.
    pub fn is_active(&self) -> bool {
        self.configured && self.config.state == EndpointState::Active
    }

    /// Work that the endpoint can accept at `now`.
    pub fn availability(&self, now: Timestamp, settings: &PoolSettings) -> Availability {
        if !self.is_active() || self.down {
            return Availability::Closed(None);
        }
        if let Some(until) = self.closed_until().filter(|until| now < *until) {
            return Availability::Closed(Some(until));
        }
        let free_streams = self
            .max_streams()
            .saturating_sub(self.memory.total_running());
        if free_streams == 0 {
            return Availability::Closed(self.ramp.next_doubling(&settings.ramp));
        }
        match self.config.role {
            EndpointRole::Prefill => Availability::Prefill(self.backlog.end()),
            EndpointRole::Plain => Availability::Decode(KvBlocks::ZERO, free_streams),
            EndpointRole::Decode => {
                let reserve = self.growth_reserve(&settings.placement);
                Availability::Decode(self.memory.free().saturating_sub(reserve), free_streams)
            }
        }
    }

    fn max_streams(&self) -> u32 {
        let capacity = self.config.capacity.concurrency;
        capacity
            .min(self.ramp.permits())
            .min(self.stream_limit.limit())
    }

    fn closed_until(&self) -> Option<Timestamp> {
        let barrier_end = self
            .handover_barrier
            .map(|barrier| self.barrier_end(barrier));
        Some(self.ramp.not_before()).max(barrier_end)
    }

    fn barrier_end(&self, barrier: HandoverBarrier) -> Timestamp {
        let load_is_known = self.load_measured_at >= barrier.grants_end;
        if self.config.role == EndpointRole::Prefill || load_is_known {
            barrier.grants_end
        } else {
            barrier.holds_end
        }
    }

    /// Blocks kept free for growing reservations; zero if the memory is small.
    fn growth_reserve(&self, settings: &PlacementSettings) -> KvBlocks {
        let max_reserve = KvBlocks(self.memory.total().0 / MIN_BLOCKS_PER_RESERVED);
        settings.growth_reserve.min(max_reserve)
    }

    /// Maximum number of blocks of one request, on an idle endpoint.
    pub fn max_grantable(&self, settings: &PlacementSettings) -> KvBlocks {
        let total = self.memory.total();
        total.saturating_sub(self.growth_reserve(settings))
    }

    /// Blocks to reserve for a request, including a margin in which the reservation can be grown.
    /// The margin is left out if it would not fit.
    pub fn blocks_for(
        &self,
        prompt: Tokens,
        output: Tokens,
        settings: &PlacementSettings,
    ) -> KvBlocks {
        if self.config.role != EndpointRole::Decode {
            return KvBlocks::ZERO;
        }
        let size = self.config.capacity.tokens_per_block;
        let tokens = prompt.saturating_add(output);
        let required = tokens.blocks(size);
        let with_margin = tokens.saturating_add(settings.growth_margin).blocks(size);
        if with_margin > self.max_grantable(settings) {
            required
        } else {
            with_margin
        }
    }

    /// Expected prefill time, scaled by the recent latency of the endpoint.
    pub fn prefill_time(&self, tokens: Tokens) -> Duration {
        let rate = self.config.capacity.prefill_rate;
        self.latency
            .scale(rate.time_for(tokens).unwrap_or_default())
    }

    /// Expected start of the processing of a prompt that is sent now.
    pub fn prefill_start(&self, now: Timestamp) -> Timestamp {
        self.backlog.start(now)
    }
}

/// Prompts sent to a prefill endpoint that have not been processed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    /// Assumed start of the first pending prompt.
    since: Timestamp,
    prompts: u32,
    /// Expected processing time of all pending prompts.
    time: Duration,
}

impl Backlog {
    /// Expected end of the pending prompts.
    pub fn end(&self) -> Timestamp {
        if self.prompts == 0 {
            return Timestamp::ZERO;
        }
        self.since + self.time
    }

    /// Expected start of a new prompt. If the current prompt is overdue, it is assumed to take as
    /// long again as it has already taken.
    pub fn start(&self, now: Timestamp) -> Timestamp {
        let end = self.end();
        if self.prompts > 0 && end < now {
            return now + now.since(self.since);
        }
        end.max(now)
    }

    pub fn add(&mut self, now: Timestamp, time: Duration) {
        if self.prompts == 0 {
            self.since = now;
            self.time = Duration::ZERO;
        }
        self.prompts += 1;
        self.time += time;
    }

    /// Removes a processed prompt. Returns its processing time, counted from the end of the
    /// previous prompt.
    pub fn finish(&mut self, now: Timestamp, time: Duration) -> Duration {
        let took = now.since(self.since);
        self.prompts = self.prompts.saturating_sub(1);
        self.time = self.time.saturating_sub(time);
        self.since = now;
        took
    }
}
