//! Changes to the configuration. Each carries the complete new value, so that applying one twice
//! has no further effect.

use crate::configuration::ClientAccount;
use crate::configuration::Configuration;
use crate::configuration::DataCentre;
use crate::configuration::Endpoint;
use crate::configuration::Key;
use crate::configuration::Service;
use crate::id::AccountId;
use crate::id::DataCentreId;
use crate::id::EndpointId;
use crate::id::Revision;
use crate::id::ServiceId;

data! {
    /// One change to the [`Configuration`]; idempotent.
    pub enum Change {
        /// Creates or replaces a client account.
        PutAccount(ClientAccount),
        /// Removes a client account and all its keys.
        RemoveAccount(AccountId),
        /// Creates or replaces a key. A withdrawn key stays withdrawn, whatever the new value says.
        PutKey(Key),
        /// Creates or replaces a service.
        PutService(Service),
        /// Removes a service and all its endpoints.
        RemoveService(ServiceId),
        /// Creates or replaces a data centre.
        PutDataCentre(DataCentre),
        /// Removes a data centre and all its endpoints.
        RemoveDataCentre(DataCentreId),
        /// Creates or replaces an endpoint.
        PutEndpoint(Endpoint),
        /// Removes an endpoint.
        RemoveEndpoint(EndpointId),
    }

    /// The changes between two consecutive revisions, which are those of one confirmed plan.
    pub struct Delta {
        /// The resulting revision. The delta applies only to the revision before it.
        pub revision: Revision,
        /// The changes in the order in which they apply.
        pub changes: Vec<Change>,
    }
}

impl Configuration {
    /// Applies a delta if it leads to the next revision. Returns whether it was applied.
    pub fn apply(&mut self, delta: &Delta) -> bool {
        if delta.revision != self.revision.next() {
            return false;
        }
        delta
            .changes
            .iter()
            .for_each(|change| self.apply_change(change));
        self.revision = delta.revision;
        true
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::PutAccount(account) => {
                self.accounts.insert(account.id.clone(), account.clone());
            }
            Change::RemoveAccount(id) => {
                self.accounts.remove(id);
                self.keys.retain(|_, key| key.account != *id);
            }
            Change::PutKey(key) => self.put_key(key),
            Change::PutService(service) => {
                self.services.insert(service.id.clone(), service.clone());
            }
            Change::RemoveService(id) => {
                self.services.remove(id);
                self.endpoints.retain(|_, endpoint| endpoint.service != *id);
            }
            Change::PutDataCentre(data_centre) => {
                self.data_centres
                    .insert(data_centre.id.clone(), data_centre.clone());
            }
            Change::RemoveDataCentre(id) => {
                self.data_centres.remove(id);
                self.endpoints
                    .retain(|_, endpoint| endpoint.data_centre != *id);
            }
            Change::PutEndpoint(endpoint) => {
                self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
            }
            Change::RemoveEndpoint(id) => {
                self.endpoints.remove(id);
            }
        }
    }

    fn put_key(&mut self, key: &Key) {
        let withdrawn = self.keys.get(&key.id).and_then(|old| old.withdrawn);
        let mut key = key.clone();
        key.withdrawn = withdrawn.or(key.withdrawn);
        self.keys.insert(key.id.clone(), key);
    }
}
