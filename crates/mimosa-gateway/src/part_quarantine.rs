//! Rejection of requests that crash endpoints, or whose prompts do. The leader attributes the crashes
//! that gateways report; gateways apply its result, also while no leader answers.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Uri;
use log::info;
use mimosa_hold::part_quarantine::PartQuarantine;
use mimosa_hold::part_quarantine::RecentSoundRuns;
use mimosa_hold::part_quarantine::RequestParts;
use mimosa_hold::part_quarantine::Suspects;
use mimosa_hold::quarantine::CrashId;
use mimosa_hold::quarantine::Fingerprint;
use mimosa_protocol::Incarnation;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_route::ListedEndpoint;
use mimosa_route::message::GatewayMessage;

use crate::directory::EndpointEntry;
use crate::dispatch::PlacementClient;
use crate::head::IdentifiedRequest;
use crate::response::Failure;
use crate::shared::Shared;
use crate::upstream::ClientRequest;

/// Events of a stream after which its answer counts as started, which clears the parts of its
/// prompt.
pub(crate) const SOUND_EVENTS: u64 = 8;

/// Time for which lost runs are reported to new leaders; longer than a change of the leader takes.
const LOST_RUN_RETENTION: Duration = Duration::from_secs(30);
/// Lost runs kept for new leaders; beyond it the oldest is dropped.
const MAX_LOST_RUNS: usize = 64;
/// Sound runs of a service that are reported after each change of its suspects. A quarantine
/// requires as many.
const SOUND_REPORTS: u8 = 2;

/// The suspects known to this gateway, and its own recent lost runs.
#[derive(Default)]
pub(crate) struct KnownSuspects {
    inner: Mutex<Inner>,
    /// Newest term of a leader that was sent the suspects.
    reported_term: AtomicU64,
}

#[derive(Default)]
struct Inner {
    quarantine: PartQuarantine,
    sound_runs: RecentSoundRuns,
    /// Oldest first.
    lost_runs: VecDeque<LostRun>,
    sound_reports: SoundReports,
}

/// Number of sound runs of each service that remain to be reported.
#[derive(Default)]
struct SoundReports(HashMap<ServiceId, u8>);

impl SoundReports {
    fn request(&mut self, service: &ServiceId) {
        self.0.insert(service.clone(), SOUND_REPORTS);
    }

    /// Whether a sound run of this service is to be reported; counts it if so.
    fn take(&mut self, service: &ServiceId) -> bool {
        let remaining = self.0.get_mut(service);
        let remaining = remaining.filter(|remaining| **remaining > 0);
        remaining.map(|remaining| *remaining -= 1).is_some()
    }
}

/// A run that was lost with its endpoint at the start of its answer.
struct LostRun {
    at: Timestamp,
    service: ServiceId,
    process: CrashId,
    ran_for: Duration,
    parts: RequestParts,
}

impl LostRun {
    fn to_report(&self, now: Timestamp) -> GatewayMessage {
        GatewayMessage::ReportLostRun {
            service: self.service.clone(),
            process: self.process.clone(),
            ran_for: self.ran_for,
            age: now.since(self.at),
            parts: self.parts.clone(),
        }
    }
}

impl Inner {
    fn add_lost_run(&mut self, run: LostRun) {
        if self.lost_runs.len() >= MAX_LOST_RUNS {
            self.lost_runs.pop_front();
        }
        self.sound_reports.request(&run.service);
        self.lost_runs.push_back(run);
    }

    /// A later leader must not blame the parts of a sound run for earlier crashes.
    fn clear_lost_runs(&mut self, sound: &RequestParts) {
        self.lost_runs.retain_mut(|run| {
            run.parts.parts.retain(|part| !sound.parts.contains(part));
            run.parts.whole != sound.whole
        });
    }
}

impl KnownSuspects {
    /// Checks that a request may run.
    ///
    /// # Errors
    ///
    /// [`Failure::Quarantined`] with the rest of the quarantine.
    pub(crate) fn check(
        &self,
        now: Timestamp,
        request: &IdentifiedRequest,
        parts: &RequestParts,
    ) -> Result<(), Failure> {
        let Some(until) = self.lock().quarantine.quarantined_until(now, parts) else {
            return Ok(());
        };
        info!(
            "request={} step=quarantine outcome=rejected parts={} left_s={}",
            request.metadata.attempt_id,
            request.metadata.shared_parts_text(),
            until.since(now).as_secs()
        );
        Err(Failure::Quarantined(until.since(now)))
    }

    /// Merges the suspects that a control instance sent. Returns the report of those that were sound
    /// after crashes; `None` without any.
    pub(crate) fn on_suspects(
        &self,
        now: Timestamp,
        suspects: &Suspects,
    ) -> Option<GatewayMessage> {
        let Inner {
            quarantine,
            sound_runs,
            sound_reports,
            ..
        } = &mut *self.lock();
        for (_, suspect) in &suspects.suspects {
            sound_reports.request(&suspect.service);
        }
        quarantine.expire(now);
        let is_changed = quarantine.merge(now, suspects);
        let sound = quarantine.clear_remembered(sound_runs);
        if is_changed {
            info!(
                "suspects={} quarantined={} sound={}",
                quarantine.len(),
                quarantine.quarantined(),
                sound.len()
            );
        }
        let sound: Vec<_> = sound
            .into_iter()
            .map(|(part, at)| (part, now.since(at)))
            .collect();
        (!sound.is_empty()).then_some(GatewayMessage::ReportSoundParts(sound))
    }

    /// Whether a leader of this term has not been sent the suspects yet. A leader forgets them when
    /// it loses its lead, even if it is elected again.
    pub(crate) fn is_new_term(&self, term: u64) -> bool {
        self.reported_term.fetch_max(term, Ordering::Relaxed) < term
    }

    /// The recent lost runs and the known suspects, for a new leader.
    pub(crate) fn reports(&self, now: Timestamp) -> Vec<GatewayMessage> {
        let Inner {
            quarantine,
            lost_runs,
            sound_reports,
            ..
        } = &mut *self.lock();
        lost_runs.retain(|run| now.since(run.at) < LOST_RUN_RETENTION);
        for run in lost_runs.iter() {
            sound_reports.request(&run.service);
        }
        let mut reports: Vec<_> = lost_runs.iter().map(|run| run.to_report(now)).collect();
        let suspects = quarantine.suspects(now);
        if !suspects.suspects.is_empty() {
            reports.push(GatewayMessage::ReportSuspects(suspects));
        }
        reports
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Fingerprints of a request's content.
pub(crate) fn request_parts(request: &IdentifiedRequest, uri: &Uri, body: &[u8]) -> RequestParts {
    let shared_parts = request.metadata.shared_parts.iter();
    let own_part = request.metadata.own_part.as_ref();
    let own_part = own_part.map_or("", |part| part.0.as_str());
    let content = [uri.path().as_bytes(), own_part.as_bytes(), body];
    RequestParts {
        whole: Fingerprint::of_slices(request.account.as_ref(), &request.service, &content),
        parts: shared_parts
            .map(|part| Fingerprint::of_part(part.0.as_bytes()))
            .collect(),
    }
}

/// The run of a request at an endpoint, as reported to the leader.
#[derive(Clone)]
pub(crate) struct TrackedRun {
    attempt_id: String,
    service: ServiceId,
    parts: Arc<RequestParts>,
    is_sound: bool,
}

impl TrackedRun {
    pub(crate) fn new(request: &IdentifiedRequest, client_request: &ClientRequest) -> Self {
        Self {
            attempt_id: request.metadata.attempt_id.clone(),
            service: request.service.clone(),
            parts: Arc::clone(&client_request.parts),
            is_sound: false,
        }
    }

    /// Records that the answer is past its start; repetitions are ignored. Clears its parts if they
    /// are suspects. The leader counts the complete runs of models, but it does not know those of
    /// plain services, so a few of these are reported after crashes.
    pub(crate) fn record_sound(&mut self, now: Timestamp, shared: &Shared) {
        if self.is_sound {
            return;
        }
        self.is_sound = true;
        let mut inner = shared.suspects.lock();
        inner.sound_runs.record(now, &self.parts);
        inner.clear_lost_runs(&self.parts);
        let is_suspect = inner.quarantine.is_suspect(&self.parts);
        if is_suspect {
            inner.quarantine.clear(now, &self.parts);
        }
        let is_due = inner.sound_reports.take(&self.service);
        drop(inner);
        if is_suspect || is_due {
            self.report_sound(&shared.placement);
        }
    }

    /// Records that the endpoint broke the connection of this run. An endpoint that breaks the start
    /// of an event stream is taken for crashed. For other calls, which lose single answers more often,
    /// this is checked in the background.
    pub(crate) fn report_lost(
        &self,
        shared: &Arc<Shared>,
        endpoint: &Arc<EndpointEntry>,
        sent: Timestamp,
    ) {
        let lost_at = shared.now();
        if self.is_sound || endpoint.listed.role == EndpointRole::Decode {
            return self.report_ended(shared, &endpoint.listed, sent, lost_at);
        }
        let run = self.clone();
        let shared = Arc::clone(shared);
        let endpoint = Arc::clone(endpoint);
        tokio::spawn(async move {
            let keep = |connection| {
                endpoint.pool.put(shared.now(), connection);
                std::future::ready(false)
            };
            if endpoint.pool.has_ended(keep).await {
                run.report_ended(&shared, &endpoint.listed, sent, lost_at);
            } else {
                run.record_check(&shared, &endpoint.listed, sent, lost_at, false);
            }
        });
    }

    /// Records that this run was lost at `lost_at` with the endpoint's process.
    pub(crate) fn report_ended(
        &self,
        shared: &Shared,
        endpoint: &ListedEndpoint,
        sent: Timestamp,
        lost_at: Timestamp,
    ) {
        if self.is_sound {
            return self.report_sound(&shared.placement);
        }
        if endpoint.role != EndpointRole::Decode {
            self.record_check(shared, endpoint, sent, lost_at, true);
        }
        let process = CrashId {
            endpoint: endpoint.id.clone(),
            incarnation: Incarnation(endpoint.started_at_ms),
        };
        let run = LostRun {
            at: lost_at,
            service: self.service.clone(),
            process,
            ran_for: lost_at.since(sent),
            parts: RequestParts::clone(&self.parts),
        };
        let report = run.to_report(shared.now());
        shared.suspects.lock().add_lost_run(run);
        shared.placement.send_to_leader(report);
    }

    /// Logs and counts whether the endpoint's process ended with the connection.
    fn record_check(
        &self,
        shared: &Shared,
        endpoint: &ListedEndpoint,
        sent: Timestamp,
        lost_at: Timestamp,
        has_ended: bool,
    ) {
        let role = endpoint.role;
        info!(
            "request={} step=crash_check endpoint={} role={role:?} ended={has_ended} ran_ms={} \
             content={:032x}",
            self.attempt_id,
            endpoint.id,
            lost_at.since(sent).as_millis(),
            self.parts.whole.0
        );
        shared
            .metrics
            .record_lost_call(self.service.as_str(), role, has_ended);
    }

    fn report_sound(&self, placement: &PlacementClient) {
        placement.send_to_leader(GatewayMessage::ReportSoundRun {
            service: self.service.clone(),
            parts: RequestParts::clone(&self.parts),
        });
    }
}
