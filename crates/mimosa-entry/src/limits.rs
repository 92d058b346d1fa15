//! Drives the rates of the accounts: this entry's slices, and the partitions that it keeps.

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

use crate::peers::beat::ROLE_STEP;
use crate::peers::message::PeerMessage;
use crate::shared::Shared;

/// Time between two rounds that tell the other data centres which revision is settled.
const SETTLED_PERIOD: Duration = Duration::from_millis(500);

/// This entry's slices and the partitions that it keeps or may come to keep.
pub(crate) struct Limits {
    data_centre: DataCentreId,
    inner: Mutex<Inner>,
    granted: Notify,
}

struct Inner {
    settings: Settings,
    gate: LeasedRateLimiter,
    keepers: Vec<Keeper>,
    configuration: Arc<Configuration>,
    told: Timestamp,
}

/// Messages by receiver.
#[derive(Default)]
struct Mail {
    reports: BTreeMap<InstanceId, Vec<Report>>,
    answers: BTreeMap<InstanceId, Vec<(Holder, Answer)>>,
}

impl Limits {
    pub(crate) fn new(data_centre: DataCentreId, me: InstanceId, life: Incarnation) -> Self {
        let settings = Settings::default();
        Self {
            granted: Notify::new(),
            data_centre,
            inner: Mutex::new(Inner {
                settings,
                gate: LeasedRateLimiter::new(settings, me, life),
                keepers: Vec::new(),
                configuration: Arc::default(),
                told: Timestamp::ZERO,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Reserves a cost; a request that has to wait is reported to its keeper at once.
    pub(crate) fn reserve(
        &self,
        shared: &Shared,
        request: RequestId,
        account: &AccountId,
        cost: Tokens,
    ) -> Admission {
        let admission = self.ask_gate(shared, request, account, cost);
        if !matches!(admission, Admission::Wait(_)) {
            return admission;
        }
        self.send_reports(shared);
        // A keeper at this entry has answered by now.
        self.ask_gate(shared, request, account, cost)
    }

    fn ask_gate(
        &self,
        shared: &Shared,
        request: RequestId,
        account: &AccountId,
        cost: Tokens,
    ) -> Admission {
        let now = shared.now();
        self.lock().gate.reserve(now, request, account, cost)
    }

    /// Waits until a keeper gave something, but no longer than a time.
    pub(crate) async fn wait_for_grant(&self, longest: Duration) {
        // Running out of time is no failure: the request asks again.
        let _ = tokio::time::timeout(longest, self.granted.notified()).await;
    }

    /// Settles a request once with what it used.
    pub(crate) fn settle(&self, now: Timestamp, request: RequestId, used: Tokens) {
        self.lock().gate.settle(now, request, used);
    }

    /// Whether the partitions kept here can be given from.
    pub(crate) fn is_ready(&self, shared: &Shared) -> bool {
        let now = shared.now();
        let members = shared.members();
        let kept: Vec<_> = (0..PARTITION_COUNT)
            .map(|number| members.holder(&Role::RateKeeper(Shard(number))).cloned())
            .map(|holder| holder.as_ref() == Some(shared.network.me()))
            .collect();
        drop(members);
        let inner = self.lock();
        let mut keepers = inner.keepers.iter().zip(kept);
        keepers.all(|(keeper, kept)| !kept || keeper.is_ready(now))
    }

    /// Follows a configuration.
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

    /// Looks at the roles, gives what is due and reports what is needed.
    pub(crate) fn tick(&self, shared: &Shared) {
        let now = shared.now();
        self.follow_roles(shared, now);
        let mut mail = Mail::default();
        let mut inner = self.lock();
        for keeper in &mut inner.keepers {
            let actions = keeper.handle(now, Event::Tick);
            mail.add(shared, actions);
        }
        let settled = inner.settled(now);
        drop(inner);
        mail.send(shared);
        self.tell_settled(shared, settled);
        self.send_reports(shared);
    }

    fn follow_roles(&self, shared: &Shared, now: Timestamp) {
        let members = shared.members();
        let roles: Vec<_> = (0..PARTITION_COUNT)
            .map(|number| members.may_act(now, &Role::RateKeeper(Shard(number))))
            .collect();
        drop(members);
        let mut inner = self.lock();
        for (role, keeper) in roles.into_iter().zip(&mut inner.keepers) {
            if let Ok(epoch) = role {
                let until = now + ROLE_STEP;
                keeper.handle(now, Event::Role { epoch, until });
            }
        }
    }

    fn send_reports(&self, shared: &Shared) {
        let reports = self.lock().gate.reports(shared.now());
        self.take_reports(shared, false, reports);
    }

    /// Hands reports to the keepers of their partitions, here or elsewhere in the data centre.
    pub(crate) fn take_reports(&self, shared: &Shared, forwarded: bool, reports: Vec<Report>) {
        let now = shared.now();
        let mut mail = Mail::default();
        let partitions: Vec<_> = reports.iter().map(|report| report.partition).collect();
        let keepers = keepers_elsewhere(shared, &partitions);
        let mut inner = self.lock();
        for (elsewhere, report) in keepers.into_iter().zip(reports) {
            match (elsewhere, forwarded) {
                (Some(holder), false) => mail.reports.entry(holder).or_default().push(report),
                (Some(_), true) => {}
                (None, _) => {
                    let keeper = inner.keepers.get_mut(usize::from(report.partition.0));
                    let actions = keeper.map(|keeper| keeper.handle(now, Event::Report(report)));
                    mail.add(shared, actions.unwrap_or_default());
                }
            }
        }
        drop(inner);
        mail.send(shared);
    }

    /// Hands answers to this entry's slices, or to the keeper that asked for a loan.
    pub(crate) fn take_answers(
        &self,
        shared: &Shared,
        forwarded: bool,
        answers: Vec<(Holder, Answer)>,
    ) {
        let now = shared.now();
        let mut mail = Mail::default();
        let partitions: Vec<_> = answers.iter().map(|(_, answer)| answer.partition).collect();
        let keepers = keepers_elsewhere(shared, &partitions);
        let mut inner = self.lock();
        for (elsewhere, (holder, answer)) in keepers.into_iter().zip(answers) {
            if let Holder::Entry(entry) = &holder {
                if entry == shared.network.me() && inner.gate.accept(now, &answer) {
                    self.granted.notify_waiters();
                }
                continue;
            }
            match elsewhere {
                Some(keeper) if !forwarded => {
                    mail.answers
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
        mail.send(shared);
    }

    /// Another data centre settled on a revision. Every entry here may become a keeper, so the
    /// first one to hear it tells the others.
    pub(crate) fn take_settled(
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

    /// Tells one entry of each other data centre what this entry's partitions settled on.
    fn tell_settled(&self, shared: &Shared, revisions: Option<Vec<(Partition, Revision)>>) {
        let Some(revisions) = revisions.filter(|revisions| !revisions.is_empty()) else {
            return;
        };
        let table = shared.table.load();
        let others = table.configuration.data_centres.keys();
        for other in others.filter(|other| **other != self.data_centre) {
            if let Some(door) = shared.network.door_of(other) {
                let message = PeerMessage::LimitSettled {
                    forwarded: false,
                    data_centre: self.data_centre.clone(),
                    revisions: revisions.clone(),
                };
                shared.network.send(&door, message);
            }
        }
    }
}

impl Inner {
    /// What the partitions kept here settled on, once in a period.
    fn settled(&mut self, now: Timestamp) -> Option<Vec<(Partition, Revision)>> {
        if now.since(self.told) < SETTLED_PERIOD {
            return None;
        }
        self.told = now;
        let keepers = (0..PARTITION_COUNT).zip(&self.keepers);
        let kept = keepers.filter(|(_, keeper)| keeper.is_ready(now));
        Some(
            kept.map(|(number, keeper)| (Partition(number), keeper.settled(now)))
                .collect(),
        )
    }
}

impl Mail {
    fn add(&mut self, shared: &Shared, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer(holder, answer) => self.add_answer(shared, holder, answer),
                Action::Report(data_centre, report) => {
                    if let Some(door) = shared.network.door_of(&data_centre) {
                        self.reports.entry(door).or_default().push(report);
                    }
                }
            }
        }
    }

    fn add_answer(&mut self, shared: &Shared, holder: Holder, answer: Answer) {
        let to = match &holder {
            Holder::Entry(entry) => Some(entry.clone()),
            Holder::DataCentre(data_centre) => shared.network.door_of(data_centre),
        };
        if let Some(to) = to {
            self.answers.entry(to).or_default().push((holder, answer));
        }
    }

    /// Sends everything; what is for this entry itself is taken in at once.
    fn send(mut self, shared: &Shared) {
        let own = self.answers.remove(shared.network.me());
        if let Some(answers) = own {
            shared.limits.take_answers(shared, true, answers);
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

/// The other entries that keep some partitions in this data centre, as far as this one knows.
fn keepers_elsewhere(shared: &Shared, partitions: &[Partition]) -> Vec<Option<InstanceId>> {
    let members = shared.members();
    let keeper = |partition: &Partition| {
        let role = Role::RateKeeper(Shard(partition.0));
        let holder = members.holder(&role).cloned();
        holder.filter(|holder| holder != shared.network.me())
    };
    partitions.iter().map(keeper).collect()
}
