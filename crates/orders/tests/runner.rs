//! Integration tests of the crate.

mod simulation;
mod test_fencing;
mod test_loads;
mod test_scripts;
