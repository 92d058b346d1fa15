//! Rate keeping: entries' gates and the keepers of all partitions. Nothing is lost; a message between
//! data centres takes 5 ms.

use std::any::Any;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use mimosa_limit::keeper::Action;
use mimosa_limit::keeper::Event;
use mimosa_limit::keeper::Keeper;
use mimosa_limit::leased::LeasedRateLimiter;
use mimosa_limit::limiter::Admission;
use mimosa_limit::limiter::RateLimiter;
use mimosa_limit::message::Holder;
use mimosa_limit::message::PARTITION_COUNT;
use mimosa_limit::message::Partition;
use mimosa_limit::settings::Settings;
use mimosa_protocol::Configuration;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::RequestId;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use crate::measure::encoded_bytes;
use crate::meter;
use crate::sample;
use crate::table::Measure;

const WARM_UP: Duration = Duration::from_secs(6);
const MEASURED: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);
const COST: Tokens = Tokens(1_000);
const LASTS: Duration = Duration::from_secs(1);
const USUAL: Load = Load {
    data_centres: 1,
    entries: 16,
    accounts: 23_000,
    requests: 1_000,
};

pub(crate) fn measures() -> Vec<Measure> {
    let of = |size: usize, load: Load| (size, run(load));
    let requests = [250, 500, 1_000].map(|requests| of(requests, Load { requests, ..USUAL }));
    let accounts = [1_000, 5_000, 23_000].map(|accounts| of(accounts, Load { accounts, ..USUAL }));
    let entries = [4, 8, 16].map(|entries| of(entries, Load { entries, ..USUAL }));
    let centres = [2, 3, 4].map(|centres| (centres, loans_after_start(centres)));
    let sizes = [
        ("requests/s of the data centre", &requests),
        ("accounts", &accounts),
        ("entries of the data centre", &entries),
    ];
    let mut measures = Vec::new();
    for (size, costs) in sizes {
        let column = |of: fn(&Cost) -> f64| costs.each_ref().map(|(size, cost)| (*size, of(cost)));
        measures.extend([
            Measure::new(
                "rates, sent by an entry as holder (B/s)",
                size,
                column(|of| of.reports),
            ),
            Measure::new(
                "rates, sent by an entry as keeper (B/s)",
                size,
                column(|of| of.answers),
            ),
            Measure::new(
                "rates, sent by an entry (messages/s)",
                size,
                column(|of| of.messages),
            ),
            Measure::new(
                "rates, gates and keepers (CPU µs/request)",
                size,
                column(|of| of.micros),
            ),
        ]);
    }
    measures.push(Measure::new(
        "rates, between data centres, sent by each in seconds 3 and 4 after a start (B/s)",
        "data centres, 4 entries and 250 requests/s each, 5,000 accounts",
        centres,
    ));
    measures
}

/// Gates and keepers of one data centre that served many accounts a moment ago.
pub(crate) fn busy(accounts: usize) -> Box<dyn Any> {
    let mut fleet = Fleet::new(Load {
        accounts,
        requests: accounts * 4,
        ..USUAL
    });
    fleet.load.requests = 0;
    fleet.run(WARM_UP);
    fleet.load.requests = accounts * 4;
    fleet.run(Duration::from_secs(1));
    Box::new(fleet)
}

#[derive(Clone, Copy)]
struct Load {
    data_centres: usize,
    entries: usize,
    accounts: usize,
    requests: usize,
}

struct Cost {
    reports: f64,
    answers: f64,
    messages: f64,
    micros: f64,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    reports: f64,
    answers: f64,
    messages: f64,
    loans: f64,
    asked: f64,
}

fn run(load: Load) -> Cost {
    let mut fleet = Fleet::new(load);
    fleet.run(WARM_UP);
    fleet.counts = Counts::default();
    let mut rounds = 0;
    let mut asked = 0.0;
    let micros = meter::micros_each(|| {
        fleet.run(MEASURED);
        rounds += 1;
        let more = fleet.counts.asked - asked;
        asked = fleet.counts.asked;
        more as usize
    });
    let secs = MEASURED.as_secs_f64() * f64::from(rounds);
    let entry_secs = (load.data_centres * load.entries) as f64 * secs;
    let counts = fleet.counts;
    Cost {
        reports: counts.reports / entry_secs,
        answers: counts.answers / entry_secs,
        messages: counts.messages / entry_secs,
        micros,
    }
}

/// Loans are asked for most while the buckets of new keepers fill.
fn loans_after_start(data_centres: usize) -> f64 {
    let mut fleet = Fleet::new(Load {
        data_centres,
        entries: 4,
        accounts: 5_000,
        requests: 250,
    });
    fleet.run(Duration::from_secs(2));
    let before = fleet.counts.loans;
    fleet.run(Duration::from_secs(2));
    (fleet.counts.loans - before) / (2 * data_centres) as f64
}

struct DataCentre {
    id: DataCentreId,
    keepers: Vec<Keeper>,
    gates: Vec<LeasedRateLimiter>,
    /// Requests that wait, by when they ask again.
    waiting: VecDeque<(Timestamp, usize, RequestId, usize)>,
    running: VecDeque<(Timestamp, usize, RequestId)>,
}

struct Fleet {
    load: Load,
    now: Timestamp,
    centres: Vec<DataCentre>,
    /// Messages between data centres; they arrive at the next step.
    under_way: Vec<(usize, Partition, Event)>,
    due: f64,
    next: u128,
    random: u64,
    counts: Counts,
}

impl Fleet {
    fn new(load: Load) -> Self {
        let now = Timestamp(1_780_000_000_000_000);
        let configuration = sample::configuration(load.accounts, load.data_centres, 0);
        let configuration = Arc::new(configuration);
        let ids: Vec<DataCentreId> = configuration.data_centres.keys().cloned().collect();
        let centres = ids
            .iter()
            .map(|id| DataCentre::new(now, id, &ids, &configuration, load.entries))
            .collect();
        Self {
            load,
            now,
            centres,
            under_way: Vec::new(),
            due: 0.0,
            next: 0,
            random: 1,
            counts: Counts::default(),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            let second = self.now.as_micros().is_multiple_of(500_000);
            for (centre, partition, event) in std::mem::take(&mut self.under_way) {
                self.feed(centre, partition, event);
            }
            let beat = self.now.as_micros().is_multiple_of(50_000);
            for centre in 0..self.centres.len() {
                if second {
                    self.centres[centre].renew(self.now);
                }
                self.report(centre);
                if beat {
                    self.tick(centre);
                }
                self.settle(centre);
                self.ask_again(centre);
            }
            self.due += self.load.requests as f64 * STEP.as_secs_f64();
            while self.due >= 1.0 {
                self.due -= 1.0;
                (0..self.centres.len()).for_each(|centre| self.arrive(centre));
            }
        }
    }

    fn arrive(&mut self, centre: usize) {
        self.next += 1;
        let request = RequestId(self.next);
        let entry = self.draw(self.load.entries);
        let account = self.draw(self.load.accounts);
        self.counts.asked += 1.0;
        self.ask(centre, entry, request, account);
    }

    fn ask(&mut self, centre: usize, entry: usize, request: RequestId, account: usize) {
        let now = self.now;
        let place = &mut self.centres[centre];
        let id = sample::account_id(account);
        match place.gates[entry].reserve(now, request, &id, COST) {
            Admission::Admitted => place.running.push_back((now + LASTS, entry, request)),
            Admission::Wait(time) => {
                let again = (now + time, entry, request, account);
                place.waiting.push_back(again);
            }
            Admission::Rejected(_) => {}
        }
    }

    fn ask_again(&mut self, centre: usize) {
        let waiting = std::mem::take(&mut self.centres[centre].waiting);
        for (at, entry, request, account) in waiting {
            if at <= self.now {
                self.ask(centre, entry, request, account);
            } else {
                let place = &mut self.centres[centre];
                place.waiting.push_back((at, entry, request, account));
            }
        }
    }

    fn settle(&mut self, centre: usize) {
        let now = self.now;
        let place = &mut self.centres[centre];
        while place.running.front().is_some_and(|(end, ..)| *end <= now) {
            let (_, entry, request) = place.running.pop_front().expect("there is one");
            place.gates[entry].settle(now, request, Tokens(700));
        }
    }

    fn report(&mut self, centre: usize) {
        for entry in 0..self.load.entries {
            for report in self.centres[centre].gates[entry].reports(self.now) {
                let partition = report.partition;
                if !self.is_local(entry, partition) {
                    self.counts.reports += encoded_bytes(&report);
                    self.counts.messages += 1.0;
                }
                self.feed(centre, partition, Event::Report(report));
            }
        }
    }

    fn tick(&mut self, centre: usize) {
        for partition in 0..PARTITION_COUNT {
            self.feed(centre, Partition(partition), Event::Tick);
        }
    }

    fn feed(&mut self, centre: usize, partition: Partition, event: Event) {
        let keeper = &mut self.centres[centre].keepers[usize::from(partition.0)];
        for action in keeper.handle(self.now, event) {
            match action {
                Action::Answer(Holder::Entry(holder), answer) => {
                    let entries = 0..self.load.entries;
                    let entry = entries
                        .into_iter()
                        .find(|entry| sample::instance_id(*entry) == holder);
                    let entry = entry.expect("answers go to entries");
                    if !self.is_local(entry, partition) {
                        self.counts.answers += encoded_bytes(&answer);
                        self.counts.messages += 1.0;
                    }
                    self.centres[centre].gates[entry].accept(self.now, &answer);
                }
                Action::Answer(Holder::DataCentre(id), answer) => {
                    self.counts.loans += encoded_bytes(&answer);
                    let to = self.centre_of(&id);
                    self.under_way.push((to, partition, Event::Answer(answer)));
                }
                Action::Report(id, report) => {
                    self.counts.loans += encoded_bytes(&report);
                    let to = self.centre_of(&id);
                    self.under_way.push((to, partition, Event::Report(report)));
                }
            }
        }
    }

    /// Whether the entry keeps the partition itself: each entry keeps its part of them.
    fn is_local(&self, entry: usize, partition: Partition) -> bool {
        usize::from(partition.0) % self.load.entries == entry
    }

    fn centre_of(&self, id: &DataCentreId) -> usize {
        let mut all = self.centres.iter();
        all.position(|centre| centre.id == *id)
            .expect("it is known")
    }

    fn draw(&mut self, limit: usize) -> usize {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) as usize % limit
    }
}

impl DataCentre {
    fn new(
        now: Timestamp,
        id: &DataCentreId,
        all: &[DataCentreId],
        configuration: &Arc<Configuration>,
        entries: usize,
    ) -> Self {
        let settings = Settings::default();
        let keepers = (0..PARTITION_COUNT).map(|partition| {
            let own = id.clone();
            let shared = Arc::clone(configuration);
            let mut keeper = Keeper::new(now, settings, Partition(partition), own, shared);
            let others: BTreeMap<_, _> = all.iter().map(|id| (id.clone(), Revision(1))).collect();
            for (data_centre, revision) in others {
                let confirmed = Event::Confirmed {
                    data_centre,
                    revision,
                };
                keeper.handle(now, confirmed);
            }
            keeper
        });
        let gates = (0..entries).map(|entry| {
            let mut gate =
                LeasedRateLimiter::new(settings, sample::instance_id(entry), Incarnation(1));
            for partition in 0..PARTITION_COUNT {
                gate.follow(Partition(partition), Epoch(1));
            }
            gate
        });
        let mut centre = Self {
            id: id.clone(),
            keepers: keepers.collect(),
            gates: gates.collect(),
            waiting: VecDeque::new(),
            running: VecDeque::new(),
        };
        centre.renew(now);
        centre
    }

    fn renew(&mut self, now: Timestamp) {
        for keeper in &mut self.keepers {
            let role = Event::Role {
                epoch: Epoch(1),
                until: now + Duration::from_secs(1),
            };
            keeper.handle(now, role);
        }
    }
}
