//! One connection to an engine.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use celerypond_answer::{
    ConnectionId, Event, Input, Start, StreamId, TimeoutEstimator, TimeoutLimits,
};
use celerypond_daemon::engine_stream::{self, GenerationRequest};
use celerypond_testutils::engine::{Engine, EngineSettings};
use celerypond_types::{Attempt, Priority};
use tokio::sync::mpsc;

/// Now and then a caller waited a second for the first token. An engine ends its answer and closes the
/// connection; the close was reported after the end, so the engine was suspected of a broken
/// connection and was given nothing for a second.
#[tokio::test]
async fn an_engine_closes_the_connection_after_the_end_of_its_answer() {
    let engine = Engine::new(EngineSettings {
        versions: vec!["v1".into()],
        token_interval: Duration::ZERO,
        prefill_per_token: Duration::ZERO,
        slots: 4,
        checks_fencing: true,
    });
    let server = engine.serve("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let ask = GenerationRequest {
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
    let (inputs, mut received) = mpsc::channel(16);
    engine_stream::start(Arc::new(ask), server.address, start, stall, inputs).await;
    let mut all = Vec::new();
    while let Some(input) = received.recv().await {
        all.push(input);
    }
    assert!(
        matches!(
            all[..],
            [
                Input::Opened(_),
                Input::Event(_, Event::Frame(_)),
                Input::Event(_, Event::Frame(_)),
                Input::Event(_, Event::Done(_)),
            ]
        ),
        "{all:?}"
    );
}
