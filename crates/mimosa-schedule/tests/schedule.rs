//! Tests of the scheduler of one data centre: sessions, failures, fair shares, handover and
//! invariants.

#[path = "schedule/failures.rs"]
mod failures;
#[path = "schedule/fixture.rs"]
mod fixture;
#[path = "schedule/invariants.rs"]
mod invariants;
#[path = "schedule/session.rs"]
mod session;
#[path = "schedule/shares.rs"]
mod shares;
#[path = "schedule/simulation.rs"]
mod simulation;
#[path = "schedule/step.rs"]
mod step;
#[path = "schedule/succession.rs"]
mod succession;
