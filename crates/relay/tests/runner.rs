//! The integration tests of the crate in a single binary.

mod fixture;
mod overload;
mod test_access;
mod test_admission;
mod test_attempt_failure;
mod test_connection_limit;
mod test_dead_engines;
mod test_directory;
mod test_events;
mod test_freshness;
mod test_groups;
mod test_idle_limits;
mod test_late_timer;
mod test_overload;
mod test_partitions;
mod test_placement;
mod test_plain_overload;
mod test_planned_stop;
mod test_quality;
mod test_rejection_limit;
mod test_relocation;
mod test_retry_budget;
mod test_rollouts;
mod test_shared_state;
mod test_store_backoff;
mod test_target_losses;
