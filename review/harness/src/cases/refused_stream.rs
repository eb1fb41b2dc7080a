//! An engine runs a stream that may not be resumed and answers it with 503, without saying that it
//! has not run it.

use std::{
    sync::{Arc, PoisonError},
    thread,
    time::Duration,
};

use super::start_all;
use crate::{
    clients::{Clients, Load, Sent, HOST, KEY},
    cluster::ZONES,
    engine::{Arrival, Arrivals, Engine, Identity, Run},
    http::Message,
    Bed, Verdict,
};

const SERVICE: &str = "huvo11a";
const ENGINES: usize = 6;
const EVENTS: u64 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// How long an engine works on a request before it fails.
const WORK_BEFORE_FAILURE: Duration = Duration::from_millis(60);
const LENGTH: Duration = Duration::from_secs(15);
/// The statuses by which an answer promises that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-draft","host":"@HOST","pathPrefix":"/pufi791/","kind":"stream","timeoutMs":25000,"targetLatencyMs":4500,"priority":1,"service":"huvo11a","maxAttempts":5,"allowAnonymous":false,"sessionAffinity":true,"resumeStreams":false,"gapAimMs":700}],"services":[{"name":"huvo11a","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":32,"kvCapacityTokens":88000,"kvTokenBytes":35136,"linkMbps":280000.0,"moves":false,"backups":false,"stride":4,"handleS":4.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"huka270","apiKeys":["@KEY"],"priority":1}]}"#;

pub fn run(bed: &Bed) -> Verdict {
    match play(bed) {
        Ok((arrivals, sent)) => judge(bed, &arrivals, &sent),
        Err(reason) => Verdict::NotRun(reason),
    }
}

fn play(bed: &Bed) -> Result<(Vec<Arrival>, Vec<Sent>), String> {
    let config = CONFIG.replace("@HOST", HOST).replace("@KEY", KEY);
    bed.store.put("config", "main", &config);
    let arrivals = Arrivals::default();
    let engines = (0..ENGINES).map(|index| {
        let identity = Identity {
            id: format!("i-{index}"),
            service: SERVICE.to_owned(),
            version: "v1".to_owned(),
            zone: ZONES[index % ZONES.len()].to_owned(),
            address: bed.cluster.addresses.engine(index),
            slots: 32,
        };
        // One engine in three fails two in five of its requests, with good health.
        let is_grey = bed.has_trouble && index % 3 == 0;
        let behaviour = move |request: &Message| answer(request, is_grey);
        Engine::start(
            identity,
            &bed.store,
            &bed.record,
            &arrivals,
            Arc::new(behaviour),
        )
    });
    let engines: Result<Vec<Engine>, std::io::Error> = engines.collect();
    let _engines = engines.map_err(|error| error.to_string())?;
    start_all(bed)?;
    let load = Load {
        clients: 12,
        interval: Duration::from_millis(600),
        deadline: Duration::from_secs(25),
        path: "/pufi791/",
        headers: "Model: m\r\nToken-Counts: 1460,80\r\nPrompt-Prefix: 5c1e07a2:200,@ID:1260\r\n",
    };
    let clients = Clients::start(&bed.cluster, &bed.record, load);
    thread::sleep(LENGTH);
    let sent = clients.stop();
    let arrivals = arrivals
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    Ok((arrivals, sent))
}

fn answer(request: &Message, is_grey: bool) -> Run {
    let id = request.header("request-id");
    let number = u64::from_str_radix(id, 16).unwrap_or_default();
    if is_grey && number % 5 < 2 {
        Run::Fail(WORK_BEFORE_FAILURE, "503 Service Unavailable")
    } else {
        Run::Stream(EVENTS, EVENT_INTERVAL)
    }
}

fn judge(bed: &Bed, arrivals: &[Arrival], sent: &[Sent]) -> Verdict {
    let record = &bed.record;
    for status in [200, 502, 503, 504] {
        let count = sent
            .iter()
            .filter(|sent| sent.status == Some(status))
            .count();
        record.say(format!("clients: {count} requests ended with {status}"));
    }
    let has_run = |id: &str| {
        arrivals
            .iter()
            .any(|arrival| arrival.request == id && arrival.has_run)
    };
    let refused = sent.iter().filter(|sent| {
        sent.status.is_some_and(|status| PROMISES.contains(&status)) && has_run(&sent.id)
    });
    let refused: Vec<&Sent> = refused.collect();
    record.say(format!(
        "requests that ran at an engine and were answered with a status that promises they have not: {}",
        refused.len()
    ));
    match refused.first() {
        Some(first) => {
            record.say(format!(
                "the first: {}, answered with {:?}",
                first.id, first.status
            ));
            record.say("REFUSED broken");
            Verdict::Broken
        }
        None => {
            record.say("REFUSED held");
            Verdict::Held
        }
    }
}
