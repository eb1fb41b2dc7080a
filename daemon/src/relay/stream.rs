//! Requests whose response is a stream of events.

use celerypond_relay::Next;
use futures::stream;
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, StreamBody};

use super::{
    attempt::read_whole,
    flow::Flow,
    reply::{self, Body, Reply},
    run::Run,
};

/// Relays a stream, which goes on at another engine when its engine is lost.
pub(super) async fn relay(run: Run) -> Reply {
    let mut flow = Flow::new(run);
    match flow.begin().await {
        Ok((status, headers)) if status.is_success() => {
            reply::relayed(status, &headers, body(flow))
        }
        Ok((status, headers)) => pass_failure(flow, status, &headers).await,
        Err(next) => reply::after(next, &flow.run.asked.id, flow.run.left()),
    }
}

/// Passes the failure of an engine on.
async fn pass_failure(mut flow: Flow, status: StatusCode, headers: &HeaderMap) -> Reply {
    let left = flow.run.left();
    let Some(mut opened) = flow.take_opened() else {
        return reply::after(Next::Failed, &flow.run.asked.id, left);
    };
    match read_whole(&mut opened.body, left).await {
        Ok(body) => reply::relayed(status, headers, reply::whole(body)),
        Err(_) => reply::after(Next::Failed, &flow.run.asked.id, left),
    }
}

/// The body pulls its events out of the flow, so a caller that leaves drops the flow and with it
/// the connection to the engine, which then stops working.
fn body(flow: Flow) -> Body {
    let frames = stream::unfold(Some(flow), |flow| async {
        let mut flow = flow?;
        let frame = flow.next().await?;
        let rest = frame.is_ok().then_some(flow);
        Some((frame, rest))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
