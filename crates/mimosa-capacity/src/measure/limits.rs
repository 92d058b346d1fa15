//! Rate limiting: the limiters of the entries and the keepers of all partitions. No message is
//! lost; a message between data centres takes 5 ms.

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

const WARM_UP_DURATION: Duration = Duration::from_secs(6);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(4);
const CLOCK_STEP: Duration = Duration::from_millis(5);
const REQUEST_TOKENS: Tokens = Tokens(1_000);
const REQUEST_DURATION: Duration = Duration::from_secs(1);
const BASELINE: Load = Load {
    data_centres: 1,
    entries: 16,
    accounts: 23_000,
    requests_per_s: 1_000,
};

pub(crate) fn measures() -> Vec<Measure> {
    let cost = |size: usize, load: Load| (size, simulate(load));
    let requests = [250, 500, 1_000].map(|requests_per_s| {
        cost(
            requests_per_s,
            Load {
                requests_per_s,
                ..BASELINE
            },
        )
    });
    let accounts = [1_000, 5_000, 23_000].map(|accounts| {
        cost(
            accounts,
            Load {
                accounts,
                ..BASELINE
            },
        )
    });
    let entries = [4, 8, 16].map(|entries| {
        cost(
            entries,
            Load {
                entries,
                ..BASELINE
            },
        )
    });
    let centres = [2, 3, 4].map(|centres| (centres, loan_bytes_after_start(centres)));
    let sizes = [
        ("requests/s of the data centre", &requests),
        ("accounts", &accounts),
        ("entries of the data centre", &entries),
    ];
    let mut measures = Vec::new();
    for (size, costs) in sizes {
        let column =
            |value: fn(&Cost) -> f64| costs.each_ref().map(|(size, cost)| (*size, value(cost)));
        measures.extend([
            Measure::new(
                "rates, sent by an entry as holder (B/s)",
                size,
                column(|cost| cost.report_bytes),
            ),
            Measure::new(
                "rates, sent by an entry as keeper (B/s)",
                size,
                column(|cost| cost.answer_bytes),
            ),
            Measure::new(
                "rates, sent by an entry (messages/s)",
                size,
                column(|cost| cost.messages),
            ),
            Measure::new(
                "rates, gates and keepers (CPU µs/request)",
                size,
                column(|cost| cost.cpu_micros),
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

/// Limiters and keepers of one data centre after a second of requests from `accounts` accounts.
pub(crate) fn with_active_accounts(accounts: usize) -> Box<dyn Any> {
    let mut simulation = Simulation::new(Load {
        accounts,
        requests_per_s: accounts * 4,
        ..BASELINE
    });
    simulation.load.requests_per_s = 0;
    simulation.advance(WARM_UP_DURATION);
    simulation.load.requests_per_s = accounts * 4;
    simulation.advance(Duration::from_secs(1));
    Box::new(simulation)
}

#[derive(Clone, Copy)]
struct Load {
    data_centres: usize,
    /// Entries per data centre.
    entries: usize,
    accounts: usize,
    /// Requests per second and data centre.
    requests_per_s: usize,
}

/// Sent bytes and messages per entry and second, and CPU time per request.
struct Cost {
    report_bytes: f64,
    answer_bytes: f64,
    messages: f64,
    cpu_micros: f64,
}

/// Totals of all data centres since the last reset.
#[derive(Clone, Copy, Default)]
struct Counts {
    report_bytes: f64,
    answer_bytes: f64,
    messages: f64,
    loan_bytes: f64,
    requests: f64,
}

fn simulate(load: Load) -> Cost {
    let mut simulation = Simulation::new(load);
    simulation.advance(WARM_UP_DURATION);
    simulation.counts = Counts::default();
    let mut rounds = 0;
    let mut requests = 0.0;
    let cpu_micros = meter::micros_per_iteration(|| {
        simulation.advance(MEASUREMENT_DURATION);
        rounds += 1;
        let new_requests = simulation.counts.requests - requests;
        requests = simulation.counts.requests;
        new_requests as usize
    });
    let secs = MEASUREMENT_DURATION.as_secs_f64() * f64::from(rounds);
    let entry_secs = (load.data_centres * load.entries) as f64 * secs;
    let counts = simulation.counts;
    Cost {
        report_bytes: counts.report_bytes / entry_secs,
        answer_bytes: counts.answer_bytes / entry_secs,
        messages: counts.messages / entry_secs,
        cpu_micros,
    }
}

/// Bytes that each data centre sends for loans, per second, in seconds 3 and 4 after a start: most
/// loans are requested while the buckets of new keepers fill.
fn loan_bytes_after_start(data_centres: usize) -> f64 {
    let mut simulation = Simulation::new(Load {
        data_centres,
        entries: 4,
        accounts: 5_000,
        requests_per_s: 250,
    });
    simulation.advance(Duration::from_secs(2));
    let before = simulation.counts.loan_bytes;
    simulation.advance(Duration::from_secs(2));
    (simulation.counts.loan_bytes - before) / (2 * data_centres) as f64
}

struct DataCentre {
    id: DataCentreId,
    keepers: Vec<Keeper>,
    limiters: Vec<LeasedRateLimiter>,
    /// Requests that wait for tokens: time of the next attempt, entry, request, account.
    waiting: VecDeque<(Timestamp, usize, RequestId, usize)>,
    /// Admitted requests: end, entry, request.
    running: VecDeque<(Timestamp, usize, RequestId)>,
}

struct Simulation {
    load: Load,
    now: Timestamp,
    centres: Vec<DataCentre>,
    /// Messages between data centres, with the index of the receiver; delivered at the next clock
    /// step.
    in_flight: Vec<(usize, Partition, Event)>,
    due_requests: f64,
    last_request: u128,
    random: u64,
    counts: Counts,
}

impl Simulation {
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
            in_flight: Vec::new(),
            due_requests: 0.0,
            last_request: 0,
            random: 1,
            counts: Counts::default(),
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + CLOCK_STEP;
            let is_renewal = self.now.as_micros().is_multiple_of(500_000);
            for (centre, partition, event) in std::mem::take(&mut self.in_flight) {
                self.handle_event(centre, partition, event);
            }
            let is_tick = self.now.as_micros().is_multiple_of(50_000);
            for centre in 0..self.centres.len() {
                if is_renewal {
                    self.centres[centre].renew_leases(self.now);
                }
                self.send_reports(centre);
                if is_tick {
                    self.tick(centre);
                }
                self.settle_finished(centre);
                self.retry_waiting(centre);
            }
            self.due_requests += self.load.requests_per_s as f64 * CLOCK_STEP.as_secs_f64();
            while self.due_requests >= 1.0 {
                self.due_requests -= 1.0;
                (0..self.centres.len()).for_each(|centre| self.arrive(centre));
            }
        }
    }

    fn arrive(&mut self, centre: usize) {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        let entry = self.random_below(self.load.entries);
        let account = self.random_below(self.load.accounts);
        self.counts.requests += 1.0;
        self.reserve(centre, entry, request, account);
    }

    fn reserve(&mut self, centre: usize, entry: usize, request: RequestId, account: usize) {
        let now = self.now;
        let data_centre = &mut self.centres[centre];
        let id = sample::account_id(account);
        match data_centre.limiters[entry].reserve(now, request, &id, REQUEST_TOKENS) {
            Admission::Admitted => {
                data_centre
                    .running
                    .push_back((now + REQUEST_DURATION, entry, request))
            }
            Admission::Wait(time) => {
                let retry = (now + time, entry, request, account);
                data_centre.waiting.push_back(retry);
            }
            Admission::Rejected(_) => {}
        }
    }

    fn retry_waiting(&mut self, centre: usize) {
        let waiting = std::mem::take(&mut self.centres[centre].waiting);
        for (at, entry, request, account) in waiting {
            if at <= self.now {
                self.reserve(centre, entry, request, account);
            } else {
                let data_centre = &mut self.centres[centre];
                data_centre.waiting.push_back((at, entry, request, account));
            }
        }
    }

    fn settle_finished(&mut self, centre: usize) {
        let now = self.now;
        let data_centre = &mut self.centres[centre];
        while data_centre
            .running
            .front()
            .is_some_and(|(end, ..)| *end <= now)
        {
            let (_, entry, request) = data_centre
                .running
                .pop_front()
                .expect("the queue is not empty");
            data_centre.limiters[entry].settle(now, request, Tokens(700));
        }
    }

    fn send_reports(&mut self, centre: usize) {
        for entry in 0..self.load.entries {
            for report in self.centres[centre].limiters[entry].reports(self.now) {
                let partition = report.partition;
                if !self.is_local(entry, partition) {
                    self.counts.report_bytes += encoded_bytes(&report);
                    self.counts.messages += 1.0;
                }
                self.handle_event(centre, partition, Event::Report(report));
            }
        }
    }

    fn tick(&mut self, centre: usize) {
        for partition in 0..PARTITION_COUNT {
            self.handle_event(centre, Partition(partition), Event::Tick);
        }
    }

    fn handle_event(&mut self, centre: usize, partition: Partition, event: Event) {
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
                        self.counts.answer_bytes += encoded_bytes(&answer);
                        self.counts.messages += 1.0;
                    }
                    self.centres[centre].limiters[entry].accept(self.now, &answer);
                }
                Action::Answer(Holder::DataCentre(id), answer) => {
                    self.counts.loan_bytes += encoded_bytes(&answer);
                    let to = self.centre_of(&id);
                    self.in_flight.push((to, partition, Event::Answer(answer)));
                }
                Action::Report(id, report) => {
                    self.counts.loan_bytes += encoded_bytes(&report);
                    let to = self.centre_of(&id);
                    self.in_flight.push((to, partition, Event::Report(report)));
                }
            }
        }
    }

    /// Whether the entry is the keeper of the partition; partitions are spread evenly over the
    /// entries.
    fn is_local(&self, entry: usize, partition: Partition) -> bool {
        usize::from(partition.0) % self.load.entries == entry
    }

    fn centre_of(&self, id: &DataCentreId) -> usize {
        let mut all = self.centres.iter();
        all.position(|centre| centre.id == *id)
            .expect("the data centre is configured")
    }

    /// A pseudorandom number below the limit, the same in each run.
    fn random_below(&mut self, limit: usize) -> usize {
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
        let limiters = (0..entries).map(|entry| {
            let mut limiter =
                LeasedRateLimiter::new(settings, sample::instance_id(entry), Incarnation(1));
            for partition in 0..PARTITION_COUNT {
                limiter.follow(Partition(partition), Epoch(1));
            }
            limiter
        });
        let mut centre = Self {
            id: id.clone(),
            keepers: keepers.collect(),
            limiters: limiters.collect(),
            waiting: VecDeque::new(),
            running: VecDeque::new(),
        };
        centre.renew_leases(now);
        centre
    }

    fn renew_leases(&mut self, now: Timestamp) {
        for keeper in &mut self.keepers {
            let role = Event::Role {
                epoch: Epoch(1),
                until: now + Duration::from_secs(1),
            };
            keeper.handle(now, role);
        }
    }
}
