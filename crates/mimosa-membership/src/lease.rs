//! Leases of role holders: one lease covers all roles that an entry holds in a view.
//!
//! A lease starts when the entry sends a heartbeat that a quorum of its view acknowledges. A member
//! stops acknowledging once it has accepted the next view, and any two quorums share a member, so
//! all leases of a view end within one lease duration after the next view is chosen. An entry that
//! takes over a role waits for a lease and a guard time after it installed the view. An entry that
//! held the role in the previous view too continues without a pause.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::Epoch;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

use crate::role::Role;
use crate::settings::Settings;
use crate::view::Identity;
use crate::view::View;

/// Installed views kept, so that an entry that holds a role through many views keeps its epoch.
const MAX_VIEWS: usize = 32;
/// Sent heartbeats kept to match acknowledgements.
const MAX_SENT_HEARTBEATS: usize = 64;

/// Why an entry may not act in a role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotActing {
    /// No view is installed here.
    NoView,
    /// Another entry holds the role, or none does.
    NotHolder {
        /// The holder in the view installed here.
        holder: Option<InstanceId>,
    },
    /// No quorum acknowledged a heartbeat within the lease.
    NoLease,
    /// The lease of the previous holder may still be valid.
    Waiting {
        /// When the previous lease and the guard time have passed.
        until: Timestamp,
    },
    /// This entry is draining.
    Draining,
    /// The platform dropped this entry from its list.
    Unlisted,
    /// Another process runs under the name of this instance.
    Duplicated,
}

#[derive(Clone, Debug)]
struct InstalledView {
    view: View,
    installed_at: Timestamp,
    acknowledged: BTreeMap<InstanceId, Timestamp>,
}

/// The installed views, newest last, with the acknowledgements that each got.
#[derive(Clone, Debug)]
pub struct Leases {
    identity: Identity,
    lease: Duration,
    guard: Duration,
    views: VecDeque<InstalledView>,
    sent: VecDeque<(u64, Timestamp)>,
}

impl Leases {
    /// Creates the leases of an entry without a view, which holds no role.
    pub fn new(identity: Identity, settings: &Settings) -> Self {
        Self {
            identity,
            lease: settings.lease,
            guard: settings.guard_time(),
            views: VecDeque::new(),
            sent: VecDeque::new(),
        }
    }

    /// The newest installed view; `None` before the first one.
    pub fn view(&self) -> Option<&View> {
        self.views.back().map(|installed| &installed.view)
    }

    /// Installs a view if its epoch is higher. Returns whether it was installed.
    pub fn install(&mut self, now: Timestamp, view: View) -> bool {
        if self.view().is_some_and(|old| old.epoch >= view.epoch) {
            return false;
        }
        self.views.push_back(InstalledView {
            view,
            installed_at: now,
            acknowledged: BTreeMap::new(),
        });
        if self.views.len() > MAX_VIEWS {
            self.views.pop_front();
        }
        true
    }

    /// Records that a heartbeat is sent now. `acknowledges` tells whether this entry counts its own
    /// acknowledgement, which it must not after it accepted the next view.
    pub fn heartbeat_sent(&mut self, now: Timestamp, sequence: u64, acknowledges: bool) {
        self.sent.push_back((sequence, now));
        if self.sent.len() > MAX_SENT_HEARTBEATS {
            self.sent.pop_front();
        }
        let installed = self.views.back_mut().filter(|_| acknowledges);
        if let Some(installed) = installed {
            installed
                .acknowledged
                .insert(self.identity.instance.clone(), now);
        }
    }

    /// Records that a peer in view `epoch` acknowledged a heartbeat.
    pub fn heartbeat_acknowledged(&mut self, peer: &Identity, epoch: Epoch, sequence: u64) {
        let sent = self.sent.iter().find(|(known, _)| *known == sequence);
        let installed = self.views.back_mut();
        let (Some((_, at)), Some(installed)) = (sent, installed) else {
            return;
        };
        if installed.view.epoch != epoch || !installed.view.contains(peer) {
            return;
        }
        let known = installed.acknowledged.entry(peer.instance.clone());
        let known = known.or_insert(*at);
        *known = (*known).max(*at);
    }

    /// Discards all acknowledgements after this process was paused or its clock was set back. It
    /// then waits like a successor before it acts again, and learns of a newer view in that time.
    pub fn invalidate(&mut self, now: Timestamp) {
        self.sent.clear();
        for installed in &mut self.views {
            installed.acknowledged.clear();
            installed.installed_at = now;
        }
    }

    /// The epoch to act under, if this entry holds the role and a valid lease.
    ///
    /// # Errors
    ///
    /// [`NotActing`] with the reason if this entry must not act in the role.
    pub fn may_act(&self, now: Timestamp, role: &Role) -> Result<Epoch, NotActing> {
        let newest = self.views.back().ok_or(NotActing::NoView)?;
        let holder = newest.view.holder(role);
        if holder != Some(&self.identity.instance) || !newest.view.contains(&self.identity) {
            return Err(NotActing::NotHolder {
                holder: holder.cloned(),
            });
        }
        let held = self.views_held(role);
        let first = held.last().expect("the newest view is held");
        let until = first.installed_at + self.lease + self.guard;
        if now < until {
            return Err(NotActing::Waiting { until });
        }
        held.iter()
            .any(|installed| self.is_leased(now, installed))
            .then_some(first.view.epoch)
            .ok_or(NotActing::NoLease)
    }

    /// Whether a quorum of the newest view acknowledged this member within the lease. Cannot hold
    /// once this member has been out of the view for the lease and the guard time.
    pub fn is_member(&self, now: Timestamp) -> bool {
        let newest = self.views.back();
        newest.is_some_and(|installed| {
            installed.view.contains(&self.identity) && self.is_leased(now, installed)
        })
    }

    /// The consecutive views, newest first, in which this entry held the role.
    fn views_held(&self, role: &Role) -> Vec<&InstalledView> {
        let mut held: Vec<&InstalledView> = Vec::new();
        for installed in self.views.iter().rev() {
            let follows = held
                .last()
                .is_none_or(|later| later.view.epoch == installed.view.epoch.next());
            let holds = installed.view.contains(&self.identity)
                && installed.view.holder(role) == Some(&self.identity.instance);
            if !follows || !holds {
                break;
            }
            held.push(installed);
        }
        held
    }

    fn is_leased(&self, now: Timestamp, installed: &InstalledView) -> bool {
        let valid = installed
            .acknowledged
            .iter()
            .filter(|(_, at)| **at <= now && now < **at + self.lease)
            .map(|(instance, _)| instance);
        installed.view.is_quorum(valid)
    }
}
