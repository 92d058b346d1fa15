//! Queueing, fair shares and prefill/decode placement of one service in one data centre.
//!
//! A [`Policy`] takes `(now, event)` and returns actions. It uses no clock, socket, task or global
//! random source, so any driver can run it, and the same sequence of events gives the same actions.
//!
//! An entry is an instance that accepts requests of clients. It submits them to the scheduler of the
//! service, holds them until they end, and runs the granted attempts.
//!
//! [`fleet`] is another scheduler, which places the requests of all gateways at endpoints of all data
//! centres, with weighted fair shares of the accounts from [`fair_share`]. [`pick`] and [`health`] serve
//! gateways that select endpoints without a scheduler. [`speed`] serves both: it learns how fast each
//! endpoint is.
//!
//! A driver passes in all events, executes the returned actions, sends [`Event::Tick`] at the time
//! that the policy requests, and validates each grant with a [`GrantFence`] before an attempt
//! starts.
//!
//! ```
//! use std::time::Duration;
//!
//! use mimosa_protocol::ByteRate;
//! use mimosa_protocol::RequestId;
//! use mimosa_protocol::Timestamp;
//! use mimosa_protocol::Tokens;
//! use mimosa_protocol::configuration::Capacity;
//! use mimosa_protocol::configuration::DataCentre;
//! use mimosa_protocol::configuration::DataCentreState;
//! use mimosa_protocol::configuration::Endpoint;
//! use mimosa_protocol::configuration::EndpointRole;
//! use mimosa_protocol::configuration::EndpointState;
//! use mimosa_protocol::configuration::Service;
//! use mimosa_protocol::configuration::ServiceKind;
//! use mimosa_schedule::Action;
//! use mimosa_schedule::AttemptEnd;
//! use mimosa_schedule::Event;
//! use mimosa_schedule::GrantFence;
//! use mimosa_schedule::Policy;
//! use mimosa_schedule::Scheduler;
//! use mimosa_schedule::Settings;
//! use mimosa_schedule::Submission;
//! use mimosa_schedule::event::View;
//!
//! let service = Service {
//!     id: "verse".parse()?,
//!     kind: ServiceKind::Model,
//!     open: false,
//!     first_token_target: Duration::from_millis(1_500),
//!     token_gap_target: Duration::from_millis(40),
//!     max_queue_time: Duration::from_secs(3),
//! };
//! let data_centre = DataCentre {
//!     id: "dc1".parse()?,
//!     state: DataCentreState::In,
//!     link_rate: ByteRate(10_000_000_000),
//! };
//! let endpoint = |id: &str, role| -> mimosa_protocol::Result<Endpoint> {
//!     Ok(Endpoint {
//!         id: id.parse()?,
//!         service: service.id.clone(),
//!         data_centre: data_centre.id.clone(),
//!         address: ([127, 0, 0, 1], 9_000).into(),
//!         role,
//!         state: EndpointState::Active,
//!         capacity: Capacity::default(),
//!         checks_fencing: false,
//!     })
//! };
//! let view = View {
//!     endpoints: vec![
//!         endpoint("prefill-1", EndpointRole::Prefill)?,
//!         endpoint("decode-1", EndpointRole::Decode)?,
//!     ],
//!     service: service.clone(),
//!     data_centre: data_centre.clone(),
//! };
//!
//! let now = Timestamp::from_secs(1);
//! let mut scheduler = Scheduler::new(Settings::default());
//! scheduler.handle(now, Event::Configure(Box::new(view)));
//!
//! let request = RequestId(7);
//! let actions = scheduler.handle(
//!     now,
//!     Event::Submit(Submission {
//!         request,
//!         account: "kembang".parse()?,
//!         weight: 1,
//!         prompt: Tokens(6_000),
//!         max_output: Tokens(500),
//!         prefix: Vec::new(),
//!         arrived: now,
//!         idempotent: true,
//!         avoid: Vec::new(),
//!     }),
//! );
//! let [Action::Start(grant)] = actions.as_slice() else {
//!     panic!("an idle pool starts a request immediately");
//! };
//! let mut fence = GrantFence::default();
//! fence.accept(now, grant)?;
//!
//! // The driver runs the attempt and reports its progress.
//! let later = now + Duration::from_millis(400);
//! scheduler.handle(later, Event::Prefilled { request });
//! scheduler.handle(later, Event::Transferred { request });
//! scheduler.handle(later, Event::Progress { request, output: Tokens(120) });
//! scheduler.handle(later, Event::Ended { request, end: AttemptEnd::Complete });
//! assert_eq!(scheduler.running(), 0);
//! // Without other events, the driver sends `Event::Tick` at this time.
//! assert_eq!(scheduler.next_wake(), None);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod affinity;
mod attempt;
mod averages;
mod endpoint;
mod latency;
mod link;
mod memory;
mod pool;
mod profile;
mod queue;
mod ramp;

pub mod action;
pub mod balance;
pub mod body_bound;
pub mod cold;
pub mod event;
pub mod fair_share;
pub mod fence;
pub mod fleet;
pub mod health;
pub mod pick;
pub mod rate_limit;
pub mod scheduler;
pub mod settings;
pub mod speed;
pub mod succession;
pub mod versions;

pub use crate::action::Action;
pub use crate::action::Grant;
pub use crate::event::AttemptEnd;
pub use crate::event::Event;
pub use crate::event::Submission;
pub use crate::fence::FenceError;
pub use crate::fence::GrantFence;
pub use crate::scheduler::Scheduler;
pub use crate::settings::Settings;
pub use crate::succession::SuccessorStart;

use mimosa_protocol::Timestamp;

/// A scheduling policy of one service in one data centre. Baseline policies for comparisons
/// implement the same trait.
pub trait Policy: Send {
    /// Processes an event and returns the resulting actions in order.
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action>;

    /// Time at which the next [`Event::Tick`] is required; `None` if no timer is needed.
    fn next_wake(&self) -> Option<Timestamp>;
}
