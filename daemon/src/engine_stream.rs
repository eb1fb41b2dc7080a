//! One connection to an engine within an answer.

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
    stalls,
};

/// What stays the same for all connections of an answer.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// The request.
    pub request: RequestKey,
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// How many tokens the answer has at most.
    pub max_tokens: u32,
    /// How urgent the request is.
    pub priority: Priority,
}

/// Starts an attempt and reports what its connection brings.
pub async fn start(
    ask: Arc<GenerationRequest>,
    address: SocketAddr,
    start: Start,
    stall: Arc<Mutex<TimeoutEstimator>>,
    inputs: mpsc::Sender<Input>,
) {
    let call = Generate {
        request: &ask.request,
        attempt: start.stream.attempt,
        model: &ask.model,
        version: &start.version,
        adapter: ask.adapter.as_ref(),
        prompt: &ask.prompt,
        prefix: &start.prefix,
        max_tokens: ask.max_tokens,
        seed: start.seed,
        priority: ask.priority,
    };
    let opening = engine::generate(address, &call).await;
    let attempt = start.stream.attempt;
    read(start.connection, attempt, opening, &stall, &inputs).await;
}

/// Reads a stream from a position and reports what its connection brings.
pub async fn resume(
    request: RequestKey,
    address: SocketAddr,
    link: ConnectionId,
    stream: StreamId,
    from: Position,
    stall: Arc<Mutex<TimeoutEstimator>>,
    inputs: mpsc::Sender<Input>,
) {
    let opening = engine::resume(address, &request, stream.attempt, from).await;
    read(link, stream.attempt, opening, &stall, &inputs).await;
}

async fn read(
    link: ConnectionId,
    attempt: Attempt,
    opening: Result<StreamResponse, Report<CallError>>,
    stall: &Mutex<TimeoutEstimator>,
    inputs: &mpsc::Sender<Input>,
) {
    // A send fails only when the answer is over, and then nobody wants the rest.
    let _ = match opening {
        Ok(StreamResponse::Stream(open)) => {
            return events(link, attempt, open, stall, inputs).await
        }
        Ok(StreamResponse::Refused(status)) => {
            inputs.send(Input::Refused(link, refusal(status))).await
        }
        Err(_) => inputs.send(Input::Closed(link)).await,
    };
}

/// Reports events until the end of the attempt or of the connection.
///
/// The failure: a connection is closed after the end of its answer, as it should be, and the close is
/// taken for a broken connection. The symptom was an engine that nobody asked for a second. Nothing is
/// reported after an end of this attempt; any verdict on it ends the answer or gives up the link. An
/// end of an earlier attempt decides nothing, so reading goes on.
async fn events(
    link: ConnectionId,
    attempt: Attempt,
    open: engine::OpenStream,
    stall: &Mutex<TimeoutEstimator>,
    inputs: &mpsc::Sender<Input>,
) {
    let mut wanted = inputs.send(Input::Opened(link)).await.is_ok();
    let mut events = pin!(open.events());
    let mut last = None;
    while wanted {
        let Some(data) = events.next().await else {
            let _ = inputs.send(Input::Closed(link)).await;
            return;
        };
        let now = Instant::now();
        if let Some(last) = last.replace(now) {
            stalls::observe(stall, now - last);
        }
        let input = match Event::parse(&data) {
            Ok(event) => Input::Event(link, event),
            Err(_) => Input::Malformed(link),
        };
        let is_end =
            matches!(&input, Input::Event(_, Event::Done(done)) if done.attempt == attempt);
        wanted = inputs.send(input).await.is_ok() && !is_end;
    }
}

fn refusal(status: StatusCode) -> Refusal {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Refusal::Busy,
        StatusCode::NOT_FOUND => Refusal::Gone,
        StatusCode::CONFLICT => Refusal::VersionNotLoaded,
        _ => Refusal::Failed,
    }
}
