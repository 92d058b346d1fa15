//! State received from control instances: routes, endpoints, and data centres taken out of service.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use log::info;
use log::warn;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_route::DocumentFormat;
use mimosa_route::DocumentVersion;
use mimosa_route::ListedEndpoint;
use mimosa_route::RouteTable;
use mimosa_route::fetch::DocumentFetch;
use mimosa_route::fetch::FetchAction;
use mimosa_route::message::ControlState;
use mimosa_route::sync;
use mimosa_route::sync::ListChange;
use mimosa_route::sync::ListDigest;
use mimosa_route::sync::ListParts;
use mimosa_route::sync::ListTracker;
use mimosa_route::sync::UpdateAction;
use tokio::sync::Notify;

use crate::connection::EndpointSockets;

mod endpoint;

pub(crate) use self::endpoint::EndpointEntry;
pub(crate) use self::endpoint::InFlightGuard;
use self::endpoint::is_same_lifetime;

/// Current routing state. Routes, endpoints and data centres out of service are read without a
/// lock.
pub(crate) struct Directory {
    format: Arc<dyn DocumentFormat>,
    sockets: Arc<EndpointSockets>,
    table: ArcSwapOption<RouteTable>,
    endpoints: ArcSwap<EndpointSet>,
    data_centres_out: ArcSwap<BTreeSet<DataCentreId>>,
    left: Mutex<LeftEndpoints>,
    sync_state: Mutex<SyncState>,
    /// Notified when a control instance announces its document.
    pub(crate) document_announced: Notify,
}

/// Endpoints that were leaving when they vanished from the list, which may show them again for a
/// while. Oldest first.
#[derive(Default)]
struct LeftEndpoints(VecDeque<ListedEndpoint>);

impl LeftEndpoints {
    /// Endpoints kept; beyond it the oldest is dropped.
    const MAX: usize = 256;

    fn add(&mut self, listed: ListedEndpoint) {
        if self.0.len() >= Self::MAX {
            self.0.pop_front();
        }
        self.0.push_back(listed);
    }

    fn contains(&self, listed: &ListedEndpoint) -> bool {
        self.0
            .iter()
            .any(|left| left.id == listed.id && is_same_lifetime(left, listed))
    }
}

/// A control instance in a term in which it leads. In another term it knows nothing of requests that it
/// queued in this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Leadership {
    pub(crate) instance: InstanceId,
    pub(crate) term: u64,
}

/// State that orders updates from different control instances.
#[derive(Default)]
struct SyncState {
    routing_index: u64,
    term: u64,
    leader: Option<InstanceId>,
    /// Term in which the leader was elected.
    leader_term: u64,
    /// When the leader last sent its state; `None` before the first one.
    leader_heard_at: Option<Timestamp>,
    tracker: ListTracker,
    fetch: DocumentFetch,
}

/// Time after the last state of the leader in which the routes count as current. Above the interval of
/// its states, and below the time within which a change must be in force everywhere.
const CURRENT_TIME: Duration = Duration::from_millis(1_500);

/// Immutable snapshot of the known endpoints.
#[derive(Default)]
pub(crate) struct EndpointSet {
    by_id: HashMap<EndpointId, Arc<EndpointEntry>>,
    /// Endpoints that accept new work, by service and role.
    active: HashMap<ServiceId, HashMap<EndpointRole, Vec<Arc<EndpointEntry>>>>,
}

impl Directory {
    pub(crate) fn new(format: Arc<dyn DocumentFormat>, sockets: Arc<EndpointSockets>) -> Self {
        Self {
            format,
            sockets,
            table: ArcSwapOption::empty(),
            endpoints: ArcSwap::default(),
            data_centres_out: ArcSwap::default(),
            left: Mutex::default(),
            sync_state: Mutex::default(),
            document_announced: Notify::new(),
        }
    }

    /// The route table; `None` before the first document.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    pub(crate) fn is_out_of_service(&self, data_centre: &DataCentreId) -> bool {
        self.data_centres_out.load().contains(data_centre)
    }

    pub(crate) fn endpoints(&self) -> Arc<EndpointSet> {
        self.endpoints.load_full()
    }

    /// The control leader of the highest known term; `None` before one is known.
    pub(crate) fn leader(&self) -> Option<InstanceId> {
        self.sync_state().leader.clone()
    }

    /// The leadership of the highest known term; `None` before one is known.
    pub(crate) fn leadership(&self) -> Option<Leadership> {
        let sync_state = self.sync_state();
        let instance = sync_state.leader.clone()?;
        Some(Leadership {
            instance,
            term: sync_state.leader_term,
        })
    }

    /// Whether routes and endpoints are known.
    pub(crate) fn is_complete(&self) -> bool {
        self.table.load().is_some() && self.sync_state().tracker.is_complete()
    }

    /// Whether the routes are those that a control leader confirmed a moment ago, so that an unknown
    /// route or key does not exist.
    pub(crate) fn is_current(&self, now: Timestamp) -> bool {
        let sync_state = self.sync_state();
        let heard_at = sync_state.leader_heard_at;
        let is_fresh = heard_at.is_some_and(|at| now.since(at) < CURRENT_TIME);
        is_fresh && !sync_state.fetch.is_behind()
    }

    /// What to do to get a newer document, if one is known.
    pub(crate) fn next_fetch(&self, now: Timestamp) -> FetchAction {
        self.sync_state().fetch.next(now)
    }

    /// Forgets the document of a control instance whose connection was lost.
    pub(crate) fn forget_document_of(&self, instance: &InstanceId) {
        self.sync_state().fetch.forget(instance);
    }

    /// Applies the state of a control instance; `is_local` is true if it runs in the own data
    /// centre.
    pub(crate) fn apply_state(
        &self,
        now: Timestamp,
        instance: &InstanceId,
        state: &ControlState,
        is_local: bool,
    ) {
        let mut sync_state = self.sync_state();
        if state.term >= sync_state.term {
            sync_state.term = state.term;
            if state.leader.is_some() && sync_state.leader != state.leader {
                info!(
                    "control_leader={} term={}",
                    state.leader.as_ref().map_or("none", InstanceId::as_str),
                    state.term
                );
                sync_state.leader.clone_from(&state.leader);
            }
            if state.leader.is_some() {
                sync_state.leader_term = state.term;
            }
            if state.leader.as_ref() == Some(instance) {
                sync_state.leader_heard_at = Some(now);
            }
        }
        if state.routing_index > sync_state.routing_index {
            sync_state.routing_index = state.routing_index;
            let out: BTreeSet<_> = state.data_centres_out.iter().cloned().collect();
            if **self.data_centres_out.load() != out {
                let names: Vec<_> = out.iter().map(DataCentreId::as_str).collect();
                info!(
                    "data_centres_out=[{}] index={}",
                    names.join(","),
                    state.routing_index
                );
                self.data_centres_out.store(Arc::new(out));
            }
        }
        let current = self.version();
        sync_state
            .fetch
            .announce(now, instance, is_local, state.version, current);
        if sync_state.fetch.is_behind() {
            self.document_announced.notify_one();
        }
    }

    /// Applies a routing document if it is newer.
    pub(crate) fn apply_document(&self, version: DocumentVersion, bytes: &[u8]) {
        let mut sync_state = self.sync_state();
        if Some(version) <= self.version() {
            return;
        }
        match self.format.read(bytes) {
            Ok(cfg) => {
                info!(
                    "routing_version={version} routes={} accounts={} bytes={}",
                    cfg.routes.len(),
                    cfg.accounts.len(),
                    bytes.len()
                );
                self.table.store(Some(Arc::new(RouteTable::new(cfg))));
                sync_state.fetch.received(version);
            }
            Err(e) => warn!("routing_version={version} outcome=unreadable reason=\"{e}\""),
        }
    }

    /// Applies a digest of the leader's endpoint list. Returns the buckets that differ from the
    /// current list.
    pub(crate) fn apply_digest(&self, now: Timestamp, digest: &ListDigest) -> Vec<u16> {
        let mut sync_state = self.sync_state();
        let current = self.endpoints();
        let own = sync::bucket_hashes(current.by_id.values().map(|each| &each.listed));
        match sync_state.tracker.on_digest(digest, &own) {
            UpdateAction::Ignore => return Vec::new(),
            UpdateAction::Request(buckets) => return buckets,
            UpdateAction::Apply => {}
        }
        let cold: Vec<_> = digest
            .cold
            .iter()
            .filter_map(|(id, remaining)| {
                let listed = current.by_id.get(id)?.listed.clone();
                Some(ListedEndpoint {
                    cold_remaining: *remaining,
                    ..listed
                })
            })
            .collect();
        self.replace_endpoints(now, &sync_state, &cold, &[]);
        Vec::new()
    }

    /// Applies a change of the endpoint list. Returns the buckets to request if an update was
    /// missed.
    pub(crate) fn apply_change(&self, now: Timestamp, change: &ListChange) -> Vec<u16> {
        let mut sync_state = self.sync_state();
        match sync_state.tracker.on_change(change) {
            UpdateAction::Ignore => Vec::new(),
            UpdateAction::Request(buckets) => buckets,
            UpdateAction::Apply => {
                self.replace_endpoints(now, &sync_state, &change.upserted, &change.removed);
                Vec::new()
            }
        }
    }

    /// Applies the contents of some buckets of the endpoint list.
    pub(crate) fn apply_parts(&self, now: Timestamp, parts: &ListParts) {
        let mut sync_state = self.sync_state();
        if sync_state.tracker.on_parts(parts) != UpdateAction::Apply {
            return;
        }
        let listed: HashSet<&EndpointId> = parts.endpoints.iter().map(|each| &each.id).collect();
        let current = self.endpoints();
        let removed: Vec<EndpointId> = current
            .by_id
            .keys()
            .filter(|id| parts.buckets.contains(&sync::bucket_of(id)) && !listed.contains(id))
            .cloned()
            .collect();
        self.replace_endpoints(now, &sync_state, &parts.endpoints, &removed);
    }

    /// Inserts and removes endpoints. The tracked state of continuing lifetimes is kept.
    fn replace_endpoints(
        &self,
        now: Timestamp,
        sync_state: &SyncState,
        upserted: &[ListedEndpoint],
        removed: &[EndpointId],
    ) {
        let mut by_id = self.endpoints().by_id.clone();
        for listed in upserted {
            let current = by_id.get(&listed.id);
            if current.is_none_or(|current| !current.is_unchanged(now, listed)) {
                let current = current.map(AsRef::as_ref);
                let entry = EndpointEntry::new(now, listed, current, &self.sockets);
                if self.left().contains(listed) {
                    entry.set_leaving();
                }
                by_id.insert(listed.id.clone(), Arc::new(entry));
            }
        }
        for id in removed {
            if let Some(entry) = by_id.remove(id)
                && entry.is_leaving()
            {
                self.left().add(entry.listed.clone());
            }
            info!(
                "endpoint={id} state=gone sequence={}",
                sync_state.tracker.sequence()
            );
        }
        self.endpoints.store(Arc::new(EndpointSet::new(by_id)));
    }

    fn left(&self) -> MutexGuard<'_, LeftEndpoints> {
        self.left.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn version(&self) -> Option<DocumentVersion> {
        let table = self.table.load();
        table.as_ref().map(|table| table.configuration().version)
    }

    fn sync_state(&self) -> MutexGuard<'_, SyncState> {
        self.sync_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl EndpointSet {
    fn new(by_id: HashMap<EndpointId, Arc<EndpointEntry>>) -> Self {
        let mut active = HashMap::<_, HashMap<_, Vec<_>>>::new();
        for entry in by_id.values() {
            if entry.listed.state == EndpointState::Active {
                let roles = active.entry(entry.listed.service.clone()).or_default();
                let same_role = roles.entry(entry.listed.role).or_default();
                same_role.push(Arc::clone(entry));
            }
        }
        Self { by_id, active }
    }

    /// The endpoint with this identifier; `None` if it is unknown or accepts no new work.
    pub(crate) fn get(&self, id: &EndpointId) -> Option<&Arc<EndpointEntry>> {
        self.by_id
            .get(id)
            .filter(|entry| entry.listed.state == EndpointState::Active)
            .filter(|entry| !entry.is_leaving())
    }

    /// All endpoints of a service, also those that accept no new work.
    pub(crate) fn of_service(
        &self,
        service: &ServiceId,
    ) -> impl Iterator<Item = &Arc<EndpointEntry>> {
        let endpoints = self.by_id.values();
        endpoints.filter(move |each| each.listed.service == *service)
    }

    /// The endpoints of a service and role that accept new work.
    pub(crate) fn active(&self, service: &ServiceId, role: EndpointRole) -> &[Arc<EndpointEntry>] {
        let roles = self.active.get(service);
        roles
            .and_then(|roles| roles.get(&role))
            .map_or(&[], Vec::as_slice)
    }
}
