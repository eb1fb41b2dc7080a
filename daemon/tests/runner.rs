//! Whole instances on loopback, under failure.

mod fleet;
mod test_answers;
mod test_bundles;
mod test_calls;
mod test_front;
mod test_inbox;
mod test_limits;
mod test_links;
mod test_part;
mod test_rollouts;
mod test_targets;
