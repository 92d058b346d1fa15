//! Validation of routing configurations.

use std::collections::BTreeSet;

use thiserror::Error;

use crate::model::Route;
use crate::model::RoutingConfiguration;

/// Why a routing configuration cannot be adopted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidConfiguration {
    /// The document cannot be parsed; contains the parser's message.
    #[error("the document cannot be read: {0}")]
    Unreadable(String),
    /// A route refers to a service that is not in the document.
    #[error("route '{route}' names the unknown service '{service}'")]
    UnknownService {
        /// Name of the referring route.
        route: String,
        /// Name that no service has.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[error("routes '{first}' and '{second}' share host and prefix")]
    DuplicateRoute {
        /// Name of the route that comes first in the document.
        first: String,
        /// Name of the route with the same location.
        second: String,
    },
    /// The weights of the named route add up to zero, so that no service would get its requests.
    #[error("the weights of route '{0}' add up to 0")]
    ZeroWeight(String),
    /// The named route has a timeout of zero, so that every request would fail.
    #[error("route '{0}' has a timeout of 0")]
    ZeroTimeout(String),
    /// The path prefix of the named route does not begin and end with a slash.
    #[error("the prefix of route '{0}' must begin and end with a slash")]
    MalformedPrefix(String),
    /// Two accounts have the same API key.
    #[error("accounts '{first}' and '{second}' share a key")]
    SharedKey {
        /// Name of the account that comes first in the document.
        first: String,
        /// Name of the account with the same key.
        second: String,
    },
    /// Two services or two accounts have this name.
    #[error("'{0}' appears twice")]
    DuplicateName(String),
}

/// Checks that services, accounts, keys and route locations are unique, that routes refer to known
/// services, and that their weights, timeouts and prefixes are usable.
///
/// # Errors
///
/// The first violation found.
pub fn validate(cfg: &RoutingConfiguration) -> Result<(), InvalidConfiguration> {
    let mut services = BTreeSet::new();
    for service in &cfg.services {
        if !services.insert(&service.id) {
            return Err(InvalidConfiguration::DuplicateName(service.id.to_string()));
        }
    }
    for route in &cfg.routes {
        validate_route(route)?;
        for part in &route.split {
            if !services.contains(&part.service) {
                return Err(InvalidConfiguration::UnknownService {
                    route: route.name.clone(),
                    service: part.service.to_string(),
                });
            }
        }
    }
    validate_unique_routes(&cfg.routes)?;
    validate_accounts(cfg)
}

fn validate_route(route: &Route) -> Result<(), InvalidConfiguration> {
    let weight: u64 = route.split.iter().map(|part| u64::from(part.weight)).sum();
    if weight == 0 {
        return Err(InvalidConfiguration::ZeroWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(InvalidConfiguration::ZeroTimeout(route.name.clone()));
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(InvalidConfiguration::MalformedPrefix(route.name.clone()));
    }
    Ok(())
}

fn validate_unique_routes(routes: &[Route]) -> Result<(), InvalidConfiguration> {
    let mut names_by_location = std::collections::BTreeMap::new();
    for route in routes {
        let location = (route.host.to_ascii_lowercase(), &route.path_prefix);
        if let Some(first) = names_by_location.insert(location, &route.name) {
            return Err(InvalidConfiguration::DuplicateRoute {
                first: first.clone(),
                second: route.name.clone(),
            });
        }
    }
    Ok(())
}

fn validate_accounts(cfg: &RoutingConfiguration) -> Result<(), InvalidConfiguration> {
    let mut names = BTreeSet::new();
    let mut owners = std::collections::BTreeMap::new();
    for account in &cfg.accounts {
        if !names.insert(&account.id) {
            return Err(InvalidConfiguration::DuplicateName(account.id.to_string()));
        }
        for key in &account.keys {
            match owners.insert(key, &account.id) {
                Some(first) if *first != account.id => {
                    return Err(InvalidConfiguration::SharedKey {
                        first: first.to_string(),
                        second: account.id.to_string(),
                    });
                }
                _ => {}
            }
        }
    }
    Ok(())
}
