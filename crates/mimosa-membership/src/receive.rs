//! Receives datagrams: classifies the sender and dispatches the message.

use std::net::SocketAddr;

use mimosa_protocol::Timestamp;

use crate::membership::Action;
use crate::membership::Membership;
use crate::message::Body;
use crate::message::Heartbeat;
use crate::message::Message;
use crate::peers::SenderStatus;
use crate::view::Identity;

impl Membership {
    /// Processes a datagram. Datagrams of other data centres are ignored.
    pub(crate) fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        if message.data_centre != self.data_centre {
            return;
        }
        if message.from.instance == self.identity.instance {
            return self.receive_from_own_name(now, from, &message, actions);
        }
        let sender = message.from.clone();
        if let Some(other) =
            self.peers
                .address_conflict(now, &sender.instance, from, &self.settings)
        {
            actions.push(Action::DuplicateAddress {
                address: from,
                instances: [other.clone(), sender.instance.clone()],
            });
        }
        match self
            .peers
            .record_message(now, &sender, from, &self.settings)
        {
            SenderStatus::Current => actions.extend(self.receive_body(now, from, message)),
            SenderStatus::Superseded { by } => actions.push(Action::Send {
                to: from,
                message: self.message(Body::Stop { by }),
            }),
            SenderStatus::Duplicate => actions.push(Action::DuplicateInstance {
                instance: sender.instance,
                address: from,
            }),
        }
    }

    fn receive_body(&mut self, now: Timestamp, from: SocketAddr, message: Message) -> Vec<Action> {
        let sender = message.from;
        match message.body {
            Body::Heartbeat(heartbeat) => self.receive_heartbeat(from, &sender, &heartbeat),
            Body::Install(view) => self.install(now, view),
            Body::Stop { by } if by > self.identity.incarnation => {
                self.superseded = Some(by);
                vec![Action::Superseded { by }]
            }
            Body::Stop { .. } => Vec::new(),
            body => self.receive_agreement(now, from, &sender, body),
        }
    }

    fn receive_heartbeat(
        &mut self,
        from: SocketAddr,
        sender: &Identity,
        heartbeat: &Heartbeat,
    ) -> Vec<Action> {
        self.peers.record_heartbeat(&sender.instance, heartbeat);
        let echo = heartbeat.echo.filter(|_| heartbeat.acknowledges);
        if let Some(echo) = echo.filter(|echo| echo.incarnation == self.identity.incarnation) {
            self.leases
                .heartbeat_acknowledged(sender, heartbeat.epoch, echo.sequence);
        }
        let newer = self.view().filter(|view| view.epoch > heartbeat.epoch);
        newer
            .map(|view| Action::Send {
                to: from,
                message: self.message(Body::Install(view.clone())),
            })
            .into_iter()
            .collect()
    }

    /// Processes a datagram that another process sent under the name of this instance.
    fn receive_from_own_name(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        let other = message.from.incarnation;
        if other > self.identity.incarnation {
            self.superseded = Some(other);
            actions.push(Action::Superseded { by: other });
        } else if other < self.identity.incarnation {
            let by = self.identity.incarnation;
            actions.push(Action::Send {
                to: from,
                message: self.message(Body::Stop { by }),
            });
        } else {
            self.duplicate_detected_at = Some(now);
            actions.push(Action::DuplicateInstance {
                instance: self.identity.instance.clone(),
                address: from,
            });
        }
    }
}
