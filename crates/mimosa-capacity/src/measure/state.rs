//! The replicated state machine of a control instance: configuration changes, audit trail, ledger,
//! node records.

use std::ops::Range;

use mimosa_control::entry_registry::EntryRegistry;
use mimosa_control::entry_registry::EntryReport;
use mimosa_protocol::Incarnation;
use mimosa_protocol::OrderNumber;
use mimosa_protocol::RequestId;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::hash::Sha256Digest;
use mimosa_protocol::message::LedgerBegin;
use mimosa_protocol::message::LedgerEnd;
use mimosa_protocol::message::LedgerFinish;
use mimosa_protocol::message::LedgerKey;
use mimosa_protocol::message::RecordedAnswer;
use mimosa_state::Command;
use mimosa_state::CommandResult;
use mimosa_state::Intent;
use mimosa_state::Operation;
use mimosa_state::PlanId;
use mimosa_state::StateMachine;
use mimosa_state::intent::AccountSpec;
use mimosa_state::intent::RateSpec;
use mimosa_state::orders::OrderId;

use crate::meter;
use crate::sample;
use crate::table::Measure;

const ACCOUNTS: [usize; 3] = [1_000, 5_000, 23_000];
pub(crate) const CHANGES: [usize; 4] = [500, 1_700, 3_400, 6_800];
pub(crate) const CALLS: [usize; 3] = [5_000, 20_000, 80_000];
/// Numbers of entries whose reports a control instance keeps; the page calls them node records.
const NODES: [usize; 4] = [50, 100, 200, 400];
const RESPONSE_BYTES: usize = 200;

/// A state machine and the counters for its next input.
pub(crate) struct Bench {
    machine: StateMachine,
    index: u64,
    last_order: u64,
    rate: u64,
}

pub(crate) fn measures() -> Vec<Measure> {
    let changes = CHANGES.map(|changes| (changes, with_changes(changes).snapshot_bytes()));
    let calls = CALLS.map(|calls| (calls, with_calls(calls).snapshot_bytes()));
    vec![
        Measure::new(
            "control state, plan and confirm a rate (CPU µs)",
            "accounts",
            ACCOUNTS.map(|accounts| (accounts, change_micros(accounts))),
        ),
        Measure::new(
            "control state, encode a snapshot (CPU µs)",
            "accounts",
            ACCOUNTS.map(|accounts| (accounts, snapshot_micros(accounts))),
        ),
        Measure::new("control state, snapshot (B)", "changes", changes),
        Measure::new("ledger, snapshot (B)", "calls", calls),
        Measure::new(
            "ledger, begin and finish (CPU µs)",
            "calls held",
            CALLS.map(|calls| (calls, call_micros(calls))),
        ),
        Measure::new(
            "node records, reading all (CPU µs)",
            "nodes",
            NODES.map(|nodes| (nodes, node_reports_micros(nodes))),
        ),
        Measure::new(
            "node records, message (B)",
            "nodes",
            NODES.map(|nodes| (nodes, node_reports_bytes(nodes))),
        ),
    ]
}

/// A state machine after a number of configuration changes.
pub(crate) fn with_changes(changes: usize) -> Bench {
    let mut bench = Bench::with_accounts(100);
    bench.set_rates(changes, 100);
    bench
}

/// A state machine with a number of recorded calls.
pub(crate) fn with_calls(calls: usize) -> Bench {
    let mut bench = Bench::with_accounts(100);
    bench.record_calls(0..calls);
    bench
}

/// CPU time of planning and confirming one rate change.
fn change_micros(accounts: usize) -> f64 {
    let mut bench = Bench::with_accounts(accounts);
    meter::micros_per_iteration(|| {
        bench.set_rates(50, accounts);
        50
    })
}

fn snapshot_micros(accounts: usize) -> f64 {
    let bench = Bench::with_accounts(accounts);
    meter::micros_per_iteration(|| {
        std::hint::black_box(bench.machine.encode());
        1
    })
}

/// CPU time of recording the start and the end of a call.
fn call_micros(calls: usize) -> f64 {
    let mut bench = with_calls(calls);
    let mut next = calls;
    meter::micros_per_iteration(|| {
        bench.record_calls(next..next + 100);
        next += 100;
        100
    })
}

impl Bench {
    fn with_accounts(accounts: usize) -> Self {
        let mut bench = Self {
            machine: StateMachine::default(),
            index: 0,
            last_order: 0,
            rate: 5_000,
        };
        for index in 0..accounts {
            bench.apply_intent(Intent::PutAccount(AccountSpec {
                account: sample::account_id(index),
                rate: TokenRate(4_000),
                burst: Tokens(40_000),
                weight: 1,
                services: Vec::new(),
                serve_when_cut_off: false,
            }));
        }
        bench
    }

    fn set_rates(&mut self, changes: usize, accounts: usize) {
        for change in 0..changes {
            self.rate += 1;
            self.apply_intent(Intent::SetRate(RateSpec {
                account: sample::account_id(change % accounts),
                rate: TokenRate(self.rate),
                burst: Tokens(50_000),
            }));
        }
    }

    fn apply_intent(&mut self, intent: Intent) {
        let order = self.next_order();
        let planned = self.apply(Operation::Plan {
            order,
            intent,
            unreachable: Vec::new(),
        });
        let CommandResult::Planned(Ok(plan)) = planned else {
            panic!("the sample intent was rejected: {planned:?}");
        };
        let order = self.next_order();
        let plan: PlanId = plan.id;
        self.apply(Operation::Confirm { order, plan });
    }

    fn snapshot_bytes(&self) -> f64 {
        self.machine.encode().len() as f64
    }

    fn record_calls(&mut self, calls: Range<usize>) {
        for call in calls {
            let request = RequestId(call as u128);
            let key = LedgerKey {
                account: sample::account_id(call % 100),
                service: sample::service_id(0),
                idempotency_key: format!("00000000-0000-0000-0000-{call:012}"),
            };
            self.apply(Operation::LedgerBegin(LedgerBegin {
                request,
                key: key.clone(),
                content: Sha256Digest::of(&call.to_le_bytes()),
                at: Timestamp::from_secs(10),
            }));
            self.apply(Operation::LedgerFinish(LedgerFinish {
                request,
                key,
                end: LedgerEnd::Answered(RecordedAnswer {
                    status: 200,
                    content_type: Some("application/json".to_owned()),
                    body: vec![b'x'; RESPONSE_BYTES],
                }),
                at: Timestamp::from_secs(11),
            }));
        }
    }

    fn next_order(&mut self) -> OrderId {
        self.last_order += 1;
        OrderId {
            operator: "operator".parse().expect("a valid name"),
            number: OrderNumber(self.last_order),
            content: Sha256Digest::of(&self.last_order.to_le_bytes()),
        }
    }

    fn apply(&mut self, operation: Operation) -> CommandResult {
        self.index += 1;
        let at = Timestamp::from_secs(10 + self.index / 1_000);
        self.machine.apply(self.index, Command { at, operation })
    }
}

fn entry_registry(nodes: usize) -> EntryRegistry {
    let registry = EntryRegistry::default();
    for index in 0..nodes {
        let report = EntryReport {
            incarnation: Incarnation(1_780_000_000_000_000 + index as u64),
            data_centre: sample::data_centre_id(index % 24),
            revision: Revision(1_000_000),
            connected: true,
            last_heard_at: Timestamp(1_780_000_000_000_000),
            address: Some(([10, 0, 1, 2], 7_000).into()),
        };
        registry.register(&sample::instance_id(index), report);
    }
    registry
}

fn node_reports_micros(nodes: usize) -> f64 {
    let registry = entry_registry(nodes);
    let now = Timestamp(1_780_000_000_000_000);
    meter::micros_per_iteration(|| {
        std::hint::black_box(registry.reports(now));
        1
    })
}

fn node_reports_bytes(nodes: usize) -> f64 {
    super::encoded_bytes(&entry_registry(nodes).local_reports())
}
