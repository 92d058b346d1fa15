//! Operators' orders: the first answer is kept, so that a resend gets it again.

use std::collections::BTreeMap;

use mimosa_protocol::OperatorId;
use mimosa_protocol::OrderNumber;
use mimosa_protocol::data;
use mimosa_protocol::hash::Sha256Digest;
use serde::Deserialize;
use serde::Serialize;

use crate::plan::Confirmation;
use crate::plan::Plan;
use crate::refusal::Refused;

/// Orders remembered for each operator; a number below all of them is refused as too old.
pub const ORDERS_PER_OPERATOR: usize = 256;

data! {
    /// Names an order and its content.
    pub struct OrderId {
        /// Who gives it.
        pub operator: OperatorId,
        /// The operator's number for it.
        pub number: OrderNumber,
        /// Digest of what was asked, as the operator sent it.
        pub content: Sha256Digest,
    }

    /// The first answer to an order.
    pub enum OrderAnswer {
        /// To a plan.
        Plan(Result<Box<Plan>, Refused>),
        /// To a confirm.
        Confirm(Result<Confirmation, Refused>),
    }

    /// An order that was answered.
    struct Answered {
        content: Sha256Digest,
        answer: OrderAnswer,
    }
}

/// What is known about an order.
#[derive(Debug)]
pub enum Known {
    /// It is new.
    New,
    /// It was answered before.
    Answered(OrderAnswer),
    /// It may not run.
    Refused(Refused),
}

/// The orders of one operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct OperatorOrders {
    /// The highest number that was forgotten.
    floor: Option<OrderNumber>,
    answered: BTreeMap<OrderNumber, Answered>,
}

/// The orders of all operators. An order is named by operator and number together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    operators: BTreeMap<OperatorId, OperatorOrders>,
}

impl Orders {
    /// Looks an order up.
    pub fn look_up(&self, order: &OrderId) -> Known {
        let Some(orders) = self.operators.get(&order.operator) else {
            return Known::New;
        };
        match orders.answered.get(&order.number) {
            Some(known) if known.content == order.content => Known::Answered(known.answer.clone()),
            Some(_) => Known::Refused(Refused::OrderConflict(order.number)),
            None => orders.too_old(order.number),
        }
    }

    /// Remembers the first answer to an order.
    pub fn remember(&mut self, order: OrderId, answer: OrderAnswer) {
        let orders = self.operators.entry(order.operator).or_default();
        let content = order.content;
        orders
            .answered
            .insert(order.number, Answered { content, answer });
        if orders.answered.len() > ORDERS_PER_OPERATOR {
            orders.floor = orders.answered.pop_first().map(|(number, _)| number);
        }
    }
}

impl OperatorOrders {
    fn too_old(&self, number: OrderNumber) -> Known {
        match self.floor {
            Some(floor) if number <= floor => {
                Known::Refused(Refused::OrderTooOld { number, floor })
            }
            _ => Known::New,
        }
    }
}
