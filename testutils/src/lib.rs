//! Stand-ins for the platform, engines and plain services, and a load generator, for tests,
//! benchmarks and demos.
//!
//! A stand-in implements its side of the protocol in `docs/design/wire.md` on loopback, and
//! simulates faults on request.

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
