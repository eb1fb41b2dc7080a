//! Decisions of routed requests: which route a request takes, who may ask, which target runs it,
//! what a failed attempt proves, and how a stream goes on at another target.
//!
//! Nothing here does I/O; the time is passed in.

mod access;
mod address_book;
mod board;
mod change_log;
mod config;
mod ended;
mod entry;
mod event;
mod evidence;
mod first_wait;
mod group;
mod head;
mod held;
mod left;
mod lists;
mod news;
mod notes;
mod order;
mod patience;
mod place;
mod quality;
mod rests;
mod retries;
mod revival;
mod rollout;
mod settings;
mod store_rest;
mod streams;
mod table;
mod target;
mod targets;
mod versions;
mod watchers;

pub use access::Denied;
pub use board::{Adoption, Board, Note, Placement, Placements, Taken};
pub use config::{Account, Backend, CallerLimits, Config, EngineLimits, Route, RouteKind, Service};
pub use ended::{Ended, Next, Situation};
pub use entry::{Presence, TargetEntry};
pub use event::{Event, Events};
pub use evidence::{Answers, Evidence, Pair, Report};
pub use first_wait::FirstWait;
pub use group::Group;
pub use head::{CallerHead, CopyName, Load, Part, Prompt, TargetAnswer, TargetHead};
pub use left::Clock;
pub use lists::Lists;
pub use news::{pack, unpack, News};
pub use notes::Notes;
pub use order::{Order, Phase, Stage};
pub use patience::{Patience, Return};
pub use place::{Pick, Want};
pub use quality::{Quality, Tally};
pub use rests::{Rest, Rests};
pub use retries::{Retries, Sends};
pub use revival::Dead;
pub use rollout::{Fleet, Rollout};
pub use settings::{Bounds, Listen, Seed, Settings, StoreSettings};
pub use store_rest::StoreRest;
pub use streams::PlacementKey;
pub use table::Table;
pub use target::Target;
pub use targets::{Change, Targets};
pub use versions::{Choice, Versions};
pub use watchers::{Watchers, Word};
