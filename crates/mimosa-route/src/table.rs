//! Lookup of the route and the account of a request.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::ServiceId;

use crate::model::Route;
use crate::model::RoutedAccount;
use crate::model::RoutedService;
use crate::model::RoutingConfiguration;

/// Lookup indices over a routing configuration. Immutable: a newer configuration gets a new table.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: RoutingConfiguration,
    /// Indices of the routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    by_account: BTreeMap<AccountId, usize>,
    by_service: BTreeMap<ServiceId, usize>,
    /// Shortest event gap target among the routes of each service.
    event_gap_targets: BTreeMap<ServiceId, Duration>,
}

impl RouteTable {
    /// Builds the table from a configuration that [`crate::validation::validate`] accepted.
    pub fn new(configuration: RoutingConfiguration) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|index| {
                std::cmp::Reverse(configuration.routes[*index].path_prefix.len())
            });
        }
        let accounts = configuration.accounts.iter().enumerate();
        let by_key = accounts
            .clone()
            .flat_map(|(index, account)| account.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        let by_account = accounts
            .map(|(index, account)| (account.id.clone(), index))
            .collect();
        let services = configuration.services.iter().enumerate();
        let by_service = services
            .map(|(index, service)| (service.id.clone(), index))
            .collect();
        let mut event_gap_targets: BTreeMap<ServiceId, Duration> = BTreeMap::new();
        for route in &configuration.routes {
            let Some(target) = route.event_gap_target else {
                continue;
            };
            for part in &route.split {
                let shortest = event_gap_targets.entry(part.service.clone());
                let shortest = shortest.or_insert(target);
                *shortest = target.min(*shortest);
            }
        }
        Self {
            event_gap_targets,
            configuration,
            by_host,
            by_key,
            by_account,
            by_service,
        }
    }

    /// The configuration that the table was built from.
    pub const fn configuration(&self) -> &RoutingConfiguration {
        &self.configuration
    }

    /// The route of a host with the longest matching path prefix; `None` if no route matches. The
    /// host may include a port, and its case does not matter.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indices = match self.by_host.get(name) {
            Some(indices) => indices,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        indices
            .iter()
            .map(|index| &self.configuration.routes[*index])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// The account that an API key belongs to; `None` if the key is unknown.
    pub fn account_by_key(&self, key: &str) -> Option<&RoutedAccount> {
        let index = self.by_key.get(key)?;
        Some(&self.configuration.accounts[*index])
    }

    /// The account with this identifier; `None` if the configuration does not contain it.
    pub fn account(&self, id: &AccountId) -> Option<&RoutedAccount> {
        let index = self.by_account.get(id)?;
        Some(&self.configuration.accounts[*index])
    }

    /// The service with this identifier; `None` if the configuration does not contain it.
    pub fn service(&self, id: &ServiceId) -> Option<&RoutedService> {
        let index = self.by_service.get(id)?;
        Some(&self.configuration.services[*index])
    }

    /// The shortest event gap target among the routes of a service; `None` if no route has one.
    pub fn event_gap_target(&self, service: &ServiceId) -> Option<Duration> {
        self.event_gap_targets.get(service).copied()
    }

    /// Whether requests need an API key. Without accounts, none do.
    pub fn requires_keys(&self) -> bool {
        !self.configuration.accounts.is_empty()
    }
}

impl Route {
    /// Selects a service by weight; `None` if all weights are 0. Uniformly distributed numbers
    /// distribute requests according to the weights, and the same number always selects the same
    /// service.
    pub fn select_service(&self, number: u64) -> Option<&ServiceId> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut offset = number.checked_rem(total)?;
        self.split
            .iter()
            .find(|part| {
                let weight = u64::from(part.weight);
                let is_selected = offset < weight;
                offset = offset.saturating_sub(weight);
                is_selected
            })
            .map(|part| &part.service)
    }
}
