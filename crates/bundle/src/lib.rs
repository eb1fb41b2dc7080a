//! The formats of bundles and settings, their validation, and the diff of bundles.

mod account;
mod bundle;
mod check;
mod diff;
mod document;
mod model;
mod schema;
mod service;
mod settings;
mod target;
mod validation_error;

pub use account::Account;
pub use bundle::{Bundle, FORMAT};
pub use diff::{diff, Change};
pub use model::{Model, Share, Version};
pub use schema::{bundle_schema, settings_schema};
pub use service::{Call, Service};
pub use settings::{LogFormat, LogLevel, LogSettings, Operator, Settings};
pub use target::{Fencing, Target, TargetKind};
pub use validation_error::{EntryKind, Expected, ValidationError};
