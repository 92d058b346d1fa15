//! Middleware that every caller's request passes before routing.

pub(crate) mod drain;
pub(crate) mod identify;
pub(crate) mod record;
