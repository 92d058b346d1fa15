//! The state machine that every replica runs.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use mimosa_protocol::Change;
use mimosa_protocol::Configuration;
use mimosa_protocol::DataCentreId;
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
use crate::orders::OrderAnswer;
use crate::orders::OrderId;
use crate::orders::OrderLookup;
use crate::orders::Orders;
use crate::plan::ChangeLine;
use crate::plan::Confirmation;
use crate::plan::MAX_PENDING_PLANS;
use crate::plan::Plan;
use crate::plan::PlanId;
use crate::planning;
use crate::refusal::Refusal;
use crate::rollouts::RolloutRefusal;
use crate::rollouts::Rollouts;
use crate::routing::RoutingState;
use crate::undo;

mod rollouts;

/// Deltas kept for entries that lag behind; an entry that lags further gets the whole
/// configuration.
pub const MAX_DELTAS: usize = 256;

/// Operator in the audit records of routing changes, whose sender does not name an operator.
const ROUTING_OPERATOR: &str = "routing";

/// The replicated state. Its encoding is the snapshot format, so the order of fields is fixed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMachine {
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
    rollouts: Rollouts,
}

impl StateMachine {
    /// Applies the committed command at a log index. Time never goes backwards: a command with an
    /// earlier timestamp is applied at the latest timestamp seen.
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
                self.audit_routing_change(action, changed)
            }
            Operation::SetDataCentreOut { data_centre, out } => {
                self.set_data_centre_out(index, data_centre, out)
            }
            Operation::OrderDataCentreOut {
                data_centre,
                out,
                as_of,
            } => {
                if self.routing.supersedes(&data_centre, out, as_of) {
                    return CommandResult::RoutingSuperseded;
                }
                self.set_data_centre_out(index, data_centre, out)
            }
            Operation::StartRollout {
                service,
                to,
                duration,
            } => CommandResult::RolloutStarted(self.start_rollout(&service, to, duration)),
            Operation::ReserveExposure {
                service,
                number,
                expected,
                total,
            } => {
                let reserved = self.rollouts.reserve(&service, number, expected, total);
                let (accepted, reserved) = reserved;
                CommandResult::ExposureReserved { accepted, reserved }
            }
            Operation::ChangeRollout {
                service,
                number,
                change,
            } => CommandResult::RolloutChanged {
                changed: self.change_rollout(&service, number, change),
            },
        }
    }

    /// The configuration in force.
    pub const fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The log index of the last applied command; 0 before the first one.
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// The deltas after a revision, oldest first; `None` if some are no longer kept or the revision
    /// is above the current one.
    pub fn deltas_after(&self, revision: Revision) -> Option<impl Iterator<Item = &Delta>> {
        let current = self.configuration.revision.get();
        let missing = usize::try_from(current.checked_sub(revision.get())?).ok()?;
        let skip = self.deltas.len().checked_sub(missing)?;
        Some(self.deltas.iter().skip(skip))
    }

    /// Unconfirmed plans, oldest first; at most [`MAX_PENDING_PLANS`].
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values()
    }

    /// An unconfirmed plan; `None` if it was confirmed, evicted or never made.
    pub fn pending_plan(&self, id: PlanId) -> Option<&Plan> {
        self.plans.get(&id)
    }

    /// The audit trail of operators' orders and routing changes.
    pub const fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// The ledger of non-idempotent calls.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The newest confirmed order of each kind for each engine.
    pub const fn engine_orders(&self) -> &EngineOrders {
        &self.engine_orders
    }

    /// The adopted routing document and the data centres that are out of routing.
    pub const fn routing(&self) -> &RoutingState {
        &self.routing
    }

    fn set_data_centre_out(
        &mut self,
        index: u64,
        data_centre: DataCentreId,
        out: bool,
    ) -> CommandResult {
        let verb = if out { "take out" } else { "return" };
        let action = format!("{verb} data centre {data_centre}");
        let changed = self.routing.set_data_centre_out(index, data_centre, out);
        self.audit_routing_change(action, changed)
    }

    fn audit_routing_change(&mut self, action: String, changed: bool) -> CommandResult {
        if changed {
            self.audit_routing(action, Ok(()));
        }
        CommandResult::RoutingChanged { changed }
    }

    fn audit_routing(&mut self, action: String, result: Result<(), &RolloutRefusal>) {
        let operator = ROUTING_OPERATOR.parse().expect("a valid operator name");
        let result = match result {
            Ok(()) => AuditResult::Accepted {
                revision: self.configuration.revision,
            },
            Err(refusal) => AuditResult::Refused {
                code: "rollout_running".to_owned(),
                reason: refusal.to_string(),
            },
        };
        self.audit.append(AuditRecord {
            sequence: 0,
            at: self.now,
            operator,
            number: OrderNumber(self.applied),
            action,
            plan: None,
            lines: Vec::new(),
            result,
        });
    }

    /// Encodes the state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every part of the state can be encoded")
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// If the bytes are not a snapshot in the encoding of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes).or_else(|e| {
            // Snapshots of earlier versions lack one or both of the last fields, which are maps; a zero
            // encodes an empty one.
            let with_empty_maps = |count| [bytes, &[0, 0][..count]].concat();
            postcard::from_bytes(&with_empty_maps(1))
                .or_else(|_| postcard::from_bytes(&with_empty_maps(2)))
                .map_err(|_| e)
        })
    }

    fn plan(
        &mut self,
        order: OrderId,
        intent: Intent,
        unreachable: Vec<InstanceId>,
    ) -> Result<Box<Plan>, Refusal> {
        let action = format!("plan {}", intent.kind());
        match self.orders.lookup(&order) {
            OrderLookup::Answered(OrderAnswer::Plan(answer)) => return answer,
            OrderLookup::Answered(OrderAnswer::Confirm(_)) => {
                return self.refuse_keeping_first_answer(&order, action, None);
            }
            OrderLookup::Refused(refusal) => {
                return self.refuse_keeping_first_answer(&order, action, Some(refusal));
            }
            OrderLookup::New => {}
        }
        let answer = self.make_plan(&order, intent, unreachable).map(Box::new);
        match &answer {
            Ok(plan) => {
                let revision = plan.revision;
                let result = AuditResult::Planned { revision };
                self.append_audit(&order, action, Some(plan.id), plan.lines.clone(), result);
                self.store_pending_plan(plan);
            }
            Err(refusal) => self.audit_refusal(&order, action, None, refusal),
        }
        self.orders
            .record_answer(order, OrderAnswer::Plan(answer.clone()));
        answer
    }

    fn make_plan(
        &mut self,
        order: &OrderId,
        intent: Intent,
        unreachable: Vec<InstanceId>,
    ) -> Result<Plan, Refusal> {
        let rollout_line = self.plan_rollout(&intent)?;
        let before = &self.configuration;
        let effects = planning::effects(self.now, before, &intent)?;
        let after = planning::check_capacity(before, &effects.changes)?;
        let mut cost = cost::estimate(before, &after, unreachable);
        cost.keys_stopped = cost::count_stopped_keys(before, &effects.changes);
        let lines = effects
            .changes
            .iter()
            .map(|change| describe::change(before, change))
            .chain(effects.engine_orders.iter().map(describe::engine_order))
            .chain(rollout_line)
            .collect();
        self.last_plan = PlanId(self.last_plan.0 + 1);
        Ok(Plan {
            id: self.last_plan,
            operator: order.operator.clone(),
            number: order.number,
            at: self.now,
            revision: before.revision,
            undo: undo::undo_for(before, &intent),
            intent,
            lines,
            changes: effects.changes,
            engine_orders: effects.engine_orders,
            cost,
        })
    }

    fn store_pending_plan(&mut self, plan: &Plan) {
        self.plans.insert(plan.id, plan.clone());
        if self.plans.len() > MAX_PENDING_PLANS {
            self.plans.pop_first();
        }
    }

    fn confirm(&mut self, order: OrderId, plan: PlanId) -> Result<Confirmation, Refusal> {
        let action = format!("confirm plan {plan}");
        match self.orders.lookup(&order) {
            OrderLookup::Answered(OrderAnswer::Confirm(answer)) => return answer,
            OrderLookup::Answered(OrderAnswer::Plan(_)) => {
                return self.refuse_keeping_first_answer(&order, action, None);
            }
            OrderLookup::Refused(refusal) => {
                return self.refuse_keeping_first_answer(&order, action, Some(refusal));
            }
            OrderLookup::New => {}
        }
        let answer = self.accept_plan(plan);
        match &answer {
            Ok((confirmation, lines)) => {
                let revision = confirmation.revision;
                let result = AuditResult::Accepted { revision };
                self.append_audit(&order, action, Some(plan), lines.clone(), result);
            }
            Err(refusal) => self.audit_refusal(&order, action, Some(plan), refusal),
        }
        let answer = answer.map(|(confirmation, _)| confirmation);
        self.orders
            .record_answer(order, OrderAnswer::Confirm(answer.clone()));
        answer
    }

    fn accept_plan(&mut self, id: PlanId) -> Result<(Confirmation, Vec<ChangeLine>), Refusal> {
        if self.confirmed.contains_key(&id) {
            return Err(Refusal::AlreadyConfirmed(id));
        }
        let plan = self.plans.get(&id).ok_or(Refusal::UnknownPlan(id))?;
        let (planned, current) = (plan.revision, self.configuration.revision);
        if planned != current {
            return Err(Refusal::RevisionMoved { planned, current });
        }
        let intent = plan.intent.clone();
        self.confirm_rollout(&intent)?;
        let plan = self
            .plans
            .remove(&id)
            .expect("the plan was looked up above");
        let revision = current.next();
        let changes = plan
            .changes
            .into_iter()
            .map(|change| self.with_withdrawal_time(change));
        self.apply_delta(Delta {
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

    /// Dates the withdrawal of a key at the confirm rather than at the plan.
    fn with_withdrawal_time(&self, change: Change) -> Change {
        match change {
            Change::PutKey(mut key) => {
                key.withdrawn = key.withdrawn.map(|_| self.now);
                Change::PutKey(key)
            }
            other => other,
        }
    }

    fn apply_delta(&mut self, delta: Delta) {
        let applied = self.configuration.apply(&delta);
        assert!(applied, "a delta must lead to the next revision");
        let endpoints = &self.configuration.endpoints;
        self.engine_orders
            .retain(|endpoint| endpoints.contains_key(endpoint));
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// Refuses an order whose number is taken or too old; a first answer under it stays as it is.
    fn refuse_keeping_first_answer<T>(
        &mut self,
        order: &OrderId,
        action: String,
        refusal: Option<Refusal>,
    ) -> Result<T, Refusal> {
        let refusal = refusal.unwrap_or(Refusal::OrderConflict(order.number));
        self.audit_refusal(order, action, None, &refusal);
        Err(refusal)
    }

    fn audit_refusal(
        &mut self,
        order: &OrderId,
        action: String,
        plan: Option<PlanId>,
        refusal: &Refusal,
    ) {
        let result = AuditResult::Refused {
            code: refusal.code().to_owned(),
            reason: refusal.to_string(),
        };
        self.append_audit(order, action, plan, Vec::new(), result);
    }

    fn append_audit(
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
