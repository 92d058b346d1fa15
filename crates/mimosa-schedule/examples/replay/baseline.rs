//! Simple policies for comparison, which implement the same trait.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use mimosa_protocol::EndpointId;
use mimosa_protocol::Epoch;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::Refusal;
use mimosa_protocol::RefusalReason;
use mimosa_protocol::RequestId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_schedule::Action;
use mimosa_schedule::Event;
use mimosa_schedule::Grant;
use mimosa_schedule::Policy;
use mimosa_schedule::Submission;
use mimosa_schedule::event::View;

const GRANT_TTL: Duration = Duration::from_secs(1);

/// Selection rule of a baseline policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rule {
    /// Endpoints in rotation, without queueing.
    RoundRobin,
    /// The endpoint with the lowest load in its last report, without queueing.
    LeastReported,
    /// In order of arrival when a prefill endpoint is idle, with the decode endpoint that has the
    /// fewest streams and without a memory reservation.
    PrefillFirst,
}

/// A policy without reservations, shares or deadlines.
pub struct Baseline {
    rule: Rule,
    view: Option<View>,
    next_index: usize,
    reported: BTreeMap<EndpointId, u32>,
    placed: BTreeMap<EndpointId, u32>,
    queue: VecDeque<Submission>,
    running: BTreeMap<RequestId, Grant>,
    prefilling: BTreeMap<RequestId, EndpointId>,
}

impl Baseline {
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            view: None,
            next_index: 0,
            reported: BTreeMap::new(),
            placed: BTreeMap::new(),
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            prefilling: BTreeMap::new(),
        }
    }

    fn is_in_service(&self) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|view| view.data_centre.state == DataCentreState::In)
    }

    fn select(&self, submission: &Submission, role: EndpointRole) -> Option<EndpointId> {
        let endpoints = self.view.as_ref()?.endpoints.iter();
        let mut of_role: Vec<&EndpointId> = endpoints
            .filter(|each| each.role == role)
            .map(|each| &each.id)
            .collect();
        if of_role.iter().any(|id| !submission.avoid.contains(id)) {
            of_role.retain(|id| !submission.avoid.contains(id));
        }
        match self.rule {
            Rule::RoundRobin => of_role.get(self.next_index % of_role.len()).copied(),
            Rule::LeastReported => of_role.into_iter().min_by_key(|id| self.reported.get(*id)),
            Rule::PrefillFirst => of_role.into_iter().min_by_key(|id| self.placed.get(*id)),
        }
        .cloned()
    }

    fn dispatch(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some(submission) = self.queue.front() {
            let Some(prefill) = self.select(submission, EndpointRole::Prefill) else {
                return;
            };
            let busy = self.placed.get(&prefill).is_some_and(|count| *count > 0);
            if self.rule == Rule::PrefillFirst && busy {
                return;
            }
            let Some(decode) = self.select(submission, EndpointRole::Decode) else {
                return;
            };
            self.next_index += 1;
            *self.placed.entry(prefill.clone()).or_default() += 1;
            *self.placed.entry(decode.clone()).or_default() += 1;
            let grant = Grant {
                request: submission.request,
                epoch: Epoch(1),
                prefill: Some(prefill.clone()),
                decode,
                blocks: KvBlocks::ZERO,
                start_by: now + GRANT_TTL,
            };
            self.prefilling.insert(grant.request, prefill);
            self.running.insert(grant.request, grant.clone());
            self.queue.pop_front();
            actions.push(Action::Start(grant));
        }
    }

    fn finish_prefill(&mut self, request: RequestId) {
        let endpoint = self.prefilling.remove(&request);
        endpoint.into_iter().for_each(|id| self.release(&id));
    }

    fn finish(&mut self, request: RequestId) {
        self.finish_prefill(request);
        let grant = self.running.remove(&request);
        grant
            .into_iter()
            .for_each(|grant| self.release(&grant.decode));
    }

    fn release(&mut self, id: &EndpointId) {
        if let Some(count) = self.placed.get_mut(id) {
            *count = count.saturating_sub(1);
        }
    }
}

impl Policy for Baseline {
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Configure(view) => self.view = Some(*view),
            Event::Submit(submission) if self.is_in_service() => self.queue.push_back(submission),
            Event::Submit(submission) => actions.push(Action::Refuse {
                request: submission.request,
                refusal: Refusal::not_run(RefusalReason::DataCentreOut),
            }),
            Event::Prefilled { request } => self.finish_prefill(request),
            Event::Ended { request, .. } => self.finish(request),
            Event::Load(report) => {
                let load = report.running + report.waiting;
                self.reported.insert(report.endpoint, load);
            }
            _ => {}
        }
        if self.is_in_service() {
            self.dispatch(now, &mut actions);
        }
        actions
    }

    fn next_wake(&self) -> Option<Timestamp> {
        None
    }
}
