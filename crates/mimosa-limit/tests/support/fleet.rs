//! Simulates entries and keepers of one partition with a manual clock and a seeded network that
//! loses, duplicates and delays messages.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mimosa_limit::keeper::Action;
use mimosa_limit::keeper::Event;
use mimosa_limit::keeper::Keeper;
use mimosa_limit::leased::LeasedRateLimiter;
use mimosa_limit::limiter::Admission;
use mimosa_limit::limiter::RateLimiter;
use mimosa_limit::message::Holder;
use mimosa_limit::message::Partition;
use mimosa_limit::settings::Settings;
use mimosa_limit::share::changed_accounts;
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

/// Network faults to inject.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages lost per thousand.
    pub lost_permille: u64,
    /// Messages delivered twice per thousand.
    pub duplicated_permille: u64,
    /// Longest delay of a message.
    pub max_delay: Duration,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub at: Timestamp,
    pub entry: usize,
    pub cost: u64,
    pub used: u64,
    pub duration: Duration,
}

#[derive(Clone, Debug)]
enum Task {
    Reserve(usize),
    Settle(usize, Incarnation),
    Reports(usize),
    KeeperTick,
    Message(Message),
}

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    Pending,
    Started(Timestamp),
    Rejected(Timestamp),
}

struct EntryNode {
    limiter: LeasedRateLimiter,
    data_centre: usize,
    incarnation: Incarnation,
}

struct SimulatedDataCentre {
    id: DataCentreId,
    keepers: Vec<Keeper>,
    epoch: Epoch,
    role_until: Timestamp,
    partitioned: bool,
}

pub struct Fleet {
    pub now: Timestamp,
    pub account: AccountId,
    pub requests: Vec<Request>,
    pub states: Vec<RequestState>,
    pub messages: u64,
    pub bytes: u64,
    settings: Settings,
    faults: Faults,
    configuration: Arc<Configuration>,
    data_centres: Vec<SimulatedDataCentre>,
    entries: Vec<EntryNode>,
    queue: BTreeMap<(Timestamp, u64), Task>,
    sequence: u64,
    random: u64,
    transcript: Option<String>,
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
            states: Vec::new(),
            messages: 0,
            bytes: 0,
            settings: Settings::default(),
            faults,
            data_centres: Vec::new(),
            entries: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            random: seed,
            transcript: None,
            configuration: Arc::new(configuration),
        };
        let ids: Vec<DataCentreId> = fleet.configuration.data_centres.keys().cloned().collect();
        for (index, id) in ids.iter().enumerate() {
            fleet.data_centres.push(SimulatedDataCentre {
                id: id.clone(),
                keepers: Vec::new(),
                epoch: Epoch::ZERO,
                role_until: Timestamp::ZERO,
                partitioned: false,
            });
            fleet.start_keeper(index);
        }
        for index in 0..entries {
            let data_centre = index % ids.len();
            let incarnation = Incarnation(1);
            let limiter = fleet.limiter(index, incarnation);
            fleet.entries.push(EntryNode {
                limiter,
                data_centre,
                incarnation,
            });
            fleet.schedule(Timestamp::ZERO, Task::Reports(index));
        }
        fleet.schedule(Timestamp::ZERO, Task::KeeperTick);
        fleet
    }

    /// Starts a transcript of all messages and admission results.
    pub fn record_transcript(&mut self) {
        self.transcript = Some(String::new());
    }

    pub fn take_transcript(&mut self) -> String {
        self.transcript.take().unwrap_or_default()
    }

    pub fn add(&mut self, request: Request) {
        let index = self.requests.len();
        self.schedule(request.at, Task::Reserve(index));
        self.requests.push(request);
        self.states.push(RequestState::Pending);
    }

    /// Replaces the keeper of a data centre. The old one stops, or goes on until its role expires
    /// if it is `frozen`. The new one gets the role when the old lease has expired.
    pub fn fail_keeper(&mut self, data_centre: usize, frozen: bool) {
        if !frozen {
            self.data_centres[data_centre].keepers.clear();
        }
        self.start_keeper(data_centre);
    }

    pub fn restart_entry(&mut self, index: usize) {
        let incarnation = self.entries[index].incarnation.next();
        self.entries[index].limiter = self.limiter(index, incarnation);
        self.entries[index].incarnation = incarnation;
    }

    pub fn set_partitioned(&mut self, data_centre: usize, partitioned: bool) {
        self.data_centres[data_centre].partitioned = partitioned;
    }

    /// Applies a new configuration to all keepers except those of partitioned data centres.
    pub fn configure(&mut self, change: impl Fn(&mut Configuration)) {
        let mut newer = (*self.configuration).clone();
        change(&mut newer);
        newer.revision = newer.revision.next();
        let newer = Arc::new(newer);
        let changed: Arc<[AccountId]> = changed_accounts(&self.configuration, &newer).into();
        self.configuration = newer.clone();
        for data_centre in self
            .data_centres
            .iter_mut()
            .filter(|data_centre| !data_centre.partitioned)
        {
            for keeper in &mut data_centre.keepers {
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
            let ((at, _), task) = entry.remove_entry();
            self.now = at;
            self.step(task);
        }
        self.now = until;
    }

    /// The window with the largest use beyond rate and burst, as `(from, to, excess)`.
    pub fn excess(&self, rate: u64, burst: u64) -> Option<(Timestamp, Timestamp, u64)> {
        let mut starts: Vec<(Timestamp, u64)> = self
            .requests
            .iter()
            .zip(&self.states)
            .filter_map(|(request, end)| match end {
                RequestState::Started(at) => Some((*at, request.used)),
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

    pub fn started_count(&self) -> usize {
        let started = |state: &&RequestState| matches!(state, RequestState::Started(_));
        self.states.iter().filter(started).count()
    }

    pub fn random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn limiter(&self, index: usize, incarnation: Incarnation) -> LeasedRateLimiter {
        let instance: InstanceId = format!("entry-{index}").parse().expect("a name");
        LeasedRateLimiter::new(self.settings, instance, incarnation)
    }

    fn start_keeper(&mut self, data_centre: usize) {
        let partition = Partition::of(&self.account);
        let configuration = self.configuration.clone();
        let starts = self.now.max(self.data_centres[data_centre].role_until);
        let id = self.data_centres[data_centre].id.clone();
        let mut keeper = Keeper::new(self.now, self.settings, partition, id, configuration);
        for other in self
            .data_centres
            .iter()
            .map(|data_centre| data_centre.id.clone())
            .chain(self.configuration.data_centres.keys().cloned())
        {
            let confirmed = Event::Confirmed {
                data_centre: other,
                revision: self.configuration.revision,
            };
            keeper.handle(self.now, confirmed);
        }
        let data_centre = &mut self.data_centres[data_centre];
        data_centre.epoch = data_centre.epoch.next();
        data_centre.role_until = starts + ROLE_LEASE;
        let until = data_centre.role_until;
        let epoch = data_centre.epoch;
        // The new keeper stays silent until the lease of the old role has expired.
        keeper.handle(starts, Event::Role { epoch, until });
        data_centre.keepers.push(keeper);
    }

    fn schedule(&mut self, at: Timestamp, task: Task) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), task);
    }

    fn send(&mut self, message: Message) {
        self.messages += 1;
        self.bytes += message.size();
        if self.transcript.is_some() {
            let text = message.to_string();
            self.record(&text);
        }
        let copies = if self.random() % 1_000 < self.faults.lost_permille {
            0
        } else {
            1 + u64::from(self.random() % 1_000 < self.faults.duplicated_permille)
        };
        for _ in 0..copies {
            let span = self.faults.max_delay.as_micros().max(200) as u64;
            let delay = Duration::from_micros(100 + self.random() % span);
            self.schedule(self.now + delay, Task::Message(message.clone()));
        }
    }

    fn record(&mut self, text: &str) {
        if let Some(transcript) = &mut self.transcript {
            transcript.push_str(&format!("{} {text}\n", self.now));
        }
    }

    fn step(&mut self, task: Task) {
        match task {
            Task::Reserve(index) => self.reserve(index),
            Task::Settle(index, incarnation) => self.settle(index, incarnation),
            Task::Reports(index) => {
                let reports = self.entries[index].limiter.reports(self.now);
                let data_centre = self.entries[index].data_centre;
                for report in reports {
                    self.send(Message::Report(data_centre, report));
                }
                self.schedule(
                    self.now + self.settings.min_report_interval,
                    Task::Reports(index),
                );
            }
            Task::KeeperTick => self.tick(),
            Task::Message(message) => self.deliver(message),
        }
    }

    fn tick(&mut self) {
        for index in 0..self.data_centres.len() {
            let data_centre = &mut self.data_centres[index];
            let epoch = data_centre.epoch;
            let until = (self.now + ROLE_LEASE).max(data_centre.role_until);
            data_centre.role_until = until;
            let mut actions = Vec::new();
            if let Some(keeper) = data_centre.keepers.last_mut() {
                keeper.handle(self.now, Event::Role { epoch, until });
            }
            for keeper in &mut data_centre.keepers {
                actions.extend(keeper.handle(self.now, Event::Tick));
            }
            self.execute(index, actions);
        }
        self.confirm();
        self.schedule(self.now + self.settings.heartbeat, Task::KeeperTick);
    }

    fn confirm(&mut self) {
        let settled: Vec<_> = self
            .data_centres
            .iter()
            .filter(|data_centre| !data_centre.partitioned)
            .filter_map(|data_centre| {
                let settled = data_centre.keepers.last()?.settled(self.now);
                Some((data_centre.id.clone(), settled))
            })
            .collect();
        for data_centre in self
            .data_centres
            .iter_mut()
            .filter(|data_centre| !data_centre.partitioned)
        {
            for (id, revision) in &settled {
                let confirmed = Event::Confirmed {
                    data_centre: id.clone(),
                    revision: *revision,
                };
                data_centre.keepers.iter_mut().for_each(|keeper| {
                    keeper.handle(self.now, confirmed.clone());
                });
            }
        }
    }

    fn execute(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer(holder, answer) => {
                    self.send(Message::Answer(from, holder, answer));
                }
                Action::Report(to, report) => {
                    let to = self
                        .data_centres
                        .iter()
                        .position(|data_centre| data_centre.id == to);
                    let to = to.expect("a data centre");
                    if !self.data_centres[from].partitioned && !self.data_centres[to].partitioned {
                        self.send(Message::Report(to, report));
                    }
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(data_centre, report) => {
                let mut actions = Vec::new();
                for keeper in &mut self.data_centres[data_centre].keepers {
                    actions.extend(keeper.handle(self.now, Event::Report(report.clone())));
                }
                self.execute(data_centre, actions);
            }
            Message::Answer(_, Holder::Entry(instance), answer) => {
                for (index, entry) in self.entries.iter_mut().enumerate() {
                    if instance.as_str() == format!("entry-{index}") {
                        entry.limiter.accept(self.now, &answer);
                    }
                }
            }
            Message::Answer(from, Holder::DataCentre(to), answer) => {
                let partitioned = self.data_centres[from].partitioned;
                for data_centre in &mut self.data_centres {
                    if data_centre.id != to || data_centre.partitioned || partitioned {
                        continue;
                    }
                    for keeper in &mut data_centre.keepers {
                        keeper.handle(self.now, Event::Answer(answer.clone()));
                    }
                }
            }
        }
    }

    fn reserve(&mut self, index: usize) {
        let request = self.requests[index].clone();
        let entry = &mut self.entries[request.entry];
        let id = RequestId(index as u128);
        let admission = entry
            .limiter
            .reserve(self.now, id, &self.account, Tokens(request.cost));
        let incarnation = entry.incarnation;
        match admission {
            Admission::Admitted => {
                self.states[index] = RequestState::Started(self.now);
                self.schedule(
                    self.now + request.duration,
                    Task::Settle(index, incarnation),
                );
            }
            Admission::Wait(time) => self.schedule(self.now + time, Task::Reserve(index)),
            Admission::Rejected(_) => self.states[index] = RequestState::Rejected(self.now),
        }
        if !matches!(admission, Admission::Wait(_)) {
            self.record(&format!("request {index} {admission:?}"));
        }
    }

    fn settle(&mut self, index: usize, incarnation: Incarnation) {
        let request = self.requests[index].clone();
        let entry = &mut self.entries[request.entry];
        if entry.incarnation == incarnation {
            let id = RequestId(index as u128);
            entry.limiter.settle(self.now, id, Tokens(request.used));
        }
    }
}
