//! `POST /v1/completions`: generates an answer, streamed or whole.

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
        auth, headers,
        problem::{Kind, Problem},
        Call, Reply,
    },
    generation::{Admitted, AnswerDriver, OutputEvent, OUTPUT_CAPACITY},
    keeper_records,
    node::Node,
};

mod reply;

use reply::{streamed_reply, whole_reply, Named};

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
    let Some(active) = node.active_bundle.load_full() else {
        return Err(Problem::not_run(NotRunReason::NoTarget, NO_BUNDLE));
    };
    let account = auth::account(&active, &call.headers)?;
    let text = headers::read_body(node, call.body).await?;
    let completion: Completion =
        serde_json::from_slice(&text).map_err(|error| Problem::new(Kind::BadRequest, error))?;
    let model = check(&active, &completion)?;
    let key = headers::request_key(&call.headers, &mut node.rng())?;
    let named = Named {
        id: SmolStr::new(key.as_str()),
        model: completion.model.clone(),
    };
    let streamed = completion.stream;
    let asked = Asked {
        account,
        model,
        completion,
        key,
        is_named: call.headers.contains_key(headers::KEY),
        headers: &call.headers,
    };
    let received = asked.spawn(node).await?;
    if streamed {
        return Ok(streamed_reply(named, received));
    }
    Ok(whole_reply(&named, received).await)
}

fn check<'a>(active: &'a ActiveBundle, completion: &Completion) -> Result<&'a Model, Problem> {
    let name = &completion.model;
    let model = active
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

/// A request that was read and checked.
struct Asked<'a> {
    account: &'a Account,
    model: &'a Model,
    completion: Completion,
    key: RequestKey,
    /// Whether the caller gave the key, so that another instance may know the request.
    is_named: bool,
    headers: &'a HeaderMap,
}

impl Asked<'_> {
    /// Begins to generate, or goes on where another instance or connection left off.
    async fn spawn(self, node: &Arc<Node>) -> Result<mpsc::Receiver<OutputEvent>, Problem> {
        let now = Instant::now();
        let longest = Duration::from_millis(self.model.deadline_ms);
        let deadline = now + headers::deadline(self.headers, longest)?;
        let priority = headers::priority(self.headers, self.account.priority)?;
        let mut rng = node.rng();
        let request = self.request(node, deadline, &mut rng);
        let codec = request.resume_token_codec(&node.resume_token_key);
        let token = self.token(&codec)?;
        let driver = DriverId::random(&mut rng);
        let record = match self.is_named {
            true => keeper_records::query(node, &request.key).await,
            false => None,
        };
        let prefix = &self.completion.prefix;
        let plan = TakeOver::plan(driver, token.as_ref(), record.as_ref(), prefix)
            .map_err(|error| Problem::new(Kind::BadRequest, error))?;
        let limits = GenerationLimits::default();
        let mut effects = Vec::new();
        let (answer, admitted) = match plan {
            Some(plan) => {
                let patience = node
                    .progress_timeouts
                    .timeouts(&plan.origin.stream.target, 0);
                let answer = Generation::take_over(
                    request.clone(),
                    limits,
                    codec,
                    plan,
                    patience,
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
        let ask = self.ask(request.key, priority);
        let (output, received) = mpsc::channel(OUTPUT_CAPACITY);
        let drive = AnswerDriver::new(Arc::clone(node), ask, admitted, output);
        let drive = drive.run(answer, effects).in_current_span();
        node.background_tasks.spawn(drive);
        Ok(received)
    }

    /// Waits for a place at an engine, within the account's limits.
    async fn admit(
        &self,
        node: &Node,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Admitted, Problem> {
        let tokens = self.completion.max_tokens.into();
        let (account, charge) = Charge::new(node, self.account, tokens)?;
        let view = node.view.load_full();
        let version = node.rollouts.choose_version(node, self.model);
        let Some(route) = view
            .version_key(&self.model.name, &version)
            .map(Route::Version)
        else {
            return Err(Problem::not_run(NotRunReason::NoTarget, NO_BUNDLE));
        };
        let prefixes = prefixes(&self.completion.prompt);
        let held_back = node.rollouts.excluded_engines(node, self.model, &version);
        let excluded = node.suspects.add_to(held_back, Instant::now());
        let criteria = celerypond_route::PickCriteria {
            prefixes: &prefixes,
            adapter: self.adapter_hash(),
            excluded: &excluded,
            preferred_data_centre: Some(&node.settings.data_centre),
        };
        let patience = deadline.saturating_duration_since(Instant::now());
        let patience = patience.min(start_within(priority));
        let waiting = QueuedRequest {
            account,
            weight: self.account.weight,
            priority,
            cost: 1,
            deadline: node.now_ms() + patience.as_millis() as u64,
            item: (),
        };
        let admitted = node.admission.admit(node, route, &criteria, waiting).await;
        let permit =
            admitted.map_err(|refusal| Problem::not_run(refusal.reason, refusal.retry_after))?;
        Ok(Admitted {
            version,
            permit,
            charge,
        })
    }

    fn request(&self, node: &Node, deadline: Instant, rng: &mut impl Rng) -> Request {
        Request {
            // Two accounts may use the same key; at an engine their streams must differ.
            key: RequestKey::new(format!("{}.{}", self.account.name, self.key)),
            body_digest: self.digest(),
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

    /// Returns the digest of what decides the answer; the prefix that a caller brings does not.
    fn digest(&self) -> Digest {
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

    fn token(&self, codec: &ResumeTokenCodec) -> Result<Option<ResumeToken>, Problem> {
        let value = self.headers.get("last-event-id");
        value
            .map(|value| codec.decode(value.to_str().unwrap_or_default()))
            .transpose()
            .map_err(|error| Problem::new(Kind::BadRequest, error))
    }

    fn adapter_hash(&self) -> u64 {
        let adapter = self.completion.adapter.as_ref();
        adapter.map_or(0, |name| celerypond_route::hash(name.as_str().as_bytes()))
    }

    fn ask(self, request: RequestKey, priority: Priority) -> GenerationRequest {
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

/// Returns how long a request may wait to begin; longer waits are refused at once.
fn start_within(priority: Priority) -> Duration {
    match priority {
        Priority::Interactive => Duration::from_secs(3),
        Priority::Draft => Duration::from_secs(60),
    }
}

/// Returns the hashes of the prompt's beginnings, the longest first.
pub fn prefixes(prompt: &str) -> Vec<u64> {
    const LENGTHS: [usize; 3] = [8192, 2048, 512];
    let bytes = prompt.as_bytes();
    LENGTHS
        .iter()
        .filter_map(|length| bytes.get(..*length))
        .map(celerypond_route::hash)
        .collect()
}
