//! Load on a target: closed loops to find the maximum throughput, an open loop at a fixed rate.

use std::future::Future;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use miette::IntoDiagnostic;
use miette::Result;
use miette::miette;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use crate::client::Connection;
use crate::client::Target;
use crate::meter::Component;

/// Numbers of connections of the closed loops, which run one after another.
pub const CLOSED_LOOP_CONNECTIONS: [usize; 3] = [16, 64, 128];
/// Number of connections of the open loop.
pub const OPEN_LOOP_CONNECTIONS: usize = 64;
/// Duration of each closed loop.
const CLOSED_LOOP_DURATION: Duration = Duration::from_millis(1_200);
/// Duration of the open loop.
pub const OPEN_LOOP_DURATION: Duration = Duration::from_millis(3_000);
/// Warm-up load: an entry starts with a low concurrency limit per endpoint and doubles it while
/// requests succeed.
const WARM_UP_REQUESTS_PER_S: f64 = 1_000.0;
const WARM_UP_DURATION: Duration = Duration::from_millis(6_500);
/// Limit of requests per connection and phase.
const MAX_REQUESTS_PER_CONNECTION: usize = 20_000;

/// Results of one load phase.
#[derive(Clone, Debug, Default)]
pub struct PhaseResult {
    /// Latencies of the responses with status 200, in ascending order.
    pub latencies: Vec<Duration>,
    /// Number of requests that got no response or a status other than 200.
    pub failed: usize,
    /// Error of one failed request, for the report.
    pub first_error: Option<String>,
    /// Wall-clock time from the first request to the end of the last response.
    pub elapsed: Duration,
    /// CPU time of all entry threads during the phase.
    pub entry_cpu: Duration,
    /// CPU time of all stand-in threads during the phase.
    pub stand_in_cpu: Duration,
    /// CPU time of all load generator threads during the phase.
    pub load_cpu: Duration,
    /// Number of connections, each with one request at a time.
    pub connections: usize,
}

impl PhaseResult {
    /// Responses with status 200 per second.
    pub fn rate(&self) -> f64 {
        self.latencies.len() as f64 / self.elapsed.as_secs_f64().max(f64::EPSILON)
    }

    /// The latency at a quantile between 0 and 1; zero if no request succeeded.
    pub fn quantile(&self, quantile: f64) -> Duration {
        let last = self.latencies.len().saturating_sub(1);
        let index = (last as f64 * quantile).round() as usize;
        self.latencies.get(index).copied().unwrap_or_default()
    }

    /// Responses with status 200 per second of CPU time, which is the rate per fully used core.
    pub fn rate_per_core(&self, cpu_time: Duration) -> f64 {
        self.latencies.len() as f64 / cpu_time.as_secs_f64().max(f64::EPSILON)
    }

    fn merge(&mut self, other: Self) {
        self.latencies.extend(other.latencies);
        self.failed += other.failed;
        self.first_error = self.first_error.take().or(other.first_error);
    }

    fn record(&mut self, started: Instant, response: Result<impl Sized>) {
        match response {
            Ok(_) => self.latencies.push(started.elapsed()),
            Err(e) => {
                self.failed += 1;
                self.first_error.get_or_insert_with(|| e.to_string());
            }
        }
    }
}

/// Sends requests until the entry has raised its concurrency limit for the endpoint.
///
/// # Errors
///
/// If the target is unreachable or a request fails.
pub async fn warm_up(target: &Target) -> Result<()> {
    let result = open_loop(target, WARM_UP_REQUESTS_PER_S, WARM_UP_DURATION).await?;
    match result.first_error {
        Some(first_error) => Err(miette!(
            "{} warm-up requests failed, for example: {first_error}",
            result.failed
        )),
        None => Ok(()),
    }
}

/// Returns the closed loop with the highest throughput: each connection sends its next request once
/// the previous response is complete. The failures of all closed loops are counted in it.
///
/// # Errors
///
/// If the target is unreachable.
pub async fn max_throughput(target: &Target) -> Result<PhaseResult> {
    let mut best = PhaseResult::default();
    let mut failed = 0;
    let mut first_error = None;
    for connections in CLOSED_LOOP_CONNECTIONS {
        let result = closed_loop(target, connections).await?;
        failed += result.failed;
        first_error = first_error.or(result.first_error.clone());
        if result.rate() > best.rate() {
            best = result;
        }
    }
    Ok(PhaseResult {
        failed,
        first_error,
        ..best
    })
}

/// A closed loop over one connection, for the latency without concurrent requests.
///
/// # Errors
///
/// If the target is unreachable.
pub async fn single_connection(target: &Target) -> Result<PhaseResult> {
    closed_loop(target, 1).await
}

async fn closed_loop(target: &Target, connections: usize) -> Result<PhaseResult> {
    let connections = connect_all(target, connections).await?;
    let end = Instant::now() + CLOSED_LOOP_DURATION;
    run_phase(connections, |mut connection| async move {
        let mut result = PhaseResult::default();
        for _ in 0..MAX_REQUESTS_PER_CONNECTION {
            let started = Instant::now();
            if started >= end {
                break;
            }
            result.record(started, connection.call().await);
        }
        result
    })
    .await
}

/// Sends requests at a fixed rate, whether or not earlier ones are complete. A latency is measured
/// from the scheduled send time, so it includes the wait for a free connection.
///
/// # Errors
///
/// If the target is unreachable.
pub async fn open_loop(target: &Target, rate: f64, duration: Duration) -> Result<PhaseResult> {
    let connections = connect_all(target, OPEN_LOOP_CONNECTIONS).await?;
    let (senders, receivers): (Vec<_>, Vec<_>) = connections
        .iter()
        .map(|_| mpsc::unbounded_channel())
        .unzip();
    let scheduled: Vec<_> = connections.into_iter().zip(receivers).collect();
    let scheduler = thread::Builder::new()
        .name(Component::Load.name().to_owned())
        .spawn(move || schedule_requests(&senders, rate, duration))
        .into_diagnostic()?;
    let result = run_phase(scheduled, |(connection, rx)| send_scheduled(connection, rx)).await;
    scheduler
        .join()
        .expect("the scheduler thread does not panic");
    result
}

/// Schedules requests at a fixed rate, round-robin over the connections.
fn schedule_requests(connections: &[UnboundedSender<Instant>], rate: f64, duration: Duration) {
    let started = Instant::now();
    let requests = (rate * duration.as_secs_f64()) as usize;
    for (index, connection) in (0..requests).zip(connections.iter().cycle()) {
        let due = started + Duration::from_secs_f64(index as f64 / rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if connection.send(Instant::now()).is_err() {
            return;
        }
    }
}

/// Sends a request for each scheduled time, until the scheduler ends.
async fn send_scheduled(
    mut connection: Connection,
    mut scheduled: UnboundedReceiver<Instant>,
) -> PhaseResult {
    let mut result = PhaseResult::default();
    while let Some(started) = scheduled.recv().await {
        result.record(started, connection.call().await);
    }
    result
}

async fn connect_all(target: &Target, count: usize) -> Result<Vec<Connection>> {
    let mut connections = Vec::with_capacity(count);
    for _ in 0..count {
        connections.push(Connection::connect(target).await?);
    }
    Ok(connections)
}

/// Runs one task per connection and merges their results.
async fn run_phase<C, F>(connections: Vec<C>, send_requests: impl Fn(C) -> F) -> Result<PhaseResult>
where
    F: Future<Output = PhaseResult> + Send + 'static,
{
    let components = [Component::Entry, Component::StandIn, Component::Load];
    let mut total = PhaseResult {
        connections: connections.len(),
        ..PhaseResult::default()
    };
    let before = components.map(Component::cpu_time);
    let started = Instant::now();
    let tasks: Vec<JoinHandle<PhaseResult>> = connections
        .into_iter()
        .map(|connection| tokio::spawn(send_requests(connection)))
        .collect();
    for task in tasks {
        total.merge(task.await.into_diagnostic()?);
    }
    total.elapsed = started.elapsed();
    let after = components.map(Component::cpu_time);
    [total.entry_cpu, total.stand_in_cpu, total.load_cpu] =
        [0, 1, 2].map(|index| after[index].saturating_sub(before[index]));
    total.latencies.sort_unstable();
    Ok(total)
}
