//! Relays requests whose response is a stream of events.

use celerypond_relay::NextStep;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};

use super::{
    attempt::read_body,
    open_request::OpenStream,
    relayed_stream::{RelayedStream, ResponseHead},
    reply::{self, Body, Reply},
    routed_request::RoutedRequest,
};

/// Relays a stream, and resumes it at another engine when its engine is lost.
pub(super) async fn relay(request: RoutedRequest) -> Reply {
    let mut relayed = RelayedStream::new(request);
    match relayed.start().await {
        Ok(head) if head.status.is_success() => reply::relayed(
            head.status,
            &head.headers,
            event_body(relayed),
            head.reason.clone(),
        ),
        Ok(head) => relay_failure(relayed, &head).await,
        Err(next) => reply::final_reply(next, &relayed.request),
    }
}

/// Relays the failure that an engine answered with.
async fn relay_failure(mut relayed: RelayedStream, head: &ResponseHead) -> Reply {
    let time_left = relayed.request.time_left();
    let Some(mut response) = relayed.take_response() else {
        return reply::final_reply(NextStep::Failed, &relayed.request);
    };
    let body = read_body(&relayed.request.state, &mut response.body, time_left);
    match body.await {
        Ok(_) if reply::implies_not_run(head.status) => {
            reply::final_reply(NextStep::Failed, &relayed.request)
        }
        Ok(body) => reply::relayed(
            head.status,
            &head.headers,
            reply::full_body(body),
            head.reason.clone(),
        ),
        Err(_) => reply::final_reply(NextStep::Failed, &relayed.request),
    }
}

/// Returns the body of the response. It pulls events from the stream, so when a caller leaves, the
/// stream is dropped and with it the connection to the engine, which then stops working on it.
fn event_body(relayed: RelayedStream) -> Body {
    let open_stream = OpenStream::new(&relayed.request.state);
    let frames = stream::unfold(Some((relayed, open_stream)), |relayed| async {
        let (mut relayed, open_stream) = relayed?;
        let frame = relayed.next_frame().await?;
        let next_state = frame.is_ok().then_some((relayed, open_stream));
        Some((frame, next_state))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
