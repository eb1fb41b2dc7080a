//! Membership, gossip and the service between instances.
