//! Which service each request of each gateway belongs to.

use std::collections::HashMap;

use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_schedule::fleet::GatewayRequestId;

/// The services of requests, by gateway: what one gateway tells is looked up among its own.
#[derive(Default)]
pub(super) struct Tickets(HashMap<InstanceId, HashMap<u64, ServiceId>>);

impl Tickets {
    pub(super) fn insert(&mut self, ticket: &GatewayRequestId, service: ServiceId) {
        if let Some(known) = self.0.get_mut(&ticket.gateway) {
            known.insert(ticket.number, service);
        } else {
            let known = HashMap::from([(ticket.number, service)]);
            self.0.insert(ticket.gateway.clone(), known);
        }
    }

    pub(super) fn service(&self, ticket: &GatewayRequestId) -> Option<&ServiceId> {
        self.0.get(&ticket.gateway)?.get(&ticket.number)
    }

    pub(super) fn remove(&mut self, ticket: &GatewayRequestId) {
        if let Some(known) = self.0.get_mut(&ticket.gateway) {
            known.remove(&ticket.number);
        }
    }

    /// Forgets all requests of a gateway.
    pub(super) fn forget(&mut self, gateway: &InstanceId) {
        self.0.remove(gateway);
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// The requests of a gateway but for some numbers.
    pub(super) fn of(
        &self,
        gateway: &InstanceId,
        but: &[u64],
    ) -> impl Iterator<Item = (GatewayRequestId, ServiceId)> {
        let known = self.0.get(gateway).into_iter().flatten();
        known
            .filter(|(number, _)| !but.contains(number))
            .map(|(number, service)| {
                let ticket = GatewayRequestId {
                    gateway: gateway.clone(),
                    number: *number,
                };
                (ticket, service.clone())
            })
    }
}
