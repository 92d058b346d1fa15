//! Rejection of requests whose prompts crash endpoints. The leader attributes the crashes that
//! gateways report; gateways apply its result, also while no leader answers.

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
use mimosa_hold::part_quarantine::RequestParts;
use mimosa_hold::part_quarantine::Suspects;
use mimosa_hold::quarantine::CrashId;
use mimosa_hold::quarantine::Fingerprint;
use mimosa_protocol::Incarnation;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_route::ListedEndpoint;
use mimosa_route::message::GatewayMessage;

use crate::dispatch::PlacementClient;
use crate::head::IdentifiedRequest;
use crate::response::Failure;

/// Events of a stream after which its answer counts as started, which clears the parts of its
/// prompt.
pub(crate) const SOUND_EVENTS: u64 = 8;

/// The suspects known to this gateway.
#[derive(Default)]
pub(crate) struct KnownSuspects {
    quarantine: Mutex<PartQuarantine>,
    /// Newest term of a leader that was sent the suspects.
    reported_term: AtomicU64,
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
        let Some(until) = self.lock().quarantined_until(now, parts) else {
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

    /// Merges the suspects that a control instance sent.
    pub(crate) fn on_suspects(&self, now: Timestamp, suspects: &Suspects) {
        let mut quarantine = self.lock();
        quarantine.expire(now);
        if quarantine.merge(now, suspects) {
            info!(
                "suspects={} quarantined={}",
                quarantine.len(),
                quarantine.quarantined()
            );
        }
    }

    /// Whether a leader of this term has not been sent the suspects yet. A leader forgets them when
    /// it loses its lead, even if it is elected again.
    pub(crate) fn is_new_term(&self, term: u64) -> bool {
        self.reported_term.fetch_max(term, Ordering::Relaxed) < term
    }

    /// The known suspects, for a new leader; `None` without any.
    pub(crate) fn report(&self, now: Timestamp) -> Option<GatewayMessage> {
        let suspects = self.lock().suspects(now);
        (!suspects.suspects.is_empty()).then_some(GatewayMessage::ReportSuspects(suspects))
    }

    fn lock(&self) -> MutexGuard<'_, PartQuarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Fingerprints of a request's content.
pub(crate) fn request_parts(request: &IdentifiedRequest, uri: &Uri, body: &[u8]) -> RequestParts {
    let shared_parts = request.metadata.shared_parts.iter();
    let own_part = request.metadata.own_part.as_ref();
    let own_part = own_part.map_or("", |part| part.0.as_str());
    let content = [uri.path(), "\n", own_part, "\n"].concat();
    let content = [content.as_bytes(), body].concat();
    RequestParts {
        whole: Fingerprint::of(request.account.as_ref(), &request.service, &content),
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
        let mut quarantine = known.lock();
        if quarantine.is_suspect(&self.parts) {
            quarantine.clear(now, &self.parts);
            drop(quarantine);
            self.report_sound(placement);
        }
    }

    /// Reports that the run was lost with its endpoint, `ran_for` after it was sent there.
    pub(crate) fn report_lost(
        &self,
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
        placement.send_to_leader(GatewayMessage::ReportLostRun {
            service: self.service.clone(),
            process,
            ran_for,
            parts: RequestParts::clone(&self.parts),
        });
    }

    fn report_sound(&self, placement: &PlacementClient) {
        placement.send_to_leader(GatewayMessage::ReportSoundRun {
            service: self.service.clone(),
            parts: RequestParts::clone(&self.parts),
        });
    }
}
