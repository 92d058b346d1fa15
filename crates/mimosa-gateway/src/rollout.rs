//! Rollouts at a gateway: the versions that may serve a request, the permits for the new one, and the
//! reports to the leader.
//!
//! Without a rollout of the service, versions are ignored and nothing is counted.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use log::info;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::ServiceVersion;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_rollout::OutcomeCounts;
use mimosa_rollout::PermitGrant;
use mimosa_rollout::RolloutNumber;
use mimosa_rollout::RolloutPhase;
use mimosa_rollout::RolloutReport;
use mimosa_rollout::RolloutView;
use mimosa_rollout::permits::Permits;
use mimosa_rollout::permits::REPORT_INTERVAL;
use mimosa_route::message::GatewayMessage;
use mimosa_schedule::fleet::StreamVersion;
use mimosa_schedule::versions;
use mimosa_schedule::versions::VersionUse;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::dialect::Step;
use crate::directory::EndpointEntry;
use crate::directory::EndpointSet;
use crate::head::IdentifiedRequest;
use crate::shared::Shared;
use crate::upstream;

/// Interval of the reports with all outcomes. The others have only those that changed, which a report
/// lost with its connection may have named.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Tokens to whose time the durations of model calls refer. The time of one token is below the
/// resolution of the histogram.
const UNIT: u64 = 100;

/// The latest rollout of each service, and the counters of those that run.
#[derive(Default)]
pub(crate) struct Rollouts {
    /// Read for each request without a lock.
    views: ArcSwap<HashMap<ServiceId, Arc<RolloutView>>>,
    running: Mutex<HashMap<ServiceId, RunningRollout>>,
    /// Notified when a rollout starts.
    started: Notify,
}

/// Permits and counters of a running rollout.
struct RunningRollout {
    permits: Permits,
    /// Minimum time between two uses of a permit, which spreads a grant over the time until the next.
    /// Used at once, the permits would load the new endpoints more than the old ones.
    permit_interval: Duration,
    next_permit_at: Timestamp,
    outcomes: HashMap<OutcomeKey, CountedOutcomes>,
    /// The leader that was sent all outcomes last, and when.
    full_report: Option<(InstanceId, Timestamp)>,
}

/// Route, data centre of the endpoint, and whether its version is the new one.
type OutcomeKey = (String, DataCentreId, bool);

struct CountedOutcomes {
    counts: OutcomeCounts,
    is_changed: bool,
}

impl RunningRollout {
    fn new(number: RolloutNumber) -> Self {
        Self {
            permits: Permits::new(number),
            permit_interval: Duration::ZERO,
            next_permit_at: Timestamp::ZERO,
            outcomes: HashMap::new(),
            full_report: None,
        }
    }

    fn has_permit(&mut self, now: Timestamp) -> bool {
        now >= self.next_permit_at && self.permits.available(now) > 0
    }

    fn on_grant(&mut self, now: Timestamp, grant: &PermitGrant) {
        if self.permits.on_grant(now, grant) {
            let permits = self.permits.available(now).max(1);
            let permits = u32::try_from(permits).unwrap_or(u32::MAX);
            self.permit_interval = REPORT_INTERVAL / permits;
        }
    }

    fn record(&mut self, call: &VersionedCall, outcome: CallOutcome) {
        let is_new = call.is_new;
        let key = (call.route.clone(), call.data_centre.clone(), is_new);
        let counted =
            self.outcomes
                .entry(key)
                .or_insert_with_key(|(route, data_centre, is_new)| CountedOutcomes {
                    counts: OutcomeCounts {
                        is_new: *is_new,
                        route: route.clone(),
                        data_centre: data_centre.clone(),
                        complete: 0,
                        failed: 0,
                        refused: 0,
                        durations: Default::default(),
                    },
                    is_changed: true,
                });
        let counts = &mut counted.counts;
        match outcome {
            CallOutcome::Complete(duration) => {
                counts.complete += 1;
                if call.is_warm {
                    counts.durations.record(duration);
                }
            }
            CallOutcome::Failed => counts.failed += 1,
            CallOutcome::Refused => counts.refused += 1,
        }
        counted.is_changed = true;
    }

    /// The outcomes to report: all of them to a leader that may not know them, otherwise those that
    /// changed.
    fn outcomes(&mut self, now: Timestamp, leader: &InstanceId) -> Vec<OutcomeCounts> {
        let is_full = self.full_report.as_ref().is_none_or(|(instance, at)| {
            instance != leader || now.since(*at) >= FULL_REPORT_INTERVAL
        });
        if is_full {
            self.full_report = Some((leader.clone(), now));
        }
        let outcomes = self.outcomes.values_mut();
        let reported = outcomes.filter_map(|each| {
            let is_reported = std::mem::take(&mut each.is_changed) || is_full;
            is_reported.then(|| each.counts.clone())
        });
        reported.collect()
    }
}

impl Rollouts {
    /// The latest rollout of a service; `None` if it had none.
    /// Whether a rollout restricts the endpoints of a service.
    pub(crate) fn restricts(&self, service: &ServiceId) -> bool {
        self.views.load().contains_key(service)
    }

    fn view(&self, service: &ServiceId) -> Option<Arc<RolloutView>> {
        self.views.load().get(service).cloned()
    }

    /// Applies the rollouts that a control instance knows. Instances may be behind each other, so an
    /// older view of a rollout is ignored.
    pub(crate) fn apply(&self, received: &[RolloutView]) {
        let is_newer = |views: &HashMap<ServiceId, Arc<RolloutView>>, view: &RolloutView| {
            let current = views.get(&view.service);
            current.is_none_or(|current| order(view) > order(current))
        };
        let current = self.views.load();
        if !received.iter().any(|view| is_newer(&current, view)) {
            return;
        }
        let mut running = self.lock();
        let mut views = HashMap::clone(&self.views.load());
        for view in received {
            if !is_newer(&views, view) {
                continue;
            }
            info!(
                "service={} rollout={} phase={} to={} from=[{}]",
                view.service,
                view.number,
                view.phase,
                view.to,
                names(&view.from)
            );
            if view.phase.is_running() {
                let rollout = running
                    .entry(view.service.clone())
                    .or_insert_with(|| RunningRollout::new(view.number));
                if rollout.permits.number() != view.number {
                    *rollout = RunningRollout::new(view.number);
                }
                if view.phase != RolloutPhase::Testing {
                    rollout.permits.withdraw();
                }
            } else {
                running.remove(&view.service);
            }
            views.insert(view.service.clone(), Arc::new(view.clone()));
        }
        let is_running = !running.is_empty();
        self.views.store(Arc::new(views));
        drop(running);
        if is_running {
            self.started.notify_one();
        }
    }

    /// Takes the permits that the leader granted.
    pub(crate) fn on_grant(&self, now: Timestamp, grant: &PermitGrant) {
        if let Some(rollout) = self.lock().get_mut(&grant.service) {
            rollout.on_grant(now, grant);
        }
    }

    /// Counts a request of a client, which is about to be sent to an endpoint for the first time.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        if self.is_running(service)
            && let Some(rollout) = self.lock().get_mut(service)
        {
            rollout.permits.count_request();
        }
    }

    /// Starts to follow a call to an endpoint; `None` without a running rollout of the service.
    pub(crate) fn track(
        &self,
        now: Timestamp,
        request: &IdentifiedRequest,
        endpoint: &EndpointEntry,
        step: &Step,
    ) -> Option<VersionedCall> {
        let view = self.view(&request.service)?;
        if !view.phase.is_running() {
            return None;
        }
        let route = &request.route;
        // Prefills are compared with each other only: their durations are not those of responses.
        let suffix = if matches!(step, Step::Prefill) {
            " prefill"
        } else {
            ""
        };
        Some(VersionedCall {
            service: request.service.clone(),
            number: view.number,
            is_new: endpoint.listed.version.as_ref() == Some(&view.to),
            route: format!("{}{}{suffix}", route.host, route.path_prefix),
            data_centre: endpoint.listed.data_centre.clone(),
            is_warm: !endpoint.cold().is_cold(now),
            sent: now,
        })
    }

    /// Whether an endpoint that the leader selected may still get the request. The leader may select
    /// an old one just before it learns of the move; that request then counts as begun before it.
    pub(crate) fn accepts_placement(&self, service: &ServiceId, endpoint: &EndpointEntry) -> bool {
        let version = endpoint.listed.version.as_ref();
        self.view(service).is_none_or(|view| {
            versions::version_use_of_stream(&view, version, version) != VersionUse::Excluded
        })
    }

    /// Whether a decode may read a KV cache that another endpoint computed.
    pub(crate) fn can_use_cache(
        &self,
        service: &ServiceId,
        holder: &EndpointEntry,
        decode: &EndpointEntry,
    ) -> bool {
        self.view(service).is_none() || holder.listed.version == decode.listed.version
    }

    fn is_running(&self, service: &ServiceId) -> bool {
        let views = self.views.load();
        let view = views.get(service);
        view.is_some_and(|view| view.phase.is_running())
    }

    /// The reports that are due, one for each running rollout.
    fn reports(
        &self,
        now: Timestamp,
        leader: &InstanceId,
        endpoints: &EndpointSet,
    ) -> Vec<RolloutReport> {
        let mut running = self.lock();
        let reports = running.iter_mut().filter_map(|(service, rollout)| {
            let view = self.view(service)?;
            let report = rollout.permits.report(now, &view);
            let is_new =
                |each: &&Arc<EndpointEntry>| each.listed.version.as_ref() == Some(&view.to);
            let (new, old): (Vec<_>, Vec<_>) = endpoints.of_service(service).partition(is_new);
            let in_flight = |endpoints: Vec<&Arc<EndpointEntry>>| {
                let endpoints = endpoints.iter();
                endpoints.map(|each| each.in_flight()).sum()
            };
            Some(RolloutReport {
                in_flight_new: in_flight(new),
                in_flight_old: in_flight(old),
                outcomes: rollout.outcomes(now, leader),
                ..report
            })
        });
        reports.collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceId, RunningRollout>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Orders the views of the rollouts of a service. The lists of versions only grow within a rollout.
fn order(view: &RolloutView) -> (RolloutNumber, RolloutPhase, usize) {
    (view.number, view.phase, view.from.len() + view.barred.len())
}

fn names(versions: &[ServiceVersion]) -> String {
    let names: Vec<_> = versions.iter().map(ServiceVersion::as_str).collect();
    names.join(",")
}

/// Reports to the leader while a rollout runs, until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        if shared.rollouts.lock().is_empty() {
            shared.rollouts.started.notified().await;
            // All gateways learn of a rollout at the same moment; this spreads their reports.
            let interval_us = u64::try_from(REPORT_INTERVAL.as_micros()).unwrap_or(1);
            sleep(Duration::from_micros(shared.pacing_number % interval_us)).await;
            continue;
        }
        if let Some(leader) = shared.directory.leader()
            && shared.placement.has_leader()
        {
            let endpoints = shared.directory.endpoints();
            for report in shared.rollouts.reports(shared.now(), &leader, &endpoints) {
                shared
                    .placement
                    .send_to_leader(GatewayMessage::ReportRollout(report));
            }
        }
        sleep(REPORT_INTERVAL).await;
    }
}

/// A permit that was taken for one attempt. It counts as used unless it is given back.
pub(crate) struct TakenPermit {
    service: ServiceId,
    number: RolloutNumber,
    term: u64,
}

impl TakenPermit {
    /// Returns a permit after nothing was sent to an endpoint.
    pub(crate) fn give_back(self, rollouts: &Rollouts) {
        if let Some(rollout) = rollouts.lock().get_mut(&self.service)
            && rollout.permits.number() == self.number
        {
            rollout.permits.give_back(self.term);
        }
    }
}

/// An endpoint selected for an attempt, and the permit that the attempt uses.
pub(crate) struct Selected {
    pub(crate) endpoint: Arc<EndpointEntry>,
    pub(crate) permit: Option<TakenPermit>,
}

/// Selects an endpoint of a plain service that was not tried yet, on a version that the rollout of the
/// service allows; `None` if there is no usable one.
pub(crate) fn select_endpoint(
    shared: &Shared,
    now: Timestamp,
    endpoints: &EndpointSet,
    request: &IdentifiedRequest,
    tried: &[Arc<EndpointEntry>],
) -> Option<Selected> {
    let role = EndpointRole::Plain;
    let usable = upstream::usable_endpoints(shared, now, endpoints, request, role, tried);
    let Some(view) = shared.rollouts.view(&request.service) else {
        let endpoint = upstream::select_usable(shared, now, request, &usable)?;
        return Some(Selected {
            endpoint,
            permit: None,
        });
    };
    if let Some(selected) = select_with_permit(shared, now, request, &view, &usable, tried) {
        return Some(selected);
    }
    let allowed = |each: &&Arc<EndpointEntry>| {
        let version = each.listed.version.as_ref();
        versions::version_use(&view, version) == VersionUse::Allowed
    };
    let usable: Vec<_> = usable.into_iter().filter(allowed).collect();
    let endpoint = upstream::select_usable(shared, now, request, &usable)?;
    Some(Selected {
        endpoint,
        permit: None,
    })
}

/// Selects one of the few endpoints of the new version that get the requests with permits, and takes a
/// permit. After an attempt there failed, the old version gets the next one.
fn select_with_permit(
    shared: &Shared,
    now: Timestamp,
    request: &IdentifiedRequest,
    view: &RolloutView,
    usable: &[&Arc<EndpointEntry>],
    tried: &[Arc<EndpointEntry>],
) -> Option<Selected> {
    let is_new = |each: &EndpointEntry| each.listed.version.as_ref() == Some(&view.to);
    if view.phase != RolloutPhase::Testing || tried.iter().any(|each| is_new(each)) {
        return None;
    }
    let mut running = shared.rollouts.lock();
    let rollout = running.get_mut(&request.service)?;
    if rollout.permits.number() != view.number || !rollout.has_permit(now) {
        return None;
    }
    let usable = usable.iter().copied().filter(|each| is_new(each));
    let mut new: Vec<_> = usable
        .filter(|each| !each.health().is_backing_off(now))
        .collect();
    // Cold endpoints are used only without a warm one, and far ones only without a near one, as the
    // old ones of the own data centre set the usual duration.
    let rank = |each: &EndpointEntry| {
        let is_remote = each.listed.data_centre != shared.settings.data_centre;
        let is_cold = each.cold().is_cold(now);
        (is_cold, is_remote)
    };
    new.sort_by_cached_key(|each| (rank(each), each.listed.id.clone()));
    let best = rank(new.first()?);
    new.retain(|each| rank(each) == best);
    let few = usize::try_from(rollout.permits.endpoints()).unwrap_or(usize::MAX);
    new.truncate(few.max(1));
    let term = rollout.permits.term();
    if !rollout.permits.take(now) {
        return None;
    }
    rollout.next_permit_at = now + rollout.permit_interval;
    let permit = TakenPermit {
        service: request.service.clone(),
        number: view.number,
        term,
    };
    drop(running);
    let Some(endpoint) = upstream::select_usable(shared, now, request, &new) else {
        permit.give_back(&shared.rollouts);
        return None;
    };
    Some(Selected {
        endpoint,
        permit: Some(permit),
    })
}

/// The versions on which a gateway may place a request to a model itself: without a permit, and all
/// endpoints of the request on one version.
pub(crate) struct LocalVersions {
    view: Option<Arc<RolloutView>>,
    began_on: Option<StreamVersion>,
    /// The version of an endpoint that was selected.
    selected: Option<Option<ServiceVersion>>,
}

impl LocalVersions {
    pub(crate) fn new(
        rollouts: &Rollouts,
        request: &IdentifiedRequest,
        began_on: Option<&StreamVersion>,
    ) -> Self {
        Self {
            view: rollouts.view(&request.service),
            began_on: began_on.cloned(),
            selected: None,
        }
    }

    pub(crate) fn allows(&self, endpoint: &EndpointEntry) -> bool {
        let Some(view) = &self.view else { return true };
        let version = endpoint.listed.version.as_ref();
        let version_use = match &self.began_on {
            Some(StreamVersion(began_on)) => {
                versions::version_use_of_stream(view, version, began_on.as_ref())
            }
            None => versions::version_use(view, version),
        };
        let is_same = self
            .selected
            .as_ref()
            .is_none_or(|selected| selected.as_ref() == version);
        is_same && version_use == VersionUse::Allowed
    }

    /// Restricts the other endpoints of the request to the version of this one.
    pub(crate) fn select(&mut self, endpoint: &EndpointEntry) {
        self.selected = Some(endpoint.listed.version.clone());
    }
}

/// Way in which a call to an endpoint ended, for the comparison of the versions.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallOutcome {
    /// The response is complete. With its duration, or that of a unit of it.
    Complete(Duration),
    Failed,
    Refused,
}

impl CallOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Complete(_) => "complete",
            Self::Failed => "failed",
            Self::Refused => "refused",
        }
    }
}

/// A call to an endpoint of a service with a running rollout. A call whose client disconnects has no
/// outcome.
#[derive(Clone)]
pub(crate) struct VersionedCall {
    service: ServiceId,
    number: RolloutNumber,
    is_new: bool,
    route: String,
    data_centre: DataCentreId,
    /// Whether the endpoint had ended its cold start when the call was sent.
    is_warm: bool,
    sent: Timestamp,
}

impl VersionedCall {
    /// Counts the outcome of the call.
    pub(crate) fn record(&self, shared: &Shared, outcome: CallOutcome) {
        let version = if self.is_new { "new" } else { "old" };
        shared
            .metrics
            .record_version_call(self.service.as_str(), version, outcome.as_str());
        if let Some(rollout) = shared.rollouts.lock().get_mut(&self.service)
            && rollout.permits.number() == self.number
        {
            rollout.record(self, outcome);
        }
    }

    /// Counts a response that has ended, or was cut. A server error status is a failure.
    pub(crate) fn record_response(&self, shared: &Shared, now: Timestamp, is_good: bool) {
        let outcome = match is_good {
            true => CallOutcome::Complete(now.since(self.sent)),
            false => CallOutcome::Failed,
        };
        self.record(shared, outcome);
    }

    /// Counts a complete response of this size with the time per [`UNIT`] of it, because responses of
    /// models differ in length.
    pub(crate) fn record_sized(&self, shared: &Shared, now: Timestamp, size: u64) {
        let time = now.since(self.sent).as_micros() * u128::from(UNIT) / u128::from(size.max(1));
        let time = u64::try_from(time).unwrap_or(u64::MAX);
        self.record(shared, CallOutcome::Complete(Duration::from_micros(time)));
    }
}
