//! Integration tests of the crate, built as one binary.

mod simulation;
mod test_budget;
mod test_choice;
mod test_distribution_tree;
mod test_entry_table;
mod test_gossip;
mod test_membership;
mod test_peer;
mod test_scripts;
