//! Measures the cost of the replicated state: snapshot size, memory and time by number of accounts
//! and calls, ledger throughput, and bytes sent to entries. Prints one table.
//!
//! `cargo run --release -p mimosa-control --example state_cost [ledger|accounts|cluster]`

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use mimosa_control::ControlServer;
use mimosa_control::Running;
use mimosa_control::Settings;
use mimosa_protocol::Incarnation;
use mimosa_protocol::RequestId;
use mimosa_protocol::Result;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::hash::Sha256Digest;
use mimosa_protocol::message::ControlMessage;
use mimosa_protocol::message::EntryMessage;
use mimosa_protocol::message::LedgerBegin;
use mimosa_protocol::message::LedgerKey;
use mimosa_state::Command;
use mimosa_state::CommandResult;
use mimosa_state::Intent;
use mimosa_state::Operation;
use mimosa_state::PlanId;
use mimosa_state::StateMachine;
use mimosa_state::command::confirm_digest;
use mimosa_state::command::plan_digest;
use mimosa_state::orders::OrderId;
use mimosa_transport::frame;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const ACCOUNTS: [u64; 3] = [5, 1_000, 23_000];
const CALLS: [u32; 3] = [1_000, 10_000, 100_000];
/// Enough accounts that none reaches its share of the ledger.
const ACCOUNTS_IN_LEDGER: u32 = 8;
const PAGE_BYTES: u64 = 4_096;
const SYNCS: u32 = 200;
const SINGLE_CALLS: u32 = 200;
const PARALLEL_CALLS: u32 = 20_000;
const IN_FLIGHT: u32 = 256;
const LISTEN_DURATION: Duration = Duration::from_secs(5);
const HEARTBEAT: Duration = Duration::from_millis(250);

/// A state machine, the index of its last command, and the total size of its commands.
#[derive(Default)]
struct StateLog {
    machine: StateMachine,
    index: u64,
    command_bytes: u64,
}

impl StateLog {
    fn apply(&mut self, operation: Operation) -> CommandResult {
        let at = Timestamp::from_millis(self.index);
        let command = Command { at, operation };
        self.command_bytes += command.encode().len() as u64;
        self.index += 1;
        self.machine.apply(self.index, command)
    }

    /// Plans and confirms an intent.
    fn plan_and_confirm(&mut self, intent: Value) {
        let intent: Intent = serde_json::from_value(intent).expect("a well-formed intent");
        let plan = Operation::Plan {
            order: order(self.index, plan_digest(&intent)),
            intent,
            unreachable: Vec::new(),
        };
        let CommandResult::Planned(Ok(plan)) = self.apply(plan) else {
            panic!("the plan was refused");
        };
        self.confirm(plan.id);
    }

    fn confirm(&mut self, plan: PlanId) {
        let order = order(self.index, confirm_digest(plan));
        self.apply(Operation::Confirm { order, plan });
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let part = std::env::args().nth(1);
    let is_selected = |name: &str| part.as_deref().is_none_or(|part| part == name);
    println!("| measure | size | value |\n|---|---|---|");
    // Keeps all states allocated: otherwise a later one could reuse freed memory, and the growth of
    // the resident memory would be too small.
    let mut states = Vec::new();
    if is_selected("ledger") {
        states.extend(CALLS.into_iter().map(measure_ledger));
    }
    if is_selected("accounts") {
        states.extend(ACCOUNTS.into_iter().map(measure_accounts));
    }
    if is_selected("cluster") {
        let folder = tempfile::tempdir().expect("a temporary folder");
        measure_syncs(folder.path());
        for replicas in [1, 3] {
            measure_cluster(replicas).await?;
        }
    }
    drop(states);
    Ok(())
}

/// Measures memory, snapshot and the time of a change with `accounts` accounts of one key each.
fn measure_accounts(accounts: u64) -> StateLog {
    let before = resident_bytes();
    let mut log = StateLog::default();
    let start = Instant::now();
    for index in 0..accounts {
        let account = format!("account-{index}");
        log.plan_and_confirm(
            json!({"put_account": {"account": account, "rate": 1000, "burst": 5000}}),
        );
        let digest = Sha256Digest::of(account.as_bytes()).to_string();
        let key = json!({"key": format!("key-{index}"), "account": account, "digest": digest});
        log.plan_and_confirm(json!({ "create_key": key }));
    }
    let size = format!("{accounts} accounts");
    let build_time = start.elapsed() / u32::try_from(2 * accounts).unwrap_or(1);
    print_row(
        "time to plan and confirm, mean over the build",
        &size,
        micros(build_time),
    );
    print_row(
        "log bytes a change (plan and confirm)",
        &size,
        log.command_bytes / (2 * accounts),
    );
    let growth = resident_bytes().saturating_sub(before);
    print_row("resident memory grown by", &size, kib(growth));
    print_row(
        "of which records of the audit trail",
        &size,
        log.machine.audit().last().min(16_384),
    );
    let start = Instant::now();
    let bytes = log.machine.encode();
    print_row("snapshot bytes", &size, bytes.len());
    print_row(
        "time to encode the snapshot",
        &size,
        micros(start.elapsed()),
    );
    let start = Instant::now();
    drop(StateMachine::decode(&bytes));
    print_row(
        "time to decode the snapshot",
        &size,
        micros(start.elapsed()),
    );
    let configuration = Box::new(log.machine.configuration().clone());
    let snapshot_bytes =
        frame::encode(&ControlMessage::Snapshot(configuration)).map(|buf| buf.len());
    print_row(
        "bytes of the whole configuration to an entry",
        &size,
        snapshot_bytes.unwrap_or(0),
    );
    let start = Instant::now();
    for rate in 0..100 {
        log.plan_and_confirm(
            json!({"set_rate": {"account": "account-0", "rate": 2000 + rate, "burst": 5}}),
        );
    }
    print_row(
        "time to change a rate",
        &size,
        micros(start.elapsed() / 100),
    );
    log
}

/// Measures ledger calls on the state machine alone, without replication.
fn measure_ledger(calls: u32) -> StateLog {
    let mut log = StateLog::default();
    let before = resident_bytes();
    let start = Instant::now();
    for call in 0..calls {
        log.apply(Operation::LedgerBegin(begin(call)));
    }
    let size = format!("{calls} names");
    let time = start.elapsed() / calls;
    print_row(
        "time to begin a call on the bare state",
        &size,
        micros(time),
    );
    let growth = resident_bytes().saturating_sub(before);
    print_row("resident memory grown by", &size, kib(growth));
    let start = Instant::now();
    let bytes = log.machine.encode().len();
    print_row("snapshot bytes", &size, bytes);
    let time = start.elapsed();
    print_row("time to encode the snapshot", &size, micros(time));
    log
}

/// Measures appends and syncs of a plain file, as a baseline for the log.
fn measure_syncs(folder: &std::path::Path) {
    let mut file = File::create(folder.join("bare")).expect("a file");
    let start = Instant::now();
    for _ in 0..SYNCS {
        file.write_all(&[0; 256]).expect("a written record");
        file.sync_data().expect("a synced record");
    }
    print_row(
        "bare append of 256 bytes and sync",
        "1 file",
        micros(start.elapsed() / SYNCS),
    );
}

async fn measure_cluster(count: usize) -> Result<()> {
    let size = format!("{count} control instances");
    let folders: Vec<_> = (0..count)
        .map(|_| tempfile::tempdir().expect("a temporary folder"))
        .collect();
    let mut bound = Vec::new();
    for (index, folder) in folders.iter().enumerate() {
        let settings = Settings {
            instance: format!("c-{index}").parse()?,
            bootstrap: index == 0,
            data_folder: folder.path().into(),
            ..Settings::default()
        };
        bound.push(ControlServer::bind(settings).await?);
    }
    let replicas: BTreeMap<_, _> = bound
        .iter()
        .enumerate()
        .map(|(index, instance)| Ok((format!("c-{index}").parse()?, instance.peer_address())))
        .collect::<Result<_>>()?;
    let mut running = Vec::new();
    for instance in bound {
        running.push(instance.start(replicas.clone()).await?);
    }
    // Time for all instances to join and vote.
    tokio::time::sleep(Duration::from_secs(6)).await;
    measure_single_calls(&running[0], &size).await?;
    measure_parallel_calls(&running[0], &size).await?;
    measure_heartbeat_bytes(&running[0], &size).await?;
    for instance in running {
        instance.kill().await;
    }
    Ok(())
}

async fn measure_single_calls(control: &Running, size: &str) -> Result<()> {
    let mut stream = connect(control).await?;
    let start = Instant::now();
    for call in 0..SINGLE_CALLS {
        frame::write(&mut stream, &EntryMessage::LedgerBegin(begin(call))).await?;
        read_answers(&mut stream, 1).await?;
    }
    print_row(
        "ledger call, one at a time",
        size,
        micros(start.elapsed() / SINGLE_CALLS),
    );
    Ok(())
}

async fn measure_parallel_calls(control: &Running, size: &str) -> Result<()> {
    let mut stream = connect(control).await?;
    let start = Instant::now();
    let mut sent = 0;
    while sent < PARALLEL_CALLS {
        for call in sent..sent + IN_FLIGHT {
            let begin = begin(1_000_000 + call);
            frame::write(&mut stream, &EntryMessage::LedgerBegin(begin)).await?;
        }
        read_answers(&mut stream, IN_FLIGHT).await?;
        sent += IN_FLIGHT;
    }
    let rate = f64::from(sent) / start.elapsed().as_secs_f64();
    print_row("ledger calls a second, 256 at a time", size, rate.round());
    Ok(())
}

/// Measures the bytes that an idle entry sends and receives on its socket. It sends a report at
/// each heartbeat.
async fn measure_heartbeat_bytes(control: &Running, size: &str) -> Result<()> {
    let stream = connect(control).await?;
    let (mut rx, mut tx) = stream.into_split();
    let reports = tokio::spawn(async move {
        let mut sent = 0;
        let start = Instant::now();
        while start.elapsed() < LISTEN_DURATION {
            let revision = Revision(0);
            let probe = sent;
            let report = EntryMessage::InForce { revision, probe };
            sent += frame::encode(&report).map_or(0, |buf| buf.len() as u64);
            frame::write(&mut tx, &report).await.ok();
            tokio::time::sleep(HEARTBEAT).await;
        }
        sent
    });
    let mut buf = vec![0; 1 << 16];
    let mut received = 0;
    while let Ok(Ok(count @ 1..)) = tokio::time::timeout(2 * HEARTBEAT, rx.read(&mut buf)).await {
        received += count as u64;
    }
    let sent = reports.await.unwrap_or(0);
    let seconds = LISTEN_DURATION.as_secs();
    print_row(
        "bytes a second to an idle entry, off the socket",
        size,
        received / seconds,
    );
    print_row("bytes a second from an idle entry", size, sent / seconds);
    Ok(())
}

async fn connect(control: &Running) -> Result<TcpStream> {
    let address = control.entry_address();
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the instance listens");
    let hello = EntryMessage::Hello {
        instance: "entry-1".parse()?,
        incarnation: Incarnation(1),
        data_centre: "east".parse()?,
        revision: Revision(0),
    };
    frame::write(&mut stream, &hello).await?;
    Ok(stream)
}

async fn read_answers(stream: &mut TcpStream, count: u32) -> Result<()> {
    let mut left = count;
    while left > 0 {
        match frame::read(stream).await? {
            Some(ControlMessage::LedgerBegun { .. }) => left -= 1,
            Some(_) => {}
            None => panic!("the connection ended"),
        }
    }
    Ok(())
}

fn begin(call: u32) -> LedgerBegin {
    LedgerBegin {
        request: RequestId(u128::from(call)),
        key: LedgerKey {
            account: format!("account-{}", call % ACCOUNTS_IN_LEDGER)
                .parse()
                .expect("a name"),
            service: "payouts".parse().expect("a name"),
            idempotency_key: format!("0b7e5c1a-4f0e-4c0f-9d0e-{call:012}"),
        },
        content: Sha256Digest::of(&call.to_le_bytes()),
        at: Timestamp::ZERO,
    }
}

fn order(number: u64, content: Sha256Digest) -> OrderId {
    OrderId {
        operator: "ada".parse().expect("a name"),
        number: mimosa_protocol::OrderNumber(number),
        content,
    }
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn micros(time: Duration) -> String {
    format!("{:.1} µs", time.as_secs_f64() * 1e6)
}

fn kib(bytes: u64) -> String {
    format!("{} KiB", bytes / 1_024)
}

fn print_row(measure: &str, size: &str, value: impl std::fmt::Display) {
    println!("| {measure} | {size} | {value} |");
}
