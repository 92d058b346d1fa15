//! Endpoints among which the prefill and the decode of a request are placed. During a rollout, both are
//! of one version.

use mimosa_protocol::EndpointId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_rollout::RolloutPhase;
use mimosa_rollout::RolloutView;

use super::FleetScheduler;
use super::endpoint::FleetEndpoint;
use super::message::PlacementRequest;
use super::message::StreamVersion;
use crate::versions;
use crate::versions::VersionUse;

/// Endpoints among which one request is placed.
#[derive(Clone, Debug)]
pub(super) enum Pool {
    /// All endpoints, without a rollout.
    All,
    /// The endpoints of one version, or those without one.
    Version(Option<ServiceVersion>),
    /// The few endpoints of the new version that get the requests with permits.
    WithPermit(Vec<EndpointId>),
}

impl Pool {
    pub(super) fn contains(&self, id: &EndpointId, endpoint: &FleetEndpoint) -> bool {
        match self {
            Self::All => true,
            Self::Version(version) => endpoint.version == *version,
            Self::WithPermit(endpoints) => endpoints.contains(id),
        }
    }

    pub(super) const fn needs_permit(&self) -> bool {
        matches!(self, Self::WithPermit(_))
    }
}

impl FleetScheduler {
    /// The pools in which the request may be placed now, in the order in which they are tried.
    pub(super) fn pools_for(&self, now: Timestamp, request: &PlacementRequest) -> Vec<Pool> {
        let Some(rollout) = &self.view.rollout else {
            return vec![Pool::All];
        };
        if let Some(StreamVersion(version)) = &request.resumes {
            let version = version.as_ref();
            return match versions::version_use_of_stream(rollout, version, version) {
                VersionUse::Allowed => vec![Pool::Version(version.cloned())],
                VersionUse::WithPermit => self
                    .permit_pool(now, rollout, request)
                    .into_iter()
                    .collect(),
                VersionUse::Excluded => Vec::new(),
            };
        }
        let versions = self.open_versions.iter().cloned();
        let mut pools: Vec<_> = versions.map(Pool::Version).collect();
        if pools.len() > 1 {
            // Spreads the requests over several old versions.
            let first = request.id.number % pools.len() as u64;
            pools.rotate_left(usize::try_from(first).unwrap_or_default());
        }
        if self.may_use_permit(rollout, request) {
            pools.splice(0..0, self.permit_pool(now, rollout, request));
        }
        pools
    }

    /// Whether a request may run on the new version with a permit: not if it failed there, or if its KV
    /// cache is on another version.
    fn may_use_permit(&self, rollout: &RolloutView, request: &PlacementRequest) -> bool {
        let is_new = |id: &EndpointId| {
            let endpoint = self.endpoints.get(id);
            endpoint.is_some_and(|each| each.version.as_ref() == Some(&rollout.to))
        };
        rollout.phase == RolloutPhase::Testing
            && request.kv_cache_at.is_none()
            && !request.avoid.iter().any(is_new)
    }

    /// The endpoints that get a request with a permit; `None` without a permit. Cold endpoints are used
    /// only without a warm one of the role, because they are slow, and those in other data centres only
    /// without one in that of the gateway, as it is for old ones.
    fn permit_pool(
        &self,
        now: Timestamp,
        rollout: &RolloutView,
        request: &PlacementRequest,
    ) -> Option<Pool> {
        if !self.permits.is_available(now) {
            return None;
        }
        let pacing = self.view.cold_pacing;
        let mut endpoints = Vec::new();
        for role in [EndpointRole::Prefill, EndpointRole::Decode] {
            let mut new: Vec<_> = self
                .in_pool(&Pool::Version(Some(rollout.to.clone())))
                .filter(|(_, each)| each.role == Some(role))
                .collect();
            let is_missing = new.is_empty();
            new.retain(|(id, each)| {
                each.accepts_work(now, pacing) && !request.exclude.contains(id)
            });
            // A decode endpoint that processes the prompt itself is slower than the old version.
            if new.is_empty() && !is_missing {
                return None;
            }
            let rank = |each: &FleetEndpoint| {
                let is_remote = !each.is_in(&request.data_centre);
                (each.cold.is_cold(now), is_remote)
            };
            new.sort_by_key(|(id, each)| (rank(each), *id));
            let best = new.first().map(|(_, each)| rank(each));
            let best = new.into_iter().filter(|(_, each)| Some(rank(each)) == best);
            let few = best.take(self.permits.endpoints());
            endpoints.extend(few.map(|(id, _)| id.clone()));
        }
        Some(Pool::WithPermit(endpoints))
    }

    /// The versions of the decode endpoints that requests may use without a permit.
    pub(super) fn find_open_versions(&self) -> Vec<Option<ServiceVersion>> {
        let open = self.endpoints.values().filter(|each| each.is_open);
        let decodes = open.filter(|each| each.is_decode());
        let mut versions: Vec<_> = decodes.map(|each| each.version.clone()).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Whether the KV cache of a request can be used in a pool: its holder must be of the same version.
    pub(super) fn can_use_cache(&self, pool: &Pool, holder: &EndpointId) -> bool {
        match pool {
            Pool::All => true,
            Pool::Version(_) => {
                let endpoint = self.endpoints.get(holder);
                endpoint.is_some_and(|each| pool.contains(holder, each))
            }
            // The few endpoints may leave out the holder although it is of the new version.
            Pool::WithPermit(_) => {
                let endpoint = self.endpoints.get(holder);
                let version = endpoint.and_then(|each| each.version.as_ref());
                version.is_some()
                    && version == self.view.rollout.as_ref().map(|rollout| &rollout.to)
            }
        }
    }

    /// Whether an endpoint may get new requests without a permit.
    pub(super) fn is_open(rollout: Option<&RolloutView>, version: Option<&ServiceVersion>) -> bool {
        let version_use = rollout.map(|rollout| versions::version_use(rollout, version));
        version_use.is_none_or(|version_use| version_use == VersionUse::Allowed)
    }
}
