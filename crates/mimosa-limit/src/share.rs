//! Each data centre's base share of every account, derived from the configuration alone.
//!
//! A partitioned data centre continues with its share. When the list of data centres changes, each
//! one uses the smallest of its shares over the lists from the oldest that another data centre may
//! still use up to its own. The ranges of any two data centres overlap, hence all of them have a
//! list in common (Helly's theorem on a line), and the shares add up to at most the account's
//! limits: a share grows only after the others have confirmed that theirs shrank. A changed rate
//! needs no confirmation, as every share changes with it: while revisions differ, the sum stays
//! within the largest rate among them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::Configuration;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::DataCentreState;

/// Revisions whose time of application is kept.
const MAX_APPLIED: usize = 64;

/// The rate and burst of an account, over all data centres or of one share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Tokens per second.
    pub rate: TokenRate,
    /// Tokens that may be used at once ahead of the rate.
    pub burst: Tokens,
}

impl Limits {
    /// The part of the data centre at `index` among `of`, which must not be zero. All parts add up
    /// to the whole.
    #[must_use]
    pub fn part(self, index: usize, of: usize) -> Self {
        let part = |whole: u64| {
            let (index, of) = (index as u64, of as u64);
            whole / of + u64::from(index < whole % of)
        };
        Self {
            rate: TokenRate(part(self.rate.0)),
            burst: Tokens(part(self.burst.0)),
        }
    }

    fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}

/// A replaced list of data centres and the last revision that had it.
#[derive(Clone, Debug)]
struct SupersededList {
    revision: Revision,
    data_centres: Arc<[DataCentreId]>,
}

/// The base shares of one data centre.
#[derive(Clone, Debug)]
pub struct Shares {
    own_data_centre: DataCentreId,
    current: Arc<Configuration>,
    data_centres: Arc<[DataCentreId]>,
    /// The revision from which this instance has seen every change.
    complete_since: Revision,
    superseded: Vec<SupersededList>,
    confirmed: BTreeMap<DataCentreId, Revision>,
    applied: Vec<(Revision, Timestamp)>,
}

/// The accounts whose limits differ between two configurations, sorted. Includes those that only
/// one of them contains.
pub fn changed_accounts(old: &Configuration, new: &Configuration) -> Vec<AccountId> {
    let mut changed: Vec<AccountId> = old
        .accounts
        .keys()
        .chain(new.accounts.keys())
        .filter(|id| limits(old, id) != limits(new, id))
        .cloned()
        .collect();
    changed.sort();
    changed.dedup();
    changed
}

fn limits(configuration: &Configuration, account: &AccountId) -> Option<Limits> {
    let account = configuration.accounts.get(account)?;
    Some(Limits {
        rate: account.rate,
        burst: account.burst,
    })
}

fn active_data_centres(configuration: &Configuration) -> Arc<[DataCentreId]> {
    configuration
        .data_centres
        .values()
        .filter(|data_centre| data_centre.state == DataCentreState::In)
        .map(|data_centre| data_centre.id.clone())
        .collect()
}

impl Shares {
    /// Creates the shares of a data centre under its first configuration. They are zero until the
    /// other data centres confirm this revision, as an older one may be in use there.
    pub fn new(
        now: Timestamp,
        own_data_centre: DataCentreId,
        configuration: Arc<Configuration>,
    ) -> Self {
        let revision = configuration.revision;
        Self {
            own_data_centre,
            data_centres: active_data_centres(&configuration),
            current: configuration,
            complete_since: revision,
            superseded: Vec::new(),
            confirmed: BTreeMap::new(),
            applied: vec![(revision, now)],
        }
    }

    /// The newest configuration applied here.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// The data centres that have a share at the newest revision.
    pub fn data_centres(&self) -> &[DataCentreId] {
        &self.data_centres
    }

    /// Applies a newer configuration. After a gap in the revisions the shares are zero until the
    /// other data centres confirm it, as after creation. Returns whether it was newer.
    pub fn apply(&mut self, now: Timestamp, newer: Arc<Configuration>) -> bool {
        if newer.revision <= self.current.revision {
            return false;
        }
        if newer.revision > self.current.revision.next() {
            self.complete_since = newer.revision;
        }
        let data_centres = active_data_centres(&newer);
        if data_centres != self.data_centres {
            self.superseded.push(SupersededList {
                revision: self.current.revision,
                data_centres: std::mem::replace(&mut self.data_centres, data_centres),
            });
        }
        self.applied.push((newer.revision, now));
        let old = self.applied.len().saturating_sub(MAX_APPLIED);
        self.applied.drain(..old);
        self.current = newer;
        self.prune_superseded();
        true
    }

    /// Records that every instance of another data centre that is or may become a keeper has used
    /// this revision or a newer one for so long that everything granted before has expired. Returns
    /// whether shares may have grown.
    pub fn confirm(&mut self, data_centre: DataCentreId, revision: Revision) -> bool {
        let before = (self.superseded.len(), self.is_withheld());
        let known = self.confirmed.entry(data_centre).or_default();
        *known = revision.max(*known);
        self.prune_superseded();
        before != (self.superseded.len(), self.is_withheld())
    }

    /// The newest revision that has been in use here for at least `time`; zero if there is none.
    pub fn settled(&self, now: Timestamp, time: Duration) -> Revision {
        let settled = self
            .applied
            .iter()
            .rfind(|(_, since)| now.since(*since) >= time);
        settled.map_or(Revision::ZERO, |(revision, _)| *revision)
    }

    /// The limits of an account over all data centres at the newest revision; zero for an unknown
    /// account.
    pub fn account_limits(&self, account: &AccountId) -> Limits {
        limits(&self.current, account).unwrap_or_default()
    }

    /// The share of an account that this data centre may use now.
    pub fn share_of(&self, account: &AccountId) -> Limits {
        if self.is_withheld() {
            return Limits::default();
        }
        let whole = self.account_limits(account);
        self.superseded
            .iter()
            .map(|superseded| &superseded.data_centres)
            .fold(self.part(whole, &self.data_centres), |share, list| {
                share.min(self.part(whole, list))
            })
    }

    fn part(&self, whole: Limits, data_centres: &[DataCentreId]) -> Limits {
        data_centres
            .iter()
            .position(|id| *id == self.own_data_centre)
            .map_or_else(Limits::default, |index| {
                whole.part(index, data_centres.len())
            })
    }

    /// Whether other data centres may use lists that this instance has never seen, so that the
    /// shares are zero.
    fn is_withheld(&self) -> bool {
        self.oldest_remote_revision() < self.complete_since
    }

    /// The oldest revision that another data centre may still use.
    fn oldest_remote_revision(&self) -> Revision {
        self.superseded
            .iter()
            .flat_map(|superseded| superseded.data_centres.iter())
            .chain(self.data_centres.iter())
            .filter(|id| **id != self.own_data_centre)
            .map(|id| self.confirmed.get(id).copied().unwrap_or_default())
            .min()
            .unwrap_or(self.current.revision)
    }

    fn prune_superseded(&mut self) {
        let oldest = self.oldest_remote_revision();
        self.superseded
            .retain(|superseded| superseded.revision >= oldest);
    }
}
