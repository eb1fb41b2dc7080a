//! The integration tests of the crate, in one binary.

mod fixture;
mod overload;
mod test_access;
mod test_admission;
mod test_attempts;
mod test_death;
mod test_entries;
mod test_events;
mod test_freshness;
mod test_groups;
mod test_lists;
mod test_overload;
mod test_placement;
mod test_quality;
mod test_relocation;
mod test_rests;
mod test_retries;
mod test_rollouts;
mod test_stop;
mod test_store_backoff;
