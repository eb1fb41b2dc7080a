//! Targets and instances that leave.

use std::{
    sync::{
        atomic::{AtomicUsize, Ordering::Relaxed},
        Arc,
    },
    time::Duration,
};

use celerypond_cli::Client;
use celerypond_daemon::{
    admission::Admission, front, node::Node, service_call::ServiceCall, target_watch::TargetEvent,
};
use celerypond_telemetry::Counter;
use celerypond_testutils::{
    engine::Engine, fault::EngineFault, reply, server::Server, service::Service,
};
use celerypond_types::Outcome;
use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::fleet::{
    get, lone, prompt, receive, reference, stock, wait_for, Fleet, Target, ACCOUNT_KEY,
};

const GAP: Duration = Duration::from_millis(2);

/// Callers see nothing of it. An engine says that it leaves; three seconds later it gets no new work
/// from any instance, and what it had goes on to its end.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_work_after_three_seconds() {
    let fleet = Fleet::start(GAP).await;
    let client = fleet.client(ACCOUNT_KEY);
    fleet.engines[0].stand_in.set_faults(EngineFault {
        leaving: Some(true),
        ..EngineFault::default()
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = fleet.engines[0].stand_in.log().starts.len();
    for seed in 0..30 {
        let tokens = receive(&client, prompt("p", seed, 3), |_| {}).await;
        assert_eq!(tokens.unwrap(), reference("v1", "p", seed, 3));
    }
    assert_eq!(fleet.engines[0].stand_in.log().starts.len(), before);
}

/// Callers see all of their answers. An instance is asked to stop while it streams one, while an idle
/// connection stays open and while a caller who holds its address connects anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_request() {
    let mut fleet = Fleet::start(Duration::from_millis(10)).await;
    let address = fleet.instances[0].address;
    let client = celerypond_cli::Client::new(vec![address], ACCOUNT_KEY).unwrap();
    let idle = tokio::net::TcpStream::connect(address).await.unwrap();
    let running = {
        let client = client.clone();
        tokio::spawn(async move { receive(&client, prompt("long", 1, 300), |_| {}).await })
    };
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.instances[0].stop().await;
    wait_for(async || {
        let (_, entries) = get(address, "/v1/entries").await.unwrap();
        !entries.to_string().contains(&address.to_string())
    })
    .await;
    // Someone who was given the address before is still served.
    let (status, _) = get(address, "/v1/health").await.unwrap();
    assert_eq!(status, 200);
    assert_eq!(
        running.await.unwrap().unwrap(),
        reference("v1", "long", 1, 300)
    );
    fleet.instances[0].stop().await;
    tokio::time::timeout(Duration::from_secs(10), fleet.instances[0].ended())
        .await
        .expect("an idle connection must not hold up the stop");
    drop(idle);
}

/// A caller gets an answer on a connection that is open, whenever it comes. The last reply came before
/// a planned stop, so it said for how long the connection may be used again and not that it closes;
/// the instance is then asked twice to stop, and the caller sends its next request.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_leaves_a_connection_that_callers_may_use_again() {
    let fleet = Fleet::start(GAP).await;
    let mut caller = TcpStream::connect(fleet.instances[0].address)
        .await
        .unwrap();
    let first = ask(&mut caller).await;
    assert!(first.contains("keep-alive: timeout=10"), "{first}");
    assert!(!first.contains("connection: close"), "{first}");
    fleet.instances[0].stop().await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.instances[0].stop().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let second = ask(&mut caller).await;
    assert!(second.starts_with("http/1.1 200"), "{second}");
    assert!(second.contains("connection: close"), "{second}");
    assert_eq!(caller.read(&mut [0; 1]).await.unwrap(), 0);
}

/// Sends a request and returns the reply in lower case.
async fn ask(caller: &mut TcpStream) -> String {
    let request = b"GET /v1/health HTTP/1.1\r\nhost: entry\r\n\r\n";
    caller.write_all(request).await.unwrap();
    let mut reply = String::new();
    while !reply.contains('}') {
        let mut bytes = [0; 4096];
        let count = caller.read(&mut bytes).await.unwrap();
        assert!(count > 0, "the connection ended after {reply:?}");
        reply += &String::from_utf8_lossy(&bytes[..count]).to_lowercase();
    }
    reply
}

/// Callers get all answers, within the time that one question for health takes. A target is in the
/// bundle whose word no instance hears, as when an instance is cut off: it answers calls but never
/// says that it is live. It gets no work: neither a call, nor an answer that failed at its first
/// engine, since the target may have left and nothing would tell.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_never_says_that_it_is_live_gets_no_work() {
    let fleet = Fleet::start(GAP).await;
    let work = Arc::new(AtomicUsize::new(0));
    let mutes = [mute(Arc::clone(&work)).await, mute(Arc::clone(&work)).await];
    let mut bundle = fleet.bundle();
    let list = bundle["targets"].as_array_mut().unwrap();
    for (at, name, kind) in [(0, "desk-1", "service"), (1, "engine-3", "engine")] {
        list.push(
            json!({"name": name, "kind": kind, "address": mutes[at].address,
                         "data_centre": "east", "slots": 256}),
        );
    }
    bundle["services"][0]["targets"] = json!(["desk-0", "desk-1"]);
    bundle["models"][0]["versions"][0]["targets"] =
        json!(["engine-0", "engine-1", "engine-2", "engine-3"]);
    let digest = fleet.sign(&bundle).await;
    fleet.roll(digest).await;
    fleet.await_revision(2).await;
    fleet.engines[0].stand_in.set_faults(EngineFault {
        fail: Some(true),
        ..EngineFault::default()
    });
    let client = fleet.client(ACCOUNT_KEY);
    for seed in 0..20 {
        client.call(&stock(), Duration::from_secs(2)).await.unwrap();
        let tokens = receive(&client, prompt("p", seed, 3), |_| {}).await;
        assert_eq!(tokens.unwrap(), reference("v1", "p", seed, 3));
    }
    assert_eq!(work.load(Relaxed), 0);
}

/// Starts a target that counts its work and is silent about itself.
async fn mute(work: Arc<AtomicUsize>) -> Server {
    let handle = move |request: http::Request<bytes::Bytes>| {
        let work = Arc::clone(&work);
        async move {
            match request.uri().path() {
                "/stock" | "/v1/generate" => {
                    work.fetch_add(1, Relaxed);
                }
                _ => std::future::pending().await,
            }
            reply::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    };
    Server::start("127.0.0.1:0".parse().unwrap(), handle)
        .await
        .unwrap()
}

/// Callers see nothing of it. An instance learns how long requests take at an engine from those that
/// end there; from that follows for how long it trusts a report of load.
#[tokio::test(flavor = "multi_thread")]
async fn the_time_of_an_answer_is_learnt() {
    let fleet = Fleet::start(GAP).await;
    let mut bundle = fleet.bundle();
    bundle["models"][0]["versions"][0]["targets"] = json!(["engine-0"]);
    let (node, _told) = lone(&bundle);
    let client = serve(&node).await;
    let tokens = receive(&client, prompt("p", 1, 50), |_| {}).await;
    assert_eq!(tokens.unwrap(), reference("v1", "p", 1, 50));
    let view = node.view.load_full();
    let state = &view
        .target(view.target_key(&"engine-0".into()).unwrap())
        .unwrap()
        .state;
    wait_for(async || state.in_flight() == 0).await;
    assert!(
        state.mean_service_ms() >= Some(50),
        "{:?}",
        state.mean_service_ms()
    );
}

/// Serves callers for an instance without its other tasks.
async fn serve(node: &Arc<Node>) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(front::serve(Arc::clone(node), listener));
    tokio::spawn(Admission::run(Arc::clone(node)));
    // The account's part of its limit is saved up from nothing.
    tokio::time::sleep(Duration::from_secs(1)).await;
    Client::new(vec![address], ACCOUNT_KEY).unwrap()
}

/// Callers see all tokens, and operators what happened: connections that fall silent are stalls, and
/// the same engine goes on; an engine that dies closes its connections, which is no stall, and
/// another goes on.
#[rstest]
#[case::connections_fall_silent(true, [1, 1, 0])]
#[case::the_engine_dies(false, [0, 0, 1])]
#[tokio::test(flavor = "multi_thread")]
async fn stalls_and_resumes_are_counted(#[case] is_silent: bool, #[case] counts: [u64; 3]) {
    let mut fleet = Fleet::start(GAP).await;
    let (node, _told) = lone(&fleet.bundle());
    let client = serve(&node).await;
    let tokens = receive(&client, prompt("p", 2, 100), |count| {
        let busy = |engine: &&mut Target<Engine>| !engine.stand_in.log().starts.is_empty();
        let engine = fleet.engines.iter_mut().find(busy).unwrap();
        match is_silent {
            true if count == 40 => engine.stand_in.set_faults(EngineFault {
                silent: Some(true),
                ..EngineFault::default()
            }),
            false if count == 40 => engine.server = None,
            _ => {}
        }
    });
    assert_eq!(tokens.await.unwrap(), reference("v1", "p", 2, 100));
    let counters = [
        Counter::Stalls,
        Counter::ResumedSame,
        Counter::ResumedElsewhere,
    ];
    assert_eq!(counters.map(|counter| node.metrics.count(counter)), counts);
}

/// Callers get the failure of their own call, and others go on getting answers. Calls that may be
/// repeated fail at each of three services: one that ends services must not be carried to all of
/// them, and the retries of calls that fail at a service end with that service's own budget. Each
/// failure is told to those who eject targets.
#[rstest]
#[case::a_failed_call_is_tried_once_more(false, 2)]
#[case::the_services_have_used_up_their_retries(true, 1)]
#[tokio::test]
async fn retries_of_calls_to_services_are_bounded(#[case] used_up: bool, #[case] tries: usize) {
    let work = Arc::new(AtomicUsize::new(0));
    let mut servers = Vec::new();
    let mut targets = Vec::new();
    for i in 0..3 {
        let server = failing(Arc::clone(&work)).await;
        targets.push(json!({"name": format!("desk-{i}"), "kind": "service",
                            "address": server.address, "data_centre": "east"}));
        servers.push(server);
    }
    let (node, mut told) = lone(&json!({
        "format": 1, "title": "test", "targets": targets, "accounts": [],
        "services": [{"name": "desk", "targets": ["desk-0", "desk-1", "desk-2"],
                      "deadline_ms": 2_000}],
    }));
    let view = node.view.load_full();
    for (_, target) in view.targets().filter(|_| used_up) {
        while target.state.retry_budget.try_take() {}
    }
    let active = node.active_bundle.load_full().unwrap();
    let service = Arc::new(active.service(&"desk".into()).unwrap().clone());
    let deadline = tokio::time::Instant::now() + Duration::from_secs(2);
    let (headers, body) = (http::HeaderMap::new(), bytes::Bytes::new());
    let call = ServiceCall::new(
        service,
        http::Method::GET,
        "/stock",
        &headers,
        body,
        deadline,
    );
    let outcome = call.send_idempotent(&node).await;
    assert!(
        matches!(&outcome, Outcome::Ran(reply) if reply.status == 500),
        "{outcome:?}"
    );
    assert_eq!(work.load(Relaxed), tries);
    for _ in 0..tries {
        let event = told.try_recv();
        assert!(matches!(event, Ok(TargetEvent::Failed { .. })), "{event:?}");
    }
}

/// Callers get failures of a bad service for a while, then none. One of three services fails each call
/// and says that it is live; all instances eject it, and at most a probe comes to it after that.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_fails_is_ejected() {
    let fleet = Fleet::start(GAP).await;
    let work = Arc::new(AtomicUsize::new(0));
    let bad = failing(Arc::clone(&work)).await;
    let other = Service::default();
    let good = other.serve("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let mut bundle = fleet.bundle();
    let list = bundle["targets"].as_array_mut().unwrap();
    for (name, address) in [("desk-1", good.address), ("desk-2", bad.address)] {
        list.push(json!({"name": name, "kind": "service", "address": address,
                         "data_centre": "west"}));
    }
    bundle["services"][0]["targets"] = json!(["desk-0", "desk-1", "desk-2"]);
    let digest = fleet.sign(&bundle).await;
    fleet.roll(digest).await;
    fleet.await_revision(2).await;
    let client = Client::new(vec![fleet.instances[2].address], ACCOUNT_KEY).unwrap();
    wait_for(async || {
        let before = work.load(Relaxed);
        for _ in 0..40 {
            client.call(&stock(), Duration::from_secs(2)).await.unwrap();
        }
        before > 0 && work.load(Relaxed) == before
    })
    .await;
}

/// Starts a service that is well and fails each call.
async fn failing(work: Arc<AtomicUsize>) -> Server {
    let handle = move |request: http::Request<bytes::Bytes>| {
        let is_probe = request.uri().path() == "/health";
        work.fetch_add(usize::from(!is_probe), Relaxed);
        async move {
            match is_probe {
                true => reply::json(StatusCode::OK, &json!({"state": "live", "running": 0})),
                false => reply::empty(StatusCode::INTERNAL_SERVER_ERROR),
            }
        }
    };
    Server::start("127.0.0.1:0".parse().unwrap(), handle)
        .await
        .unwrap()
}
