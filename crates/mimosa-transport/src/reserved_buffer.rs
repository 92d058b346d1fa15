//! Buffers for bytes that arrive, whose capacity is reserved in the memory account of the process.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use mimosa_memory::AccountSizes;
use mimosa_memory::EvictionSignal;
use mimosa_memory::Memory;
use mimosa_memory::Progress;
use mimosa_memory::Refused;
use mimosa_memory::Reservation;
use mimosa_protocol::AccountId;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::time::sleep;

use crate::clock::Clock;

/// Smallest capacity; larger than most messages and requests.
const MIN_BYTES: usize = 4 << 10;
/// Interval at which a full account is asked again. Holders become stalled meanwhile.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// The memory account of a process, and its clock.
#[derive(Clone, Debug)]
pub struct ProcessMemory {
    /// The account.
    pub account: Memory,
    /// The clock by which progress is measured.
    pub clock: Clock,
}

/// What a buffer does while the account is full of holders that make progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    /// It fails at once.
    Refuse,
    /// It waits until there is room; the caller limits the time.
    Wait,
}

/// A buffer that grows as bytes arrive. The capacity doubles, so that a byte is copied less than twice on average.
#[derive(Debug)]
pub struct ReservedBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
    clock: Clock,
    /// Largest size that the content can have.
    largest: usize,
    when_full: WhenFull,
}

impl ProcessMemory {
    /// An account that holds nothing.
    pub fn new(sizes: AccountSizes, clock: Clock) -> Self {
        Self {
            account: Memory::new(sizes),
            clock,
        }
    }

    /// An empty buffer for what a caller sends. `declared` is the size that it announced; `None` if unknown.
    pub fn buffer(
        &self,
        owner: Option<AccountId>,
        declared: Option<usize>,
        max_bytes: usize,
        when_full: WhenFull,
    ) -> ReservedBuffer {
        let progress = Progress::new(self.clock.now());
        let size = declared.unwrap_or(0) as u64;
        let holder = self
            .account
            .holder(progress, owner, size, EvictionSignal::default());
        let largest = declared.unwrap_or(max_bytes);
        ReservedBuffer::new(holder, self.clock, largest, when_full)
    }
}

impl ReservedBuffer {
    /// An empty buffer whose capacity is reserved by a holder.
    pub const fn new(
        reservation: Reservation,
        clock: Clock,
        largest: usize,
        when_full: WhenFull,
    ) -> Self {
        Self {
            bytes: Vec::new(),
            reservation,
            clock,
            largest,
            when_full,
        }
    }

    /// From now on it waits while the account is full.
    #[must_use]
    pub fn waiting(self) -> Self {
        Self {
            when_full: WhenFull::Wait,
            ..self
        }
    }

    /// Bytes of the content.
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there is no content.
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The content.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// The holder of the capacity.
    pub const fn reservation(&self) -> &Reservation {
        &self.reservation
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// [`Refused`] if the account has no room, or the holder was evicted.
    pub async fn push(&mut self, data: &[u8]) -> Result<(), Refused> {
        self.make_room(data.len()).await?;
        self.bytes.extend_from_slice(data);
        self.record(data.len());
        Ok(())
    }

    /// Reads once from a stream, at most `max_bytes`. Returns the number of bytes read.
    ///
    /// # Errors
    ///
    /// Those of the stream, or [`io::ErrorKind::OutOfMemory`] as for [`Self::push`].
    pub async fn read_from(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        max_bytes: usize,
    ) -> io::Result<usize> {
        if self.bytes.len() == self.bytes.capacity() {
            let refused = |Refused| io::Error::from(io::ErrorKind::OutOfMemory);
            self.make_room(1).await.map_err(refused)?;
        }
        let room = self.bytes.capacity() - self.bytes.len();
        let mut stream = stream.take(max_bytes.min(room) as u64);
        let count = stream.read_buf(&mut self.bytes).await?;
        self.record(count);
        Ok(count)
    }

    /// Reserves a capacity, in the account and for the buffer.
    ///
    /// # Errors
    ///
    /// [`Refused`], as for [`Self::push`].
    pub async fn reserve(&mut self, capacity: usize) -> Result<(), Refused> {
        let clock = self.clock;
        while let Err(refused) = self
            .reservation
            .grow_to(|| clock.now(), capacity as u64)
            .await
        {
            if self.when_full == WhenFull::Refuse || self.reservation.signal().is_set() {
                return Err(refused);
            }
            tokio::select! {
                () = self.reservation.released() => {}
                () = sleep(ASK_INTERVAL) => {}
            }
        }
        let missing = capacity.saturating_sub(self.bytes.len());
        self.bytes.reserve_exact(missing);
        Ok(())
    }

    /// Reserves memory for further copies of the content.
    ///
    /// # Errors
    ///
    /// [`Refused`], as for [`Self::push`].
    pub async fn reserve_copies(&mut self, copies: usize) -> Result<(), Refused> {
        let bytes = self.bytes.capacity() + copies * self.bytes.len();
        let clock = self.clock;
        let grown = self.reservation.grow_to(|| clock.now(), bytes as u64);
        grown.await
    }

    /// The content. The reservation is released with its last clone.
    pub fn into_bytes(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.bytes.shrink_to_fit();
        let held = self.bytes.capacity() as u64;
        self.reservation.shrink_to(self.clock.now(), held);
        Bytes::from_owner(self)
    }

    /// The reservation, for what was made from the content; the content is dropped.
    pub fn into_reservation(self) -> Reservation {
        self.reservation
    }

    async fn make_room(&mut self, bytes: usize) -> Result<(), Refused> {
        let needed = self.bytes.len() + bytes;
        if needed <= self.bytes.capacity() {
            return Ok(());
        }
        let doubled = (self.bytes.capacity() * 2).max(MIN_BYTES);
        self.reserve(doubled.min(self.largest).max(needed)).await
    }

    fn record(&self, bytes: usize) {
        let progress = self.reservation.progress();
        progress.record(self.clock.now(), bytes as u64);
    }
}

impl AsRef<[u8]> for ReservedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
