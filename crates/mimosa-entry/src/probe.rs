//! Polls the load of endpoints and detects those that go down, restart or come back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::Event;
use mimosa_schedule::event::LoadReport;
use tokio::net::TcpStream;

use crate::engine::EngineLoad;
use crate::place::RequestQueue;
use crate::shared::Shared;

/// Interval between probes of an endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for connecting to a plain service, which counts as up if it accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of an endpoint at its latest probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Liveness {
    Up(Incarnation),
    Down,
}

/// Probes the endpoints of all queues until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut liveness: HashMap<EndpointId, Liveness> = HashMap::new();
    let mut interval = tokio::time::interval(PROBE_INTERVAL);
    loop {
        interval.tick().await;
        for queue in shared.queues.all() {
            let tasks = queue.probe_targets().into_iter().map(|endpoint| {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move { (probe(&shared, &endpoint).await, endpoint) })
            });
            let tasks: Vec<_> = tasks.collect();
            for task in tasks {
                if let Ok((load, endpoint)) = task.await {
                    record_probe(&shared, queue.as_ref(), &mut liveness, &endpoint, load);
                }
            }
        }
    }
}

async fn probe(shared: &Shared, endpoint: &Endpoint) -> Option<EngineLoad> {
    if endpoint.role != EndpointRole::Plain {
        return shared.engine_client.load(endpoint.address).await.ok();
    }
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.address));
    connected.await.ok()?.ok()?;
    Some(EngineLoad {
        incarnation: Incarnation::ZERO,
        running: 0,
        waiting: 0,
        used_blocks: mimosa_protocol::KvBlocks::ZERO,
    })
}

/// Reports to the scheduler how an endpoint changed since the previous probe, and its load. An
/// endpoint that failed an attempt in between counts as down before.
fn record_probe(
    shared: &Shared,
    queue: &dyn RequestQueue,
    liveness: &mut HashMap<EndpointId, Liveness>,
    endpoint: &Endpoint,
    load: Option<EngineLoad>,
) {
    let current = load.map_or(Liveness::Down, |load| Liveness::Up(load.incarnation));
    let previous = liveness.insert(endpoint.id.clone(), current);
    let previous = match shared.take_failed(&endpoint.id) {
        true => Some(Liveness::Down),
        false => previous,
    };
    match (previous, current) {
        (Some(Liveness::Up(_)), Liveness::Down) => queue.notify(Event::EndpointDown {
            endpoint: endpoint.id.clone(),
        }),
        (Some(Liveness::Up(old)), Liveness::Up(new)) if old != new => {
            let endpoint = endpoint.id.clone();
            queue.notify(Event::EndpointDown {
                endpoint: endpoint.clone(),
            });
            queue.notify(Event::EndpointUp {
                endpoint,
                incarnation: new,
            });
        }
        (Some(Liveness::Down), Liveness::Up(incarnation)) => queue.notify(Event::EndpointUp {
            endpoint: endpoint.id.clone(),
            incarnation,
        }),
        _ => {}
    }
    if let Some(load) = load {
        let now = shared.now();
        shared
            .quarantine
            .record_incarnation(now, &endpoint.id, load.incarnation);
        queue.notify(Event::Load(LoadReport {
            endpoint: endpoint.id.clone(),
            incarnation: load.incarnation,
            measured_at: shared.now(),
            running: load.running,
            waiting: load.waiting,
            used_blocks: load.used_blocks,
            token_gap: None,
        }));
    }
}
