//! Replies to requests for an answer.

use bytes::Bytes;
use celerypond_answer::{Emit, Finish};
use celerypond_types::{ModelName, Position, TokenId};
use futures::{stream, Stream};
use gotham::hyper::{Response, StatusCode};
use http::{header, HeaderValue};
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::{
    body,
    front::{
        api_error::{self, ApiError, ErrorKind},
        Reply,
    },
    generation::OutputEvent,
};

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    position: Position,
    token: TokenId,
    text: &'a str,
}

#[derive(Serialize)]
struct FullReply<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    version: &'a str,
    choices: [FullChoice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct FullChoice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: celerypond_answer::FinishReason,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: Position,
}

/// The parts of a reply that are the same for all events.
pub(super) struct ReplyContext {
    /// The key of the request, as sent by the caller or generated.
    pub(super) id: SmolStr,
    /// The model.
    pub(super) model: ModelName,
}

pub(super) fn streamed_reply(context: ReplyContext, events: mpsc::Receiver<OutputEvent>) -> Reply {
    let mut reply = Response::new(body::from_stream(event_stream(context, events)));
    let headers = reply.headers_mut();
    let kind = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, kind);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

fn event_stream(
    context: ReplyContext,
    events: mpsc::Receiver<OutputEvent>,
) -> impl Stream<Item = Bytes> {
    stream::unfold((context, events), |(context, mut events)| async {
        let event = events.recv().await?;
        let text = match &event {
            OutputEvent::Token(emit) => token_event(&context, emit),
            OutputEvent::Finished(finish) => end_event(&context, finish),
            OutputEvent::Failed(error) => {
                let error = ApiError::new(ErrorKind::Incomplete, error);
                format!("event: error\ndata: {}\n\n", error.text())
            }
        };
        Some((Bytes::from(text), (context, events)))
    })
}

fn token_event(context: &ReplyContext, emit: &Emit) -> String {
    let chunk = Chunk {
        id: &context.id,
        object: "text_completion",
        model: context.model.as_str(),
        choices: [ChunkChoice {
            index: 0,
            position: emit.position,
            token: emit.token,
            text: &emit.text,
        }],
    };
    let data = serde_json::to_string(&chunk).unwrap_or_default();
    format!("id: {}\ndata: {data}\n\n", emit.resume_token)
}

fn end_event(context: &ReplyContext, finish: &Finish) -> String {
    let data = serde_json::to_string(&full_completion(context, finish)).unwrap_or_default();
    format!("data: {data}\n\ndata: [DONE]\n\n")
}

pub(super) async fn full_reply(
    context: &ReplyContext,
    mut events: mpsc::Receiver<OutputEvent>,
) -> Reply {
    while let Some(event) = events.recv().await {
        match event {
            OutputEvent::Token(_) => {}
            OutputEvent::Finished(finish) => {
                return api_error::json(StatusCode::OK, &full_completion(context, &finish))
            }
            OutputEvent::Failed(error) => {
                return ApiError::new(ErrorKind::Incomplete, error).reply()
            }
        }
    }
    ApiError::new(
        ErrorKind::Incomplete,
        celerypond_answer::Incomplete::Abandoned,
    )
    .reply()
}

fn full_completion<'a>(context: &'a ReplyContext, finish: &'a Finish) -> FullReply<'a> {
    FullReply {
        id: &context.id,
        object: "text_completion",
        model: context.model.as_str(),
        version: finish.version.as_str(),
        choices: [FullChoice {
            index: 0,
            text: finish.text.as_deref().unwrap_or_default(),
            finish_reason: finish.reason,
        }],
        usage: Usage {
            completion_tokens: finish.length,
        },
    }
}
