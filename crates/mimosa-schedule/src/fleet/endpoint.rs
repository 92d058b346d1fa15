//! What a fleet knows of one endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosa_protocol::DataCentreId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;

use super::GatewayRequestId;
use super::forecast::Load;
use crate::cold::ColdStart;
use crate::cold::Pacing;

/// First pause of an endpoint that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause: an endpoint that is back waits no longer than this for work.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// One endpoint.
#[derive(Debug, Default)]
pub(super) struct FleetEndpoint {
    pub(super) role: Option<EndpointRole>,
    pub(super) data_centre: Option<DataCentreId>,
    pub(super) cold: ColdStart,
    /// After it said that it had no room.
    pub(super) full_until: Timestamp,
    /// What decodes here.
    pub(super) loads: BTreeMap<GatewayRequestId, Load>,
    /// What is prefilled here, with the time when each is expected to be done.
    prefills: BTreeMap<GatewayRequestId, Timestamp>,
    away_until: Timestamp,
    failures: u32,
}

impl FleetEndpoint {
    pub(super) fn decodes(&self) -> bool {
        self.role == Some(EndpointRole::Decode)
    }

    pub(super) fn prefills(&self) -> bool {
        self.role == Some(EndpointRole::Prefill)
    }

    /// Role, prefills and decodes in hand, and for how long it gets nothing, in milliseconds.
    pub(super) fn summary(&self, now: Timestamp) -> String {
        let blocked = self.away_until.max(self.full_until).since(now);
        let busy = self.free_at(now).since(now);
        format!(
            "{}/{}/{}/{}/{}",
            self.role.map_or("?".to_owned(), |role| format!("{role:?}")),
            self.prefills.len(),
            self.loads.len(),
            busy.as_millis(),
            blocked.as_millis()
        )
    }

    /// Whether it gets nothing for a while.
    pub(super) fn is_blocked(&self, now: Timestamp) -> bool {
        now < self.away_until || now < self.full_until
    }

    /// Requests that prefill or decode here.
    pub(super) fn in_hand(&self) -> usize {
        self.prefills.len() + self.loads.len()
    }

    pub(super) fn is_in(&self, data_centre: &DataCentreId) -> bool {
        self.data_centre.as_ref() == Some(data_centre)
    }

    /// When its prefills are expected to be done.
    pub(super) fn free_at(&self, now: Timestamp) -> Timestamp {
        self.prefills.values().copied().max().unwrap_or(now)
    }

    /// Whether it was reached lately, and is warm or has had a pause since its last request.
    pub(super) fn takes_work(&self, now: Timestamp, turn: Pacing) -> bool {
        self.cold.allows_request(now, turn) && now >= self.away_until
    }

    /// It could not be reached, or failed: it gets nothing for a while, and longer each time.
    pub(super) fn failed(&mut self, now: Timestamp) {
        // Requests that were under way together count as one failure.
        if now < self.away_until {
            return;
        }
        let pause = FIRST_PAUSE * 2_u32.pow(self.failures.min(8));
        self.away_until = now + pause.min(MAX_PAUSE);
        self.failures += 1;
    }

    /// It works.
    pub(super) fn answered(&mut self) {
        self.failures = 0;
        self.away_until = Timestamp::ZERO;
    }

    /// Starts a prefill; returns when it is expected to be done.
    pub(super) fn start_prefill(
        &mut self,
        now: Timestamp,
        ticket: &GatewayRequestId,
        time: Duration,
        turn: Pacing,
    ) -> Timestamp {
        let done = self.free_at(now).max(now) + time;
        self.prefills.insert(ticket.clone(), done);
        self.cold.record_request(now, turn);
        done
    }

    /// Ends a prefill. Returns whether it was the only one here.
    pub(super) fn prefilled(&mut self, now: Timestamp, ticket: &GatewayRequestId) -> bool {
        let alone = self.prefills.len() == 1;
        self.prefills.remove(ticket);
        // What follows starts now, not when the end was expected.
        let late = self.prefills.values().min().copied();
        if let Some(first) = late.filter(|first| *first < now) {
            let shift = now.since(first);
            self.prefills
                .values_mut()
                .for_each(|done| *done = *done + shift);
        }
        alone
    }

    /// When something here is expected to change that lets another request in.
    pub(super) fn next_change(&self, now: Timestamp) -> Option<Timestamp> {
        self.prefills.values().copied().filter(|at| *at > now).max()
    }
}
