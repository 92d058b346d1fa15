//! Commands and states that several tests share.

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
use mimosa_state::Machine;
use mimosa_state::Operation;
use mimosa_state::Plan;
use mimosa_state::PlanId;
use mimosa_state::Refused;
use mimosa_state::command::confirm_content;
use mimosa_state::command::plan_content;
use mimosa_state::orders::OrderId;
use mimosa_state::plan::Confirmation;
use serde_json::json;

/// A state machine with its log position and clock.
#[derive(Debug)]
pub struct Sample {
    /// The machine.
    pub machine: Machine,
    /// The time of the next command.
    pub now: Timestamp,
    /// Every command so far.
    pub log: Vec<Command>,
    /// The account that calls run for.
    pub account: &'static str,
    /// The last number of `accept`.
    pub number: u64,
}

impl Default for Sample {
    fn default() -> Self {
        Self {
            machine: Machine::default(),
            now: Timestamp::ZERO,
            log: Vec::new(),
            account: "wisla",
            number: 0,
        }
    }
}

impl Sample {
    /// Two data centres with both pools of `verse` and the plain service `orders` in each, an
    /// account and a key.
    pub fn furnished() -> Self {
        let mut sample = Self::default();
        let mut port = 9_000;
        let mut intents = vec![
            json!({"put_data_centre": {"data_centre": "east"}}),
            json!({"put_data_centre": {"data_centre": "west"}}),
            json!({"put_service": {"service": "verse", "kind": "model"}}),
            json!({"put_service": {"service": "orders", "kind": "plain"}}),
            json!({"put_account": {"account": "wisla", "rate": 100, "burst": 1000}}),
            json!({"create_key": {"key": "k-1", "account": "wisla", "digest": "ab".repeat(32)}}),
        ];
        for place in ["east", "west"] {
            for (role, service) in [
                ("prefill", "verse"),
                ("decode", "verse"),
                ("plain", "orders"),
            ] {
                port += 1;
                intents.push(json!({"put_endpoint": {
                    "endpoint": format!("{role}-{place}"), "service": service,
                    "data_centre": place, "role": role, "address": format!("127.0.0.1:{port}"),
                }}));
            }
        }
        intents.into_iter().for_each(|each| sample.accept(each));
        sample
    }

    /// Applies an operation now.
    pub fn apply(&mut self, operation: Operation) -> CommandResult {
        let at = self.now;
        let command = Command { at, operation };
        self.log.push(command.clone());
        self.machine.apply(self.log.len() as u64, command)
    }

    /// Plans under an operator's number.
    pub fn plan(
        &mut self,
        operator: &str,
        number: u64,
        intent: serde_json::Value,
    ) -> Result<Box<Plan>, Refused> {
        let intent: Intent = serde_json::from_value(intent).unwrap();
        let order = order(operator, number, plan_content(&intent));
        let unreachable = Vec::new();
        match self.apply(Operation::Plan {
            order,
            intent,
            unreachable,
        }) {
            CommandResult::Planned(answer) => answer,
            other => panic!("a plan was answered by {other:?}"),
        }
    }

    /// Confirms under an operator's number.
    pub fn confirm(
        &mut self,
        operator: &str,
        number: u64,
        plan: PlanId,
    ) -> Result<Confirmation, Refused> {
        let order = order(operator, number, confirm_content(plan));
        match self.apply(Operation::Confirm { order, plan }) {
            CommandResult::Confirmed(answer) => answer,
            other => panic!("a confirm was answered by {other:?}"),
        }
    }

    /// Plans and confirms under numbers of its own.
    pub fn accept(&mut self, intent: serde_json::Value) {
        self.number += 2;
        let plan = self.plan("setup", self.number, intent).unwrap();
        self.confirm("setup", self.number + 1, plan.id).unwrap();
    }

    /// Begins a call of the ledger.
    pub fn begin(&mut self, request: u128, name: &str, content: &str) -> LedgerAnswer {
        let begin = LedgerBegin {
            request: mimosa_protocol::RequestId(request),
            key: self.ledger_key(name),
            content: Sha256Digest::of(content.as_bytes()),
            at: self.now,
        };
        match self.apply(Operation::LedgerBegin(begin)) {
            CommandResult::LedgerBegun(answer) => answer,
            other => panic!("a begin was answered by {other:?}"),
        }
    }

    /// Ends a call of the ledger.
    pub fn finish(&mut self, request: u128, name: &str, end: LedgerEnd) {
        let finish = LedgerFinish {
            request: mimosa_protocol::RequestId(request),
            key: self.ledger_key(name),
            end,
            at: self.now,
        };
        self.apply(Operation::LedgerFinish(finish));
    }

    fn ledger_key(&self, name: &str) -> LedgerKey {
        LedgerKey {
            account: self.account.parse().unwrap(),
            service: "orders".parse().unwrap(),
            idempotency_key: name.to_owned(),
        }
    }
}

/// Names an order.
pub fn order(operator: &str, number: u64, content: Sha256Digest) -> OrderId {
    OrderId {
        operator: operator.parse().unwrap(),
        number: mimosa_protocol::OrderNumber(number),
        content,
    }
}
