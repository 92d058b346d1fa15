//! Tests of an entry through its HTTP interface, with stand-in endpoints and a fake control
//! instance.

mod answers;
mod control;
mod crashing_calls;
mod early_answers;
mod fixture;
mod http;
mod keys;
mod memory;
mod misdelivery;
mod quarantine;
mod raw;
mod refusals;
mod services;
mod shutdown;
mod slow_bodies;
mod slow_readers;
mod truncation;
