//! Targets and instances that leave, fall silent or fail.

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
use celerypond_standins::loopback::unused_address;
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
    completion_request, expected_tokens, get, receive_tokens, standalone_node, stock_query,
    wait_until, Fleet, Target, ACCOUNT_KEY,
};

const TOKEN_INTERVAL: Duration = Duration::from_millis(2);

// An engine announces that it is leaving and will only finish the work it has. Three seconds later no instance
// may send it new work, and callers must still get whole answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_work_after_three_seconds() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let client = fleet.client(ACCOUNT_KEY);
    fleet.engines[0].stand_in.set_faults(EngineFault {
        leaving: Some(true),
        ..EngineFault::default()
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = fleet.engines[0].stand_in.log().starts.len();
    for seed in 0..30 {
        let tokens = receive_tokens(&client, completion_request("p", seed, 3), |_| {}).await;
        assert_eq!(tokens.unwrap(), expected_tokens("v1", "p", seed, 3));
    }
    assert_eq!(fleet.engines[0].stand_in.log().starts.len(), before);
}

// An instance is asked to stop while it streams an answer, while an idle connection stays open and while a
// caller that still uses its address opens a new connection. All requests must be served, and the idle
// connection must not delay the stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_request() {
    let mut fleet = Fleet::start(Duration::from_millis(10)).await;
    let address = fleet.instances[0].address;
    let client = celerypond_cli::Client::new(vec![address], ACCOUNT_KEY).unwrap();
    let idle = tokio::net::TcpStream::connect(address).await.unwrap();
    let answer_task = {
        let client = client.clone();
        tokio::spawn(async move {
            receive_tokens(&client, completion_request("long", 1, 300), |_| {}).await
        })
    };
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.instances[0].stop().await;
    wait_until(async || {
        let (_, entries) = get(address, "/v1/entries").await.unwrap();
        !entries.to_string().contains(&address.to_string())
    })
    .await;
    // A caller that got the address from an earlier list is still served.
    let (status, _) = get(address, "/v1/health").await.unwrap();
    assert_eq!(status, 200);
    assert_eq!(
        answer_task.await.unwrap().unwrap(),
        expected_tokens("v1", "long", 1, 300)
    );
    fleet.instances[0].stop().await;
    tokio::time::timeout(Duration::from_secs(10), fleet.instances[0].wait_stopped())
        .await
        .expect("an idle connection must not delay the stop");
    drop(idle);
}

// The last reply on a connection was sent before a planned stop, so it announced how long the connection may
// be reused and not that it closes. The instance is then asked twice to stop. The next request on this
// connection must still be answered, and only this reply may announce the close.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_leaves_a_connection_that_callers_may_use_again() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let mut caller = TcpStream::connect(fleet.instances[0].address)
        .await
        .unwrap();
    let first = send_health_request(&mut caller).await;
    assert!(first.contains("keep-alive: timeout=10"), "{first}");
    assert!(!first.contains("connection: close"), "{first}");
    fleet.instances[0].stop().await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.instances[0].stop().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let second = send_health_request(&mut caller).await;
    assert!(second.starts_with("http/1.1 200"), "{second}");
    assert!(second.contains("connection: close"), "{second}");
    assert_eq!(caller.read(&mut [0; 1]).await.unwrap(), 0);
}

/// Sends a request for `/v1/health` and returns the reply in lower case.
async fn send_health_request(caller: &mut TcpStream) -> String {
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

// Two targets in the bundle never reply to health checks although they accept calls, as seen by an
// instance that is cut off from their reports. They must get no work, neither calls nor answers that failed
// at their first engine, since a target that never reports to be live may have left unnoticed. Callers must
// get all answers within the time of one health check.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_never_says_that_it_is_live_gets_no_work() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let work_count = Arc::new(AtomicUsize::new(0));
    let silent_targets = [
        start_silent_target(Arc::clone(&work_count)).await,
        start_silent_target(Arc::clone(&work_count)).await,
    ];
    let mut bundle = fleet.bundle();
    let list = bundle["targets"].as_array_mut().unwrap();
    for (at, name, kind) in [(0, "desk-1", "service"), (1, "engine-3", "engine")] {
        list.push(
            json!({"name": name, "kind": kind, "address": silent_targets[at].address,
                         "data_centre": "east", "slots": 256}),
        );
    }
    bundle["services"][0]["targets"] = json!(["desk-0", "desk-1"]);
    bundle["models"][0]["versions"][0]["targets"] =
        json!(["engine-0", "engine-1", "engine-2", "engine-3"]);
    let digest = fleet.submit_and_approve(&bundle).await;
    fleet.roll(digest).await;
    fleet.await_revision(2).await;
    fleet.engines[0].stand_in.set_faults(EngineFault {
        fail: Some(true),
        ..EngineFault::default()
    });
    let client = fleet.client(ACCOUNT_KEY);
    for seed in 0..20 {
        client
            .call(&stock_query(), Duration::from_secs(2))
            .await
            .unwrap();
        let tokens = receive_tokens(&client, completion_request("p", seed, 3), |_| {}).await;
        assert_eq!(tokens.unwrap(), expected_tokens("v1", "p", seed, 3));
    }
    assert_eq!(work_count.load(Relaxed), 0);
}

/// Starts a target that counts the calls and generations it is sent and never replies to health checks.
async fn start_silent_target(work_count: Arc<AtomicUsize>) -> Server {
    let handle = move |request: http::Request<bytes::Bytes>| {
        let work_count = Arc::clone(&work_count);
        async move {
            match request.uri().path() {
                "/stock" | "/v1/generate" => {
                    work_count.fetch_add(1, Relaxed);
                }
                _ => std::future::pending().await,
            }
            reply::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    };
    Server::start(unused_address(), handle).await.unwrap()
}

// An instance must measure the service time of an engine from the requests that end there. It decides how
// long a load report of the engine is valid.
#[tokio::test(flavor = "multi_thread")]
async fn the_time_of_an_answer_is_learnt() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let mut bundle = fleet.bundle();
    bundle["models"][0]["versions"][0]["targets"] = json!(["engine-0"]);
    let (node, _target_events) = standalone_node(&bundle);
    let client = serve_callers(&node).await;
    let tokens = receive_tokens(&client, completion_request("p", 1, 50), |_| {}).await;
    assert_eq!(tokens.unwrap(), expected_tokens("v1", "p", 1, 50));
    let view = node.view.load_full();
    let state = &view
        .target(view.target_key(&"engine-0".into()).unwrap())
        .unwrap()
        .state;
    wait_until(async || state.in_flight() == 0).await;
    assert!(
        state.mean_service_ms() >= Some(50),
        "{:?}",
        state.mean_service_ms()
    );
}

/// Runs only the caller listener and the admission of an instance, and returns a client of it.
async fn serve_callers(node: &Arc<Node>) -> Client {
    let listener = TcpListener::bind(unused_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(front::serve(Arc::clone(node), listener));
    tokio::spawn(Admission::run(Arc::clone(node)));
    // The buckets of the account start empty and fill up to this instance's share of the limit.
    tokio::time::sleep(Duration::from_secs(1)).await;
    Client::new(vec![address], ACCOUNT_KEY).unwrap()
}

// Connections that stop delivering data must count as a stall and a resume at the same engine. An engine
// that dies closes its connections, which must count as a resume at another engine and not as a stall.
#[rstest]
#[case::connections_fall_silent(true, [1, 1, 0])]
#[case::the_engine_dies(false, [0, 0, 1])]
#[tokio::test(flavor = "multi_thread")]
async fn stalls_and_resumes_are_counted(#[case] is_silent: bool, #[case] counts: [u64; 3]) {
    let mut fleet = Fleet::start(TOKEN_INTERVAL).await;
    let (node, _target_events) = standalone_node(&fleet.bundle());
    let client = serve_callers(&node).await;
    let tokens = receive_tokens(&client, completion_request("p", 2, 100), |count| {
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
    assert_eq!(tokens.await.unwrap(), expected_tokens("v1", "p", 2, 100));
    let counters = [
        Counter::Stalls,
        Counter::ResumedSame,
        Counter::ResumedElsewhere,
    ];
    assert_eq!(counters.map(|counter| node.metrics.count(counter)), counts);
}

// An idempotent call fails at each of three targets. It must be retried once at most, since a call that
// crashes its target must not reach all of them, and not at all when the retry budget of the failing
// target is exhausted. Each failure must be reported as an event for the ejection of targets.
#[rstest]
#[case::a_failed_call_is_tried_once_more(false, 2)]
#[case::the_services_have_used_up_their_retries(true, 1)]
#[tokio::test]
async fn retries_of_calls_to_services_are_bounded(#[case] used_up: bool, #[case] tries: usize) {
    let work_count = Arc::new(AtomicUsize::new(0));
    let mut servers = Vec::new();
    let mut targets = Vec::new();
    for i in 0..3 {
        let server = start_failing_service(Arc::clone(&work_count)).await;
        targets.push(json!({"name": format!("desk-{i}"), "kind": "service",
                            "address": server.address, "data_centre": "east"}));
        servers.push(server);
    }
    let (node, mut target_events) = standalone_node(&json!({
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
    assert_eq!(work_count.load(Relaxed), tries);
    for _ in 0..tries {
        let event = target_events.try_recv();
        assert!(matches!(event, Ok(TargetEvent::Failed { .. })), "{event:?}");
    }
}

// One of three targets of a service fails every call although it reports to be live. All instances must
// eject it, after which it gets probes at most.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_fails_is_ejected() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let work_count = Arc::new(AtomicUsize::new(0));
    let bad = start_failing_service(Arc::clone(&work_count)).await;
    let other = Service::default();
    let good = other.serve(unused_address()).await.unwrap();
    let mut bundle = fleet.bundle();
    let list = bundle["targets"].as_array_mut().unwrap();
    for (name, address) in [("desk-1", good.address), ("desk-2", bad.address)] {
        list.push(json!({"name": name, "kind": "service", "address": address,
                         "data_centre": "west"}));
    }
    bundle["services"][0]["targets"] = json!(["desk-0", "desk-1", "desk-2"]);
    let digest = fleet.submit_and_approve(&bundle).await;
    fleet.roll(digest).await;
    fleet.await_revision(2).await;
    let client = Client::new(vec![fleet.instances[2].address], ACCOUNT_KEY).unwrap();
    wait_until(async || {
        let before = work_count.load(Relaxed);
        for _ in 0..40 {
            client
                .call(&stock_query(), Duration::from_secs(2))
                .await
                .unwrap();
        }
        before > 0 && work_count.load(Relaxed) == before
    })
    .await;
}

/// Starts a service that replies to health checks as live and fails all other calls.
async fn start_failing_service(work_count: Arc<AtomicUsize>) -> Server {
    let handle = move |request: http::Request<bytes::Bytes>| {
        let is_probe = request.uri().path() == "/health";
        work_count.fetch_add(usize::from(!is_probe), Relaxed);
        async move {
            match is_probe {
                true => reply::json(StatusCode::OK, &json!({"state": "live", "running": 0})),
                false => reply::empty(StatusCode::INTERNAL_SERVER_ERROR),
            }
        }
    };
    Server::start(unused_address(), handle).await.unwrap()
}
