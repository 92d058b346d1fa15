//! Validation of routing configurations.

use std::collections::BTreeSet;

use thiserror::Error;

use crate::model::Route;
use crate::model::RoutingConfiguration;

/// Why a routing configuration cannot be adopted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidConfiguration {
    /// The document cannot be parsed completely.
    #[error("the document cannot be read: {0}")]
    Unreadable(String),
    /// A route refers to a service that is not in the document.
    #[error("route '{route}' names the unknown service '{service}'")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[error("routes '{first}' and '{second}' share host and prefix")]
    DuplicateRoute {
        /// Name of the earlier route.
        first: String,
        /// Name of the later route.
        second: String,
    },
    /// The weights of a route add up to zero.
    #[error("the weights of route '{0}' add up to 0")]
    ZeroWeight(String),
    /// A route has a timeout of zero.
    #[error("route '{0}' has a timeout of 0")]
    ZeroTimeout(String),
    /// A path prefix does not begin and end with a slash.
    #[error("the prefix of route '{0}' must begin and end with a slash")]
    MalformedPrefix(String),
    /// Two accounts have the same API key.
    #[error("accounts '{first}' and '{second}' share a key")]
    SharedKey {
        /// Name of the earlier account.
        first: String,
        /// Name of the later account.
        second: String,
    },
    /// A service or an account is defined twice.
    #[error("'{0}' appears twice")]
    DuplicateName(String),
}

/// Validates a complete configuration.
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
    let mut names = std::collections::BTreeMap::new();
    for route in routes {
        let location = (route.host.to_ascii_lowercase(), &route.path_prefix);
        if let Some(first) = names.insert(location, &route.name) {
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
