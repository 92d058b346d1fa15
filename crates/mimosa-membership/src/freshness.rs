//! Decides whether the configuration of this entry is fresh enough to honour keys.
//!
//! The entry asks a control instance, which proves that it is current and answers with the newest
//! committed revision. The answer is valid for the key lease, counted from the time of the
//! question. The answer covers all that was committed before the question, so no entry honours a
//! withdrawn key for longer than the key lease after its withdrawal. A late answer does not extend
//! the lease, nor does an old answer that a process reads after it was paused.
//!
//! A stale entry still serves open routes, which need no key, and accounts that are set to be
//! served while cut off.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::ClientAccount;

/// Answers kept that name a revision not yet applied here; the highest revisions are dropped first.
const MAX_PENDING_ANSWERS: usize = 16;

/// Settings of [`Freshness`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The longest time for which a withdrawn key may still be honoured.
    pub key_lease: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            key_lease: Duration::from_secs(4),
        }
    }
}

/// The effect of a control instance's answer on the key lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The configuration is confirmed as the newest.
    Fresh {
        /// The end of the key lease, by the clock of this process.
        until: Timestamp,
    },
    /// The answer names a newer revision and counts once that is applied here.
    Pending,
    /// The answer names a revision older than the one applied here, so its sender is not current.
    StaleSender,
}

/// Which keys are honoured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// All keys in force are honoured.
    Fresh {
        /// The end of the key lease, by the clock of this process.
        until: Timestamp,
    },
    /// Only keys of accounts that are served while cut off.
    Stale {
        /// The end of the last key lease; `None` if there was none since the start.
        since: Option<Timestamp>,
    },
}

/// The key lease of one entry.
#[derive(Clone, Debug)]
pub struct Freshness {
    settings: Settings,
    applied: Revision,
    confirmed: Option<Timestamp>,
    pending: BTreeMap<Revision, Timestamp>,
}

impl Freshness {
    /// Creates the key lease of an entry without a configuration, which is stale.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            applied: Revision::ZERO,
            confirmed: None,
            pending: BTreeMap::new(),
        }
    }

    /// Records that a revision was applied; one lower than before changes nothing.
    pub fn revision_applied(&mut self, revision: Revision) {
        self.applied = self.applied.max(revision);
        let newer = self.pending.split_off(&self.applied.next());
        let reached = std::mem::replace(&mut self.pending, newer);
        self.confirmed = reached.into_values().fold(self.confirmed, later);
    }

    /// Records the answer of a current control instance that `revision` is the newest. `asked` is
    /// the time by this process's clock at which the question was sent.
    pub fn revision_confirmed(&mut self, asked: Timestamp, revision: Revision) -> Confirmation {
        if revision < self.applied {
            return Confirmation::StaleSender;
        }
        if revision > self.applied {
            self.add_pending(asked, revision);
            return Confirmation::Pending;
        }
        self.confirmed = later(self.confirmed, asked);
        Confirmation::Fresh {
            until: asked + self.settings.key_lease,
        }
    }

    /// Which keys are honoured now. Stale if the clock was set back to before the last question.
    pub fn state(&self, now: Timestamp) -> State {
        match self.confirmed {
            None => State::Stale { since: None },
            Some(asked) => {
                let until = asked + self.settings.key_lease;
                if asked <= now && now < until {
                    State::Fresh { until }
                } else {
                    State::Stale { since: Some(until) }
                }
            }
        }
    }

    /// Whether the keys of this account that are not withdrawn are honoured now.
    pub fn honours_keys_of(&self, now: Timestamp, account: &ClientAccount) -> bool {
        match self.state(now) {
            State::Fresh { .. } => true,
            State::Stale { .. } => account.serve_when_cut_off,
        }
    }

    fn add_pending(&mut self, asked: Timestamp, revision: Revision) {
        let known = self.pending.get(&revision).copied();
        self.pending
            .extend(later(known, asked).map(|asked| (revision, asked)));
        while self.pending.len() > MAX_PENDING_ANSWERS {
            self.pending.pop_last();
        }
    }
}

fn later(known: Option<Timestamp>, asked: Timestamp) -> Option<Timestamp> {
    known.max(Some(asked))
}
