//! What control instances told: routes, endpoints, data centres that are out.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
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
use mimosa_route::message::ControlState;
use mimosa_route::sync;
use mimosa_route::sync::Follower;
use mimosa_route::sync::ListChange;
use mimosa_route::sync::ListDigest;
use mimosa_route::sync::ListParts;
use mimosa_route::sync::News;
use mimosa_schedule::cold::ColdStart;
use mimosa_schedule::health::Health;

use crate::connection::Pool;
use crate::dialect::ReportedLoad;

/// Everything that control instances told.
pub(crate) struct Directory {
    format: Arc<dyn DocumentFormat>,
    table: ArcSwapOption<RouteTable>,
    endpoints: ArcSwap<Endpoints>,
    out: ArcSwap<BTreeSet<DataCentreId>>,
    update: Mutex<Update>,
}

/// What orders the news of different control instances.
#[derive(Default)]
struct Update {
    changed: u64,
    term: u64,
    leader: Option<InstanceId>,
    follower: Follower,
    wanted: Option<WantedDocument>,
}

/// A document that is newer than the one held.
struct WantedDocument {
    version: DocumentVersion,
    heard: Timestamp,
    asked: Option<Timestamp>,
}

/// How long a gateway waits for a control instance of its own data centre to have a new document,
/// before it asks any other for it: such an instance learns of it a round trip later than the leader.
const NEAR_PATIENCE: Duration = Duration::from_millis(150);
/// How long it waits for a document that it asked for before it asks another instance.
const DOCUMENT_PATIENCE: Duration = Duration::from_millis(500);

/// The endpoints of one list.
#[derive(Default)]
pub(crate) struct Endpoints {
    known: HashMap<EndpointId, Arc<EndpointEntry>>,
    /// Those that take new work.
    active: HashMap<ServiceId, HashMap<EndpointRole, Vec<Arc<EndpointEntry>>>>,
}

/// One life of an endpoint, with what this gateway knows of it.
pub(crate) struct EndpointEntry {
    pub(crate) listed: ListedEndpoint,
    cold: Mutex<ColdStart>,
    pub(crate) pool: Pool,
    /// Requests of this gateway that it has in hand.
    pub(crate) in_hand: Arc<AtomicU32>,
    pub(crate) health: Mutex<Health>,
    told: Mutex<Option<(Timestamp, ReportedLoad)>>,
}

impl EndpointEntry {
    pub(crate) fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn cold(&self) -> MutexGuard<'_, ColdStart> {
        self.cold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn tell_load(&self, now: Timestamp, load: ReportedLoad) {
        *self.told.lock().unwrap_or_else(PoisonError::into_inner) = Some((now, load));
    }

    pub(crate) fn told_load(&self) -> Option<(Timestamp, ReportedLoad)> {
        *self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request in hand at an endpoint until dropped.
pub(crate) struct InHand(Arc<EndpointEntry>);

impl InHand {
    pub(crate) fn new(endpoint: &Arc<EndpointEntry>) -> Self {
        endpoint.in_hand.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(endpoint))
    }
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.in_hand.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Directory {
    pub(crate) fn new(format: Arc<dyn DocumentFormat>) -> Self {
        Self {
            format,
            table: ArcSwapOption::empty(),
            endpoints: ArcSwap::default(),
            out: ArcSwap::default(),
            update: Mutex::default(),
        }
    }

    /// The routes; `None` before the first document.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    pub(crate) fn is_out(&self, data_centre: &DataCentreId) -> bool {
        self.out.load().contains(data_centre)
    }

    pub(crate) fn endpoints(&self) -> Arc<Endpoints> {
        self.endpoints.load_full()
    }

    /// The control instance that leads, as far as it is known.
    pub(crate) fn leader(&self) -> Option<InstanceId> {
        self.update().leader.clone()
    }

    /// Whether requests can be served.
    pub(crate) fn is_complete(&self) -> bool {
        self.table.load().is_some() && self.update().follower.is_complete()
    }

    /// Takes in the state of a control instance, which may stand near. Returns whether its document
    /// is wanted: from one instance alone, as all of them tell of it.
    pub(crate) fn take_state(&self, now: Timestamp, state: &ControlState, near: bool) -> bool {
        let mut update = self.update();
        if state.term >= update.term {
            update.term = state.term;
            if state.leader.is_some() && update.leader != state.leader {
                info!(
                    "control_leader={} term={}",
                    state.leader.as_ref().map_or("none", InstanceId::as_str),
                    state.term
                );
                update.leader.clone_from(&state.leader);
            }
        }
        if state.routing_index > update.changed {
            update.changed = state.routing_index;
            let out: BTreeSet<_> = state.data_centres_out.iter().cloned().collect();
            if **self.out.load() != out {
                let names: Vec<_> = out.iter().map(DataCentreId::as_str).collect();
                info!(
                    "data_centres_out=[{}] index={}",
                    names.join(","),
                    state.routing_index
                );
                self.out.store(Arc::new(out));
            }
        }
        match state.version {
            Some(version) if Some(version) > self.version() => update.wants(now, version, near),
            _ => false,
        }
    }

    /// Takes in a routing document if it is newer.
    pub(crate) fn take_document(&self, version: DocumentVersion, bytes: &[u8]) {
        let _update = self.update();
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
            }
            Err(flaw) => warn!("routing_version={version} outcome=unreadable reason=\"{flaw}\""),
        }
    }

    /// Takes in which list of endpoints the leader has. Returns the buckets that differ from what is
    /// held.
    pub(crate) fn take_digest(&self, now: Timestamp, digest: &ListDigest) -> Vec<u16> {
        let mut update = self.update();
        let held = self.endpoints();
        let own = sync::hashes(held.known.values().map(|each| &each.listed));
        match update.follower.digest(digest, &own) {
            News::Old => return Vec::new(),
            News::Want(buckets) => return buckets,
            News::Apply => {}
        }
        let cold: Vec<_> = digest
            .cold
            .iter()
            .filter_map(|(id, left)| {
                let listed = held.known.get(id)?.listed.clone();
                Some(ListedEndpoint {
                    cold_remaining: *left,
                    ..listed
                })
            })
            .collect();
        self.replace_endpoints(now, &update, &cold, &[]);
        Vec::new()
    }

    /// Takes in a change of the list of endpoints. Returns the buckets to ask for, if some news
    /// were missed.
    pub(crate) fn take_change(&self, now: Timestamp, change: &ListChange) -> Vec<u16> {
        let mut update = self.update();
        match update.follower.change(change) {
            News::Old => Vec::new(),
            News::Want(buckets) => buckets,
            News::Apply => {
                self.replace_endpoints(now, &update, &change.put, &change.gone);
                Vec::new()
            }
        }
    }

    /// Takes in a part of the list of endpoints.
    pub(crate) fn take_parts(&self, now: Timestamp, parts: &ListParts) {
        let mut update = self.update();
        if update.follower.parts(parts) != News::Apply {
            return;
        }
        let listed: HashSet<&EndpointId> = parts.endpoints.iter().map(|each| &each.id).collect();
        let held = self.endpoints();
        let gone: Vec<EndpointId> = held
            .known
            .keys()
            .filter(|id| parts.buckets.contains(&sync::bucket_of(id)) && !listed.contains(id))
            .cloned()
            .collect();
        self.replace_endpoints(now, &update, &parts.endpoints, &gone);
    }

    /// Puts some endpoints in place and drops others. What is known of lives that go on stays.
    fn replace_endpoints(
        &self,
        now: Timestamp,
        update: &Update,
        put: &[ListedEndpoint],
        gone: &[EndpointId],
    ) {
        let mut known = self.endpoints().known.clone();
        for listed in put {
            let held = known.get(&listed.id);
            if held.is_none_or(|held| !held.is_as_listed(now, listed)) {
                let entry = EndpointEntry::new(now, listed, held.map(AsRef::as_ref));
                known.insert(listed.id.clone(), Arc::new(entry));
            }
        }
        for id in gone {
            known.remove(id);
            info!(
                "endpoint={id} state=gone sequence={}",
                update.follower.sequence()
            );
        }
        self.endpoints.store(Arc::new(Endpoints::new(known)));
    }

    fn version(&self) -> Option<DocumentVersion> {
        let table = self.table.load();
        table.as_ref().map(|table| table.configuration().version)
    }

    fn update(&self) -> MutexGuard<'_, Update> {
        self.update.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Update {
    /// Whether to ask an instance for a document that it has.
    fn wants(&mut self, now: Timestamp, version: DocumentVersion, near: bool) -> bool {
        let known = self.wanted.take();
        let known = known.filter(|wanted| wanted.version >= version);
        let mut wanted = known.unwrap_or(WantedDocument {
            version,
            heard: now,
            asked: None,
        });
        let is_asked = wanted
            .asked
            .is_some_and(|at| now.since(at) < DOCUMENT_PATIENCE);
        let may_ask = near || now.since(wanted.heard) >= NEAR_PATIENCE;
        let asks = wanted.version == version && may_ask && !is_asked;
        if asks {
            wanted.asked = Some(now);
        }
        self.wanted = Some(wanted);
        asks
    }
}

impl Endpoints {
    fn new(known: HashMap<EndpointId, Arc<EndpointEntry>>) -> Self {
        let mut active = HashMap::<_, HashMap<_, Vec<_>>>::new();
        for entry in known.values() {
            if entry.listed.state == EndpointState::Active {
                let roles = active.entry(entry.listed.service.clone()).or_default();
                let alike = roles.entry(entry.listed.role).or_default();
                alike.push(Arc::clone(entry));
            }
        }
        Self { known, active }
    }

    /// An endpoint that takes new work.
    pub(crate) fn get(&self, id: &EndpointId) -> Option<&Arc<EndpointEntry>> {
        self.known
            .get(id)
            .filter(|entry| entry.listed.state == EndpointState::Active)
    }

    /// The endpoints of a service with a role that take new work.
    pub(crate) fn active(&self, service: &ServiceId, role: EndpointRole) -> &[Arc<EndpointEntry>] {
        let roles = self.active.get(service);
        roles
            .and_then(|roles| roles.get(&role))
            .map_or(&[], Vec::as_slice)
    }
}

impl EndpointEntry {
    /// Whether it is what a list tells, also in how long it stays cold.
    fn is_as_listed(&self, now: Timestamp, listed: &ListedEndpoint) -> bool {
        let as_before = ListedEndpoint {
            cold_remaining: self.listed.cold_remaining,
            ..listed.clone()
        };
        let is_as_cold = self.cold().until().since(now) == listed.cold_remaining;
        is_as_cold && self.listed == as_before
    }

    fn new(now: Timestamp, listed: &ListedEndpoint, held: Option<&Self>) -> Self {
        info!(
            "endpoint={} service={} address={} role={:?} state={:?} cold_ms={}",
            listed.id,
            listed.service,
            listed.address,
            listed.role,
            listed.state,
            listed.cold_remaining.as_millis()
        );
        let goes_on = held.filter(|held| {
            held.listed.started_at_ms == listed.started_at_ms
                && held.listed.address == listed.address
        });
        let mut cold = goes_on.map(|held| *held.cold()).unwrap_or_default();
        cold.set_until(now, now + listed.cold_remaining);
        Self {
            listed: listed.clone(),
            cold: Mutex::new(cold),
            pool: goes_on.map_or_else(|| Pool::new(listed.address), |held| held.pool.clone()),
            in_hand: goes_on.map_or_else(Arc::default, |held| Arc::clone(&held.in_hand)),
            health: Mutex::new(goes_on.map_or_else(Health::default, |held| held.health().clone())),
            told: Mutex::new(goes_on.and_then(Self::told_load)),
        }
    }
}
