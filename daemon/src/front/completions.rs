//! `POST /v1/completions`: generates an answer, streamed or in one piece.

use std::{sync::Arc, time::Duration};

use celerypond_answer::{
    DeliveryMode, DriverId, Generation, GenerationLimits, Request, ResumeToken, ResumeTokenCodec,
    TakeOver,
};
use celerypond_bundle::{Account, Model};
use celerypond_route::{QueuedRequest, Route};
use celerypond_telemetry::Counter;
use celerypond_types::{
    AdapterName, Digest, ModelName, NotRunReason, Priority, RequestKey, TokenId,
};
use gotham::hyper::HeaderMap;
use rand::Rng;
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::{sync::mpsc, time::Instant};
use tracing::Instrument;

use crate::{
    active_bundle::ActiveBundle,
    charge::Charge,
    engine_stream::GenerationRequest,
    front::{
        api_error::{ApiError, ErrorKind},
        auth, headers, FrontRequest, Reply,
    },
    generation::{Admitted, AnswerDriver, OutputEvent, OUTPUT_CAPACITY},
    keeper_records,
    node::Node,
};

mod reply;

use reply::{full_reply, streamed_reply, ReplyContext};

const DEFAULT_MAX_TOKENS: u32 = 1024;
const MAX_TOKENS_LIMIT: u32 = 1 << 20;
/// The retry delay while no bundle is in force or the routing view lacks the chosen version.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The body of a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Completion {
    model: ModelName,
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    seed: Option<u64>,
    #[serde(default)]
    stream: bool,
    adapter: Option<AdapterName>,
    /// The token ids that the caller has already received, if it reconnects with `Last-Event-ID`.
    #[serde(default)]
    prefix: Vec<TokenId>,
}

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// Handles a request for an answer.
pub async fn complete(node: Arc<Node>, request: FrontRequest) -> Reply {
    node.metrics.add(Counter::Requests, 1);
    match try_complete(&node, request).await {
        Ok(reply) => reply,
        Err(error) => {
            node.metrics.add(Counter::Refused, 1);
            error.reply()
        }
    }
}

async fn try_complete(node: &Arc<Node>, request: FrontRequest) -> Result<Reply, ApiError> {
    let Some(active) = node.active_bundle.load_full() else {
        return Err(ApiError::not_run(
            NotRunReason::NoTarget,
            NO_TARGET_RETRY_AFTER,
        ));
    };
    let account = auth::account(&active, &request.headers)?;
    let body = headers::read_body(node, request.body).await?;
    let completion: Completion = serde_json::from_slice(&body)
        .map_err(|error| ApiError::new(ErrorKind::BadRequest, error))?;
    let model = check_model(&active, &completion)?;
    let key = headers::request_key(&request.headers, &mut node.rng())?;
    let context = ReplyContext {
        id: SmolStr::new(key.as_str()),
        model: completion.model.clone(),
    };
    let streamed = completion.stream;
    let checked = CheckedRequest {
        account,
        model,
        completion,
        key,
        has_key: request.headers.contains_key(headers::IDEMPOTENCY_KEY),
        headers: &request.headers,
    };
    let events = checked.start(node).await?;
    if streamed {
        return Ok(streamed_reply(context, events));
    }
    Ok(full_reply(&context, events).await)
}

fn check_model<'a>(
    active: &'a ActiveBundle,
    completion: &Completion,
) -> Result<&'a Model, ApiError> {
    let name = &completion.model;
    let model = active.model(name).ok_or_else(|| {
        ApiError::new(
            ErrorKind::NotFound,
            format_args!("there is no model {name}"),
        )
    })?;
    if let Some(adapter) = &completion.adapter
        && !model.adapters.contains(adapter)
    {
        let message = format_args!("model {name} has no adapter {adapter}");
        return Err(ApiError::new(ErrorKind::NotFound, message));
    }
    if !(1..=MAX_TOKENS_LIMIT).contains(&completion.max_tokens) {
        let message = format_args!("max_tokens must be from 1 to {MAX_TOKENS_LIMIT}");
        return Err(ApiError::new(ErrorKind::BadRequest, message));
    }
    Ok(model)
}

/// A validated request.
struct CheckedRequest<'a> {
    account: &'a Account,
    model: &'a Model,
    completion: Completion,
    key: RequestKey,
    /// Whether the caller sent the key, in which case keepers may have a record of the request.
    has_key: bool,
    headers: &'a HeaderMap,
}

impl CheckedRequest<'_> {
    /// Starts to generate the answer, or takes over from another instance or connection.
    async fn start(self, node: &Arc<Node>) -> Result<mpsc::Receiver<OutputEvent>, ApiError> {
        let now = Instant::now();
        let max = Duration::from_millis(self.model.deadline_ms);
        let deadline = now + headers::time_limit(self.headers, max)?;
        let priority = headers::priority(self.headers, self.account.priority)?;
        let mut rng = node.rng();
        let request = self.request(node, deadline, &mut rng);
        let codec = request.resume_token_codec(&node.resume_token_key);
        let resume_token = self.resume_token(&codec)?;
        let driver = DriverId::random(&mut rng);
        let record = match self.has_key {
            true => keeper_records::query(node, &request.key).await,
            false => None,
        };
        let prefix = &self.completion.prefix;
        let plan = TakeOver::plan(driver, resume_token.as_ref(), record.as_ref(), prefix)
            .map_err(|error| ApiError::new(ErrorKind::BadRequest, error))?;
        let limits = GenerationLimits::default();
        let mut effects = Vec::new();
        let (answer, admitted) = match plan {
            Some(plan) => {
                let timeouts = node
                    .progress_timeouts
                    .timeouts(&plan.origin.stream.target, 0);
                let answer = Generation::take_over(
                    request.clone(),
                    limits,
                    codec,
                    plan,
                    timeouts,
                    now,
                    &mut effects,
                );
                (answer, None)
            }
            None => {
                let admitted = self.admit(node, priority, deadline).await?;
                let now = Instant::now();
                let request = request.clone();
                let answer = Generation::new(request, limits, codec, driver, now, &mut effects);
                (answer, Some(admitted))
            }
        };
        let generation_request = self.into_generation_request(request.key, priority);
        let (output, events) = mpsc::channel(OUTPUT_CAPACITY);
        let driver_task = AnswerDriver::new(Arc::clone(node), generation_request, admitted, output);
        let driver_task = driver_task.run(answer, effects).in_current_span();
        node.background_tasks.spawn(driver_task);
        Ok(events)
    }

    /// Charges the account and waits for a slot at an engine.
    async fn admit(
        &self,
        node: &Node,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Admitted, ApiError> {
        let tokens = self.completion.max_tokens.into();
        let (account, charge) = Charge::new(node, self.account, tokens)?;
        let view = node.view.load_full();
        let version = node.rollouts.choose_version(node, self.model);
        let Some(route) = view
            .version_key(&self.model.name, &version)
            .map(Route::Version)
        else {
            return Err(ApiError::not_run(
                NotRunReason::NoTarget,
                NO_TARGET_RETRY_AFTER,
            ));
        };
        let prefixes = prefix_hashes(&self.completion.prompt);
        let not_in_rollout = node.rollouts.excluded_engines(node, self.model, &version);
        let excluded = node.suspects.add_to(not_in_rollout, Instant::now());
        let criteria = celerypond_route::PickCriteria {
            prefixes: &prefixes,
            adapter: self.adapter_hash(),
            excluded: &excluded,
            preferred_data_centre: Some(&node.settings.data_centre),
        };
        let max_wait = deadline.saturating_duration_since(Instant::now());
        let max_wait = max_wait.min(max_queue_time(priority));
        let queued = QueuedRequest {
            account,
            weight: self.account.weight,
            priority,
            cost: 1,
            deadline: node.now_ms() + max_wait.as_millis() as u64,
            item: (),
        };
        let admitted = node.admission.admit(node, route, &criteria, queued).await;
        let permit =
            admitted.map_err(|refusal| ApiError::not_run(refusal.reason, refusal.retry_after))?;
        Ok(Admitted {
            version,
            permit,
            charge,
        })
    }

    fn request(&self, node: &Node, deadline: Instant, rng: &mut impl Rng) -> Request {
        Request {
            // Two accounts may use the same key, but their streams at an engine must differ.
            key: RequestKey::new(format!("{}.{}", self.account.name, self.key)),
            body_digest: self.body_digest(),
            seed: self.completion.seed.unwrap_or_else(|| rng.random()),
            max_tokens: self.completion.max_tokens,
            mode: match self.completion.stream {
                true => DeliveryMode::Streamed,
                false => DeliveryMode::Buffered,
            },
            deadline,
            instance: node.settings.instance.clone(),
        }
    }

    /// Returns the digest of the fields that determine the answer; the caller's prefix does not.
    fn body_digest(&self) -> Digest {
        let completion = &self.completion;
        let parts = (
            &completion.model,
            &completion.prompt,
            completion.max_tokens,
            completion.seed,
            &completion.adapter,
        );
        Digest::of(&serde_json::to_vec(&parts).unwrap_or_default())
    }

    fn resume_token(&self, codec: &ResumeTokenCodec) -> Result<Option<ResumeToken>, ApiError> {
        let value = self.headers.get("last-event-id");
        value
            .map(|value| codec.decode(value.to_str().unwrap_or_default()))
            .transpose()
            .map_err(|error| ApiError::new(ErrorKind::BadRequest, error))
    }

    fn adapter_hash(&self) -> u64 {
        let adapter = self.completion.adapter.as_ref();
        adapter.map_or(0, |name| celerypond_route::hash(name.as_str().as_bytes()))
    }

    fn into_generation_request(self, request: RequestKey, priority: Priority) -> GenerationRequest {
        GenerationRequest {
            request,
            model: self.completion.model,
            adapter: self.completion.adapter,
            prompt: self.completion.prompt,
            max_tokens: self.completion.max_tokens,
            priority,
        }
    }
}

/// Returns how long a request may wait before it starts; if more is expected, it is refused
/// immediately.
fn max_queue_time(priority: Priority) -> Duration {
    match priority {
        Priority::Interactive => Duration::from_secs(3),
        Priority::Draft => Duration::from_secs(60),
    }
}

/// Returns the hashes of the prompt's prefixes, longest first.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    const LENGTHS: [usize; 3] = [8192, 2048, 512];
    let bytes = prompt.as_bytes();
    LENGTHS
        .iter()
        .filter_map(|length| bytes.get(..*length))
        .map(celerypond_route::hash)
        .collect()
}
