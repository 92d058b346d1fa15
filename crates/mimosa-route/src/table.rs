//! The lookup of a request's route and account.

use std::collections::BTreeMap;
use std::collections::HashMap;

use mimosa_protocol::AccountId;
use mimosa_protocol::ServiceId;

use crate::model::Route;
use crate::model::RoutedAccount;
use crate::model::RoutedService;
use crate::model::RoutingConfiguration;

/// A routing configuration prepared for lookups; replaced whole when a newer one is adopted.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: RoutingConfiguration,
    /// For each host the places of its routes, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    by_account: BTreeMap<AccountId, usize>,
    by_service: BTreeMap<ServiceId, usize>,
}

impl RouteTable {
    /// Prepares a configuration that was checked.
    pub fn new(configuration: RoutingConfiguration) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(place);
        }
        for places in by_host.values_mut() {
            places.sort_by_key(|place| {
                std::cmp::Reverse(configuration.routes[*place].path_prefix.len())
            });
        }
        let accounts = configuration.accounts.iter().enumerate();
        let by_key = accounts
            .clone()
            .flat_map(|(place, account)| account.keys.iter().map(move |key| (key.clone(), place)))
            .collect();
        let by_account = accounts
            .map(|(place, account)| (account.id.clone(), place))
            .collect();
        let services = configuration.services.iter().enumerate();
        let by_service = services
            .map(|(place, service)| (service.id.clone(), place))
            .collect();
        Self {
            configuration,
            by_host,
            by_key,
            by_account,
            by_service,
        }
    }

    /// The configuration.
    pub const fn configuration(&self) -> &RoutingConfiguration {
        &self.configuration
    }

    /// The route with the longest prefix of a path, among those of a host. The host may carry a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let places = match self.by_host.get(name) {
            Some(places) => places,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        places
            .iter()
            .map(|place| &self.configuration.routes[*place])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// The account that holds a key.
    pub fn holder(&self, key: &str) -> Option<&RoutedAccount> {
        let place = self.by_key.get(key)?;
        Some(&self.configuration.accounts[*place])
    }

    /// An account.
    pub fn account(&self, id: &AccountId) -> Option<&RoutedAccount> {
        let place = self.by_account.get(id)?;
        Some(&self.configuration.accounts[*place])
    }

    /// A service.
    pub fn service(&self, id: &ServiceId) -> Option<&RoutedService> {
        let place = self.by_service.get(id)?;
        Some(&self.configuration.services[*place])
    }

    /// Whether requests need a key at all.
    pub fn needs_keys(&self) -> bool {
        !self.configuration.accounts.is_empty()
    }
}

impl Route {
    /// The service of a request, by weight. The same number always gives the same service.
    pub fn pick(&self, number: u64) -> Option<&ServiceId> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut rest = number.checked_rem(total)?;
        self.split
            .iter()
            .find(|part| {
                let weight = u64::from(part.weight);
                let is_here = rest < weight;
                rest = rest.saturating_sub(weight);
                is_here
            })
            .map(|part| &part.service)
    }
}
