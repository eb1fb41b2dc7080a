//! The bundle and settings formats, their checks and their diff.

mod account;
mod bundle;
mod model;
mod service;
mod target;

pub use account::Account;
pub use bundle::{Bundle, FORMAT};
pub use model::{Model, Share, Version};
pub use service::{Call, Service};
pub use target::{Fencing, Target, TargetKind};
