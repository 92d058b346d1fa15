//! The current configuration, replaced as a whole and read without locks.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use mimosa_protocol::AccountId;
use mimosa_protocol::Configuration;
use mimosa_protocol::Revision;
use mimosa_protocol::ServiceId;
use mimosa_protocol::change::Delta;
use mimosa_protocol::configuration::ClientAccount;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::hash::Sha256Digest;

/// One revision of the configuration, with an index of the valid keys.
#[derive(Debug, Default)]
pub(crate) struct IndexedConfiguration {
    pub(crate) configuration: Arc<Configuration>,
    accounts_by_key: HashMap<Sha256Digest, AccountId>,
    has_open_services: bool,
}

impl IndexedConfiguration {
    fn new(configuration: Configuration) -> Self {
        let accounts_by_key = configuration
            .keys
            .values()
            .filter(|key| key.withdrawn.is_none())
            .map(|key| (key.digest, key.account.clone()))
            .collect();
        let has_open_services = configuration.services.values().any(|service| service.open);
        Self {
            configuration: Arc::new(configuration),
            accounts_by_key,
            has_open_services,
        }
    }

    /// Returns the account of a valid key. The digest is looked up by hash and then compared in
    /// constant time.
    pub(crate) fn account_of(&self, digest: &Sha256Digest) -> Option<&ClientAccount> {
        let (stored, account) = self.accounts_by_key.get_key_value(digest)?;
        if !stored.constant_time_eq(digest) {
            return None;
        }
        self.configuration.accounts.get(account)
    }

    pub(crate) fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.configuration.services.get(id)
    }

    pub(crate) fn has_open_services(&self) -> bool {
        self.has_open_services
    }

    pub(crate) fn revision(&self) -> Revision {
        self.configuration.revision
    }
}

/// Holds the current revision of the configuration. The revision never decreases.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationStore(ArcSwap<IndexedConfiguration>);

impl ConfigurationStore {
    pub(crate) fn load(&self) -> Arc<IndexedConfiguration> {
        self.0.load_full()
    }

    /// Replaces the configuration unless the new one is older. Returns whether it was replaced.
    pub(crate) fn replace(&self, configuration: Configuration) -> bool {
        if configuration.revision < self.0.load().revision() {
            return false;
        }
        self.0
            .store(Arc::new(IndexedConfiguration::new(configuration)));
        true
    }

    /// Applies a change of the current revision to the next one. Returns whether it was applied; a
    /// delta to any other revision is ignored.
    pub(crate) fn apply(&self, delta: &Delta) -> bool {
        let mut configuration = Configuration::clone(&self.0.load().configuration);
        if !configuration.apply(delta) {
            return false;
        }
        self.0
            .store(Arc::new(IndexedConfiguration::new(configuration)));
        true
    }
}
