//! An instance that drives a roll-out freezes, another one takes the bad version back meanwhile, and
//! the first one wakes and completes the roll-out.

use std::{sync::Arc, thread, time::Duration};

use super::rollout::Rollout;
use crate::{sys, Bed, Verdict};

// The times after the order.
const DURATION: Duration = Duration::from_secs(24);
const FREEZE_AT: Duration = Duration::from_millis(11_500);
const BAD_FROM: Duration = Duration::from_millis(14_500);
const THAW_AT: Duration = Duration::from_millis(17_000);
const END_AT: Duration = Duration::from_secs(36);

pub fn run(bed: &Bed) -> Verdict {
    play(bed).unwrap_or_else(Verdict::NotRun)
}

fn play(bed: &Bed) -> Result<Verdict, String> {
    let mut rollout = Rollout::start(bed)?;
    rollout.start_new()?;
    let ordered_at = rollout.order(DURATION);
    let turn_bad = rollout.bad_switch();
    let (store, cluster, record) = (
        Arc::clone(&bed.store),
        Arc::clone(&bed.cluster),
        Arc::clone(&bed.record),
    );
    let has_trouble = bed.has_trouble;
    let script = thread::spawn(move || {
        record.sleep_until(ordered_at + FREEZE_AT);
        let driver = store.status_writes().last().map(|write| write.instance);
        let driver = driver.ok_or("no instance reported that the roll-out is running")?;
        record.say(format!("instance {driver} drives the roll-out"));
        if has_trouble {
            cluster.signal(driver, sys::SIGSTOP, "frozen");
        }
        record.sleep_until(ordered_at + BAD_FROM);
        turn_bad();
        record.sleep_until(ordered_at + THAW_AT);
        if has_trouble {
            cluster.signal(driver, sys::SIGCONT, "thawed");
        }
        record.sleep_until(ordered_at + END_AT);
        Ok(())
    });
    Ok(rollout.finish(ordered_at, DURATION, script))
}
