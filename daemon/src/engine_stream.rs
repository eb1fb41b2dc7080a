//! Reads the stream of an answer from an engine over one connection.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex},
};

use celerypond_answer::{ConnectionId, Event, Input, Refusal, Start, StreamId, TimeoutEstimator};
use celerypond_types::{AdapterName, Attempt, ModelName, Position, Priority, RequestKey};
use error_stack::Report;
use futures::StreamExt;
use http::StatusCode;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    engine::{self, Generate, StreamResponse},
    http_call::CallError,
    progress_timeouts,
};

/// The parameters of a generation that are the same for all attempts.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// The key of the request.
    pub request: RequestKey,
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// The priority of the request.
    pub priority: Priority,
}

/// Starts an attempt and sends what its connection receives to `inputs`.
pub async fn start(
    generation: Arc<GenerationRequest>,
    address: SocketAddr,
    start: Start,
    timeout_estimator: Arc<Mutex<TimeoutEstimator>>,
    inputs: mpsc::Sender<Input>,
) {
    let call = Generate {
        request: &generation.request,
        attempt: start.stream.attempt,
        model: &generation.model,
        version: &start.version,
        adapter: generation.adapter.as_ref(),
        prompt: &generation.prompt,
        prefix: &start.prefix,
        max_tokens: generation.max_tokens,
        seed: start.seed,
        priority: generation.priority,
    };
    let response = engine::generate(address, &call).await;
    let attempt = start.stream.attempt;
    read_stream(
        start.connection,
        attempt,
        response,
        &timeout_estimator,
        &inputs,
    )
    .await;
}

/// Reads an existing stream from a position and sends what its connection receives to `inputs`.
pub async fn resume(
    request: RequestKey,
    address: SocketAddr,
    connection: ConnectionId,
    stream: StreamId,
    from: Position,
    timeout_estimator: Arc<Mutex<TimeoutEstimator>>,
    inputs: mpsc::Sender<Input>,
) {
    let response = engine::resume(address, &request, stream.attempt, from).await;
    read_stream(
        connection,
        stream.attempt,
        response,
        &timeout_estimator,
        &inputs,
    )
    .await;
}

async fn read_stream(
    connection: ConnectionId,
    attempt: Attempt,
    response: Result<StreamResponse, Report<CallError>>,
    timeout_estimator: &Mutex<TimeoutEstimator>,
    inputs: &mpsc::Sender<Input>,
) {
    // A send fails only after the answer has ended, and then its inputs are no longer needed.
    let _ = match response {
        Ok(StreamResponse::Stream(stream)) => {
            return read_events(connection, attempt, stream, timeout_estimator, inputs).await
        }
        Ok(StreamResponse::Refused(status)) => {
            inputs
                .send(Input::Refused(connection, classify_refusal(status)))
                .await
        }
        Err(_) => inputs.send(Input::Closed(connection)).await,
    };
}

/// Sends the events of a stream to `inputs` until the end event of the attempt or until the
/// connection closes.
///
/// Nothing is sent after the end event of this attempt, which always ends the answer or abandons
/// the connection. An engine closes the connection after the end of an answer; if that close were
/// sent as well, it would count as a broken connection, and the engine would get no requests for a
/// second. The end event of an earlier attempt has no effect, so reading continues.
async fn read_events(
    connection: ConnectionId,
    attempt: Attempt,
    stream: engine::OpenStream,
    timeout_estimator: &Mutex<TimeoutEstimator>,
    inputs: &mpsc::Sender<Input>,
) {
    let mut is_reading = inputs.send(Input::Opened(connection)).await.is_ok();
    let mut events = pin!(stream.events());
    let mut last_event_at = None;
    while is_reading {
        let Some(data) = events.next().await else {
            let _ = inputs.send(Input::Closed(connection)).await;
            return;
        };
        let now = Instant::now();
        if let Some(previous) = last_event_at.replace(now) {
            progress_timeouts::observe_gap(timeout_estimator, now - previous);
        }
        let input = match Event::parse(&data) {
            Ok(event) => Input::Event(connection, event),
            Err(_) => Input::Malformed(connection),
        };
        let is_end =
            matches!(&input, Input::Event(_, Event::Done(done)) if done.attempt == attempt);
        is_reading = inputs.send(input).await.is_ok() && !is_end;
    }
}

fn classify_refusal(status: StatusCode) -> Refusal {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Refusal::Busy,
        StatusCode::NOT_FOUND => Refusal::Gone,
        StatusCode::CONFLICT => Refusal::VersionNotLoaded,
        _ => Refusal::Failed,
    }
}
