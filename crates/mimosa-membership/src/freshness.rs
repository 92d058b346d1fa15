//! Whether this entry's table of keys is fresh enough to honour keys.
//!
//! An entry asks, a control instance that proved itself current answers with the newest committed
//! revision. The answer is worth the key lease, counted from the moment of the question: whatever
//! was committed before the question stands in the answer, so a key withdrawn at some moment is
//! honoured nowhere after that moment plus the key lease. A late answer therefore gains nothing, nor
//! does a frozen process that reads an old answer after it wakes.
//!
//! A stale entry goes on with open routes, which ask for no key, and with accounts that were set to
//! be served while cut off.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::ClientAccount;

/// Answers kept that name a revision not yet in force here.
const MAX_PENDING_ANSWERS: usize = 16;

/// How long an answer counts.
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

/// What an answer did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The table is fresh until then.
    Fresh {
        /// The end of the key lease.
        until: Timestamp,
    },
    /// A newer revision exists: the answer counts once that is in force here.
    Pending,
    /// The answer names a revision older than the one in force here: its sender is not current.
    OldSender,
}

/// Whether keys are honoured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// All keys in force are honoured.
    Fresh {
        /// The end of the key lease.
        until: Timestamp,
    },
    /// Only keys of accounts that are served while cut off.
    Stale {
        /// When the key lease ended; `None` if there was none since the start.
        since: Option<Timestamp>,
    },
}

/// The key lease of one entry.
#[derive(Clone, Debug)]
pub struct Freshness {
    settings: Settings,
    in_force: Revision,
    confirmed: Option<Timestamp>,
    pending: BTreeMap<Revision, Timestamp>,
}

impl Freshness {
    /// A table that nobody has confirmed yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            in_force: Revision::ZERO,
            confirmed: None,
            pending: BTreeMap::new(),
        }
    }

    /// The table took a revision; a lower one than before changes nothing.
    pub fn revision_applied(&mut self, revision: Revision) {
        self.in_force = self.in_force.max(revision);
        let later = self.pending.split_off(&self.in_force.next());
        let met = std::mem::replace(&mut self.pending, later);
        self.confirmed = met.into_values().fold(self.confirmed, latest);
    }

    /// A current control instance answered that `revision` is the newest. `asked` is the moment, on
    /// this process's clock, at which the question was sent.
    pub fn revision_confirmed(&mut self, asked: Timestamp, revision: Revision) -> Confirmation {
        if revision < self.in_force {
            return Confirmation::OldSender;
        }
        if revision > self.in_force {
            self.remember(asked, revision);
            return Confirmation::Pending;
        }
        self.confirmed = latest(self.confirmed, asked);
        Confirmation::Fresh {
            until: asked + self.settings.key_lease,
        }
    }

    /// Whether keys are honoured now. A clock that was set back counts as stale.
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

    /// Whether a key of this account, in force in the table, is honoured now.
    pub fn honours_keys_of(&self, now: Timestamp, account: &ClientAccount) -> bool {
        match self.state(now) {
            State::Fresh { .. } => true,
            State::Stale { .. } => account.serve_when_cut_off,
        }
    }

    fn remember(&mut self, asked: Timestamp, revision: Revision) {
        let known = self.pending.get(&revision).copied();
        self.pending
            .extend(latest(known, asked).map(|asked| (revision, asked)));
        while self.pending.len() > MAX_PENDING_ANSWERS {
            self.pending.pop_last();
        }
    }
}

fn latest(known: Option<Timestamp>, asked: Timestamp) -> Option<Timestamp> {
    known.max(Some(asked))
}
