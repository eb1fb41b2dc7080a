//! Stand-ins for the platform, engines and services, and history checks.
//!
//! A stand-in answers the forms of `docs/design/wire.md` on loopback, and misbehaves on request.

pub mod engine;
pub mod fault;
pub mod instances;
pub mod load;
pub mod objects;
pub mod platform;
pub mod reply;
pub mod server;
pub mod service;
pub mod stream;
pub mod token_sequence;
