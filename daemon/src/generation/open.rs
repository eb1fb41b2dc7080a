//! The connections of an answer to engines.

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

use super::Drive;
use crate::{engine, engine_stream, keeper_records, node::Node};

/// How long the cancellation of a stream is tried again; an engine may be paused that long.
const CANCEL: Duration = Duration::from_secs(30);
const CANCEL_PAUSE: Duration = Duration::from_millis(500);

/// An attempt of which no token came yet.
pub(super) struct Trying {
    pub(super) link: ConnectionId,
    pub(super) route: Route,
    pub(super) target: TargetKey,
    pub(super) began: Instant,
    pub(super) resumed: bool,
}

/// A connection of the answer; dropping it closes it.
pub(super) struct Open {
    node: Arc<Node>,
    task: AbortHandle,
    pub(super) target: TargetKey,
    load: Option<InFlight>,
    /// Whether a token came over it.
    pub(super) came: bool,
    /// Whether it reads a stream that was begun over another connection.
    pub(super) resumed: bool,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.task.abort();
        // An attempt ends with its connection, however that comes. One that brought nothing tells
        // nothing of the time that requests take: a dead engine would seem the quickest.
        if let Some(load) = self.load.take().filter(|_| self.came) {
            load.end(self.node.now_ms());
        }
    }
}

impl Drive {
    pub(super) fn start(&mut self, start: Start) -> Option<Input> {
        let link = start.connection;
        let view = self.node.view.load_full();
        let resumed = self.granted.take().is_some();
        let key = view.target_key(&start.stream.target);
        let found = key.and_then(|key| Some((key, view.target(key)?)));
        let route = view
            .version_key(&self.ask.model, &start.version)
            .map(Route::Version);
        let (Some((target, found)), Some(route)) = (found, route) else {
            return Some(Input::Closed(link));
        };
        let permit = self.permit.take().filter(|permit| permit.target == target);
        let begun = permit
            .map(|permit| permit.load)
            .or_else(|| found.state.begin_request(self.node.now_ms()));
        // The target may have said that it leaves since it was chosen.
        let Some(load) = begun else {
            if resumed {
                self.node.admission.release_resume(target);
            }
            return Some(Input::Closed(link));
        };
        if self.starts > 0 {
            self.node.metrics.add(Counter::ResumedElsewhere, 1);
        }
        self.starts += 1;
        self.trying = Some(Trying {
            link,
            route,
            target,
            began: Instant::now(),
            resumed,
        });
        self.begin_chunk(link, &start);
        let stall = self.node.progress_timeouts.estimator(&start.stream.target);
        let inputs = self.inputs.clone();
        let task = engine_stream::start(Arc::clone(&self.ask), found.address, start, stall, inputs);
        self.open(link, target, task, Some(load));
        None
    }

    pub(super) fn open(
        &mut self,
        link: ConnectionId,
        target: TargetKey,
        task: impl Future<Output = ()> + Send + 'static,
        load: Option<InFlight>,
    ) {
        let task = task.instrument(hop("target", None));
        let task = self.node.background_tasks.spawn(task).abort_handle();
        let open = Open {
            node: Arc::clone(&self.node),
            task,
            target,
            load,
            came: false,
            resumed: false,
        };
        self.links.insert(link, open);
    }

    pub(super) fn review(&self, request: RequestKey) {
        let node = Arc::clone(&self.node);
        let inputs = self.inputs.clone();
        self.node.background_tasks.spawn(async move {
            let record = keeper_records::query(&node, &request).await;
            // An answer that is over needs no review.
            let _ = inputs.send(Input::RecordQueried(record)).await;
        });
    }

    pub(super) fn cancel(&self, stream: StreamId) {
        let Some((_, address)) = self.find(&stream.target) else {
            return;
        };
        let request = self.ask.request.clone();
        let node = Arc::clone(&self.node);
        self.node.background_tasks.spawn(async move {
            let until = Instant::now() + CANCEL;
            while Instant::now() < until && !node.shutdown.is_cancelled() {
                if engine::cancel(address, &request, stream.attempt)
                    .await
                    .is_ok()
                {
                    return;
                }
                time::sleep(CANCEL_PAUSE).await;
            }
        });
    }

    pub(super) fn find(&self, target: &TargetName) -> Option<(TargetKey, SocketAddr)> {
        let view = self.node.view.load();
        let key = view.target_key(target)?;
        Some((key, view.target(key)?.address))
    }
}
