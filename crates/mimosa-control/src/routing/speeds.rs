//! Speeds of plain endpoints at the leader: merges the reports of the gateways, and tells them what has
//! changed.

use std::collections::BTreeMap;
use std::collections::HashMap;

use mimosa_protocol::EndpointId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_route::message::MAX_SPEEDS;
use mimosa_schedule::speed::EndpointSpeed;
use mimosa_schedule::speed::EndpointWork;
use mimosa_schedule::speed::SpeedEstimate;
use mimosa_schedule::speed::SpeedTable;

/// Maximum number of endpoints of a service between two updates; bounds what gateways can add.
const MAX_ENDPOINTS: usize = 4_096;

/// Speeds of all plain endpoints, and the estimates that gateways know.
#[derive(Debug, Default)]
pub struct ServiceSpeeds {
    services: BTreeMap<ServiceId, SpeedTable>,
    /// Estimates for gateways, each with the number of the change that it came with.
    published: HashMap<EndpointId, (u64, SpeedEstimate)>,
    /// Number of changes so far.
    changes: u64,
}

impl ServiceSpeeds {
    /// Removes all evidence, as on a loss of leadership. The changes are numbered on.
    pub fn clear(&mut self) {
        self.services.clear();
        self.published.clear();
    }

    /// Adds a report of a gateway.
    pub fn record(&mut self, now: Timestamp, service: &ServiceId, work: &[EndpointWork]) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), SpeedTable::default());
        }
        let Some(table) = self.services.get_mut(service) else {
            return;
        };
        for each in work.iter().take(MAX_SPEEDS) {
            if table.len() < MAX_ENDPOINTS || table.contains(&each.endpoint) {
                table.record(now, &each.endpoint, &each.sums);
            }
        }
    }

    /// Updates the estimates for gateways; called once a second. Endpoints that are not listed are
    /// removed. Returns whether an estimate has changed.
    pub fn update<'a>(
        &mut self,
        now: Timestamp,
        listed: impl Iterator<Item = (&'a EndpointId, &'a ServiceId)>,
    ) -> bool {
        let listed: HashMap<_, _> = listed.collect();
        for (service, table) in &mut self.services {
            table.retain(|id| listed.get(id) == Some(&service));
            table.expire(now);
        }
        self.services.retain(|_, table| !table.is_empty());
        self.published.retain(|id, _| listed.contains_key(id));
        let before = self.changes;
        for table in self.services.values() {
            for (id, estimate) in table.estimates(now) {
                let known = self.published.get(id);
                if known.is_none_or(|(_, known)| estimate.differs_from(known)) {
                    self.changes += 1;
                    self.published.insert(id.clone(), (self.changes, estimate));
                }
            }
        }
        self.changes != before
    }

    /// The estimates that changed after the change with a number, the oldest changes first, and the
    /// number of the last of them. At most [`MAX_SPEEDS`].
    pub fn changes_after(&self, number: u64) -> (u64, Vec<EndpointSpeed>) {
        let changed = self.published.iter();
        let mut changed: Vec<_> = changed.filter(|(_, (at, _))| *at > number).collect();
        changed.sort_unstable_by_key(|(_, (at, _))| *at);
        changed.truncate(MAX_SPEEDS);
        let last = changed.last().map_or(number, |(_, (at, _))| *at);
        let speeds = changed
            .into_iter()
            .map(|(id, (_, estimate))| EndpointSpeed {
                endpoint: id.clone(),
                estimate: *estimate,
            });
        (last, speeds.collect())
    }

    /// Number of plain endpoints whose work takes at least half as long again as the mean of their service.
    pub fn slow_endpoints(&self, now: Timestamp) -> usize {
        const SLOW_PERMILLE: u32 = 1_500;
        let estimates = self.services.values().flat_map(|each| each.estimates(now));
        let slow = estimates.filter(|(_, each)| each.time_permille >= SLOW_PERMILLE);
        slow.count()
    }

    /// Lists the slowest endpoints for the log, as `id:time/concurrency/age ms`; the time in thousandths
    /// of the service's mean.
    pub fn summaries(&self, now: Timestamp) -> impl Iterator<Item = (&ServiceId, String)> {
        /// Maximum number of endpoints in a line.
        const MAX_LISTED: usize = 16;
        self.services.iter().map(move |(service, table)| {
            let mut speeds: Vec<_> = table.estimates(now).collect();
            speeds.sort_by_key(|(_, each)| std::cmp::Reverse(each.time_permille));
            let listed = speeds.iter().take(MAX_LISTED).map(|(id, each)| {
                let concurrency = each.concurrency_permille;
                let concurrency = concurrency.map_or("?".to_owned(), |n| (n / 1_000).to_string());
                let age = table.age(now, id).unwrap_or_default().as_millis();
                format!("{id}:{}/{concurrency}/{age}", each.time_permille)
            });
            let listed: Vec<String> = listed.collect();
            let unnamed = speeds.len().saturating_sub(MAX_LISTED);
            (
                service,
                format!("speeds=[{}] unnamed={unnamed}", listed.join(" ")),
            )
        })
    }
}
