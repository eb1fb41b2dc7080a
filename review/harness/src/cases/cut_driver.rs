//! The instance that drives roll-outs is cut off from the store when a bad version is ordered.

use std::{sync::Arc, thread, time::Duration};

use super::rollout::Rollout;
use crate::{cluster::CUT, Bed, Verdict};

/// The time limit of the roll-out.
const DURATION: Duration = Duration::from_secs(16);
// The times after the cut.
const NEW_AT: Duration = Duration::from_millis(500);
const HEAL_AT: Duration = Duration::from_secs(10);
const END_AT: Duration = Duration::from_secs(22);

pub fn run(bed: &Bed) -> Verdict {
    play(bed).unwrap_or_else(Verdict::NotRun)
}

fn play(bed: &Bed) -> Result<Verdict, String> {
    let mut rollout = Rollout::start(bed)?;
    let driver = bed
        .store
        .last_reader("rollouts")
        .ok_or("no instance reads the orders")?;
    bed.record
        .say(format!("instance {driver} reads the orders"));
    let cut_at = bed.record.now();
    if bed.has_trouble {
        bed.store.cut(driver);
        bed.cluster.note(driver, CUT);
        bed.record
            .say(format!("instance {driver}: cut off from the store"));
    }
    bed.record.sleep_until(cut_at + NEW_AT);
    rollout.bad_switch()();
    rollout.start_new()?;
    let ordered_at = rollout.order(DURATION);
    let (store, cluster, record) = (
        Arc::clone(&bed.store),
        Arc::clone(&bed.cluster),
        Arc::clone(&bed.record),
    );
    let has_trouble = bed.has_trouble;
    let script = thread::spawn(move || {
        record.sleep_until(cut_at + HEAL_AT);
        if has_trouble {
            store.heal(driver);
            cluster.note(driver, "reaches the store again");
            record.say(format!("instance {driver}: reaches the store again"));
        }
        record.sleep_until(cut_at + END_AT);
        Ok(())
    });
    Ok(rollout.finish(ordered_at, DURATION, script))
}
