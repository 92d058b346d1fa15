//! A gateway's permits of one rollout: taking them, their expiry, and the counters of its reports.

use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::Timestamp;

use crate::message::PermitGrant;
use crate::message::RolloutReport;
use crate::rollout::RolloutNumber;
use crate::rollout::RolloutPhase;
use crate::rollout::RolloutView;

/// Minimum interval of the reports about one rollout.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Reports whose grant is still accepted. Grants of older ones have expired.
const MAX_UNANSWERED: usize = 8;

/// The permits and counters of one rollout at one gateway.
#[derive(Clone, Debug)]
pub struct Permits {
    number: RolloutNumber,
    /// Term and sequence of the last accepted grant.
    last_grant: (u64, u64),
    /// Permits that can be used, with the time until which they can.
    usable: VecDeque<(Timestamp, u64)>,
    used: u64,
    expired: u64,
    requests: u64,
    sequence: u64,
    /// When each of the last reports was sent, by its sequence number.
    sent: VecDeque<(u64, Timestamp)>,
    endpoints: u32,
}

impl Permits {
    /// Starts the counters of a rollout.
    pub const fn new(number: RolloutNumber) -> Self {
        Self {
            number,
            last_grant: (0, 0),
            usable: VecDeque::new(),
            used: 0,
            expired: 0,
            requests: 0,
            sequence: 0,
            sent: VecDeque::new(),
            endpoints: 0,
        }
    }

    /// The rollout.
    pub const fn number(&self) -> RolloutNumber {
        self.number
    }

    /// Counts a request of a client for the service, whichever version serves it.
    pub const fn count_request(&mut self) {
        self.requests += 1;
    }

    /// Takes a permit for one attempt at the new version. It counts as used from now on, unless it is
    /// returned by [`Self::give_back`].
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.expire(now);
        let Some((_, count)) = self.usable.front_mut() else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            self.usable.pop_front();
        }
        self.used += 1;
        true
    }

    /// Returns a permit that was taken for an attempt of which nothing was sent to an endpoint. It
    /// counts as expired, because its lease may have ended.
    pub const fn give_back(&mut self, term: u64) {
        // A grant of a later term has restarted the counters, so the permit stays used there.
        if term == self.last_grant.0 && self.used > 0 {
            self.used -= 1;
            self.expired += 1;
        }
    }

    /// Term of the permits that [`Self::take`] returns.
    pub const fn term(&self) -> u64 {
        self.last_grant.0
    }

    /// Permits that can be used now.
    pub fn available(&mut self, now: Timestamp) -> u64 {
        self.expire(now);
        self.usable.iter().map(|(_, count)| count).sum()
    }

    /// Number of endpoints of the new version on which to spend permits.
    pub const fn endpoints(&self) -> u32 {
        self.endpoints
    }

    /// Handles a grant. Returns false if it is ignored, because it is of another rollout, a duplicate
    /// or older than the last one.
    pub fn on_grant(&mut self, now: Timestamp, grant: &PermitGrant) -> bool {
        let key = (grant.term, grant.sequence);
        if grant.number != self.number || key <= self.last_grant || grant.sequence > self.sequence {
            return false;
        }
        if grant.term > self.last_grant.0 {
            // The new leader counts all permits of its predecessors as used.
            self.usable.clear();
            self.used = 0;
            self.expired = 0;
        }
        self.last_grant = key;
        self.endpoints = grant.endpoints;
        let sent = self
            .sent
            .iter()
            .find(|(sequence, _)| *sequence == grant.sequence);
        let until = sent.map(|(_, at)| *at + grant.lease);
        let permits = u64::from(grant.permits);
        match until {
            Some(until) if until > now => self.usable.push_back((until, permits)),
            _ => self.expired += permits,
        }
        self.usable.retain(|(_, count)| *count > 0);
        true
    }

    /// Drops all permits, for example when the rollout leaves its test.
    pub fn withdraw(&mut self) {
        self.expired += self.usable.drain(..).map(|(_, count)| count).sum::<u64>();
    }

    /// The next report, without outcomes and requests in flight, which the caller fills in. It must be
    /// sent at once, because the leases of the permits that answer it start now.
    pub fn report(&mut self, now: Timestamp, view: &RolloutView) -> RolloutReport {
        self.expire(now);
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > MAX_UNANSWERED {
            self.sent.pop_front();
        }
        let phase = match view.number == self.number {
            true => view.phase,
            false => RolloutPhase::Testing,
        };
        RolloutReport {
            service: view.service.clone(),
            number: self.number,
            sequence: self.sequence,
            phase,
            requests: self.requests,
            term: self.last_grant.0,
            used: self.used,
            expired: self.expired,
            in_flight_new: 0,
            in_flight_old: 0,
            outcomes: Vec::new(),
        }
    }

    fn expire(&mut self, now: Timestamp) {
        let expired = self.usable.iter().filter(|(until, _)| *until <= now);
        self.expired += expired.map(|(_, count)| count).sum::<u64>();
        self.usable.retain(|(until, _)| *until > now);
    }
}
