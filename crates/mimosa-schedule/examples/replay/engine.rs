//! Simulated engines: a prefill endpoint and a decode endpoint with a virtual clock.

use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::Capacity;

/// Factor by which the token gap of a cold endpoint is longer.
const COLD_SLOWDOWN: f64 = 3.0;
/// Initial number of streams that a cold endpoint accepts.
const INITIAL_COLD_STREAMS: f64 = 2.0;
/// Time in which the number of streams that a cold endpoint accepts doubles, in seconds.
const COLD_DOUBLING_SECONDS: f64 = 1.0;
/// Relative increase of the token gap from one stream to a full batch.
const BATCH_SLOWDOWN: f64 = 0.5;
/// Output tokens between two reports of progress.
const REPORT_TOKENS: f64 = 100.0;
/// Capacity of the prefix cache of a prefill endpoint, in hashes.
const MAX_CACHED_PREFIXES: usize = 400;

/// Id of an attempt: index of the request in the trace and number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    pub index: usize,
    pub number: u32,
}

/// Time between two tokens of each of `streams` concurrent streams, in seconds.
pub fn token_gap(capacity: &Capacity, streams: usize) -> f64 {
    let base = capacity.token_gap.as_secs_f64();
    let full = f64::from(capacity.concurrency);
    let filled = (streams.max(1) as f64 - 1.0) / (full - 1.0);
    base * (1.0 + BATCH_SLOWDOWN * filled)
}

/// Total tokens per second at a full batch.
pub fn full_rate(capacity: &Capacity) -> f64 {
    let full = capacity.concurrency as usize;
    full as f64 / token_gap(capacity, full)
}

/// A prefill endpoint, which processes prompts sequentially and has a prefix cache.
#[derive(Clone, Debug, Default)]
pub struct Prefill {
    pub queue: VecDeque<AttemptId>,
    /// Cached prefix hashes, the least recently used first.
    pub cache: VecDeque<u64>,
    /// Time from which the network link is free.
    pub link_free: Timestamp,
    /// Prefix hashes added to the cache since the last report.
    pub stored: Vec<u64>,
    /// Prefix hashes removed from the cache since the last report.
    pub evicted: Vec<u64>,
}

impl Prefill {
    /// Processing time of a prompt, excluding cached prefixes.
    pub fn time(&self, capacity: &Capacity, prompt: Tokens, prefix: &[u64]) -> Duration {
        let cached = prefix.iter().take_while(|hash| self.cache.contains(hash));
        let cached = Tokens(cached.count() as u64 * capacity.tokens_per_block.0);
        let uncached = prompt.saturating_sub(cached);
        capacity.prefill_rate.time_for(uncached).unwrap_or_default()
    }

    /// Adds the prefixes of a processed prompt to the cache.
    pub fn store(&mut self, prefix: &[u64]) {
        for hash in prefix {
            if !self.cache.contains(hash) {
                self.stored.push(*hash);
            }
            self.cache.retain(|kept| kept != hash);
            self.cache.push_back(*hash);
        }
        while self.cache.len() > MAX_CACHED_PREFIXES {
            self.evicted.extend(self.cache.pop_front());
        }
    }
}

/// A stream at a decode endpoint.
#[derive(Clone, Debug)]
pub struct Stream {
    pub attempt: AttemptId,
    prompt: Tokens,
    /// Progress of the endpoint when the stream started.
    joined: f64,
    /// Output tokens at its end.
    output: f64,
    /// Output tokens at its next milestone.
    next: f64,
}

/// A progress report or the end of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Milestone {
    pub attempt: AttemptId,
    pub output: Tokens,
    pub done: bool,
}

/// A decode endpoint with continuous batching.
#[derive(Clone, Debug)]
pub struct Decode {
    pub capacity: Capacity,
    pub streams: Vec<Stream>,
    /// KV cache transfers in progress; their memory is allocated.
    pub incoming: Vec<(AttemptId, Tokens)>,
    /// Attempts whose transfer waits for a free stream and memory.
    pub waiting: VecDeque<AttemptId>,
    /// Time from which the network link is free.
    pub link_free: Timestamp,
    /// Increases when the streams change, which invalidates scheduled milestones.
    pub version: u64,
    /// Start of the last cold start.
    cold_since: Option<Timestamp>,
    /// Tokens that a stream running from the start would have produced.
    progress: f64,
    updated: Timestamp,
}

impl Decode {
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            streams: Vec::new(),
            incoming: Vec::new(),
            waiting: VecDeque::new(),
            link_free: Timestamp::ZERO,
            version: 0,
            cold_since: None,
            progress: 0.0,
            updated: Timestamp::ZERO,
        }
    }

    pub fn set_cold(&mut self, now: Timestamp) {
        self.advance(now);
        self.cold_since = Some(now);
    }

    /// Maximum number of streams, reduced while the endpoint is cold.
    pub fn max_streams(&self, now: Timestamp) -> usize {
        let full = self.capacity.concurrency as usize;
        let Some(since) = self.cold_since else {
            return full;
        };
        let doublings = now.since(since).as_secs_f64() / COLD_DOUBLING_SECONDS;
        full.min((INITIAL_COLD_STREAMS * doublings.min(10.0).exp2()) as usize)
    }

    pub fn token_gap(&self, now: Timestamp) -> f64 {
        let full = self.capacity.concurrency as usize;
        let cold = self.max_streams(now) < full;
        let slowdown = if cold { COLD_SLOWDOWN } else { 1.0 };
        token_gap(&self.capacity, self.streams.len()) * slowdown
    }

    /// Whether a stream and memory are free for a request.
    pub fn has_room(&self, prompt: Tokens) -> bool {
        let streams = self.streams.len() + self.incoming.len();
        let needed = self.used() + self.blocks(prompt.0 as f64);
        streams < self.capacity.concurrency as usize && needed <= self.capacity.blocks.0
    }

    /// Blocks in use.
    pub fn used(&self) -> u64 {
        let held_tokens = |stream: &Stream| stream.prompt.0 as f64 + self.progress - stream.joined;
        let streams = self
            .streams
            .iter()
            .map(held_tokens)
            .map(|held_tokens| self.blocks(held_tokens));
        let incoming = self.incoming.iter();
        streams.sum::<u64>()
            + incoming
                .map(|each| self.blocks(each.1.0 as f64))
                .sum::<u64>()
    }

    fn blocks(&self, tokens: f64) -> u64 {
        let size = self.capacity.tokens_per_block.0 as f64;
        (tokens / size).ceil() as u64
    }

    pub fn join(&mut self, now: Timestamp, attempt: AttemptId, prompt: Tokens, output: Tokens) {
        self.advance(now);
        self.incoming.retain(|(other, _)| *other != attempt);
        self.streams.push(Stream {
            attempt,
            prompt,
            joined: self.progress,
            output: output.0 as f64,
            next: 1.0_f64.min(output.0 as f64),
        });
        self.version += 1;
    }

    pub fn remove(&mut self, now: Timestamp, attempt: AttemptId) {
        self.advance(now);
        self.streams.retain(|stream| stream.attempt != attempt);
        self.incoming.retain(|(other, _)| *other != attempt);
        self.waiting.retain(|other| *other != attempt);
        self.version += 1;
    }

    /// Time of the next milestone if the set of streams does not change.
    pub fn next_milestone(&self, now: Timestamp) -> Option<Timestamp> {
        let left = |stream: &Stream| stream.joined + stream.next - self.progress;
        let least = self.streams.iter().map(left).reduce(f64::min)?;
        let seconds = least.max(0.0) * self.token_gap(now);
        Some(now + Duration::from_secs_f64(seconds) + Duration::from_micros(1))
    }

    /// Returns the milestones reached until now. Finished streams are removed.
    pub fn milestones(&mut self, now: Timestamp) -> Vec<Milestone> {
        self.advance(now);
        let mut reached = Vec::new();
        for stream in &mut self.streams {
            if self.progress - stream.joined < stream.next {
                continue;
            }
            reached.push(Milestone {
                attempt: stream.attempt,
                output: Tokens(stream.next as u64),
                done: stream.next >= stream.output,
            });
            let next = (stream.next + REPORT_TOKENS).min(stream.output);
            stream.next = if stream.next >= stream.output {
                f64::MAX
            } else {
                next
            };
        }
        self.streams.retain(|stream| stream.next < f64::MAX);
        self.version += 1;
        reached
    }

    /// Returns the youngest stream if the streams exceed the memory.
    pub fn memory_victim(&self) -> Option<AttemptId> {
        let over = self.used() > self.capacity.blocks.0;
        let youngest = || self.streams.last().map(|stream| stream.attempt);
        over.then(youngest).flatten()
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.progress += elapsed / self.token_gap(now);
        self.updated = now;
    }
}
