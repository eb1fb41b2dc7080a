//! Fleet membership, gossip, and the RPC service between instances.
//!
//! [`Gossip`] is a state machine without I/O: its inputs are the time, received messages and failures,
//! and its outputs are the messages to send. [`choose_instances`] assigns jobs to instances, [`Subset`]
//! assigns targets to instances, [`DistributionTree`] determines the paths on which changes of the store
//! spread, and [`Peer`] is the RPC service between instances.

mod budget;
mod class_entries;
mod delta;
mod digest;
mod distribution_tree;
mod entry;
mod entry_table;
mod facts;
mod gossip;
mod gossip_settings;
mod member;
mod membership;
mod message;
mod origin;
mod peer;
mod push_queue;
mod rendezvous;
mod subset;

pub use budget::ByteBudget;
pub use delta::Delta;
pub use digest::{Digest, DigestLine};
pub use distribution_tree::DistributionTree;
pub use entry::{Entry, EntryClass, EntryError, EntryKind, Item};
pub use entry_table::EntryTable;
pub use facts::{Brake, Facts};
pub use gossip::{Event, Gossip, Outgoing};
pub use gossip_settings::GossipSettings;
pub use member::{Member, MemberState, PreviousRun};
pub use membership::{ListedMember, Membership};
pub use message::{Claim, Message};
pub use origin::{Identity, Incarnation, Origin};
pub use peer::{call_context, connect, serve_connection, Peer, PeerClient, PeerError};
pub use rendezvous::{choose_instances, Candidate};
pub use subset::Subset;
