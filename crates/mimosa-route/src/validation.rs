//! What makes a routing configuration invalid.

use std::collections::BTreeSet;

use thiserror::Error;

use crate::model::Route;
use crate::model::RoutingConfiguration;

/// Why a routing configuration cannot be adopted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidConfiguration {
    /// The document cannot be read in full.
    #[error("the document cannot be read: {0}")]
    Unreadable(String),
    /// A route names a service that is not in the document.
    #[error("route '{route}' names the unknown service '{service}'")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("routes '{first}' and '{second}' share host and prefix")]
    SamePlace {
        /// One.
        first: String,
        /// The other.
        second: String,
    },
    /// The weights of a route add up to nothing.
    #[error("the weights of route '{0}' add up to 0")]
    NoWeight(String),
    /// A route has a timeout of zero.
    #[error("route '{0}' has a timeout of 0")]
    NoTimeout(String),
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route '{0}' must begin and end with a slash")]
    BadPrefix(String),
    /// Two accounts hold the same key.
    #[error("accounts '{first}' and '{second}' share a key")]
    SharedKey {
        /// One.
        first: String,
        /// The other.
        second: String,
    },
    /// A service or an account appears twice.
    #[error("'{0}' appears twice")]
    Twice(String),
}

/// Checks a whole configuration.
///
/// # Errors
///
/// The first flaw found.
pub fn validate(cfg: &RoutingConfiguration) -> Result<(), InvalidConfiguration> {
    let mut services = BTreeSet::new();
    for service in &cfg.services {
        if !services.insert(&service.id) {
            return Err(InvalidConfiguration::Twice(service.id.to_string()));
        }
    }
    for route in &cfg.routes {
        check_route(route)?;
        for part in &route.split {
            if !services.contains(&part.service) {
                return Err(InvalidConfiguration::UnknownService {
                    route: route.name.clone(),
                    service: part.service.to_string(),
                });
            }
        }
    }
    check_places(&cfg.routes)?;
    check_accounts(cfg)
}

fn check_route(route: &Route) -> Result<(), InvalidConfiguration> {
    let weight: u64 = route.split.iter().map(|part| u64::from(part.weight)).sum();
    if weight == 0 {
        return Err(InvalidConfiguration::NoWeight(route.name.clone()));
    }
    if route.timeout.is_zero() {
        return Err(InvalidConfiguration::NoTimeout(route.name.clone()));
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(InvalidConfiguration::BadPrefix(route.name.clone()));
    }
    Ok(())
}

fn check_places(routes: &[Route]) -> Result<(), InvalidConfiguration> {
    let mut places = std::collections::BTreeMap::new();
    for route in routes {
        let place = (route.host.to_ascii_lowercase(), &route.path_prefix);
        if let Some(first) = places.insert(place, &route.name) {
            return Err(InvalidConfiguration::SamePlace {
                first: first.clone(),
                second: route.name.clone(),
            });
        }
    }
    Ok(())
}

fn check_accounts(cfg: &RoutingConfiguration) -> Result<(), InvalidConfiguration> {
    let mut names = BTreeSet::new();
    let mut holders = std::collections::BTreeMap::new();
    for account in &cfg.accounts {
        if !names.insert(&account.id) {
            return Err(InvalidConfiguration::Twice(account.id.to_string()));
        }
        for key in &account.keys {
            match holders.insert(key, &account.id) {
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
