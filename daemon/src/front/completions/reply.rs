//! How an answer is written to its caller.

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
        problem::{self, Kind, Problem},
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
struct Whole<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    version: &'a str,
    choices: [WholeChoice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct WholeChoice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: celerypond_answer::FinishReason,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: Position,
}

/// What a reply is written from.
pub(super) struct Named {
    /// The key of the request.
    pub(super) id: SmolStr,
    /// The model.
    pub(super) model: ModelName,
}

pub(super) fn streamed_reply(named: Named, received: mpsc::Receiver<OutputEvent>) -> Reply {
    let mut reply = Response::new(body::streamed(events(named, received)));
    let headers = reply.headers_mut();
    let kind = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, kind);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

fn events(named: Named, received: mpsc::Receiver<OutputEvent>) -> impl Stream<Item = Bytes> {
    stream::unfold((named, received), |(named, mut received)| async {
        let event = received.recv().await?;
        let text = match &event {
            OutputEvent::Token(emit) => token_event(&named, emit),
            OutputEvent::Finished(finish) => end_event(&named, finish),
            OutputEvent::Failed(error) => {
                let problem = Problem::new(Kind::Incomplete, error);
                format!("event: error\ndata: {}\n\n", problem.text())
            }
        };
        Some((Bytes::from(text), (named, received)))
    })
}

fn token_event(named: &Named, emit: &Emit) -> String {
    let chunk = Chunk {
        id: &named.id,
        object: "text_completion",
        model: named.model.as_str(),
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

fn end_event(named: &Named, finish: &Finish) -> String {
    let data = serde_json::to_string(&whole(named, finish)).unwrap_or_default();
    format!("data: {data}\n\ndata: [DONE]\n\n")
}

pub(super) async fn whole_reply(named: &Named, mut received: mpsc::Receiver<OutputEvent>) -> Reply {
    while let Some(event) = received.recv().await {
        match event {
            OutputEvent::Token(_) => {}
            OutputEvent::Finished(finish) => {
                return problem::json(StatusCode::OK, &whole(named, &finish))
            }
            OutputEvent::Failed(error) => return Problem::new(Kind::Incomplete, error).reply(),
        }
    }
    Problem::new(Kind::Incomplete, celerypond_answer::Incomplete::Abandoned).reply()
}

fn whole<'a>(named: &'a Named, finish: &'a Finish) -> Whole<'a> {
    Whole {
        id: &named.id,
        object: "text_completion",
        model: named.model.as_str(),
        version: finish.version.as_str(),
        choices: [WholeChoice {
            index: 0,
            text: finish.text.as_deref().unwrap_or_default(),
            finish_reason: finish.reason,
        }],
        usage: Usage {
            completion_tokens: finish.length,
        },
    }
}
