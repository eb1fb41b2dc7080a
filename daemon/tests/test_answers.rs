//! Streamed answers while engines and instances fail.

use std::{net::SocketAddr, time::Duration};

use celerypond_testutils::{engine::Engine, fault::EngineFault, server::Server};
use rstest::rstest;

use crate::fleet::{completion_request, expected_tokens, receive_tokens, Fleet};

const TOKEN_INTERVAL: Duration = Duration::from_millis(5);

// The engine dies after some tokens. The instance must start an attempt at another engine with exactly
// the tokens received so far, so that the caller gets every token once.
#[rstest]
#[case::at_the_start(1)]
#[case::in_the_middle(60)]
#[case::near_the_end(148)]
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_dies_in_the_middle_of_an_answer(#[case] at: usize) {
    let mut fleet = Fleet::start(TOKEN_INTERVAL).await;
    let client = fleet.client(crate::fleet::ACCOUNT_KEY);
    let tokens = receive_tokens(&client, completion_request("proposal", 7, 150), |count| {
        if count == at {
            for engine in &mut fleet.engines {
                if !engine.stand_in.log().starts.is_empty() {
                    engine.server = None;
                }
            }
        }
    });
    assert_eq!(
        tokens.await.unwrap(),
        expected_tokens("v1", "proposal", 7, 150)
    );
}

// Open connections to the engine stop delivering data while new ones work. A probe over a new
// connection must find the stream, and the same engine must continue it.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_falls_silent_while_new_ones_work() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let client = fleet.client(crate::fleet::ACCOUNT_KEY);
    let tokens = receive_tokens(&client, completion_request("letter", 8, 120), |count| {
        if count == 40 {
            for engine in &fleet.engines {
                engine.stand_in.set_faults(EngineFault {
                    silent: Some(true),
                    ..EngineFault::default()
                });
            }
        }
    });
    assert_eq!(
        tokens.await.unwrap(),
        expected_tokens("v1", "letter", 8, 120)
    );
    assert_eq!(
        fleet.generation_starts(),
        1,
        "the answer was generated again"
    );
}

// The engine is paused for longer than the progress timeout and then sends late tokens, while another
// engine already continues the answer. The caller must get every token once.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_is_paused_and_comes_back_with_late_tokens() {
    let fleet = Fleet::start(TOKEN_INTERVAL).await;
    let client = fleet.client(crate::fleet::ACCOUNT_KEY);
    let pause = |paused| {
        for engine in &fleet.engines {
            if !engine.stand_in.log().starts.is_empty() {
                engine.stand_in.set_faults(EngineFault {
                    paused: Some(paused),
                    ..EngineFault::default()
                });
            }
        }
    };
    let tokens = receive_tokens(
        &client,
        completion_request("quote", 9, 200),
        |count| match count {
            50 => pause(true),
            90 => pause(false),
            _ => {}
        },
    );
    assert_eq!(
        tokens.await.unwrap(),
        expected_tokens("v1", "quote", 9, 200)
    );
}

// The instance dies. The caller reconnects to another instance with the resume token of the last event,
// and that instance must read the engine's stream from there.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_dies_in_the_middle_of_an_answer() {
    let mut fleet = Fleet::start(TOKEN_INTERVAL).await;
    let client = fleet.client(crate::fleet::ACCOUNT_KEY);
    let mut killed = false;
    let tokens = receive_tokens(&client, completion_request("cut list", 10, 200), |count| {
        if count == 70 {
            // The client uses the first entry point, the instance nearest to it, which is the first here.
            fleet.instances[0].kill();
            killed = true;
        }
    });
    assert_eq!(
        tokens.await.unwrap(),
        expected_tokens("v1", "cut list", 10, 200)
    );
    assert!(killed);
    assert_eq!(
        fleet.generation_starts(),
        1,
        "the answer was generated again"
    );
}

// The instance and the engine die at the same moment, so no stream is left to read. The caller sends back
// the tokens it has received, and the answer must continue from those.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_and_the_engine_die_together() {
    let mut fleet = Fleet::start(TOKEN_INTERVAL).await;
    let client = fleet.client(crate::fleet::ACCOUNT_KEY);
    let tokens = receive_tokens(
        &client,
        completion_request("certificate", 11, 200),
        |count| {
            if count == 70 {
                fleet.instances[0].kill();
                for engine in &mut fleet.engines {
                    if !engine.stand_in.log().starts.is_empty() {
                        engine.server = None;
                    }
                }
            }
        },
    );
    assert_eq!(
        tokens.await.unwrap(),
        expected_tokens("v1", "certificate", 11, 200)
    );
}

// All engines die. The instance must wait for an engine until the deadline of the model and then report
// the answer as incomplete, rather than continue it with another version. The answer is long because
// all tokens of a short one could already be in transit when a slow caller receives the 30th.
#[tokio::test(flavor = "multi_thread")]
async fn all_engines_die_and_none_comes_back() {
    let mut fleet = Fleet::start(TOKEN_INTERVAL).await;
    let client = fleet.client(crate::fleet::ACCOUNT_KEY);
    let started = std::time::Instant::now();
    let tokens = receive_tokens(&client, completion_request("drawing", 12, 1500), |count| {
        if count == 30 {
            fleet
                .engines
                .iter_mut()
                .for_each(|engine| engine.server = None);
        }
    });
    let error = tokens.await.unwrap_err();
    assert!(error.starts_with("incomplete"), "{error}");
    assert!(
        started.elapsed() >= Duration::from_secs(9),
        "the instance gave up before the deadline: {error}"
    );
}

// A whole answer after all engines of a fleet died comes from another fleet, of which an instance or an
// engine listens at an address that this fleet uses. Addresses must therefore not be shared or reused.
#[rstest]
#[case::instance(true)]
#[case::engine(false)]
#[tokio::test(flavor = "multi_thread")]
async fn foreign_fleet_answers_in_full_after_all_engines_died(#[case] is_instance: bool) {
    let mut fleet = Fleet::start(TOKEN_INTERVAL).await;
    let other = Fleet::start(TOKEN_INTERVAL).await;
    let reached = if is_instance { &other } else { &fleet };
    let client = reached.client(crate::fleet::ACCOUNT_KEY);
    let mut foreign = None;
    let tokens = receive_tokens(&client, completion_request("drawing", 12, 300), |count| {
        if count == 30 {
            let address = fleet.engines[0].server.as_ref().unwrap().address;
            fleet
                .engines
                .iter_mut()
                .for_each(|engine| engine.server = None);
            let engine = other.engines[0].stand_in.clone();
            foreign = (!is_instance).then(|| tokio::spawn(serve_when_free(engine, address)));
        }
    });
    assert_eq!(
        tokens.await.unwrap(),
        expected_tokens("v1", "drawing", 12, 300)
    );
}

async fn serve_when_free(engine: Engine, address: SocketAddr) -> Server {
    loop {
        if let Ok(server) = engine.serve(address).await {
            return server;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
