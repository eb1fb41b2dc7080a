//! Another writer puts an entry among those of the engines whose bytes cannot be read.

use std::{
    sync::PoisonError,
    thread,
    time::{Duration, Instant},
};

use super::{
    left_engine::{config, judge, start_engine, Left, Played, DRAIN, ENGINES, EXTRA_SERVICE, LOAD},
    start_all,
};
use crate::{
    clients::Clients,
    engine::{Arrivals, Engine},
    http::Connection,
    store::UNREADABLE,
    Bed, Verdict,
};

/// How long a restarted instance may take to be ready.
const READY_WITHIN: Duration = Duration::from_secs(12);

pub fn run(bed: &Bed) -> Verdict {
    match play(bed) {
        Ok(played) => judge(bed, &played),
        Err(reason) => Verdict::NotRun(reason),
    }
}

fn play(bed: &Bed) -> Result<Played, String> {
    let (record, store, cluster) = (&bed.record, &bed.store, &bed.cluster);
    store.put("config", "main", &config(0));
    let arrivals = Arrivals::default();
    let start = |index| start_engine(bed, index, &arrivals);
    let mut engines: Vec<Engine> = (0..ENGINES).map(start).collect::<Result<_, _>>()?;
    start_all(bed)?;
    let clients = Clients::start(cluster, record, LOAD);
    thread::sleep(Duration::from_secs(5));
    if bed.has_trouble {
        store.put("servers", "another-writer", &format!("\"{UNREADABLE}\""));
        record.say("another writer puts an entry that cannot be read");
    }
    thread::sleep(Duration::from_secs(4));
    let old = engines.remove(0);
    old.register("draining");
    let left = vec![Left {
        engine: old.identity.id.clone(),
        at: record.now(),
    }];
    record.say(format!("engine {} reports that it drains", old.identity.id));
    thread::sleep(DRAIN + EXTRA_SERVICE * 5);
    old.deregister();
    old.stop();
    record.say(format!("engine {} ends", old.identity.id));
    thread::sleep(Duration::from_secs(1));
    cluster.kill(0);
    thread::sleep(Duration::from_millis(500));
    cluster.start(0).map_err(|error| error.to_string())?;
    let begun = Instant::now();
    while !is_ready(bed, 0) && begun.elapsed() < READY_WITHIN {
        thread::sleep(Duration::from_millis(100));
    }
    record.say(format!(
        "the restarted instance is ready: {}, after {:.1} s",
        is_ready(bed, 0),
        begun.elapsed().as_secs_f64()
    ));
    let sent = clients.stop();
    let arrivals = arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Ok(Played {
        left,
        arrivals,
        sent,
    })
}

fn is_ready(bed: &Bed, instance: usize) -> bool {
    let timeout = Duration::from_secs(1);
    let address = bed.cluster.addresses.ready(instance);
    let Ok(mut connection) = Connection::open(address, timeout) else {
        return false;
    };
    let request = b"GET /celerypond/ready HTTP/1.1\r\nHost: a.example\r\n\r\n";
    connection.exchange(request, timeout).is_ok_and(|answer| answer.status() == 200)
}
