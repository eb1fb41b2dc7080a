//! The inputs that one connection to an engine produces.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use celerypond_answer::{
    ConnectionId, Event, Input, Start, StreamId, TimeoutEstimator, TimeoutLimits,
};
use celerypond_daemon::engine_stream::{self, GenerationRequest};
use celerypond_standins::loopback::unused_address;
use celerypond_testutils::engine::{Engine, EngineSettings};
use celerypond_types::{Attempt, Priority};
use tokio::sync::mpsc;

// An engine closes its connection after the end of an answer. When this close was reported after the end,
// the engine was suspected of a broken connection and got no work for a second, and now and then a caller
// waited that long for its first token.
#[tokio::test]
async fn an_engine_closes_the_connection_after_the_end_of_its_answer() {
    let engine = Engine::new(EngineSettings {
        versions: vec!["v1".into()],
        token_interval: Duration::ZERO,
        prefill_per_token: Duration::ZERO,
        slots: 4,
        checks_fencing: true,
    });
    let server = engine.serve(unused_address()).await.unwrap();
    let request = GenerationRequest {
        request: "r".into(),
        model: "drafts".into(),
        adapter: None,
        prompt: "p".into(),
        max_tokens: 2,
        priority: Priority::Draft,
    };
    let start = Start {
        connection: ConnectionId(1),
        stream: StreamId {
            target: "engine-0".into(),
            attempt: Attempt(0),
        },
        version: "v1".into(),
        seed: 1,
        prefix: Vec::new(),
    };
    let stall = Arc::new(Mutex::new(TimeoutEstimator::new(TimeoutLimits::default())));
    let (input_sender, mut input_receiver) = mpsc::channel(16);
    engine_stream::start(
        Arc::new(request),
        server.address,
        start,
        stall,
        input_sender,
    )
    .await;
    let mut received_inputs = Vec::new();
    while let Some(input) = input_receiver.recv().await {
        received_inputs.push(input);
    }
    assert!(
        matches!(
            received_inputs[..],
            [
                Input::Opened(_),
                Input::Event(_, Event::Frame(_)),
                Input::Event(_, Event::Frame(_)),
                Input::Event(_, Event::Done(_)),
            ]
        ),
        "{received_inputs:?}"
    );
}
