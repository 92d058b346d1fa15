//! Rejection of requests whose prompts crash endpoints. The leader attributes the crashes that
//! gateways report; gateways apply its result, also while no leader answers.

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
use mimosa_route::ListedEndpoint;
use mimosa_route::message::GatewayMessage;

use crate::directory::EndpointEntry;
use crate::dispatch::PlacementClient;
use crate::head::IdentifiedRequest;
use crate::response::Failure;
use crate::shared::Shared;

/// Events of a stream after which its answer counts as started, which clears the parts of its
/// prompt.
pub(crate) const SOUND_EVENTS: u64 = 8;

/// Time for which lost runs are reported to new leaders; longer than a change of the leader takes.
const LOST_RUN_RETENTION: Duration = Duration::from_secs(30);
/// Lost runs kept for new leaders; beyond it the oldest is dropped.
const MAX_LOST_RUNS: usize = 64;

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
            ..
        } = &mut *self.lock();
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
        let mut inner = self.lock();
        inner
            .lost_runs
            .retain(|run| now.since(run.at) < LOST_RUN_RETENTION);
        let mut reports: Vec<_> = inner
            .lost_runs
            .iter()
            .map(|run| run.to_report(now))
            .collect();
        let suspects = inner.quarantine.suspects(now);
        if !suspects.suspects.is_empty() {
            reports.push(GatewayMessage::ReportSuspects(suspects));
        }
        reports
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs whether an endpoint's process ended when it broke a connection with a request, which tells a
/// crash from a lost answer. Runs in the background.
pub(crate) fn log_lost_call(
    shared: &Arc<Shared>,
    request: &IdentifiedRequest,
    parts: &RequestParts,
    endpoint: &Arc<EndpointEntry>,
    sent: Timestamp,
) {
    let shared = Arc::clone(shared);
    let endpoint = Arc::clone(endpoint);
    let attempt_id = request.metadata.attempt_id.clone();
    let service = request.service.clone();
    let content = parts.whole;
    tokio::spawn(async move {
        let ran_for = shared.now().since(sent);
        let has_ended = endpoint.pool.has_ended(|| shared.now()).await;
        info!(
            "request={attempt_id} step=crash_check endpoint={} role={:?} ended={has_ended} \
             ran_ms={} content={:032x}",
            endpoint.listed.id,
            endpoint.listed.role,
            ran_for.as_millis(),
            content.0
        );
        shared
            .metrics
            .record_lost_call(service.as_str(), endpoint.listed.role, has_ended);
    });
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

/// The run of a model request at an endpoint, as reported to the leader.
pub(crate) struct TrackedRun {
    pub(crate) service: ServiceId,
    pub(crate) parts: Arc<RequestParts>,
    pub(crate) is_sound: bool,
}

impl TrackedRun {
    pub(crate) const fn new(service: ServiceId, parts: Arc<RequestParts>) -> Self {
        Self {
            service,
            parts,
            is_sound: false,
        }
    }

    /// Records that the answer is past its start. Clears its parts if they are suspects.
    pub(crate) fn record_sound(
        &mut self,
        now: Timestamp,
        known: &KnownSuspects,
        placement: &PlacementClient,
    ) {
        self.is_sound = true;
        let mut inner = known.lock();
        inner.sound_runs.record(now, &self.parts);
        inner.clear_lost_runs(&self.parts);
        if inner.quarantine.is_suspect(&self.parts) {
            inner.quarantine.clear(now, &self.parts);
            drop(inner);
            self.report_sound(placement);
        }
    }

    /// Reports that the run was lost with its endpoint, `ran_for` after it was sent there.
    pub(crate) fn report_lost(
        &self,
        now: Timestamp,
        known: &KnownSuspects,
        placement: &PlacementClient,
        endpoint: &ListedEndpoint,
        ran_for: Duration,
    ) {
        if self.is_sound {
            return self.report_sound(placement);
        }
        let process = CrashId {
            endpoint: endpoint.id.clone(),
            incarnation: Incarnation(endpoint.started_at_ms),
        };
        let run = LostRun {
            at: now,
            service: self.service.clone(),
            process,
            ran_for,
            parts: RequestParts::clone(&self.parts),
        };
        let report = run.to_report(now);
        known.lock().add_lost_run(run);
        placement.send_to_leader(report);
    }

    fn report_sound(&self, placement: &PlacementClient) {
        placement.send_to_leader(GatewayMessage::ReportSoundRun {
            service: self.service.clone(),
            parts: RequestParts::clone(&self.parts),
        });
    }
}
