//! The intent that undoes another intent.

use mimosa_protocol::Configuration;

use crate::intent::ByAccount;
use crate::intent::ByEndpoint;
use crate::intent::ByService;
use crate::intent::EndpointSpec;
use crate::intent::Intent;
use crate::intent::RateSpec;
use crate::intent::RoleSpec;
use crate::intent::ServiceSpec;
use crate::plan::Undo;

/// How to undo an intent that is applied to the configuration `before`.
pub fn undo_for(before: &Configuration, intent: &Intent) -> Undo {
    match intent {
        Intent::PutAccount(spec) => match before.accounts.get(&spec.account) {
            Some(old) => by_intent(Intent::PutAccount(old.clone().into())),
            None => by_intent(Intent::RemoveAccount(ByAccount {
                account: spec.account.clone(),
            })),
        },
        Intent::RemoveAccount(_) => {
            not_undoable("put_account brings the account back, but not its keys: create new ones")
        }
        Intent::SetRate(spec) => match before.accounts.get(&spec.account) {
            Some(old) => by_intent(Intent::SetRate(RateSpec {
                account: old.id.clone(),
                rate: old.rate,
                burst: old.burst,
            })),
            None => not_undoable("the account is new"),
        },
        Intent::CreateKey(_) => {
            not_undoable("withdraw_key stops the key; its name cannot be used again")
        }
        Intent::WithdrawKey(_) => not_undoable("a withdrawn key stays withdrawn: create a new one"),
        Intent::PutService(spec) => match before.services.get(&spec.service) {
            Some(old) => by_intent(Intent::PutService(ServiceSpec::from(old.clone()))),
            None => by_intent(Intent::RemoveService(ByService {
                service: spec.service.clone(),
            })),
        },
        Intent::RemoveService(_) => {
            not_undoable("put_service and put_endpoint bring back the service and its endpoints")
        }
        Intent::PutDataCentre(_) => not_undoable("put_data_centre sets the links again"),
        Intent::TakeOutDataCentre(data_centre) => {
            by_intent(Intent::ReturnDataCentre(data_centre.clone()))
        }
        Intent::ReturnDataCentre(data_centre) => {
            by_intent(Intent::TakeOutDataCentre(data_centre.clone()))
        }
        Intent::PutEndpoint(spec) => match before.endpoints.get(&spec.endpoint) {
            Some(old) => by_intent(Intent::PutEndpoint(old.clone().into())),
            None => by_intent(Intent::RemoveEndpoint(ByEndpoint {
                endpoint: spec.endpoint.clone(),
            })),
        },
        Intent::DrainEndpoint(endpoint) => by_intent(Intent::ReturnEndpoint(endpoint.clone())),
        Intent::ReturnEndpoint(endpoint) => by_intent(Intent::DrainEndpoint(endpoint.clone())),
        Intent::RemoveEndpoint(endpoint) => match before.endpoints.get(&endpoint.endpoint) {
            Some(old) => by_intent(Intent::PutEndpoint(EndpointSpec::from(old.clone()))),
            None => not_undoable("the endpoint is unknown"),
        },
        Intent::SetRole(spec) => match before.endpoints.get(&spec.endpoint) {
            Some(old) => by_intent(Intent::SetRole(RoleSpec {
                endpoint: old.id.clone(),
                role: old.role,
            })),
            None => not_undoable("the endpoint is unknown"),
        },
        Intent::StartRollout(spec) => by_intent(Intent::CancelRollout(ByService {
            service: spec.service.clone(),
        })),
        Intent::CancelRollout(_) => not_undoable("start_rollout starts another one"),
        Intent::LoadModel(_) => not_undoable("load_model loads the earlier version again"),
    }
}

fn by_intent(intent: Intent) -> Undo {
    Undo::By(Box::new(intent))
}

fn not_undoable(text: &str) -> Undo {
    Undo::Never(text.to_owned())
}
