//! The state machine.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use mimosa_protocol::Change;
use mimosa_protocol::Configuration;
use mimosa_protocol::FencingToken;
use mimosa_protocol::InstanceId;
use mimosa_protocol::OrderNumber;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;
use mimosa_protocol::change::Delta;
use serde::Deserialize;
use serde::Serialize;

use crate::audit::AuditRecord;
use crate::audit::AuditResult;
use crate::audit::AuditTrail;
use crate::command::Command;
use crate::command::CommandResult;
use crate::command::Operation;
use crate::cost;
use crate::describe;
use crate::engine::EngineOrders;
use crate::intent::Intent;
use crate::ledger::Ledger;
use crate::orders::Known;
use crate::orders::OrderAnswer;
use crate::orders::OrderId;
use crate::orders::Orders;
use crate::plan::ChangeLine;
use crate::plan::Confirmation;
use crate::plan::MAX_PENDING_PLANS;
use crate::plan::Plan;
use crate::plan::PlanId;
use crate::planning;
use crate::refusal::Refused;
use crate::routing::RoutingState;
use crate::undo;

/// Deltas kept for entries that are a little behind; one that is further behind gets the whole
/// configuration.
pub const MAX_DELTAS: usize = 256;

/// Who the audit trail names for routing changes: the outside system carries no operator's name.
const ROUTING_OPERATOR: &str = "routing";

/// Everything that the log decides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    now: Timestamp,
    applied: u64,
    configuration: Configuration,
    deltas: VecDeque<Delta>,
    plans: BTreeMap<PlanId, Plan>,
    last_plan: PlanId,
    confirmed: BTreeMap<PlanId, Revision>,
    orders: Orders,
    audit: AuditTrail,
    ledger: Ledger,
    engine_orders: EngineOrders,
    routing: RoutingState,
}

impl Machine {
    /// Applies the committed command at a log index. Time never runs backwards: a command with an
    /// earlier time counts as made at the latest one seen.
    pub fn apply(&mut self, index: u64, command: Command) -> CommandResult {
        self.now = self.now.max(command.at);
        self.applied = index;
        match command.operation {
            Operation::Plan {
                order,
                intent,
                unreachable,
            } => CommandResult::Planned(self.plan(order, intent, unreachable)),
            Operation::Confirm { order, plan } => {
                CommandResult::Confirmed(self.confirm(order, plan))
            }
            Operation::LedgerBegin(begin) => {
                CommandResult::LedgerBegun(self.ledger.begin(self.now, &begin))
            }
            Operation::LedgerFinish(finish) => {
                self.ledger.finish(self.now, finish);
                CommandResult::LedgerFinished
            }
            Operation::Nothing => CommandResult::Nothing,
            Operation::AdoptRouting(document) => {
                let action = format!("adopt routing version {}", document.version);
                let changed = self.routing.adopt(index, document);
                self.routing_changed(action, changed)
            }
            Operation::SetDataCentreOut { data_centre, out } => {
                let word = if out { "take out" } else { "return" };
                let action = format!("{word} data centre {data_centre}");
                let changed = self.routing.set_out(index, data_centre, out);
                self.routing_changed(action, changed)
            }
        }
    }

    /// The configuration.
    pub const fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The log index of the last applied command.
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// The deltas after a revision; `None` if some are no longer kept or the revision is unknown.
    pub fn deltas_after(&self, revision: Revision) -> Option<impl Iterator<Item = &Delta>> {
        let current = self.configuration.revision.get();
        let missing = usize::try_from(current.checked_sub(revision.get())?).ok()?;
        let skip = self.deltas.len().checked_sub(missing)?;
        Some(self.deltas.iter().skip(skip))
    }

    /// Plans that wait for a confirm, oldest first.
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values()
    }

    /// A pending plan.
    pub fn pending_plan(&self, id: PlanId) -> Option<&Plan> {
        self.plans.get(&id)
    }

    /// The audit trail.
    pub const fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// The ledger of non-idempotent calls.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The newest orders to engines.
    pub const fn engine_orders(&self) -> &EngineOrders {
        &self.engine_orders
    }

    /// The adopted routing document and the data centres that are out.
    pub const fn routing(&self) -> &RoutingState {
        &self.routing
    }

    fn routing_changed(&mut self, action: String, changed: bool) -> CommandResult {
        if changed {
            let operator = ROUTING_OPERATOR.parse().expect("the name is valid");
            self.audit.append(AuditRecord {
                sequence: 0,
                at: self.now,
                operator,
                number: OrderNumber(self.applied),
                action,
                plan: None,
                lines: Vec::new(),
                result: AuditResult::Accepted {
                    revision: self.configuration.revision,
                },
            });
        }
        CommandResult::RoutingChanged { changed }
    }

    /// The state as bytes of a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the state has no unencodable part")
    }

    /// Reads a snapshot.
    ///
    /// # Errors
    ///
    /// If the bytes are no snapshot of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    fn plan(
        &mut self,
        order: OrderId,
        intent: Intent,
        unreachable: Vec<InstanceId>,
    ) -> Result<Box<Plan>, Refused> {
        let action = format!("plan {}", intent.kind());
        match self.orders.look_up(&order) {
            Known::Answered(OrderAnswer::Plan(answer)) => return answer,
            Known::Answered(OrderAnswer::Confirm(_)) => {
                return self.refuse_unremembered(&order, action, None);
            }
            Known::Refused(refused) => {
                return self.refuse_unremembered(&order, action, Some(refused));
            }
            Known::New => {}
        }
        let answer = self.make_plan(&order, intent, unreachable).map(Box::new);
        match &answer {
            Ok(plan) => {
                let revision = plan.revision;
                let result = AuditResult::Planned { revision };
                self.record(&order, action, Some(plan.id), plan.lines.clone(), result);
                self.keep_plan(plan);
            }
            Err(refused) => self.record_refused(&order, action, None, refused),
        }
        self.orders
            .remember(order, OrderAnswer::Plan(answer.clone()));
        answer
    }

    fn make_plan(
        &mut self,
        order: &OrderId,
        intent: Intent,
        unreachable: Vec<InstanceId>,
    ) -> Result<Plan, Refused> {
        let before = &self.configuration;
        let effects = planning::effects(self.now, before, &intent)?;
        let after = planning::check_capacity(before, &effects.changes)?;
        let mut cost = cost::of(before, &after, unreachable);
        cost.keys_stopped = cost::keys_stopped(before, &effects.changes);
        let lines = effects
            .changes
            .iter()
            .map(|change| describe::change(before, change))
            .chain(effects.engine_orders.iter().map(describe::engine_order))
            .collect();
        self.last_plan = PlanId(self.last_plan.0 + 1);
        Ok(Plan {
            id: self.last_plan,
            operator: order.operator.clone(),
            number: order.number,
            at: self.now,
            revision: before.revision,
            undo: undo::of(before, &intent),
            intent,
            lines,
            changes: effects.changes,
            engine_orders: effects.engine_orders,
            cost,
        })
    }

    fn keep_plan(&mut self, plan: &Plan) {
        self.plans.insert(plan.id, plan.clone());
        if self.plans.len() > MAX_PENDING_PLANS {
            self.plans.pop_first();
        }
    }

    fn confirm(&mut self, order: OrderId, plan: PlanId) -> Result<Confirmation, Refused> {
        let action = format!("confirm plan {plan}");
        match self.orders.look_up(&order) {
            Known::Answered(OrderAnswer::Confirm(answer)) => return answer,
            Known::Answered(OrderAnswer::Plan(_)) => {
                return self.refuse_unremembered(&order, action, None);
            }
            Known::Refused(refused) => {
                return self.refuse_unremembered(&order, action, Some(refused));
            }
            Known::New => {}
        }
        let answer = self.accept_plan(plan);
        match &answer {
            Ok((confirmation, lines)) => {
                let revision = confirmation.revision;
                let result = AuditResult::Accepted { revision };
                self.record(&order, action, Some(plan), lines.clone(), result);
            }
            Err(refused) => self.record_refused(&order, action, Some(plan), refused),
        }
        let answer = answer.map(|(confirmation, _)| confirmation);
        self.orders
            .remember(order, OrderAnswer::Confirm(answer.clone()));
        answer
    }

    fn accept_plan(&mut self, id: PlanId) -> Result<(Confirmation, Vec<ChangeLine>), Refused> {
        if self.confirmed.contains_key(&id) {
            return Err(Refused::AlreadyConfirmed(id));
        }
        let plan = self.plans.get(&id).ok_or(Refused::UnknownPlan(id))?;
        let (planned, current) = (plan.revision, self.configuration.revision);
        if planned != current {
            return Err(Refused::RevisionMoved { planned, current });
        }
        let plan = self.plans.remove(&id).expect("the plan was just seen");
        let revision = current.next();
        let changes = plan.changes.into_iter().map(|each| self.stamp(each));
        self.advance(Delta {
            revision,
            changes: changes.collect(),
        });
        let fencing = FencingToken(self.applied);
        plan.engine_orders
            .into_iter()
            .for_each(|kind| self.engine_orders.accept(fencing, kind));
        self.confirmed.insert(id, revision);
        if self.confirmed.len() > MAX_PENDING_PLANS {
            self.confirmed.pop_first();
        }
        let confirmation = Confirmation {
            plan: id,
            revision,
            at: self.now,
        };
        Ok((confirmation, plan.lines))
    }

    /// A key counts as withdrawn from the confirm on, not from the plan on.
    fn stamp(&self, change: Change) -> Change {
        match change {
            Change::PutKey(mut key) => {
                key.withdrawn = key.withdrawn.map(|_| self.now);
                Change::PutKey(key)
            }
            other => other,
        }
    }

    fn advance(&mut self, delta: Delta) {
        let applied = self.configuration.apply(&delta);
        assert!(applied, "a delta is made for the next revision");
        let endpoints = &self.configuration.endpoints;
        self.engine_orders
            .retain(|endpoint| endpoints.contains_key(endpoint));
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// Refuses an order without touching the first answer under its number.
    fn refuse_unremembered<T>(
        &mut self,
        order: &OrderId,
        action: String,
        refused: Option<Refused>,
    ) -> Result<T, Refused> {
        let refused = refused.unwrap_or(Refused::OrderConflict(order.number));
        self.record_refused(order, action, None, &refused);
        Err(refused)
    }

    fn record_refused(
        &mut self,
        order: &OrderId,
        action: String,
        plan: Option<PlanId>,
        refused: &Refused,
    ) {
        let result = AuditResult::Refused {
            code: refused.code().to_owned(),
            reason: refused.to_string(),
        };
        self.record(order, action, plan, Vec::new(), result);
    }

    fn record(
        &mut self,
        order: &OrderId,
        action: String,
        plan: Option<PlanId>,
        lines: Vec<ChangeLine>,
        result: AuditResult,
    ) {
        self.audit.append(AuditRecord {
            sequence: 0,
            at: self.now,
            operator: order.operator.clone(),
            number: order.number,
            action,
            plan,
            lines,
            result,
        });
    }
}
