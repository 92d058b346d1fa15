//! A small driver of gates and keepers: one partition, a seeded network, a manual clock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mimosa_limit::gate::SliceGate;
use mimosa_limit::keeper::Action;
use mimosa_limit::keeper::Event;
use mimosa_limit::keeper::Keeper;
use mimosa_limit::message::Holder;
use mimosa_limit::message::Partition;
use mimosa_limit::settings::Settings;
use mimosa_limit::share::changed_accounts;
use mimosa_limit::slice::Admission;
use mimosa_limit::slice::Gate;
use mimosa_protocol::AccountId;
use mimosa_protocol::Configuration;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_protocol::configuration::DataCentre;
use mimosa_protocol::configuration::DataCentreState;

use self::wire::Message;

#[path = "wire.rs"]
mod wire;

/// How the network and the processes misbehave.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages lost, in a thousand.
    pub lost: u64,
    /// Messages delivered twice, in a thousand.
    pub doubled: u64,
    /// Longest delay of a message.
    pub delay: Duration,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub at: Timestamp,
    pub entry: usize,
    pub cost: u64,
    pub used: u64,
    pub lasts: Duration,
}

#[derive(Clone, Debug)]
enum Due {
    Arrive(usize),
    Settle(usize, Incarnation),
    Entry(usize),
    Keepers,
    Message(Message),
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Open,
    Started(Timestamp),
    Refused(Timestamp),
}

struct Entry {
    gate: SliceGate,
    data_centre: usize,
    incarnation: Incarnation,
}

struct Place {
    id: DataCentreId,
    keepers: Vec<Keeper>,
    epoch: Epoch,
    role_until: Timestamp,
    cut_off: bool,
}

pub struct Fleet {
    pub now: Timestamp,
    pub account: AccountId,
    pub requests: Vec<Request>,
    pub ends: Vec<End>,
    pub messages: u64,
    pub bytes: u64,
    settings: Settings,
    faults: Faults,
    configuration: Arc<Configuration>,
    places: Vec<Place>,
    entries: Vec<Entry>,
    queue: BTreeMap<(Timestamp, u64), Due>,
    order: u64,
    random: u64,
    shown: Option<String>,
}

const ROLE_LEASE: Duration = Duration::from_secs(1);

pub fn configuration(
    data_centres: usize,
    account: &AccountId,
    rate: u64,
    burst: u64,
) -> Configuration {
    let data_centres = (0..data_centres).map(|i| {
        let id: DataCentreId = format!("dc-{i}").parse().expect("a name");
        let data_centre = DataCentre {
            id: id.clone(),
            state: DataCentreState::In,
            link_rate: mimosa_protocol::ByteRate(1),
        };
        (id, data_centre)
    });
    let entry = ClientAccount {
        id: account.clone(),
        rate: TokenRate(rate),
        burst: Tokens(burst),
        weight: 1,
        services: Vec::new(),
        serve_when_cut_off: false,
    };
    Configuration {
        revision: mimosa_protocol::Revision(1),
        data_centres: data_centres.collect(),
        accounts: [(account.clone(), entry)].into(),
        ..Configuration::default()
    }
}

impl Fleet {
    pub fn new(seed: u64, configuration: Configuration, entries: usize, faults: Faults) -> Self {
        let account = configuration
            .accounts
            .keys()
            .next()
            .expect("an account")
            .clone();
        let mut fleet = Self {
            now: Timestamp::ZERO,
            account,
            requests: Vec::new(),
            ends: Vec::new(),
            messages: 0,
            bytes: 0,
            settings: Settings::default(),
            faults,
            places: Vec::new(),
            entries: Vec::new(),
            queue: BTreeMap::new(),
            order: 0,
            random: seed,
            shown: None,
            configuration: Arc::new(configuration),
        };
        let ids: Vec<DataCentreId> = fleet.configuration.data_centres.keys().cloned().collect();
        for (index, id) in ids.iter().enumerate() {
            fleet.places.push(Place {
                id: id.clone(),
                keepers: Vec::new(),
                epoch: Epoch::ZERO,
                role_until: Timestamp::ZERO,
                cut_off: false,
            });
            fleet.replace_keeper(index);
        }
        for index in 0..entries {
            let data_centre = index % ids.len();
            let incarnation = Incarnation(1);
            let gate = fleet.gate(index, incarnation);
            fleet.entries.push(Entry {
                gate,
                data_centre,
                incarnation,
            });
            fleet.push(Timestamp::ZERO, Due::Entry(index));
        }
        fleet.push(Timestamp::ZERO, Due::Keepers);
        fleet
    }

    /// Keeps a transcript of all messages and ends.
    pub fn show(&mut self) {
        self.shown = Some(String::new());
    }

    pub fn transcript(&mut self) -> String {
        self.shown.take().unwrap_or_default()
    }

    pub fn add(&mut self, request: Request) {
        let index = self.requests.len();
        self.push(request.at, Due::Arrive(index));
        self.requests.push(request);
        self.ends.push(End::Open);
    }

    /// The keeper of a data centre is lost; `frozen` ones go on until their role ends. The next
    /// one has the role when the old lease is over.
    pub fn lose_keeper(&mut self, place: usize, frozen: bool) {
        if !frozen {
            self.places[place].keepers.clear();
        }
        self.replace_keeper(place);
    }

    pub fn restart_entry(&mut self, index: usize) {
        let incarnation = self.entries[index].incarnation.next();
        self.entries[index].gate = self.gate(index, incarnation);
        self.entries[index].incarnation = incarnation;
    }

    pub fn cut_off(&mut self, place: usize, cut_off: bool) {
        self.places[place].cut_off = cut_off;
    }

    /// A new configuration reaches all keepers at once, except in data centres that are cut off.
    pub fn configure(&mut self, change: impl Fn(&mut Configuration)) {
        let mut newer = (*self.configuration).clone();
        change(&mut newer);
        newer.revision = newer.revision.next();
        let newer = Arc::new(newer);
        let changed: Arc<[AccountId]> = changed_accounts(&self.configuration, &newer).into();
        self.configuration = newer.clone();
        for place in self.places.iter_mut().filter(|place| !place.cut_off) {
            for keeper in &mut place.keepers {
                let configured = Event::Configured {
                    configuration: newer.clone(),
                    changed: changed.clone(),
                };
                keeper.handle(self.now, configured);
            }
        }
    }

    pub fn run(&mut self, until: Timestamp) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), due) = entry.remove_entry();
            self.now = at;
            self.step(due);
        }
        self.now = until;
    }

    /// The windows in which more was started than rate and burst allow: `(from, to, excess)`.
    pub fn excess(&self, rate: u64, burst: u64) -> Option<(Timestamp, Timestamp, u64)> {
        let mut starts: Vec<(Timestamp, u64)> = self
            .requests
            .iter()
            .zip(&self.ends)
            .filter_map(|(request, end)| match end {
                End::Started(at) => Some((*at, request.used)),
                _ => None,
            })
            .collect();
        starts.sort();
        let mut worst = None;
        for (i, first) in starts.iter().enumerate() {
            let mut sum = 0;
            for last in &starts[i..] {
                sum += last.1;
                let bound = burst + TokenRate(rate).tokens_in(last.0.since(first.0)).0 + 1;
                let excess = sum.saturating_sub(bound);
                if excess > worst.map_or(0, |(_, _, excess)| excess) {
                    worst = Some((first.0, last.0, excess));
                }
            }
        }
        worst
    }

    pub fn started(&self) -> usize {
        let started = |end: &&End| matches!(end, End::Started(_));
        self.ends.iter().filter(started).count()
    }

    pub fn random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn gate(&self, index: usize, incarnation: Incarnation) -> SliceGate {
        let instance: InstanceId = format!("entry-{index}").parse().expect("a name");
        SliceGate::new(self.settings, instance, incarnation)
    }

    fn replace_keeper(&mut self, place: usize) {
        let partition = Partition::of(&self.account);
        let configuration = self.configuration.clone();
        let starts = self.now.max(self.places[place].role_until);
        let id = self.places[place].id.clone();
        let mut keeper = Keeper::new(self.now, self.settings, partition, id, configuration);
        for other in self
            .places
            .iter()
            .map(|place| place.id.clone())
            .chain(self.configuration.data_centres.keys().cloned())
        {
            let confirmed = Event::Confirmed {
                data_centre: other,
                revision: self.configuration.revision,
            };
            keeper.handle(self.now, confirmed);
        }
        let place = &mut self.places[place];
        place.epoch = place.epoch.next();
        place.role_until = starts + ROLE_LEASE;
        let until = place.role_until;
        let epoch = place.epoch;
        // Until the old role's lease ends the new keeper has nothing to say.
        keeper.handle(starts, Event::Role { epoch, until });
        place.keepers.push(keeper);
    }

    fn push(&mut self, at: Timestamp, due: Due) {
        self.order += 1;
        self.queue.insert((at, self.order), due);
    }

    fn send(&mut self, message: Message) {
        self.messages += 1;
        self.bytes += message.size();
        if self.shown.is_some() {
            let text = message.to_string();
            self.note(&text);
        }
        let copies = if self.random() % 1_000 < self.faults.lost {
            0
        } else {
            1 + u64::from(self.random() % 1_000 < self.faults.doubled)
        };
        for _ in 0..copies {
            let span = self.faults.delay.as_micros().max(200) as u64;
            let delay = Duration::from_micros(100 + self.random() % span);
            self.push(self.now + delay, Due::Message(message.clone()));
        }
    }

    fn note(&mut self, text: &str) {
        if let Some(shown) = &mut self.shown {
            shown.push_str(&format!("{} {text}\n", self.now));
        }
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Arrive(index) => self.ask(index),
            Due::Settle(index, incarnation) => self.settle(index, incarnation),
            Due::Entry(index) => {
                let reports = self.entries[index].gate.reports(self.now);
                let place = self.entries[index].data_centre;
                for report in reports {
                    self.send(Message::Report(place, report));
                }
                self.push(self.now + self.settings.urgent_gap, Due::Entry(index));
            }
            Due::Keepers => self.tick(),
            Due::Message(message) => self.deliver(message),
        }
    }

    fn tick(&mut self) {
        for index in 0..self.places.len() {
            let place = &mut self.places[index];
            let epoch = place.epoch;
            let until = (self.now + ROLE_LEASE).max(place.role_until);
            place.role_until = until;
            let mut actions = Vec::new();
            if let Some(keeper) = place.keepers.last_mut() {
                keeper.handle(self.now, Event::Role { epoch, until });
            }
            for keeper in &mut place.keepers {
                actions.extend(keeper.handle(self.now, Event::Tick));
            }
            self.act(index, actions);
        }
        self.confirm();
        self.push(self.now + self.settings.heartbeat, Due::Keepers);
    }

    fn confirm(&mut self) {
        let settled: Vec<_> = self
            .places
            .iter()
            .filter(|place| !place.cut_off)
            .filter_map(|place| {
                let settled = place.keepers.last()?.settled(self.now);
                Some((place.id.clone(), settled))
            })
            .collect();
        for place in self.places.iter_mut().filter(|place| !place.cut_off) {
            for (data_centre, revision) in &settled {
                let confirmed = Event::Confirmed {
                    data_centre: data_centre.clone(),
                    revision: *revision,
                };
                place.keepers.iter_mut().for_each(|keeper| {
                    keeper.handle(self.now, confirmed.clone());
                });
            }
        }
    }

    fn act(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer(holder, answer) => {
                    self.send(Message::Answer(from, holder, answer));
                }
                Action::Report(to, report) => {
                    let to = self.places.iter().position(|place| place.id == to);
                    let to = to.expect("a data centre");
                    if !self.places[from].cut_off && !self.places[to].cut_off {
                        self.send(Message::Report(to, report));
                    }
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(place, report) => {
                let mut actions = Vec::new();
                for keeper in &mut self.places[place].keepers {
                    actions.extend(keeper.handle(self.now, Event::Report(report.clone())));
                }
                self.act(place, actions);
            }
            Message::Answer(_, Holder::Entry(instance), answer) => {
                for (index, entry) in self.entries.iter_mut().enumerate() {
                    if instance.as_str() == format!("entry-{index}") {
                        entry.gate.accept(self.now, &answer);
                    }
                }
            }
            Message::Answer(from, Holder::DataCentre(to), answer) => {
                let cut_off = self.places[from].cut_off;
                for place in &mut self.places {
                    if place.id != to || place.cut_off || cut_off {
                        continue;
                    }
                    for keeper in &mut place.keepers {
                        keeper.handle(self.now, Event::Answer(answer.clone()));
                    }
                }
            }
        }
    }

    fn ask(&mut self, index: usize) {
        let request = self.requests[index].clone();
        let entry = &mut self.entries[request.entry];
        let id = RequestId(index as u128);
        let admission = entry
            .gate
            .reserve(self.now, id, &self.account, Tokens(request.cost));
        let incarnation = entry.incarnation;
        match admission {
            Admission::Admitted => {
                self.ends[index] = End::Started(self.now);
                self.push(self.now + request.lasts, Due::Settle(index, incarnation));
            }
            Admission::Wait(time) => self.push(self.now + time, Due::Arrive(index)),
            Admission::Over(_) => self.ends[index] = End::Refused(self.now),
        }
        if !matches!(admission, Admission::Wait(_)) {
            self.note(&format!("request {index} {admission:?}"));
        }
    }

    fn settle(&mut self, index: usize, incarnation: Incarnation) {
        let request = self.requests[index].clone();
        let entry = &mut self.entries[request.entry];
        if entry.incarnation == incarnation {
            let id = RequestId(index as u128);
            entry.gate.settle(self.now, id, Tokens(request.used));
        }
    }
}
