//! The cases.

pub mod cut_driver;
pub mod left_engine;
mod rollout;
pub mod stale_driver;

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{clients, Bed};

/// Starts all instances and waits until each names all of them.
fn start_all(bed: &Bed) -> Result<(), String> {
    let count = bed.cluster.count;
    for index in 0..count {
        bed.cluster
            .start(index)
            .map_err(|error| error.to_string())?;
    }
    let until = Instant::now() + Duration::from_secs(10);
    let knows_all = |index| {
        let directory = bed.cluster.addresses.directory(index);
        clients::ask_directory(directory).is_some_and(|(addresses, _)| addresses.len() == count)
    };
    while !(0..count).all(knows_all) {
        if Instant::now() > until {
            return Err("the instances did not find each other".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    bed.record.say("all instances know each other");
    Ok(())
}
