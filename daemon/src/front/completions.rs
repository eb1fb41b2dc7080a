//! `POST /v1/completions`: generates an answer, streamed or whole.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerypond_answer::{
    Driver, Emit, Finish, Generation, GenerationLimits, Mode, Request, TakeOver,
};
use celerypond_bundle::{Account, Model};
use celerypond_telemetry::Counter;
use celerypond_types::{
    AdapterName, Digest, ModelName, NotRunReason, Position, RequestKey, TokenId,
};
use futures::{stream, Stream};
use gotham::hyper::{HeaderMap, Response, StatusCode};
use http::{header, HeaderValue};
use rand::Rng;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    body,
    force::Force,
    front::{
        auth, headers,
        problem::{self, Kind, Problem},
        Call, Reply,
    },
    generation::{Drive, Piece, PIECES},
    link::Ask,
    node::Node,
};

const DEFAULT_TOKENS: u32 = 1024;
const MOST_TOKENS: u32 = 1 << 20;
/// When to come back if no bundle is in force yet.
const NO_BUNDLE: Duration = Duration::from_secs(1);

/// The body of a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Completion {
    model: ModelName,
    prompt: String,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
    seed: Option<u64>,
    #[serde(default)]
    stream: bool,
    adapter: Option<AdapterName>,
    /// The token ids that a caller has, if it comes back with `Last-Event-ID`.
    #[serde(default)]
    prefix: Vec<TokenId>,
}

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
    finish_reason: celerypond_answer::Reason,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: Position,
}

/// What a reply is written from.
struct Named {
    id: SmolStr,
    model: ModelName,
}

fn default_tokens() -> u32 {
    DEFAULT_TOKENS
}

/// Generates an answer.
pub async fn complete(node: Arc<Node>, call: Call) -> Reply {
    node.metrics.add(Counter::Requests, 1);
    match begin(&node, call).await {
        Ok(reply) => reply,
        Err(problem) => {
            node.metrics.add(Counter::Refused, 1);
            problem.reply()
        }
    }
}

async fn begin(node: &Arc<Node>, call: Call) -> Result<Reply, Problem> {
    let Some(force) = node.force.load_full() else {
        return Err(Problem::not_run(NotRunReason::NoTarget, NO_BUNDLE));
    };
    let account = auth::account(&force, &call.headers)?;
    let text = headers::read_body(node, call.body).await?;
    let completion: Completion =
        serde_json::from_slice(&text).map_err(|error| Problem::new(Kind::BadRequest, error))?;
    let model = check(&force, &completion)?;
    let key = headers::request_key(&call.headers, &mut node.rng())?;
    let named = Named {
        id: SmolStr::new(key.as_str()),
        model: completion.model.clone(),
    };
    let streamed = completion.stream;
    let received = spawn(node, account, model, completion, key, &call.headers, &text)?;
    if streamed {
        return Ok(streamed_reply(named, received));
    }
    Ok(whole_reply(&named, received).await)
}

fn check<'a>(force: &'a Force, completion: &Completion) -> Result<&'a Model, Problem> {
    let name = &completion.model;
    let model = force
        .model(name)
        .ok_or_else(|| Problem::new(Kind::NotFound, format_args!("there is no model {name}")))?;
    if let Some(adapter) = &completion.adapter
        && !model.adapters.contains(adapter)
    {
        let message = format_args!("model {name} has no adapter {adapter}");
        return Err(Problem::new(Kind::NotFound, message));
    }
    if !(1..=MOST_TOKENS).contains(&completion.max_tokens) {
        let message = format_args!("max_tokens must be from 1 to {MOST_TOKENS}");
        return Err(Problem::new(Kind::BadRequest, message));
    }
    Ok(model)
}

fn spawn(
    node: &Arc<Node>,
    account: &Account,
    model: &Model,
    completion: Completion,
    key: RequestKey,
    headers: &HeaderMap,
    text: &[u8],
) -> Result<mpsc::Receiver<Piece>, Problem> {
    let now = Instant::now();
    let longest = Duration::from_millis(model.deadline_ms);
    let deadline = now + headers::deadline(headers, longest)?;
    let mut rng = node.rng();
    let request = Request {
        // Two accounts may use the same key; at an engine their streams must differ.
        key: RequestKey::new(format!("{}.{key}", account.name)),
        body: Digest::of(text),
        seed: completion.seed.unwrap_or_else(|| rng.random()),
        limit: completion.max_tokens,
        mode: if completion.stream {
            Mode::Streamed
        } else {
            Mode::Buffered
        },
        deadline,
        instance: node.settings.instance.clone(),
    };
    let ask = Ask {
        request: request.key.clone(),
        model: completion.model,
        adapter: completion.adapter,
        prompt: completion.prompt,
        max_tokens: completion.max_tokens,
        priority: headers::priority(headers, account.priority)?,
    };
    let seal = request.seal(&node.seal_key);
    let token = headers
        .get("last-event-id")
        .map(|value| seal.decode(value.to_str().unwrap_or_default()))
        .transpose()
        .map_err(|error| Problem::new(Kind::BadRequest, error))?;
    let driver = Driver::draw(&mut rng);
    let plan = TakeOver::plan(driver, token.as_ref(), None, &completion.prefix)
        .map_err(|error| Problem::new(Kind::BadRequest, error))?;
    let limits = GenerationLimits::default();
    let mut effects = Vec::new();
    let answer = match plan {
        Some(plan) => {
            let patience = node.stalls.patience(&plan.origin.stream.target, 0);
            Generation::take_over(request, limits, seal, plan, patience, now, &mut effects)
        }
        None => Generation::new(request, limits, seal, driver, now, &mut effects),
    };
    let (pieces, received) = mpsc::channel(PIECES);
    let drive = Drive::new(Arc::clone(node), ask, pieces);
    node.work.spawn(drive.run(answer, effects));
    Ok(received)
}

fn streamed_reply(named: Named, received: mpsc::Receiver<Piece>) -> Reply {
    let mut reply = Response::new(body::streamed(events(named, received)));
    let headers = reply.headers_mut();
    let kind = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, kind);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

fn events(named: Named, received: mpsc::Receiver<Piece>) -> impl Stream<Item = Bytes> {
    stream::unfold((named, received), |(named, mut received)| async {
        let piece = received.recv().await?;
        let text = match &piece {
            Piece::Token(emit) => token_event(&named, emit),
            Piece::End(finish) => end_event(&named, finish),
            Piece::Failed(error) => {
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
    format!("id: {}\ndata: {data}\n\n", emit.id)
}

fn end_event(named: &Named, finish: &Finish) -> String {
    let data = serde_json::to_string(&whole(named, finish)).unwrap_or_default();
    format!("data: {data}\n\ndata: [DONE]\n\n")
}

async fn whole_reply(named: &Named, mut received: mpsc::Receiver<Piece>) -> Reply {
    while let Some(piece) = received.recv().await {
        match piece {
            Piece::Token(_) => {}
            Piece::End(finish) => return problem::json(StatusCode::OK, &whole(named, &finish)),
            Piece::Failed(error) => return Problem::new(Kind::Incomplete, error).reply(),
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
