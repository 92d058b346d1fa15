//! A simulated data centre with its policy and engines.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Incarnation;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::Event;
use mimosa_schedule::Policy;
use mimosa_schedule::event::CacheReport;
use mimosa_schedule::event::LoadReport;
use mimosa_schedule::event::View;

use crate::engine::Decode;
use crate::engine::Prefill;

/// State of a simulated data centre between two events.
pub struct SimDataCentre {
    pub policy: Box<dyn Policy>,
    pub prefill: BTreeMap<EndpointId, Prefill>,
    pub decode: BTreeMap<EndpointId, Decode>,
    pub state: DataCentreState,
    /// Time of the scheduled tick.
    pub wake: Option<Timestamp>,
    /// Number of the last cache report of each prefill endpoint.
    sequences: BTreeMap<EndpointId, u64>,
}

impl SimDataCentre {
    pub fn new(policy: Box<dyn Policy>, view: &View) -> Self {
        let of_role = |role| view.endpoints.iter().filter(move |each| each.role == role);
        let prefill = of_role(EndpointRole::Prefill);
        let decode = of_role(EndpointRole::Decode);
        Self {
            policy,
            prefill: prefill
                .map(|each| (each.id.clone(), Prefill::default()))
                .collect(),
            decode: decode
                .map(|each| (each.id.clone(), Decode::new(each.capacity)))
                .collect(),
            state: view.data_centre.state,
            wake: None,
            sequences: BTreeMap::new(),
        }
    }

    /// Current load reports of all endpoints.
    pub fn load_reports(&self, now: Timestamp) -> Vec<LoadReport> {
        let report = |endpoint: &EndpointId, running: usize, waiting: usize| LoadReport {
            endpoint: endpoint.clone(),
            incarnation: Incarnation(1),
            measured_at: now,
            running: running as u32,
            waiting: waiting as u32,
            used_blocks: KvBlocks::ZERO,
            token_gap: None,
        };
        let prefill = self.prefill.iter().map(|(id, each)| {
            let running = each.queue.len().min(1);
            report(id, running, each.queue.len() - running)
        });
        let decode = self.decode.iter().map(|(id, each)| {
            let running = each.streams.len() + each.incoming.len();
            LoadReport {
                used_blocks: KvBlocks(each.used()),
                token_gap: (!each.streams.is_empty())
                    .then(|| Duration::from_secs_f64(each.token_gap(now))),
                ..report(id, running, each.waiting.len())
            }
        });
        prefill.chain(decode).collect()
    }

    /// Cache reports with the changes since the last call.
    pub fn cache_reports(&mut self) -> Vec<Event> {
        let mut reports = Vec::new();
        for (id, prefill) in &mut self.prefill {
            let sequence = self.sequences.entry(id.clone()).or_default();
            *sequence += 1;
            reports.push(Event::Cache(CacheReport {
                endpoint: id.clone(),
                sequence: *sequence,
                stored: std::mem::take(&mut prefill.stored),
                evicted: std::mem::take(&mut prefill.evicted),
            }));
        }
        reports
    }
}
