//! One buffer for bytes that arrive, whose capacity is reserved in the memory account.

use std::time::Duration;

use bytes::Bytes;
use mimosa_memory::Refused;
use mimosa_memory::Reservation;
use tokio::time::sleep;

use crate::shared::Shared;

/// Smallest capacity; larger than most requests.
const MIN_BYTES: usize = 4 << 10;
/// Interval at which a full account is asked again. Holders become stalled meanwhile.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// What a buffer does while the account is full of holders that make progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WhenFull {
    /// It fails at once.
    Refuse,
    /// It waits until there is room; the caller limits the time.
    Wait,
}

/// A buffer that grows as bytes arrive.
pub(crate) struct Buffer {
    bytes: Vec<u8>,
    reservation: Reservation,
    /// Largest size that the content can have.
    largest: usize,
    when_full: WhenFull,
}

impl Buffer {
    pub(crate) const fn new(reservation: Reservation, largest: usize, when_full: WhenFull) -> Self {
        Self {
            bytes: Vec::new(),
            reservation,
            largest,
            when_full,
        }
    }

    /// From now on it waits while the account is full.
    pub(crate) fn waiting(self) -> Self {
        Self {
            when_full: WhenFull::Wait,
            ..self
        }
    }

    pub(crate) const fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    pub(crate) const fn reservation(&self) -> &Reservation {
        &self.reservation
    }

    /// Appends bytes. The capacity doubles, so that a byte is copied less than twice on average.
    ///
    /// # Errors
    ///
    /// [`Refused`] if the account has no room, or the holder was evicted.
    pub(crate) async fn push(&mut self, shared: &Shared, data: &[u8]) -> Result<(), Refused> {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).max(MIN_BYTES);
            let capacity = doubled.min(self.largest).max(needed);
            self.reserve(shared, capacity).await?;
        }
        self.bytes.extend_from_slice(data);
        let progress = self.reservation.progress();
        progress.record(shared.now(), data.len() as u64);
        Ok(())
    }

    /// Reserves a capacity, in the account and for the buffer.
    ///
    /// # Errors
    ///
    /// [`Refused`], as for [`Self::push`].
    pub(crate) async fn reserve(
        &mut self,
        shared: &Shared,
        capacity: usize,
    ) -> Result<(), Refused> {
        while let Err(refused) = self
            .reservation
            .grow_to(|| shared.now(), capacity as u64)
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
    pub(crate) async fn reserve_copies(
        &mut self,
        shared: &Shared,
        copies: usize,
    ) -> Result<(), Refused> {
        let bytes = self.bytes.capacity() + copies * self.bytes.len();
        let grown = self.reservation.grow_to(|| shared.now(), bytes as u64);
        grown.await
    }

    /// The content. The reservation is released with its last clone.
    pub(crate) fn into_bytes(mut self, shared: &Shared) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.bytes.shrink_to_fit();
        let held = self.bytes.capacity() as u64;
        self.reservation.shrink_to(shared.now(), held);
        Bytes::from_owner(self)
    }

    /// The reservation, for what was made from the content; the content is dropped.
    pub(crate) fn into_reservation(self) -> Reservation {
        self.reservation
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
