//! Tests of whole instances on loopback, most of them under failures.

mod fleet;
mod process;
mod test_answers;
mod test_bundle_subset;
mod test_bundles;
mod test_calls;
mod test_engine_stream;
mod test_front;
mod test_inbox;
mod test_limits;
mod test_listener;
mod test_process_ends;
mod test_process_starts;
mod test_relaying_process;
mod test_rollouts;
mod test_supervised;
mod test_targets;
