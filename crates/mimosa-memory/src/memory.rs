//! An account shared among tasks.
//!
//! The lock of the account is taken when a buffer grows by a step and when it is released, not for
//! each chunk: progress is recorded without it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use tokio::sync::Notify;

use crate::account::Account;
use crate::account::AccountSizes;
use crate::account::Decision;
use crate::account::HolderId;
use crate::account::HolderInfo;
use crate::account::Usage;
use crate::progress::Progress;

/// A memory account that tasks share. Clones refer to the same account.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    /// Notified when bytes are released.
    released: Notify,
}

#[derive(Debug)]
struct State {
    account: Account,
    signals: HashMap<HolderId, EvictionSignal>,
}

/// The account is full, or the holder was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused;

/// Tells a task that its holder was evicted. Holders of one connection may share a signal.
#[derive(Clone, Debug, Default)]
pub struct EvictionSignal(Arc<SignalState>);

#[derive(Debug, Default)]
struct SignalState {
    is_set: AtomicBool,
    changed: Notify,
}

/// Bytes held by one holder; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    id: HolderId,
    bytes: u64,
    progress: Arc<Progress>,
    signal: EvictionSignal,
}

impl Memory {
    /// An account that holds nothing.
    pub fn new(sizes: AccountSizes) -> Self {
        let state = State {
            account: Account::new(sizes),
            signals: HashMap::new(),
        };
        Self(Arc::new(Inner {
            state: Mutex::new(state),
            released: Notify::new(),
        }))
    }

    /// The sizes of the account.
    pub fn sizes(&self) -> AccountSizes {
        *self.state().account.sizes()
    }

    /// What is held at present.
    pub fn usage(&self) -> Usage {
        self.state().account.usage()
    }

    /// Adds a holder without bytes. `declared` is the size that the client declared; 0 if it is unknown.
    /// `signal` is set when the holder is evicted.
    pub fn holder(
        &self,
        progress: Progress,
        owner: Option<AccountId>,
        declared: u64,
        signal: EvictionSignal,
    ) -> Reservation {
        let progress = Arc::new(progress);
        let info = HolderInfo {
            owner,
            declared,
            progress: Arc::clone(&progress),
        };
        let mut state = self.state();
        let id = state.account.add(info);
        state.signals.insert(id, signal.clone());
        drop(state);
        Reservation {
            memory: self.clone(),
            id,
            bytes: 0,
            progress,
            signal,
        }
    }

    /// Evicts all holders whose client made no progress for `time`.
    pub fn evict_stalled(&self, now: Timestamp, time: Duration) -> usize {
        let mut state = self.state();
        let evicted = state.account.evict_stalled(now, time);
        state.signal(&evicted);
        evicted.len()
    }

    /// Evicts one stalled holder, so that its connection ends. Returns whether there was one.
    pub fn evict_one(&self, now: Timestamp) -> bool {
        let mut state = self.state();
        let evicted = state.account.evict_one(now);
        state.signal(evicted.as_slice());
        evicted.is_some()
    }

    fn resize(&self, now: Timestamp, id: HolderId, bytes: u64) -> Decision {
        let mut state = self.state();
        let decision = state.account.resize(now, id, bytes);
        if let Decision::Wait(evicted) = &decision {
            state.signal(evicted);
        }
        decision
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn signal(&self, evicted: &[HolderId]) {
        for id in evicted {
            if let Some(signal) = self.signals.get(id) {
                signal.set();
            }
        }
    }
}

impl Reservation {
    /// Asks for `bytes` in all. Waits while evicted holders release their bytes. `now` returns the
    /// current time.
    ///
    /// # Errors
    ///
    /// [`Refused`] if the account is full and no holder can be evicted, or this one was evicted.
    pub async fn grow_to(
        &mut self,
        now: impl Fn() -> Timestamp,
        bytes: u64,
    ) -> Result<(), Refused> {
        if bytes <= self.bytes {
            return Ok(());
        }
        loop {
            // Created before the account is asked, so that no release is missed.
            let memory = self.memory.clone();
            let released = memory.0.released.notified();
            match self.try_grow_to(now(), bytes) {
                Decision::Granted => return Ok(()),
                Decision::Refused => return Err(Refused),
                Decision::Wait(_) => tokio::select! {
                    () = released => {}
                    () = self.signal.wait() => return Err(Refused),
                },
            }
        }
    }

    /// Asks once for `bytes` in all.
    pub fn try_grow_to(&mut self, now: Timestamp, bytes: u64) -> Decision {
        let bytes = bytes.max(self.bytes);
        let decision = self.memory.resize(now, self.id, bytes);
        if decision == Decision::Granted {
            self.bytes = bytes;
        }
        decision
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, now: Timestamp, bytes: u64) {
        if bytes < self.bytes {
            self.memory.resize(now, self.id, bytes);
            self.bytes = bytes;
            self.memory.0.released.notify_waiters();
        }
    }

    /// Bytes held.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Progress of the client, to be recorded as it sends or reads.
    pub const fn progress(&self) -> &Arc<Progress> {
        &self.progress
    }

    /// Signal that is set when this holder is evicted.
    pub const fn signal(&self) -> &EvictionSignal {
        &self.signal
    }

    /// The account in which the bytes are held.
    pub const fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Resolves when bytes of any holder are released.
    pub fn released(&self) -> impl Future<Output = ()> + Send + use<> {
        let memory = self.memory.clone();
        async move { memory.0.released.notified().await }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.account.remove(self.id);
        state.signals.remove(&self.id);
        drop(state);
        self.memory.0.released.notify_waiters();
    }
}

impl EvictionSignal {
    /// Whether the holder was evicted.
    pub fn is_set(&self) -> bool {
        self.0.is_set.load(Ordering::Relaxed)
    }

    /// Resolves when the holder is evicted.
    pub async fn wait(&self) {
        loop {
            let changed = self.0.changed.notified();
            if self.is_set() {
                return;
            }
            changed.await;
        }
    }

    /// Marks the holder as evicted.
    pub fn set(&self) {
        self.0.is_set.store(true, Ordering::Relaxed);
        self.0.changed.notify_waiters();
    }
}
