//! What an entry makes of a datagram: whose it is, and whether that life still counts.

use std::net::SocketAddr;

use mimosa_protocol::Timestamp;

use crate::message::Body;
use crate::message::Heartbeat;
use crate::message::Message;
use crate::peers::Origin;
use crate::roster::Action;
use crate::roster::Membership;
use crate::view::Identity;

impl Membership {
    /// Takes one datagram in.
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
        if message.from.instance == self.me.instance {
            return self.receive_from_namesake(now, from, &message, actions);
        }
        let sender = message.from.clone();
        if let Some(other) = self
            .peers
            .other_at(now, &sender.instance, from, &self.settings)
        {
            actions.push(Action::DuplicateAddress {
                address: from,
                instances: [other.clone(), sender.instance.clone()],
            });
        }
        match self.peers.hear(now, &sender, from, &self.settings) {
            Origin::Present => actions.extend(self.receive_body(now, from, message)),
            Origin::Replaced { by } => actions.push(Action::Send {
                to: from,
                message: self.message(Body::Stop { by }),
            }),
            Origin::Twin => actions.push(Action::DuplicateInstance {
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
            Body::Stop { by } if by > self.me.incarnation => {
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
        self.peers.note(&sender.instance, heartbeat);
        let echo = heartbeat.echo.filter(|_| heartbeat.acknowledges);
        if let Some(echo) = echo.filter(|echo| echo.incarnation == self.me.incarnation) {
            self.leases
                .acknowledged(sender, heartbeat.epoch, echo.sequence);
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

    /// Another process speaks under this instance's name.
    fn receive_from_namesake(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        let theirs = message.from.incarnation;
        if theirs > self.me.incarnation {
            self.superseded = Some(theirs);
            actions.push(Action::Superseded { by: theirs });
        } else if theirs < self.me.incarnation {
            let by = self.me.incarnation;
            actions.push(Action::Send {
                to: from,
                message: self.message(Body::Stop { by }),
            });
        } else {
            self.twin_heard = Some(now);
            actions.push(Action::DuplicateInstance {
                instance: self.me.instance.clone(),
                address: from,
            });
        }
    }
}
