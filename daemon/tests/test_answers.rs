//! Answers under failures of engines and instances.

use std::time::Duration;

use celerypond_testutils::fault::EngineFault;
use rstest::rstest;

use crate::fleet::{prompt, receive, reference, Fleet};

const GAP: Duration = Duration::from_millis(5);

/// The caller sees all tokens, each once. Its engine dies after some of them; the instance starts an
/// attempt at another engine with the exact tokens so far.
#[rstest]
#[case::at_the_start(1)]
#[case::in_the_middle(60)]
#[case::near_the_end(148)]
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_dies_in_the_middle_of_an_answer(#[case] at: usize) {
    let mut fleet = Fleet::start(GAP).await;
    let client = fleet.client(crate::fleet::ACCOUNT_KEY);
    let tokens = receive(&client, prompt("proposal", 7, 150), |count| {
        if count == at {
            for engine in &mut fleet.engines {
                if !engine.stand_in.log().starts.is_empty() {
                    engine.server = None;
                }
            }
        }
    });
    assert_eq!(tokens.await.unwrap(), reference("v1", "proposal", 7, 150));
}

/// The caller sees all tokens. The open connections of the engine fall silent while new ones work;
/// a probe over a new connection finds the stream, and the same engine goes on with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_falls_silent_while_new_ones_work() {
    let fleet = Fleet::start(GAP).await;
    let client = fleet.client(crate::fleet::ACCOUNT_KEY);
    let tokens = receive(&client, prompt("letter", 8, 120), |count| {
        if count == 40 {
            for engine in &fleet.engines {
                engine.stand_in.set_faults(EngineFault {
                    silent: Some(true),
                    ..EngineFault::default()
                });
            }
        }
    });
    assert_eq!(tokens.await.unwrap(), reference("v1", "letter", 8, 120));
    assert_eq!(fleet.starts(), 1, "the answer was generated again");
}

/// The caller sees all tokens, each once. The engine is paused for longer than the progress timeout
/// and comes back with late tokens, when another engine already goes on with the answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_is_paused_and_comes_back_with_late_tokens() {
    let fleet = Fleet::start(GAP).await;
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
    let tokens = receive(&client, prompt("quote", 9, 200), |count| match count {
        50 => pause(true),
        90 => pause(false),
        _ => {}
    });
    assert_eq!(tokens.await.unwrap(), reference("v1", "quote", 9, 200));
}

/// The caller sees all tokens, each once. Its instance dies; it connects to another with the resume
/// token of the last event, and that instance reads the engine's stream from there.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_dies_in_the_middle_of_an_answer() {
    let mut fleet = Fleet::start(GAP).await;
    let client = fleet.client(crate::fleet::ACCOUNT_KEY);
    let mut killed = false;
    let tokens = receive(&client, prompt("cut list", 10, 200), |count| {
        if count == 70 {
            // The first instance is the nearest for all callers of this client.
            fleet.instances[0].kill();
            killed = true;
        }
    });
    assert_eq!(tokens.await.unwrap(), reference("v1", "cut list", 10, 200));
    assert!(killed);
    assert_eq!(fleet.starts(), 1, "the answer was generated again");
}

/// The caller sees all tokens, each once. Its instance and its engine die at the same moment, so no
/// stream is left to read; the tokens come from the caller itself, which sends them back.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_and_the_engine_die_together() {
    let mut fleet = Fleet::start(GAP).await;
    let client = fleet.client(crate::fleet::ACCOUNT_KEY);
    let tokens = receive(&client, prompt("certificate", 11, 200), |count| {
        if count == 70 {
            fleet.instances[0].kill();
            for engine in &mut fleet.engines {
                if !engine.stand_in.log().starts.is_empty() {
                    engine.server = None;
                }
            }
        }
    });
    assert_eq!(
        tokens.await.unwrap(),
        reference("v1", "certificate", 11, 200)
    );
}

/// The caller is told that the answer is incomplete, and not given the rest by another version. All
/// engines die; the instance waits for one until the deadline of the model and then says so. The answer
/// is long: of a short one all tokens may be on their way to a caller who is slow to see the 30th.
#[tokio::test(flavor = "multi_thread")]
async fn all_engines_die_and_none_comes_back() {
    let mut fleet = Fleet::start(GAP).await;
    let client = fleet.client(crate::fleet::ACCOUNT_KEY);
    let started = std::time::Instant::now();
    let tokens = receive(&client, prompt("drawing", 12, 1500), |count| {
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
        "given up before the deadline: {error}"
    );
}
