//! Asks endpoints for their load, and notices those that are gone or came back.

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
use crate::place::Placer;
use crate::shared::Shared;

/// Time between two questions to each endpoint.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time to connect to a plain service.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// What is known of an endpoint's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Found(Incarnation),
    Lost,
}

/// Asks all endpoints in turn until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut lives: HashMap<EndpointId, Life> = HashMap::new();
    let mut pause = tokio::time::interval(INTERVAL);
    loop {
        pause.tick().await;
        for placer in shared.placers.all() {
            let asked = placer.watched().into_iter().map(|endpoint| {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move { (ask(&shared, &endpoint).await, endpoint) })
            });
            let asked: Vec<_> = asked.collect();
            for answer in asked {
                if let Ok((load, endpoint)) = answer.await {
                    note(&shared, placer.as_ref(), &mut lives, &endpoint, load);
                }
            }
        }
    }
}

async fn ask(shared: &Shared, endpoint: &Endpoint) -> Option<EngineLoad> {
    if endpoint.role != EndpointRole::Plain {
        return shared.engine.load(endpoint.address).await.ok();
    }
    let connected = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(endpoint.address));
    connected.await.ok()?.ok()?;
    Some(EngineLoad {
        incarnation: Incarnation::ZERO,
        running: 0,
        waiting: 0,
        used: mimosa_protocol::KvBlocks::ZERO,
    })
}

fn note(
    shared: &Shared,
    placer: &dyn Placer,
    lives: &mut HashMap<EndpointId, Life>,
    endpoint: &Endpoint,
    load: Option<EngineLoad>,
) {
    let life = load.map_or(Life::Lost, |load| Life::Found(load.incarnation));
    let before = lives.insert(endpoint.id.clone(), life);
    let before = match shared.take_doubt(&endpoint.id) {
        true => Some(Life::Lost),
        false => before,
    };
    match (before, life) {
        (Some(Life::Found(_)), Life::Lost) => placer.tell(Event::EndpointDown {
            endpoint: endpoint.id.clone(),
        }),
        (Some(Life::Found(old)), Life::Found(new)) if old != new => {
            let endpoint = endpoint.id.clone();
            placer.tell(Event::EndpointDown {
                endpoint: endpoint.clone(),
            });
            placer.tell(Event::EndpointUp {
                endpoint,
                incarnation: new,
            });
        }
        (Some(Life::Lost), Life::Found(incarnation)) => placer.tell(Event::EndpointUp {
            endpoint: endpoint.id.clone(),
            incarnation,
        }),
        _ => {}
    }
    if let Some(load) = load {
        let now = shared.now();
        shared.suspects.seen(now, &endpoint.id, load.incarnation);
        placer.tell(Event::Load(LoadReport {
            endpoint: endpoint.id.clone(),
            incarnation: load.incarnation,
            measured_at: shared.now(),
            running: load.running,
            waiting: load.waiting,
            used_blocks: load.used,
            token_gap: None,
        }));
    }
}
