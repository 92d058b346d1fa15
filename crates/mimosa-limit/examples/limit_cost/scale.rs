//! Messages, bytes, processor time and memory in one data centre by number of accounts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mimosa_limit::keeper::Action;
use mimosa_limit::keeper::Event;
use mimosa_limit::keeper::Keeper;
use mimosa_limit::leased::LeasedRateLimiter;
use mimosa_limit::limiter::Admission;
use mimosa_limit::limiter::RateLimiter;
use mimosa_limit::message::PARTITION_COUNT;
use mimosa_limit::message::Partition;
use mimosa_limit::settings::Settings;
use mimosa_protocol::AccountId;
use mimosa_protocol::Configuration;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::Tokens;

use crate::Random;
use crate::fleet::configuration;

/// Entries per data centre at the target size of 380 nodes in 24 data centres.
const ENTRIES: usize = 16;
/// Requests per second and data centre at the target size of 24,000 in 24 data centres.
const REQUESTS_PER_S: u64 = 1_000;
const SECONDS: u64 = 20;

struct SimulatedDataCentre {
    limiters: Vec<LeasedRateLimiter>,
    keepers: BTreeMap<Partition, Keeper>,
    messages: u64,
    bytes: u64,
    report_time: Duration,
    keeper_time: Duration,
}

fn accounts(count: usize) -> Configuration {
    let name = |i: usize| -> AccountId { format!("account-{i:05}").parse().expect("a name") };
    let mut all = configuration(1, &name(0), 100_000, 400_000);
    let first = all.accounts[&name(0)].clone();
    for i in 1..count {
        let mut account = first.clone();
        account.id = name(i);
        all.accounts.insert(name(i), account);
    }
    all
}

/// Resident memory of this process in bytes, at 4,096 bytes per page.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

impl SimulatedDataCentre {
    fn new(configuration: &Arc<Configuration>) -> Self {
        let settings = Settings::default();
        let keepers = (0..PARTITION_COUNT).map(|number| {
            let partition = Partition(number);
            let own = "dc-0".parse().expect("a name");
            let configuration = configuration.clone();
            let now = Timestamp::ZERO;
            let mut keeper = Keeper::new(now, settings, partition, own, configuration);
            let until = Timestamp::from_secs(1_000_000);
            keeper.handle(
                now,
                Event::Role {
                    epoch: Epoch(1),
                    until,
                },
            );
            (partition, keeper)
        });
        let limiters = (0..ENTRIES).map(|i| {
            let instance = format!("entry-{i}").parse().expect("a name");
            LeasedRateLimiter::new(settings, instance, Incarnation(1))
        });
        Self {
            limiters: limiters.collect(),
            keepers: keepers.collect(),
            messages: 0,
            bytes: 0,
            report_time: Duration::ZERO,
            keeper_time: Duration::ZERO,
        }
    }

    fn exchange_reports(&mut self, now: Timestamp) {
        for limiter in &mut self.limiters {
            let start = Instant::now();
            let reports = limiter.reports(now);
            self.report_time += start.elapsed();
            for report in reports {
                self.messages += 1;
                self.bytes += size(&report);
                let Some(keeper) = self.keepers.get_mut(&report.partition) else {
                    continue;
                };
                let start = Instant::now();
                let actions = keeper.handle(now, Event::Report(report));
                self.keeper_time += start.elapsed();
                for action in actions {
                    if let Action::Answer(_, answer) = action {
                        self.messages += 1;
                        self.bytes += size(&answer);
                        limiter.accept(now, &answer);
                    }
                }
            }
        }
    }
}

fn size(message: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(message).expect("messages encode").len() as u64
}

fn measure(count: usize) {
    let configuration = Arc::new(accounts(count));
    let names: Vec<AccountId> = configuration.accounts.keys().cloned().collect();
    let mut data_centre = SimulatedDataCentre::new(&configuration);
    let before = resident();
    let mut random = Random(count as u64);
    let (mut reserve, mut settle) = (Duration::ZERO, Duration::ZERO);
    let (mut calls, mut admitted, mut rejected) = (0_u64, 0_u64, 0_u64);
    let mut next = 0_u128;
    let mut open: Vec<(u64, usize, RequestId)> = Vec::new();
    let mut waiting: Vec<(u64, usize, RequestId, usize)> = Vec::new();
    for milli in 10_000..10_000 + SECONDS * 1_000 {
        let now = Timestamp::from_millis(milli);
        for _ in 0..REQUESTS_PER_S / 1_000 {
            next += 1;
            let entry = random.below(ENTRIES as u64) as usize;
            let account = random.below(names.len() as u64) as usize;
            waiting.push((milli, entry, RequestId(next), account));
        }
        for (due, entry, id, account) in std::mem::take(&mut waiting) {
            if due > milli {
                waiting.push((due, entry, id, account));
                continue;
            }
            let start = Instant::now();
            let admission =
                data_centre.limiters[entry].reserve(now, id, &names[account], Tokens(600));
            reserve += start.elapsed();
            calls += 1;
            match admission {
                Admission::Admitted => {
                    admitted += 1;
                    open.push((milli + 1_000, entry, id));
                }
                Admission::Wait(time) => {
                    waiting.push((milli + time.as_millis() as u64, entry, id, account));
                }
                Admission::Rejected(_) => rejected += 1,
            }
        }
        open.retain(|(due, entry, id)| {
            let done = *due <= milli;
            if done {
                let start = Instant::now();
                data_centre.limiters[*entry].settle(now, *id, Tokens(300));
                settle += start.elapsed();
            }
            !done
        });
        data_centre.exchange_reports(now);
        if milli % 100 == 0 {
            let start = Instant::now();
            data_centre.keepers.values_mut().for_each(|keeper| {
                keeper.handle(now, Event::Tick);
            });
            data_centre.keeper_time += start.elapsed();
        }
    }
    let grown = resident().saturating_sub(before);
    let limiter_accounts: usize = data_centre
        .limiters
        .iter()
        .map(LeasedRateLimiter::active_accounts)
        .sum();
    let keeper_accounts: usize = data_centre
        .keepers
        .values()
        .map(Keeper::active_accounts)
        .sum();
    let per_second = |total: u64| total / SECONDS / ENTRIES as u64;
    let core = |time: Duration| time.as_secs_f64() / SECONDS as f64 / ENTRIES as f64 * 100.0;
    println!(
        "{count:>8} {:>8} {:>7} {:>7} {:>9} {:>10} {:>9} {:>9} {:>8.3} % {:>8.3} % {:>8}",
        admitted,
        limiter_accounts,
        keeper_accounts,
        per_second(data_centre.messages),
        per_second(data_centre.bytes),
        reserve.as_nanos() as u64 / calls.max(1),
        settle.as_nanos() as u64 / admitted.max(1),
        core(data_centre.report_time),
        core(data_centre.keeper_time),
        grown / 1_024,
    );
    let late = Timestamp::from_secs(10 + SECONDS + 600);
    data_centre.exchange_reports(late);
    data_centre.exchange_reports(late + Duration::from_secs(1));
    for secs in 2..20 {
        data_centre.keepers.values_mut().for_each(|keeper| {
            keeper.handle(late + Duration::from_secs(secs), Event::Tick);
        });
    }
    let keeper_accounts: usize = data_centre
        .keepers
        .values()
        .map(Keeper::active_accounts)
        .sum();
    let limiter_accounts: usize = data_centre
        .limiters
        .iter()
        .map(LeasedRateLimiter::active_accounts)
        .sum();
    println!(
        "{:>8} rejected {rejected}, still waiting {}; after 10 idle minutes {limiter_accounts} accounts at entries, {keeper_accounts} at keepers",
        "",
        waiting.len(),
    );
}

/// Prints one row per number of accounts.
pub fn run() {
    println!();
    println!(
        "One data centre, {ENTRIES} entries, {REQUESTS_PER_S} requests per second for {SECONDS} s; figures per entry"
    );
    println!(
        "{:>8} {:>8} {:>7} {:>7} {:>9} {:>10} {:>9} {:>9} {:>10} {:>10} {:>8}",
        "accounts",
        "admitted",
        "at ent.",
        "at kee.",
        "msgs/s",
        "bytes/s",
        "reserve",
        "settle",
        "reports",
        "keeper",
        "KiB all"
    );
    for count in [5, 1_000, 23_000] {
        measure(count);
    }
}
