//! Requests whose response is a stream of events.

use celerypond_relay::NextStep;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};

use super::{
    attempt::read_whole,
    relayed_stream::{RelayedStream, ResponseHead},
    reply::{self, Body, Reply},
    routed_request::RoutedRequest,
};

/// Relays a stream, which goes on at another engine when its engine is lost.
pub(super) async fn relay(run: RoutedRequest) -> Reply {
    let mut flow = RelayedStream::new(run);
    match flow.begin().await {
        Ok(first) if first.status.is_success() => {
            reply::relayed(first.status, &first.headers, body(flow), &first.target)
        }
        Ok(first) => pass_failure(flow, &first).await,
        Err(next) => reply::after(next, &flow.run),
    }
}

/// Passes the failure of an engine on.
async fn pass_failure(mut flow: RelayedStream, first: &ResponseHead) -> Reply {
    let left = flow.run.left();
    let Some(mut opened) = flow.take_opened() else {
        return reply::after(NextStep::Failed, &flow.run);
    };
    match read_whole(&mut opened.body, left).await {
        Ok(body) => reply::relayed(
            first.status,
            &first.headers,
            reply::whole(body),
            &first.target,
        ),
        Err(_) => reply::after(NextStep::Failed, &flow.run),
    }
}

/// The body pulls its events out of the flow, so a caller that leaves drops the flow and with it
/// the connection to the engine, which then stops working.
fn body(flow: RelayedStream) -> Body {
    let frames = stream::unfold(Some(flow), |flow| async {
        let mut flow = flow?;
        let frame = flow.next().await?;
        let rest = frame.is_ok().then_some(flow);
        Some((frame, rest))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
