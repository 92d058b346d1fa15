//! One rollout at the leader: answers the reports of gateways, and decides when to move, to complete
//! and to roll back.
//!
//! A trial proposes; the replicated log decides. What it knows beyond the log is rebuilt from the
//! cumulative reports of the gateways after a change of leader.

use std::collections::HashMap;
use std::time::Duration;

use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;

use crate::comparison::Comparison;
use crate::exposure::ExposureAccount;
use crate::exposure::ExposureSettings;
use crate::exposure::PERMIT_LEASE;
use crate::message::PermitGrant;
use crate::message::RolloutReport;
use crate::rollout::RolloutNumber;
use crate::rollout::RolloutPhase;

mod schedule;

use self::schedule::Schedule;

/// Interval of grants to one gateway. Less than the interval of reports, which arrive irregularly.
const GRANT_INTERVAL: Duration = Duration::from_millis(200);
/// Responses of the new version without which nothing is known about it.
const MIN_RESPONSES: u64 = 20;
/// Evidence, relative to the limit of a test, with which a move waits for more responses.
const MAX_SUSPICION: f64 = 0.5;
/// Time for a proposal at the end to be stored by a quorum and announced.
const END_ALLOWANCE: Duration = Duration::from_millis(350);
/// Shortest time under the full load before a move completes, as a version may be bad only under load.
const MIN_FULL_LOAD: Duration = Duration::from_millis(700);
/// The same for a move that has to complete because the end is reached.
const MIN_LAST_LOAD: Duration = Duration::from_millis(400);
/// The same for a leader that took over during the move, to which gateways have to connect first.
const MIN_TAKEOVER_LOAD: Duration = Duration::from_millis(1_500);
/// Time after the move in which the counts from before it arrive at a leader that took over.
const FREEZE_AFTER: Duration = Duration::from_millis(600);
/// Longest time after the end at which a move may still start.
const MAX_LATENESS: Duration = Duration::from_secs(2);
/// How long a gateway may be silent before it no longer delays the completion. Its connection has
/// ended, or its link is worse than the gateways' own time-outs allow.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Permits that a reservation covers in advance, in seconds of the planned use. More wastes exposure
/// when the leader changes; less needs more log entries.
const RESERVED_SECONDS: f64 = 1.5;

/// What the log holds about a rollout, and what this leader adds.
#[derive(Clone, Debug)]
pub struct TrialStart {
    /// The service.
    pub service: ServiceId,
    /// The rollout.
    pub number: RolloutNumber,
    /// Term of this leader.
    pub term: u64,
    /// The phase in the log.
    pub phase: RolloutPhase,
    /// Time since the order.
    pub elapsed: Duration,
    /// Time from the order to the end.
    pub duration: Duration,
    /// Exposure reserved in the log.
    pub reserved: u64,
    /// Whether an earlier leader may have granted permits.
    pub is_successor: bool,
    /// Whether the service is a model, whose requests take long to finish.
    pub is_model: bool,
    /// The limit on the new version's requests.
    pub exposure: ExposureSettings,
}

/// The endpoints of the service, as last listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints of the new version that accept requests.
    pub new: u32,
    /// Endpoints of versions that the rollout replaces.
    pub old: u32,
}

/// An entry that a trial proposes to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Proposal {
    /// Raise the reserved exposure from `expected` to `total`.
    Reserve {
        /// The total that must be in the log.
        expected: u64,
        /// The new total.
        total: u64,
    },
    /// Enter a phase.
    Enter {
        /// The phase.
        phase: RolloutPhase,
        /// Why, for operators.
        reason: String,
    },
}

/// The state of one rollout at the leader.
#[derive(Clone, Debug)]
pub struct Trial {
    start: TrialStart,
    phase: RolloutPhase,
    schedule: Schedule,
    account: ExposureAccount,
    comparison: Comparison,
    endpoints: EndpointCounts,
    gateways: HashMap<InstanceId, GatewayState>,
    /// The phase that was proposed and is not in the log yet.
    proposed: Option<RolloutPhase>,
    /// When this leader learned of the move.
    moving_since: Option<Timestamp>,
    /// Set once the new version was found bad; no permit is granted afterwards.
    is_condemned: bool,
}

#[derive(Clone, Debug)]
struct GatewayState {
    phase: RolloutPhase,
    in_flight_old: u32,
    reported_at: Timestamp,
    granted_at: Option<Timestamp>,
}

impl Trial {
    /// Starts or takes over a rollout.
    pub fn new(now: Timestamp, start: TrialStart) -> Self {
        let account = ExposureAccount::new(
            now,
            start.exposure,
            start.term,
            start.reserved,
            start.is_successor,
        );
        Self {
            phase: start.phase,
            schedule: Schedule::new(now, start.elapsed, start.duration, start.is_model),
            account,
            comparison: Comparison::new(start.duration),
            endpoints: EndpointCounts::default(),
            gateways: HashMap::new(),
            proposed: None,
            moving_since: (start.phase == RolloutPhase::Moving).then_some(now),
            is_condemned: false,
            start,
        }
    }

    /// The rollout.
    pub const fn number(&self) -> RolloutNumber {
        self.start.number
    }

    /// Term of the leader that this trial belongs to.
    pub const fn term(&self) -> u64 {
        self.start.term
    }

    /// The permits.
    pub const fn account(&self) -> &ExposureAccount {
        &self.account
    }

    /// The outcomes so far.
    pub const fn comparison(&self) -> &Comparison {
        &self.comparison
    }

    /// Sets the endpoints of the service.
    pub const fn set_endpoints(&mut self, endpoints: EndpointCounts) {
        self.endpoints = endpoints;
    }

    /// Takes over the phase and the reservation from the log.
    pub fn observe(&mut self, now: Timestamp, phase: RolloutPhase, reserved: u64) {
        if phase != self.phase {
            self.phase = phase;
            self.proposed = None;
            if phase == RolloutPhase::Moving {
                self.comparison.start_move(now);
                self.moving_since = Some(now);
            }
        }
        self.account.observe_reserved(reserved);
    }

    /// Handles a report. Returns the permits to send in response, if any.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        gateway: &InstanceId,
        incarnation: Incarnation,
        report: &RolloutReport,
    ) -> Option<PermitGrant> {
        if report.number != self.start.number
            || !self.account.record(now, gateway, incarnation, report)
        {
            return None;
        }
        self.comparison
            .record(gateway, incarnation, &report.outcomes);
        let granted_at = self.gateways.get(gateway).and_then(|g| g.granted_at);
        let mut state = GatewayState {
            phase: report.phase,
            in_flight_old: report.in_flight_old,
            reported_at: now,
            granted_at,
        };
        let is_due = granted_at.is_none_or(|at| now.since(at) >= GRANT_INTERVAL);
        let wanted = match is_due && report.phase == RolloutPhase::Testing {
            true => self.wanted(now, gateway),
            false => 0,
        };
        let permits = self.account.grant(now, gateway, wanted);
        if permits > 0 {
            state.granted_at = Some(now);
        }
        self.gateways.insert(gateway.clone(), state);
        (permits > 0).then(|| PermitGrant {
            service: self.start.service.clone(),
            number: self.start.number,
            term: self.start.term,
            sequence: report.sequence,
            permits: u32::try_from(permits).unwrap_or(u32::MAX),
            lease: self.start.exposure.lease.min(PERMIT_LEASE),
            endpoints: self.endpoints_in_test(now),
        })
    }

    /// Takes a permit for a request that the leader places itself.
    pub fn take_own(&mut self, now: Timestamp) -> bool {
        self.is_granting(now)
            && self.schedule.own_allowance(now, &self.account) >= 1.0
            && self.account.take_own(now)
    }

    /// Returns a permit of [`Self::take_own`] whose request was never sent to an endpoint.
    pub fn return_own(&mut self) {
        self.account.return_own();
    }

    /// Number of endpoints of the new version that requests under test go to: as many as see the same
    /// load as those of the old version.
    pub fn endpoints_in_test(&self, now: Timestamp) -> u32 {
        let share = self.schedule.planned_share(now, &self.account);
        let count = (share * f64::from(self.endpoints.old)).floor() as u32;
        count.clamp(1, self.endpoints.new.max(1))
    }

    /// Evaluates the outcomes and returns what to propose next. The caller proposes each phase until
    /// the log has it, and ends each reservation with [`Self::finish_reservation`].
    pub fn poll(&mut self, now: Timestamp) -> Option<Proposal> {
        if !self.phase.is_running() {
            return None;
        }
        self.account.refresh(now);
        self.comparison.evaluate(now);
        let moving_for = self.moving_since.map(|since| now.since(since));
        if moving_for.is_some_and(|moving_for| moving_for >= FREEZE_AFTER) {
            self.comparison.freeze_baseline();
        }
        if let Some((phase, reason)) = self.decide(now) {
            self.is_condemned |= phase == RolloutPhase::RolledBack;
            if self.proposed == Some(phase) {
                return None;
            }
            self.proposed = Some(phase);
            return Some(Proposal::Enter { phase, reason });
        }
        if !self.is_granting(now) {
            return None;
        }
        let planned = self.schedule.planned_rate(now, &self.account);
        let wanted = (planned * RESERVED_SECONDS).ceil() as u64;
        let wanted = wanted.min(self.schedule.usable(now, &self.account));
        let reservation = self.account.start_reservation(now, wanted);
        reservation.map(|(expected, total)| Proposal::Reserve { expected, total })
    }

    /// Ends a reservation; see [`ExposureAccount::finish_reservation`].
    pub fn finish_reservation(&mut self, accepted: bool, reserved: u64) {
        self.account.finish_reservation(accepted, reserved);
    }

    /// A proposed phase was not stored, as far as is known; it is proposed again.
    pub const fn phase_not_stored(&mut self) {
        self.proposed = None;
    }

    fn is_granting(&self, now: Timestamp) -> bool {
        self.phase == RolloutPhase::Testing
            && self.proposed.is_none()
            && !self.is_condemned
            && self.endpoints.new > 0
            && now < self.schedule.end()
    }

    fn wanted(&self, now: Timestamp, gateway: &InstanceId) -> u64 {
        // The leader places the requests of models, with its own permits.
        if !self.is_granting(now) || self.start.is_model {
            return 0;
        }
        let usable = self.schedule.usable(now, &self.account);
        self.schedule
            .wanted(now, &self.account, gateway, self.endpoints.old)
            .min(usable)
    }

    fn decide(&self, now: Timestamp) -> Option<(RolloutPhase, String)> {
        if let Some(finding) = self.comparison.finding() {
            return Some((RolloutPhase::RolledBack, finding.to_string()));
        }
        let has_little_time_left = now + END_ALLOWANCE >= self.schedule.end();
        match self.phase {
            RolloutPhase::Testing => {
                let responses = self.comparison.new_counts().total();
                let suspicion = self.comparison.suspicion();
                // Without a list of the endpoints, the versions to replace are unknown as well.
                let is_sound = responses >= MIN_RESPONSES
                    && suspicion <= MAX_SUSPICION
                    && self.endpoints.new > 0;
                // A leader that was stalled or has just taken over may find the time of the move past. A
                // sound version then moves late rather than not at all.
                let is_too_late = now >= self.schedule.end() + MAX_LATENESS;
                if is_too_late || has_little_time_left && !is_sound {
                    let reason = match responses < MIN_RESPONSES {
                        true => format!("too_few_responses new={responses}"),
                        false => format!("inconclusive suspicion={suspicion:.2} new={responses}"),
                    };
                    return Some((RolloutPhase::RolledBack, reason));
                }
                let move_at = self.schedule.move_at(now, &self.account, &self.comparison);
                (is_sound && now >= move_at).then(|| {
                    let reason = format!("no_difference new={responses} suspicion={suspicion:.2}");
                    (RolloutPhase::Moving, reason)
                })
            }
            RolloutPhase::Moving => {
                let suspicion = self.comparison.suspicion();
                let loaded = self.moving_since.map(|since| now.since(since));
                let loaded = loaded.unwrap_or_default();
                let is_successor = self.start.phase == RolloutPhase::Moving;
                // A move that started late gets the time that others get.
                let is_last_moment = has_little_time_left && loaded >= MIN_LAST_LOAD;
                // A successor knows nothing of the version under full load before its first reports, and
                // rather ends late than completes a bad version.
                if is_successor && loaded < MIN_TAKEOVER_LOAD {
                    return None;
                }
                if is_last_moment && suspicion > MAX_SUSPICION {
                    let reason = format!("inconclusive_move suspicion={suspicion:.2}");
                    return Some((RolloutPhase::RolledBack, reason));
                }
                let is_drained =
                    loaded >= MIN_FULL_LOAD && suspicion <= MAX_SUSPICION && self.is_drained(now);
                (is_drained || is_last_moment).then(|| {
                    let reason = if is_drained { "drained" } else { "end_reached" };
                    (RolloutPhase::Completed, reason.to_owned())
                })
            }
            RolloutPhase::Completed | RolloutPhase::RolledBack => None,
        }
    }

    /// Whether all gateways send new requests to the new version and none has requests at others.
    fn is_drained(&self, now: Timestamp) -> bool {
        let mut recent = self
            .gateways
            .values()
            .filter(|state| now.since(state.reported_at) < SILENCE_LIMIT)
            .peekable();
        recent.peek().is_some()
            && recent.all(|state| state.phase == RolloutPhase::Moving && state.in_flight_old == 0)
    }
}
