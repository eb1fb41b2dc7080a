//! The connections from an answer to engines.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use celerypond_answer::{ConnectionId, Input, Start, StreamId};
use celerypond_route::{InFlight, Route};
use celerypond_telemetry::{hop, Counter};
use celerypond_types::{RequestKey, TargetKey, TargetName};
use tokio::{
    task::AbortHandle,
    time::{self, Instant},
};
use tracing::Instrument;

use super::AnswerDriver;
use crate::{engine, engine_stream, keeper_records, node::Node};

/// How long the cancellation of a stream is retried; an engine may be paused for that long.
const CANCEL_RETRY_PERIOD: Duration = Duration::from_secs(30);
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// An attempt from which no token has arrived yet.
pub(super) struct PendingAttempt {
    pub(super) connection: ConnectionId,
    pub(super) route: Route,
    pub(super) target: TargetKey,
    pub(super) started_at: Instant,
    /// Whether its target was granted by the resume scheduler.
    pub(super) is_resume: bool,
}

/// A connection to an engine, closed when dropped.
pub(super) struct EngineConnection {
    node: Arc<Node>,
    task: AbortHandle,
    pub(super) target: TargetKey,
    load: Option<InFlight>,
    /// Whether a token has arrived.
    pub(super) token_received: bool,
    /// Whether it resumes a stream of another connection and no token has arrived yet.
    pub(super) resume_pending: bool,
}

impl Drop for EngineConnection {
    fn drop(&mut self) {
        self.task.abort();
        // The attempt ends with its connection. Without a token its duration must not be counted
        // as the target's response time, or a dead engine would seem to be the fastest.
        if let Some(load) = self.load.take().filter(|_| self.token_received) {
            load.end(self.node.now_ms());
        }
    }
}

impl AnswerDriver {
    pub(super) fn start_attempt(&mut self, start: Start) -> Option<Input> {
        let connection = start.connection;
        let view = self.node.view.load_full();
        let is_resume = self.granted_target.take().is_some();
        let key = view.target_key(&start.stream.target);
        let found = key.and_then(|key| Some((key, view.target(key)?)));
        let route = view
            .version_key(&self.generation_request.model, &start.version)
            .map(Route::Version);
        let (Some((key, target)), Some(route)) = (found, route) else {
            return Some(Input::Closed(connection));
        };
        let permit = self.permit.take().filter(|permit| permit.target == key);
        let load = permit
            .map(|permit| permit.load)
            .or_else(|| target.state.begin_request(self.node.now_ms()));
        // The target may have announced since the choice that it is leaving.
        let Some(load) = load else {
            if is_resume {
                self.node.admission.release_resume(key);
            }
            return Some(Input::Closed(connection));
        };
        if self.started_attempts > 0 {
            self.node.metrics.add(Counter::ResumedElsewhere, 1);
        }
        self.started_attempts += 1;
        self.pending = Some(PendingAttempt {
            connection,
            route,
            target: key,
            started_at: Instant::now(),
            is_resume,
        });
        self.start_chunk(connection, &start);
        let estimator = self.node.progress_timeouts.estimator(&start.stream.target);
        let inputs = self.inputs.clone();
        let task = engine_stream::start(
            Arc::clone(&self.generation_request),
            target.address,
            start,
            estimator,
            inputs,
        );
        self.add_connection(connection, key, task, Some(load));
        None
    }

    pub(super) fn add_connection(
        &mut self,
        connection: ConnectionId,
        target: TargetKey,
        task: impl Future<Output = ()> + Send + 'static,
        load: Option<InFlight>,
    ) {
        let task = task.instrument(hop("target", None));
        let task = self.node.background_tasks.spawn(task).abort_handle();
        let engine_connection = EngineConnection {
            node: Arc::clone(&self.node),
            task,
            target,
            load,
            token_received: false,
            resume_pending: false,
        };
        self.connections.insert(connection, engine_connection);
    }

    pub(super) fn query_record(&self, request: RequestKey) {
        let node = Arc::clone(&self.node);
        let inputs = self.inputs.clone();
        self.node.background_tasks.spawn(async move {
            let record = keeper_records::query(&node, &request).await;
            // Fails if the answer has ended, which then needs no record.
            let _ = inputs.send(Input::RecordQueried(record)).await;
        });
    }

    pub(super) fn cancel_stream(&self, stream: StreamId) {
        let Some((_, address)) = self.find_target(&stream.target) else {
            return;
        };
        let request = self.generation_request.request.clone();
        let node = Arc::clone(&self.node);
        self.node.background_tasks.spawn(async move {
            let deadline = Instant::now() + CANCEL_RETRY_PERIOD;
            while Instant::now() < deadline && !node.shutdown.is_cancelled() {
                if engine::cancel(address, &request, stream.attempt)
                    .await
                    .is_ok()
                {
                    return;
                }
                time::sleep(CANCEL_RETRY_DELAY).await;
            }
        });
    }

    pub(super) fn find_target(&self, target: &TargetName) -> Option<(TargetKey, SocketAddr)> {
        let view = self.node.view.load();
        let key = view.target_key(target)?;
        Some((key, view.target(key)?.address))
    }
}
