//! Fake servers for tests and demos: an inference engine, a plain HTTP service and the platform API
//! that lists instances.
//!
//! Each server runs as tasks of the calling process and stops when its handle is dropped. They
//! implement the interfaces of `docs/design/engine-interface.md`.

pub mod engine;
pub mod plain;
pub mod platform;
pub mod serve;

pub use crate::engine::Engine;
pub use crate::engine::EngineSettings;
pub use crate::plain::Plain;
pub use crate::platform::Platform;
