//! Idempotency of operators' orders: the first answer is kept, and a resend gets the same answer.

use std::collections::BTreeMap;

use mimosa_protocol::OperatorId;
use mimosa_protocol::OrderNumber;
use mimosa_protocol::data;
use mimosa_protocol::hash::Sha256Digest;
use serde::Deserialize;
use serde::Serialize;

use crate::plan::Confirmation;
use crate::plan::Plan;
use crate::refusal::Refusal;

/// Answered orders kept per operator. The lowest number is evicted first; a number at or below the
/// last evicted one is refused as too old.
pub const MAX_ORDERS_PER_OPERATOR: usize = 256;

data! {
    /// Identifies an order and its content.
    pub struct OrderId {
        /// The operator who sent it. Numbers of different operators are independent.
        pub operator: OperatorId,
        /// The number that the operator gave it; a resend has the same one.
        pub number: OrderNumber,
        /// Digest of the request as the operator sent it.
        pub content: Sha256Digest,
    }

    /// The first answer to an order.
    pub enum OrderAnswer {
        /// The answer to a plan order.
        Plan(Result<Box<Plan>, Refusal>),
        /// The answer to a confirm order.
        Confirm(Result<Confirmation, Refusal>),
    }

    struct AnsweredOrder {
        content: Sha256Digest,
        answer: OrderAnswer,
    }
}

/// The result of looking up an order.
#[derive(Debug)]
pub enum OrderLookup {
    /// No answer is kept under its number.
    New,
    /// A resend: the answer is the first one.
    Answered(OrderAnswer),
    /// The number was used with other content, or is too old.
    Refused(Refusal),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct OperatorOrders {
    /// The highest evicted number.
    floor: Option<OrderNumber>,
    answered: BTreeMap<OrderNumber, AnsweredOrder>,
}

/// The answered orders of all operators. Operator and number together identify an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    operators: BTreeMap<OperatorId, OperatorOrders>,
}

impl Orders {
    /// Looks up an order by operator and number, and compares the content.
    pub fn lookup(&self, order: &OrderId) -> OrderLookup {
        let Some(orders) = self.operators.get(&order.operator) else {
            return OrderLookup::New;
        };
        match orders.answered.get(&order.number) {
            Some(known) if known.content == order.content => {
                OrderLookup::Answered(known.answer.clone())
            }
            Some(_) => OrderLookup::Refused(Refusal::OrderConflict(order.number)),
            None => orders.check_floor(order.number),
        }
    }

    /// Stores the first answer to an order and evicts the lowest number beyond the bound.
    pub fn record_answer(&mut self, order: OrderId, answer: OrderAnswer) {
        let orders = self.operators.entry(order.operator).or_default();
        let content = order.content;
        orders
            .answered
            .insert(order.number, AnsweredOrder { content, answer });
        if orders.answered.len() > MAX_ORDERS_PER_OPERATOR {
            orders.floor = orders.answered.pop_first().map(|(number, _)| number);
        }
    }
}

impl OperatorOrders {
    fn check_floor(&self, number: OrderNumber) -> OrderLookup {
        match self.floor {
            Some(floor) if number <= floor => {
                OrderLookup::Refused(Refusal::OrderTooOld { number, floor })
            }
            _ => OrderLookup::New,
        }
    }
}
