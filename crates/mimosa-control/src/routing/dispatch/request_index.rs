//! Maps the requests of gateways to their services.

use std::collections::HashMap;

use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_schedule::fleet::GatewayRequestId;

/// The services of requests, by gateway and request number. Grouped by gateway, as a message
/// concerns only requests of its sender.
#[derive(Default)]
pub(super) struct RequestIndex(HashMap<InstanceId, HashMap<u64, ServiceId>>);

impl RequestIndex {
    pub(super) fn insert(&mut self, id: &GatewayRequestId, service: ServiceId) {
        if let Some(services) = self.0.get_mut(&id.gateway) {
            services.insert(id.number, service);
        } else {
            let services = HashMap::from([(id.number, service)]);
            self.0.insert(id.gateway.clone(), services);
        }
    }

    pub(super) fn service(&self, id: &GatewayRequestId) -> Option<&ServiceId> {
        self.0.get(&id.gateway)?.get(&id.number)
    }

    pub(super) fn remove(&mut self, id: &GatewayRequestId) {
        if let Some(services) = self.0.get_mut(&id.gateway) {
            services.remove(&id.number);
        }
    }

    pub(super) fn remove_gateway(&mut self, gateway: &InstanceId) {
        self.0.remove(gateway);
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Those of the numbers that are no requests of a gateway.
    pub(super) fn unknown_of(
        &self,
        gateway: &InstanceId,
        numbers: &[u64],
    ) -> impl Iterator<Item = u64> {
        let services = self.0.get(gateway);
        let is_unknown =
            move |number: &u64| services.is_none_or(|services| !services.contains_key(number));
        numbers.iter().copied().filter(is_unknown)
    }

    /// The requests of a gateway whose numbers are not in `excluded`.
    pub(super) fn of_gateway_except(
        &self,
        gateway: &InstanceId,
        excluded: &[u64],
    ) -> impl Iterator<Item = (GatewayRequestId, ServiceId)> {
        let services = self.0.get(gateway).into_iter().flatten();
        services
            .filter(|(number, _)| !excluded.contains(number))
            .map(|(number, service)| {
                let id = GatewayRequestId {
                    gateway: gateway.clone(),
                    number: *number,
                };
                (id, service.clone())
            })
    }
}
