//! Memory of responses that their client reads slowly.
//!
//! While a client reads as fast as its response arrives, nothing is reserved. Once a write to its
//! socket blocks, the buffers of the response are reserved in the memory account until all bytes are
//! written. If the account is full, no more is taken from the endpoint before that.
//!
//! All methods are called by the task of the connection, so that relaxed atomics suffice.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Waker;
use std::time::Duration;

use mimosa_memory::EvictionSignal;
use mimosa_memory::Progress;
use mimosa_memory::Reservation;
use mimosa_memory::account::Decision;

use crate::shared::Shared;

/// Unsent bytes that count as part of the connection's own buffers.
const FREE_BYTES: u64 = 4 << 10;
/// Memory of a response that is read slowly: the buffer of the connection to the endpoint and a frame
/// taken from it, and the same for the connection to the client.
const WINDOW_BYTES: u64 = 4 * (24 << 10);
/// Time for which a slow but steady reader may seem to stall. The kernel reports free space once a
/// third of its send buffer is read; that is 21 KB of 64 KB, at 1 KB/s.
const READER_GRACE: Duration = Duration::from_secs(27);

/// Memory for a response that is buffered before it is forwarded.
pub(crate) enum ResponseBuffer {
    /// Part of the connection's own buffers.
    Free,
    /// Counted until dropped.
    Reserved { _reservation: Reservation },
}

/// Reserves memory for a response of `bytes`; `None` if the account is full.
pub(crate) fn reserve_buffer(shared: &Shared, bytes: u64) -> Option<ResponseBuffer> {
    if bytes <= FREE_BYTES {
        return Some(ResponseBuffer::Free);
    }
    let now = shared.now();
    let progress = Progress::new(now);
    // The response depends on the endpoint, not on the client.
    progress.stop_waiting();
    let account = &shared.memory.account;
    let mut reservation = account.holder(progress, None, bytes, EvictionSignal::default());
    let is_granted = reservation.try_grow_to(now, bytes) == Decision::Granted;
    is_granted.then_some(ResponseBuffer::Reserved {
        _reservation: reservation,
    })
}

/// Unsent bytes of the response on a connection, and their reservation.
pub(crate) struct AnswerWindow {
    shared: Arc<Shared>,
    evicted: EvictionSignal,
    /// Bytes passed to the connection since it was last flushed, less those written. Framing makes it
    /// slightly too low.
    unsent: AtomicU64,
    /// Whether the account had no room for the window.
    is_refused: AtomicBool,
    /// Whether the state has a reservation, with or without bytes, so that the lock is taken only then.
    has_reservation: AtomicBool,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    reservation: Option<Reservation>,
    waker: Option<Waker>,
}

impl AnswerWindow {
    /// `evicted` closes the connection.
    pub(crate) fn new(shared: Arc<Shared>, evicted: EvictionSignal) -> Self {
        Self {
            shared,
            evicted,
            unsent: AtomicU64::new(0),
            is_refused: AtomicBool::new(false),
            has_reservation: AtomicBool::new(false),
            state: Mutex::default(),
        }
    }

    /// Whether the next frame of the response may be taken. If not, the task is woken when it may.
    pub(crate) fn may_take(&self, cx: &Context<'_>) -> bool {
        if !self.is_refused.load(Ordering::Relaxed) {
            return true;
        }
        self.state().waker = Some(cx.waker().clone());
        false
    }

    /// Counts a frame that was passed to the connection.
    pub(crate) fn add(&self, bytes: usize) {
        let unsent = self.unsent.load(Ordering::Relaxed);
        self.unsent.store(unsent + bytes as u64, Ordering::Relaxed);
    }

    /// Records that the socket took bytes.
    pub(crate) fn record_written(&self, bytes: usize) {
        let bytes = bytes as u64;
        let unsent = self.unsent.load(Ordering::Relaxed);
        self.unsent
            .store(unsent.saturating_sub(bytes), Ordering::Relaxed);
        if self.has_reservation.load(Ordering::Relaxed)
            && let Some(reservation) = &self.state().reservation
        {
            let progress = reservation.progress();
            progress.record(self.shared.now(), bytes);
        }
    }

    /// Reserves the window, as the socket takes no more bytes.
    pub(crate) fn record_blocked(&self) {
        let is_small = self.unsent.load(Ordering::Relaxed) <= FREE_BYTES;
        if is_small || self.has_reservation.load(Ordering::Relaxed) {
            return;
        }
        let now = self.shared.now();
        let mut reservation = self.holder(Progress::with_grace(now, READER_GRACE));
        if reservation.try_grow_to(now, WINDOW_BYTES) != Decision::Granted {
            self.is_refused.store(true, Ordering::Relaxed);
            // A holder without bytes, so that the connection can be closed to admit another one.
            reservation = self.holder(Progress::with_grace_while_room(now, READER_GRACE));
        }
        self.has_reservation.store(true, Ordering::Relaxed);
        self.state().reservation = Some(reservation);
    }

    fn holder(&self, progress: Progress) -> Reservation {
        let account = &self.shared.memory.account;
        account.holder(progress, None, WINDOW_BYTES, self.evicted.clone())
    }

    /// Records that all bytes were written, which releases the window.
    pub(crate) fn record_flushed(&self) {
        self.unsent.store(0, Ordering::Relaxed);
        if self.has_reservation.swap(false, Ordering::Relaxed) {
            self.state().reservation = None;
        }
        if self.is_refused.swap(false, Ordering::Relaxed)
            && let Some(waker) = self.state().waker.take()
        {
            waker.wake();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
