//! Reads request bodies within limits of size, time and memory.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use mimosa_memory::EvictionSignal;
use mimosa_memory::Progress;
use mimosa_memory::Refused;
use mimosa_memory::Reservation;
use mimosa_protocol::AccountId;
use mimosa_protocol::ByteSize;
use tokio::time::timeout;

use crate::client_connection::ActivityTracker;
use crate::response::Failure;
use crate::shared::Shared;

/// Smallest buffer of a body; larger than most requests of plain services.
const MIN_BUFFER_BYTES: usize = 4 << 10;
/// Body size from which the socket gets a larger receive buffer, so that a large upload is not slowed
/// down by round trips. The account limits how many bodies reach it.
const LARGE_BODY_BYTES: usize = 256 << 10;
/// Delay after which a client refused for lack of memory may try again. A stalled body is evicted
/// within 3 s, most others end sooner.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The account is full of bodies that make progress.
const MEMORY_FULL: Failure = Failure::NotRun {
    reason: "memory is full",
    retry_after: FULL_RETRY_AFTER,
};

/// Limits of a body.
pub(crate) struct BodyLimits {
    pub(crate) max_size: ByteSize,
    pub(crate) time: Duration,
}

/// Buffers the whole body, so that the request can be retried at another endpoint. The memory is
/// reserved as bytes arrive, and released when the last clone of the returned bytes is dropped.
pub(crate) async fn read(
    shared: &Shared,
    connection: &ActivityTracker,
    owner: Option<AccountId>,
    body: Incoming,
    limits: BodyLimits,
) -> Result<Bytes, Failure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let max_size = usize::try_from(limits.max_size.0).unwrap_or(usize::MAX);
    let declared = body.size_hint().exact();
    if declared.is_some_and(|declared| declared > max_size as u64) {
        return Err(Failure::BodyTooLarge);
    }
    let evicted = EvictionSignal::default();
    let progress = Progress::new(shared.now());
    let account = &shared.memory.account;
    let mut buffer = BodyBuffer {
        bytes: Vec::new(),
        reservation: account.holder(progress, owner, declared.unwrap_or(0), evicted.clone()),
        largest: declared.map_or(max_size, |declared| declared as usize),
    };
    let result = tokio::select! {
        biased;
        result = timeout(limits.time, buffer.fill(shared, connection, body, max_size)) => result,
        () = evicted.wait() => return Err(Failure::BodyTooSlow),
    };
    match result {
        Ok(filled) => filled.map(|()| buffer.into_bytes(shared)),
        Err(_) => Err(Failure::BodyTooSlow),
    }
}

/// A body being read, in one buffer whose capacity is reserved in the memory account.
struct BodyBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
    /// Largest size that the body can have.
    largest: usize,
}

impl BodyBuffer {
    async fn fill(
        &mut self,
        shared: &Shared,
        connection: &ActivityTracker,
        mut body: Incoming,
        max_size: usize,
    ) -> Result<(), Failure> {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(Failure::BadRequest);
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            let needed = self.bytes.len() + data.len();
            if needed > max_size {
                return Err(Failure::BodyTooLarge);
            }
            if needed > self.bytes.capacity() {
                self.grow(shared, needed).await?;
                if needed >= LARGE_BODY_BYTES {
                    connection.enlarge_receive_buffer();
                }
            }
            self.bytes.extend_from_slice(data);
            let progress = self.reservation.progress();
            progress.record(shared.now(), data.len() as u64);
        }
        Ok(())
    }

    /// Grows the buffer to at least `needed` bytes. The capacity doubles, so that a byte is copied less
    /// than twice on average.
    async fn grow(&mut self, shared: &Shared, needed: usize) -> Result<(), Failure> {
        let doubled = (self.bytes.capacity() * 2).max(MIN_BUFFER_BYTES);
        let capacity = doubled.min(self.largest).max(needed);
        self.reservation
            .grow_to(|| shared.now(), capacity as u64)
            .await
            .map_err(|Refused| match self.reservation.signal().is_set() {
                true => Failure::BodyTooSlow,
                false => MEMORY_FULL,
            })?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    fn into_bytes(mut self, shared: &Shared) -> Bytes {
        // From now on the request waits for endpoints, not for its client.
        self.reservation.progress().stop_waiting();
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.bytes.shrink_to_fit();
        let held = self.bytes.capacity() as u64;
        self.reservation.shrink_to(shared.now(), held);
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
