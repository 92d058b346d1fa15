//! Drives rate limiting across entries.
//!
//! Accounts are divided into partitions. In each data centre one entry holds the role of keeper for
//! a partition and grants slices of the accounts' rates to the limiters of the entries there.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use mimosa_limit::keeper::Action;
use mimosa_limit::keeper::Event;
use mimosa_limit::keeper::Keeper;
use mimosa_limit::leased::LeasedRateLimiter;
use mimosa_limit::limiter::Admission;
use mimosa_limit::limiter::RateLimiter;
use mimosa_limit::message::Answer;
use mimosa_limit::message::Holder;
use mimosa_limit::message::PARTITION_COUNT;
use mimosa_limit::message::Partition;
use mimosa_limit::message::Report;
use mimosa_limit::settings::Settings;
use mimosa_limit::share::changed_accounts;
use mimosa_membership::Role;
use mimosa_membership::Shard;
use mimosa_protocol::AccountId;
use mimosa_protocol::Configuration;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;
use tokio::sync::Notify;

use crate::peers::beat::ROLE_VALIDITY;
use crate::peers::message::PeerMessage;
use crate::shared::Shared;

/// Interval at which the settled revisions are announced to other data centres. A revision is
/// settled at a keeper once everything that it granted under older revisions has expired.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// The limiter of this entry, and a keeper for each partition. Only the keepers whose role this
/// entry holds grant slices.
pub(crate) struct RateLimits {
    data_centre: DataCentreId,
    inner: Mutex<Inner>,
    /// Notified when a keeper has granted something to this entry.
    granted: Notify,
}

struct Inner {
    settings: Settings,
    limiter: LeasedRateLimiter,
    /// One for each partition, in order; empty until the first configuration.
    keepers: Vec<Keeper>,
    configuration: Arc<Configuration>,
    announced_at: Timestamp,
}

/// Messages to send, by receiver.
#[derive(Default)]
struct OutgoingMessages {
    reports: BTreeMap<InstanceId, Vec<Report>>,
    answers: BTreeMap<InstanceId, Vec<(Holder, Answer)>>,
}

impl RateLimits {
    pub(crate) fn new(
        data_centre: DataCentreId,
        own_id: InstanceId,
        incarnation: Incarnation,
    ) -> Self {
        let settings = Settings::default();
        Self {
            granted: Notify::new(),
            data_centre,
            inner: Mutex::new(Inner {
                settings,
                limiter: LeasedRateLimiter::new(settings, own_id, incarnation),
                keepers: Vec::new(),
                configuration: Arc::default(),
                announced_at: Timestamp::ZERO,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Reserves a cost. If the request has to wait, the keeper is asked for more at once.
    pub(crate) fn reserve(
        &self,
        shared: &Shared,
        request: RequestId,
        account: &AccountId,
        cost: Tokens,
    ) -> Admission {
        let admission = self.try_reserve(shared, request, account, cost);
        if !matches!(admission, Admission::Wait(_)) {
            return admission;
        }
        self.send_reports(shared);
        // If the keeper is at this entry, its answer has been applied already.
        self.try_reserve(shared, request, account, cost)
    }

    fn try_reserve(
        &self,
        shared: &Shared,
        request: RequestId,
        account: &AccountId,
        cost: Tokens,
    ) -> Admission {
        let now = shared.now();
        self.lock().limiter.reserve(now, request, account, cost)
    }

    /// Waits until a keeper has granted something, or for the timeout.
    pub(crate) async fn wait_for_grant(&self, timeout: Duration) {
        // A timeout is not an error: the caller tries to reserve again.
        let _ = tokio::time::timeout(timeout, self.granted.notified()).await;
    }

    /// Settles a request's reservation with the tokens that it used.
    pub(crate) fn settle(&self, now: Timestamp, request: RequestId, used: Tokens) {
        self.lock().limiter.settle(now, request, used);
    }

    /// Whether every keeper whose role this entry holds can grant slices.
    pub(crate) fn is_ready(&self, shared: &Shared) -> bool {
        let now = shared.now();
        let members = shared.members();
        let kept_here: Vec<_> = (0..PARTITION_COUNT)
            .map(|number| members.holder(&Role::RateKeeper(Shard(number))).cloned())
            .map(|holder| holder.as_ref() == Some(shared.network.own_id()))
            .collect();
        drop(members);
        let inner = self.lock();
        let mut keepers = inner.keepers.iter().zip(kept_here);
        keepers.all(|(keeper, kept_here)| !kept_here || keeper.is_ready(now))
    }

    /// Applies a configuration: the first one creates the keepers, later ones tell them which
    /// accounts changed.
    pub(crate) fn configure(&self, now: Timestamp, configuration: &Arc<Configuration>) {
        let mut inner = self.lock();
        let old = std::mem::replace(&mut inner.configuration, Arc::clone(configuration));
        if inner.keepers.is_empty() {
            let settings = inner.settings;
            let keeper = |number| {
                let own = self.data_centre.clone();
                Keeper::new(
                    now,
                    settings,
                    Partition(number),
                    own,
                    Arc::clone(configuration),
                )
            };
            inner.keepers = (0..PARTITION_COUNT).map(keeper).collect();
            return;
        }
        let changed: Arc<[AccountId]> = changed_accounts(&old, configuration).into();
        for keeper in &mut inner.keepers {
            keeper.handle(
                now,
                Event::Configured {
                    configuration: Arc::clone(configuration),
                    changed: Arc::clone(&changed),
                },
            );
        }
    }

    /// Renews the keeper roles that this entry holds, runs the keepers and reports this entry's
    /// demand.
    pub(crate) fn tick(&self, shared: &Shared) {
        let now = shared.now();
        self.renew_roles(shared, now);
        let mut outgoing = OutgoingMessages::default();
        let mut inner = self.lock();
        for keeper in &mut inner.keepers {
            let actions = keeper.handle(now, Event::Tick);
            outgoing.add(shared, actions);
        }
        let settled = inner.settled(now);
        drop(inner);
        outgoing.send(shared);
        self.announce_settled(shared, settled);
        self.send_reports(shared);
    }

    fn renew_roles(&self, shared: &Shared, now: Timestamp) {
        let members = shared.members();
        let roles: Vec<_> = (0..PARTITION_COUNT)
            .map(|number| members.may_act(now, &Role::RateKeeper(Shard(number))))
            .collect();
        drop(members);
        let mut inner = self.lock();
        for (role, keeper) in roles.into_iter().zip(&mut inner.keepers) {
            if let Ok(epoch) = role {
                let until = now + ROLE_VALIDITY;
                keeper.handle(now, Event::Role { epoch, until });
            }
        }
    }

    fn send_reports(&self, shared: &Shared) {
        let reports = self.lock().limiter.reports(shared.now());
        self.handle_reports(shared, false, reports);
    }

    /// Delivers reports to the keepers of their partitions, here or at another entry of the data
    /// centre. A report that was forwarded once is dropped rather than forwarded again.
    pub(crate) fn handle_reports(&self, shared: &Shared, forwarded: bool, reports: Vec<Report>) {
        let now = shared.now();
        let mut outgoing = OutgoingMessages::default();
        let partitions: Vec<_> = reports.iter().map(|report| report.partition).collect();
        let keepers = remote_keepers(shared, &partitions);
        let mut inner = self.lock();
        for (remote_keeper, report) in keepers.into_iter().zip(reports) {
            match (remote_keeper, forwarded) {
                (Some(holder), false) => outgoing.reports.entry(holder).or_default().push(report),
                (Some(_), true) => {}
                (None, _) => {
                    let keeper = inner.keepers.get_mut(usize::from(report.partition.0));
                    let actions = keeper.map(|keeper| keeper.handle(now, Event::Report(report)));
                    outgoing.add(shared, actions.unwrap_or_default());
                }
            }
        }
        drop(inner);
        outgoing.send(shared);
    }

    /// Delivers answers to this entry's limiter, or to the keeper that requested a loan. An answer
    /// that was forwarded once is dropped rather than forwarded again.
    pub(crate) fn handle_answers(
        &self,
        shared: &Shared,
        forwarded: bool,
        answers: Vec<(Holder, Answer)>,
    ) {
        let now = shared.now();
        let mut outgoing = OutgoingMessages::default();
        let partitions: Vec<_> = answers.iter().map(|(_, answer)| answer.partition).collect();
        let keepers = remote_keepers(shared, &partitions);
        let mut inner = self.lock();
        for (remote_keeper, (holder, answer)) in keepers.into_iter().zip(answers) {
            if let Holder::Entry(entry) = &holder {
                if entry == shared.network.own_id() && inner.limiter.accept(now, &answer) {
                    self.granted.notify_waiters();
                }
                continue;
            }
            match remote_keeper {
                Some(keeper) if !forwarded => {
                    outgoing
                        .answers
                        .entry(keeper)
                        .or_default()
                        .push((holder, answer));
                }
                Some(_) => {}
                None => {
                    let number = usize::from(answer.partition.0);
                    if let Some(keeper) = inner.keepers.get_mut(number) {
                        keeper.handle(now, Event::Answer(answer));
                    }
                }
            }
        }
        drop(inner);
        outgoing.send(shared);
    }

    /// Records the revisions that another data centre has settled on. Every entry of this data
    /// centre may become a keeper, so the first receiver forwards them to all others.
    pub(crate) fn handle_settled(
        &self,
        shared: &Shared,
        forwarded: bool,
        data_centre: &DataCentreId,
        revisions: &[(Partition, Revision)],
    ) {
        let now = shared.now();
        let mut inner = self.lock();
        for (partition, revision) in revisions {
            if let Some(keeper) = inner.keepers.get_mut(usize::from(partition.0)) {
                keeper.handle(
                    now,
                    Event::Confirmed {
                        data_centre: data_centre.clone(),
                        revision: *revision,
                    },
                );
            }
        }
        drop(inner);
        if forwarded {
            return;
        }
        for (peer, _) in shared.network.peers_in(&self.data_centre) {
            let message = PeerMessage::LimitSettled {
                forwarded: true,
                data_centre: data_centre.clone(),
                revisions: revisions.to_vec(),
            };
            shared.network.send(&peer, message);
        }
    }

    /// Announces the settled revisions of this entry's partitions to one entry of each other data
    /// centre.
    fn announce_settled(&self, shared: &Shared, revisions: Option<Vec<(Partition, Revision)>>) {
        let Some(revisions) = revisions.filter(|revisions| !revisions.is_empty()) else {
            return;
        };
        let current = shared.configuration.load();
        let others = current.configuration.data_centres.keys();
        for other in others.filter(|other| **other != self.data_centre) {
            if let Some(relay) = shared.network.relay_in(other) {
                let message = PeerMessage::LimitSettled {
                    forwarded: false,
                    data_centre: self.data_centre.clone(),
                    revisions: revisions.clone(),
                };
                shared.network.send(&relay, message);
            }
        }
    }
}

impl Inner {
    /// The settled revisions of the ready keepers; `None` until the next announcement is due.
    fn settled(&mut self, now: Timestamp) -> Option<Vec<(Partition, Revision)>> {
        if now.since(self.announced_at) < ANNOUNCE_INTERVAL {
            return None;
        }
        self.announced_at = now;
        let keepers = (0..PARTITION_COUNT).zip(&self.keepers);
        let kept_here = keepers.filter(|(_, keeper)| keeper.is_ready(now));
        Some(
            kept_here
                .map(|(number, keeper)| (Partition(number), keeper.settled(now)))
                .collect(),
        )
    }
}

impl OutgoingMessages {
    fn add(&mut self, shared: &Shared, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer(holder, answer) => self.add_answer(shared, holder, answer),
                Action::Report(data_centre, report) => {
                    if let Some(relay) = shared.network.relay_in(&data_centre) {
                        self.reports.entry(relay).or_default().push(report);
                    }
                }
            }
        }
    }

    fn add_answer(&mut self, shared: &Shared, holder: Holder, answer: Answer) {
        let to = match &holder {
            Holder::Entry(entry) => Some(entry.clone()),
            Holder::DataCentre(data_centre) => shared.network.relay_in(data_centre),
        };
        if let Some(to) = to {
            self.answers.entry(to).or_default().push((holder, answer));
        }
    }

    /// Sends all messages. Answers for this entry itself are applied directly.
    fn send(mut self, shared: &Shared) {
        let own = self.answers.remove(shared.network.own_id());
        if let Some(answers) = own {
            shared.rate_limits.handle_answers(shared, true, answers);
        }
        for (to, reports) in self.reports {
            let forwarded = false;
            shared
                .network
                .send(&to, PeerMessage::LimitReports { forwarded, reports });
        }
        for (to, answers) in self.answers {
            let forwarded = false;
            shared
                .network
                .send(&to, PeerMessage::LimitAnswers { forwarded, answers });
        }
    }
}

/// For each partition the other entry of this data centre that is its keeper; `None` if that is
/// this entry or not known.
fn remote_keepers(shared: &Shared, partitions: &[Partition]) -> Vec<Option<InstanceId>> {
    let members = shared.members();
    let keeper = |partition: &Partition| {
        let role = Role::RateKeeper(Shard(partition.0));
        let holder = members.holder(&role).cloned();
        holder.filter(|holder| holder != shared.network.own_id())
    };
    partitions.iter().map(keeper).collect()
}
