//! A state machine that tests drive with plans, confirms and ledger calls.

#![allow(dead_code)]

use mimosa_protocol::Timestamp;
use mimosa_protocol::hash::Sha256Digest;
use mimosa_protocol::message::LedgerAnswer;
use mimosa_protocol::message::LedgerBegin;
use mimosa_protocol::message::LedgerEnd;
use mimosa_protocol::message::LedgerFinish;
use mimosa_protocol::message::LedgerKey;
use mimosa_state::Command;
use mimosa_state::CommandResult;
use mimosa_state::Intent;
use mimosa_state::Operation;
use mimosa_state::Plan;
use mimosa_state::PlanId;
use mimosa_state::Refusal;
use mimosa_state::StateMachine;
use mimosa_state::command::confirm_digest;
use mimosa_state::command::plan_digest;
use mimosa_state::orders::OrderId;
use mimosa_state::plan::Confirmation;
use serde_json::json;

/// A state machine with its log and a manual clock.
#[derive(Debug)]
pub struct Fixture {
    /// The state machine under test.
    pub machine: StateMachine,
    /// The time of the next command.
    pub now: Timestamp,
    /// Every command applied so far.
    pub log: Vec<Command>,
    /// The account that ledger calls are made for.
    pub account: &'static str,
    /// The last order number that [`Self::plan_and_confirm`] used.
    pub number: u64,
}

impl Default for Fixture {
    fn default() -> Self {
        Self {
            machine: StateMachine::default(),
            now: Timestamp::ZERO,
            log: Vec::new(),
            account: "wisla",
            number: 0,
        }
    }
}

impl Fixture {
    /// A configuration with two data centres, an account and a key. Each data centre has a prefill
    /// and a decode endpoint of `verse` and an endpoint of the plain service `orders`.
    pub fn with_two_data_centres() -> Self {
        let mut fixture = Self::default();
        let mut port = 9_000;
        let mut intents = vec![
            json!({"put_data_centre": {"data_centre": "east"}}),
            json!({"put_data_centre": {"data_centre": "west"}}),
            json!({"put_service": {"service": "verse", "kind": "model"}}),
            json!({"put_service": {"service": "orders", "kind": "plain"}}),
            json!({"put_account": {"account": "wisla", "rate": 100, "burst": 1000}}),
            json!({"create_key": {"key": "k-1", "account": "wisla", "digest": "ab".repeat(32)}}),
        ];
        for data_centre in ["east", "west"] {
            for (role, service) in [
                ("prefill", "verse"),
                ("decode", "verse"),
                ("plain", "orders"),
            ] {
                port += 1;
                intents.push(json!({"put_endpoint": {
                    "endpoint": format!("{role}-{data_centre}"), "service": service,
                    "data_centre": data_centre, "role": role,
                    "address": format!("127.0.0.1:{port}"),
                }}));
            }
        }
        intents
            .into_iter()
            .for_each(|intent| fixture.plan_and_confirm(intent));
        fixture
    }

    /// Applies an operation at the current time.
    pub fn apply(&mut self, operation: Operation) -> CommandResult {
        let at = self.now;
        let command = Command { at, operation };
        self.log.push(command.clone());
        self.machine.apply(self.log.len() as u64, command)
    }

    /// Applies a plan order with this operator and number.
    pub fn plan(
        &mut self,
        operator: &str,
        number: u64,
        intent: serde_json::Value,
    ) -> Result<Box<Plan>, Refusal> {
        let intent: Intent = serde_json::from_value(intent).unwrap();
        let order = order(operator, number, plan_digest(&intent));
        let unreachable = Vec::new();
        match self.apply(Operation::Plan {
            order,
            intent,
            unreachable,
        }) {
            CommandResult::Planned(answer) => answer,
            other => panic!("unexpected result of a plan order: {other:?}"),
        }
    }

    /// Applies a confirm order with this operator and number.
    pub fn confirm(
        &mut self,
        operator: &str,
        number: u64,
        plan: PlanId,
    ) -> Result<Confirmation, Refusal> {
        let order = order(operator, number, confirm_digest(plan));
        match self.apply(Operation::Confirm { order, plan }) {
            CommandResult::Confirmed(answer) => answer,
            other => panic!("unexpected result of a confirm order: {other:?}"),
        }
    }

    /// Plans and confirms an intent as the operator `setup`, each time under new numbers.
    pub fn plan_and_confirm(&mut self, intent: serde_json::Value) {
        self.number += 2;
        let plan = self.plan("setup", self.number, intent).unwrap();
        self.confirm("setup", self.number + 1, plan.id).unwrap();
    }

    /// Records the start of a non-idempotent call.
    pub fn begin(&mut self, request: u128, key: &str, content: &str) -> LedgerAnswer {
        let begin = LedgerBegin {
            request: mimosa_protocol::RequestId(request),
            key: self.ledger_key(key),
            content: Sha256Digest::of(content.as_bytes()),
            at: self.now,
        };
        match self.apply(Operation::LedgerBegin(begin)) {
            CommandResult::LedgerBegun(answer) => answer,
            other => panic!("unexpected result of a ledger begin: {other:?}"),
        }
    }

    /// Records the outcome of a non-idempotent call.
    pub fn finish(&mut self, request: u128, key: &str, end: LedgerEnd) {
        let finish = LedgerFinish {
            request: mimosa_protocol::RequestId(request),
            key: self.ledger_key(key),
            end,
            at: self.now,
        };
        self.apply(Operation::LedgerFinish(finish));
    }

    fn ledger_key(&self, key: &str) -> LedgerKey {
        LedgerKey {
            account: self.account.parse().unwrap(),
            service: "orders".parse().unwrap(),
            idempotency_key: key.to_owned(),
        }
    }
}

/// The identity of an order whose content has this digest.
pub fn order(operator: &str, number: u64, content: Sha256Digest) -> OrderId {
    OrderId {
        operator: operator.parse().unwrap(),
        number: mimosa_protocol::OrderNumber(number),
        content,
    }
}
