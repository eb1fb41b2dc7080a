//! Runs the tests of the crate.

mod site;
mod test_fencing;
mod test_loads;
mod test_scripts;
