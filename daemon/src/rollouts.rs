//! This instance's side in rollouts: which version takes a request, what is seen of it, and the
//! next step of the record in the store.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use celerypond_bundle::Model;
use celerypond_fleet::{Brake, EntryKind};
use celerypond_platform::{PlatformError, Version};
use celerypond_rollout::{
    rank, rollout_key, witnesses, Acting, Agent, Brakes, Candidate, Cause, Method, Move, News,
    Report, Rollout, Route, Spread, Subject, Trial,
};
use celerypond_types::{InstanceName, ModelName, Revision, TargetKey, TargetName, VersionName};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{self, Instant};

use crate::{
    force::Force,
    gossip,
    node::{self, Node},
};

/// How often evidence is weighed and passed on.
const STEP: Duration = Duration::from_millis(250);
/// How often an instance says again what it acts on.
const SAY_AGAIN: Duration = Duration::from_secs(10);
/// How many peers hear of news at once.
const FAN_OUT: usize = 3;
/// How long a step may be due before the next instance in line makes it.
const PATIENCE: Duration = Duration::from_secs(2);
/// The prefix of the records in the store.
const PREFIX: &str = "rollout/";
/// How often the records in the store are read by the instances that do so for all.
const READ_STEPS: u32 = 8;
/// How often each other instance reads them, for what news may have missed.
const SLOW_STEPS: u32 = 240;
/// How many instances read the records for all; the others hear of them from peers.
const READERS: usize = 7;
/// How old the list of instances may be for a decision that counts them.
const LIST_AGE: Duration = Duration::from_secs(10);
/// What separates a model from its version in the name of a brake.
const SEPARATOR: char = '/';

/// What instances exchange about rollouts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Talk {
    news: News,
    reports: Vec<Report>,
}

/// This instance's side in rollouts.
pub struct Rollouts {
    agent: Mutex<Agent>,
    open: Mutex<BTreeMap<(ModelName, VersionName), u32>>,
    asked: Mutex<HashMap<ModelName, u64>>,
    /// What was last said that this instance acts on, and when.
    said: Mutex<Option<(Acting, Instant)>>,
}

/// An answer that is open at a version; dropping it counts the answer out.
pub struct OpenAnswer {
    node: Arc<Node>,
    key: (ModelName, VersionName),
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        let mut open = lock(&self.node.rollouts.open);
        if let Some(count) = open.get_mut(&self.key) {
            *count = count.saturating_sub(1);
        }
    }
}

/// How a rollout stands, as operators are told.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutStatus {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
    /// How far it has come.
    pub stage: String,
    /// How it ended: `done` or `taken_back`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ending: Option<&'static str>,
    /// Why it is taken back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// On how many instances the stage acts.
    pub acting: Spread,
    /// When it must be complete, in milliseconds since 1970.
    pub deadline_ms: u64,
    /// What was seen of the version since the roll.
    pub candidate: Seen,
    /// What was seen of the version that it is compared with, in the same time.
    pub base: Seen,
}

/// What was seen of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Seen {
    /// Answers and further chunks of answers that were asked for.
    pub asked: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that were cut off by the death of an engine, which count neither way.
    pub discounted: u64,
}

impl Seen {
    fn of(agent: &Agent, subject: &Subject, version: &VersionName) -> Self {
        let tally = agent.evidence().total(subject, version, None);
        let parts = [&tally.first, &tally.later];
        Self {
            asked: parts.iter().map(|trials| trials.sent).sum(),
            failed: parts.iter().map(|trials| trials.failures()).sum(),
            discounted: parts.iter().map(|trials| trials.discounted).sum(),
        }
    }
}

impl Rollouts {
    /// Makes the side of an instance; `incarnation` must rise with each restart.
    pub fn new(name: InstanceName, incarnation: u64) -> Self {
        Self {
            agent: Mutex::new(Agent::new(name, incarnation, Method::default())),
            open: Mutex::default(),
            asked: Mutex::default(),
            said: Mutex::default(),
        }
    }

    /// Takes the bundle that has come into force.
    pub fn set_force(&self, force: &Force) {
        self.agent().set_parts(force.headline.parts.clone());
    }

    /// Chooses the version that takes the next request for a model.
    ///
    /// The failure: a bundle names a version that engines have not loaded yet, and its first requests
    /// are refused. The symptom would be a good version that is taken back. Until an engine reports
    /// it, the version that it is to replace serves on. So it does while this instance has just
    /// started and may not know of a brake.
    pub fn choose(&self, node: &Node, model: &Model) -> VersionName {
        *lock(&self.asked).entry(model.name.clone()).or_default() += 1;
        let (chosen, is_synced) = {
            let mut agent = self.agent();
            (agent.choose(model), agent.is_synced())
        };
        if is_synced && is_loaded(node, model, &chosen) {
            return chosen;
        }
        let force = node.force.load();
        let part = force
            .as_ref()
            .and_then(|force| force.headline.parts.get(&model.name));
        let mut moves = part.into_iter().flat_map(|part| &part.moves);
        let moved = moves.find(|change| change.candidate.version == chosen);
        moved.map_or(chosen, |change| change.base.clone())
    }

    /// Counts an answer in at the base or a candidate.
    pub fn open(&self, node: &Arc<Node>, model: &ModelName, version: &VersionName) -> OpenAnswer {
        let key = (model.clone(), version.clone());
        *lock(&self.open).entry(key.clone()).or_default() += 1;
        OpenAnswer {
            node: Arc::clone(node),
            key,
        }
    }

    /// Returns the engines that a version must not use at its present stage.
    pub fn excluded(&self, node: &Node, model: &Model, version: &VersionName) -> Vec<TargetKey> {
        let candidate = Candidate {
            model: model.name.clone(),
            version: version.clone(),
        };
        let found = model.versions.iter().find(|found| found.name == *version);
        let (Some(found), Some(force)) = (found, node.force.load_full()) else {
            return Vec::new();
        };
        let part = force.headline.parts.get(&model.name);
        let engines = part.and_then(|part| self.agent().engines(part.origin, &candidate));
        let engines = engines.map_or(found.targets.len(), |engines| engines as usize);
        let view = node.view.load();
        // All instances leave out the same engines, in the order that the bundle names them.
        let (used, left_out) = found.targets.split_at(engines.min(found.targets.len()));
        let unloaded = used.iter().filter(|name| !has_loaded(node, name, version));
        let left_out = left_out.iter().chain(unloaded);
        left_out.filter_map(|name| view.key(name)).collect()
    }

    /// Lets the agent note what became of a request.
    pub fn note(&self, note: impl FnOnce(&mut Agent)) {
        note(&mut self.agent());
    }

    /// Takes a brake that gossip brought.
    pub fn braked(&self, node: &Arc<Node>, brake: &Brake) {
        let Some((model, version)) = brake.version.as_str().split_once(SEPARATOR) else {
            return;
        };
        let candidate = Candidate {
            model: model.into(),
            version: version.into(),
        };
        let mut brakes = Brakes::default();
        brakes.trip(brake.revision, candidate, Cause::Failures);
        let news = News {
            rollouts: Vec::new(),
            brakes,
        };
        if self.agent().hear(&news) {
            node.metrics.add(celerypond_telemetry::Counter::Brakes, 1);
            log::warn!(
                "the brake is on for {} of revision {}",
                brake.version,
                brake.revision
            );
        }
    }

    /// Takes what other instances say they act on.
    pub fn hear_acting(&self, node: &Node) {
        let words: Vec<Acting> = {
            let gossip = node.gossip();
            let items = gossip.state().items(EntryKind::Acting);
            items
                .filter_map(|(_, item)| serde_json::from_slice(&item.value).ok())
                .collect()
        };
        let mut agent = self.agent();
        for word in words {
            agent.hear_acting(word);
        }
    }

    /// Takes a peer's news and answers with the own.
    pub fn answer(&self, node: &Arc<Node>, talk: &[u8]) -> Vec<u8> {
        self.hear(node, talk);
        self.talk()
    }

    /// Returns how the rollouts of the bundle in force stand, and on how many instances it acts.
    pub fn status(&self, node: &Node) -> (Spread, Vec<RolloutStatus>) {
        let live = listed(node);
        let agent = self.agent();
        let Some(force) = node.force.load_full() else {
            return (agent.roster().in_force(Revision(1), &live), Vec::new());
        };
        let in_force = agent.roster().in_force(force.revision(), &live);
        let parts = force.headline.parts.values();
        let rollouts = parts.filter_map(|part| agent.rollout(part.origin));
        let statuses = rollouts
            .flat_map(|rollout| {
                rollout
                    .moves
                    .iter()
                    .map(move |record| (rollout.origin, record))
            })
            .map(|(origin, record)| status(origin, record, &agent, &live))
            .collect();
        (in_force, statuses)
    }

    fn hear(&self, node: &Arc<Node>, talk: &[u8]) {
        let Ok(talk) = serde_json::from_slice::<Talk>(talk) else {
            return;
        };
        let is_new = {
            let mut agent = self.agent();
            for report in talk.reports {
                agent.hear_report(report);
            }
            agent.hear(&talk.news)
        };
        if is_new {
            self.spread(node);
        }
    }

    fn talk(&self) -> Vec<u8> {
        let agent = self.agent();
        let talk = Talk {
            news: agent.news(),
            reports: agent.reports().cloned().collect(),
        };
        serde_json::to_vec(&talk).unwrap_or_default()
    }

    /// Passes the brakes on by gossip and all news to some peers, without the store.
    fn spread(&self, node: &Arc<Node>) {
        let brakes: Vec<Brake> = brakes(node, &self.agent());
        for brake in brakes {
            node.gossip().trip(brake);
        }
        gossip::after(node);
        self.push(node, FAN_OUT, |_| true);
    }

    /// Exchanges evidence with one of those who weigh it.
    fn exchange(&self, node: &Arc<Node>) {
        let live = listed(node);
        let Some(force) = node.force.load_full() else {
            return;
        };
        let parts = force.headline.parts.iter();
        let all: Vec<InstanceName> = parts
            .flat_map(|(model, part)| witnesses(part.origin, model, &live))
            .collect();
        self.push(node, 1, |name| all.is_empty() || all.contains(name));
    }

    fn push(&self, node: &Arc<Node>, count: usize, fits: impl Fn(&InstanceName) -> bool) {
        let addresses: Vec<_> = gossip::live(node)
            .into_iter()
            .filter(|near| fits(&near.name))
            .filter_map(|near| near.address)
            .collect();
        let talk = self.talk();
        let chosen: Vec<_> = addresses
            .choose_multiple(&mut node.rng(), count)
            .copied()
            .collect();
        for address in chosen {
            let node = Arc::clone(node);
            let talk = talk.clone();
            let work = node.work.clone();
            work.spawn(async move {
                if let Ok(answer) = node.peers.rollouts(address, talk).await {
                    node.rollouts.hear(&node, &answer);
                }
            });
        }
    }

    /// Returns whether others must hear what this instance acts on: it changed, or was long not said.
    fn is_news(&self, acting: &Acting) -> bool {
        let mut said = lock(&self.said);
        let is_old = said.as_ref().is_none_or(|(last, at)| {
            let is_same = (last.revision, &last.moves) == (acting.revision, &acting.moves);
            !is_same || at.elapsed() >= SAY_AGAIN
        });
        if is_old {
            *said = Some((acting.clone(), Instant::now()));
        }
        is_old
    }

    fn agent(&self) -> MutexGuard<'_, Agent> {
        lock(&self.agent)
    }
}

/// Weighs evidence and steps rollouts until the instance ends.
pub async fn run(node: Arc<Node>) {
    let mut tick = time::interval(STEP);
    let mut due_since: HashMap<Revision, Instant> = HashMap::new();
    let mut versions: HashMap<Revision, Version> = HashMap::new();
    let mut steps = 0;
    loop {
        tokio::select! {
            () = node.ending.cancelled() => return,
            _ = tick.tick() => {}
        }
        steps += 1;
        step(&node);
        let is_due = steps % READ_STEPS == 0 && is_reader(&node) || steps % SLOW_STEPS == 0;
        if is_due && node.force.load().is_some() {
            read_records(&node, &mut versions).await;
        }
        write_due(&node, &mut due_since, &mut versions).await;
    }
}

fn step(node: &Arc<Node>) {
    let Some(force) = node.force.load_full() else {
        return;
    };
    let live = listed(node);
    let (tripped, acting, is_talking) = {
        let mut agent = node.rollouts.agent();
        agent.set_live(&live);
        let engines = |change: &Move| base_engines(&force, change);
        let tripped = agent.weigh(engines, node::wall_ms());
        let open = lock(&node.rollouts.open);
        let acting = agent.acting(force.revision(), |model, version| {
            let key = (model.clone(), version.clone());
            open.get(&key).copied().unwrap_or(0)
        });
        let is_talking = force.headline.parts.values().any(|part| {
            let rollout = agent.rollout(part.origin);
            rollout.is_some_and(|rollout| rollout.moves.iter().any(|it| !it.phase.is_ended()))
        });
        (tripped, acting, is_talking || !agent.is_synced())
    };
    if node.rollouts.is_news(&acting) {
        let value = serde_json::to_vec(&acting).unwrap_or_default();
        gossip::set(node, EntryKind::Acting, "", value);
    }
    if tripped {
        node.rollouts.spread(node);
    } else if is_talking {
        node.rollouts.exchange(node);
    }
}

/// Returns whether this instance is one of those that read the records for all.
fn is_reader(node: &Node) -> bool {
    let ranked = rank("rollout reader", &listed(node));
    let mut readers = ranked.iter().take(READERS);
    readers.any(|name| *name == node.settings.instance)
}

/// Reads the records in the store.
async fn read_records(node: &Arc<Node>, versions: &mut HashMap<Revision, Version>) {
    let Ok(listing) = node.platform.list_all(PREFIX).await else {
        return;
    };
    let mut is_new = false;
    for object in listing.objects {
        if let Some(rollout) = celerypond_rollout::parse::<Rollout>(&object.value) {
            versions.insert(rollout.origin, object.version);
            is_new |= node.rollouts.agent().hear_store(rollout);
        }
    }
    if is_new {
        node.rollouts.spread(node);
    }
}

/// Writes the steps that are due, if this instance is the one whose turn it is.
async fn write_due(
    node: &Arc<Node>,
    since: &mut HashMap<Revision, Instant>,
    versions: &mut HashMap<Revision, Version>,
) {
    let Some(force) = node.force.load_full() else {
        return;
    };
    let due = {
        let agent = node.rollouts.agent();
        let rates = |model: &ModelName| rate(node, model);
        let is_listed = node.listed_at().is_some_and(|at| at.elapsed() < LIST_AGE);
        agent.due(&force.bundle.models, rates, is_listed, node::wall_ms())
    };
    since.retain(|origin, _| due.iter().any(|rollout| rollout.origin == *origin));
    for rollout in due {
        let first = *since.entry(rollout.origin).or_insert_with(Instant::now);
        let live = listed(node);
        let turn = rank(&format!("driver {}", rollout.origin), &live);
        let place = turn.iter().position(|name| *name == node.settings.instance);
        let place = place.unwrap_or(turn.len()) as u32;
        if first.elapsed() >= PATIENCE * place {
            write(node, rollout, versions).await;
        }
    }
}

async fn write(node: &Arc<Node>, rollout: Rollout, versions: &mut HashMap<Revision, Version>) {
    let key = rollout_key(rollout.origin);
    let value: Bytes = serde_json::to_vec(&rollout).unwrap_or_default().into();
    let result = match versions.get(&rollout.origin) {
        None => node.platform.create(&key, value).await,
        Some(version) => node.platform.update(&key, *version, value).await,
    };
    match result {
        Ok(version) => {
            versions.insert(rollout.origin, version);
            for record in &rollout.moves {
                let candidate = &record.change.candidate;
                let (model, version) = (&candidate.model, &candidate.version);
                log::info!("rollout of {model} {version}: {:?}", record.phase);
            }
            node.rollouts.agent().hear_store(rollout);
            node.rollouts.spread(node);
        }
        // Another instance made a step, or the reply was lost: the record tells.
        Err(report) if *report.current_context() != PlatformError::Down => {
            read_records(node, versions).await;
        }
        Err(_) => {}
    }
}

fn status(
    origin: Revision,
    record: &celerypond_rollout::MoveRecord,
    agent: &Agent,
    live: &[InstanceName],
) -> RolloutStatus {
    use celerypond_rollout::Phase;

    let change = &record.change;
    let subject = Subject {
        origin,
        model: change.candidate.model.clone(),
    };
    let (stage, ending, cause) = match record.phase {
        Phase::Stage { stage } => {
            let text = format!("stage {} of {}", stage + 1, record.stages.len());
            (text, None, None)
        }
        Phase::Closing => ("closing".to_owned(), None, None),
        Phase::Done => ("done".to_owned(), Some("done"), None),
        Phase::Braking { cause } => ("braking".to_owned(), None, Some(cause)),
        Phase::TakenBack { cause } => ("taken back".to_owned(), Some("taken_back"), Some(cause)),
        Phase::Superseded => ("superseded".to_owned(), None, None),
    };
    RolloutStatus {
        model: change.candidate.model.clone(),
        version: change.candidate.version.clone(),
        stage,
        ending,
        cause,
        acting: record.spread(origin, agent.roster(), live),
        deadline_ms: record.deadline_ms,
        candidate: Seen::of(agent, &subject, &change.candidate.version),
        base: Seen::of(agent, &subject, &change.base),
    }
}

/// Returns whether any engine of a version reports to have loaded it.
fn is_loaded(node: &Node, model: &Model, version: &VersionName) -> bool {
    let left_out = node.rollouts.excluded(node, model, version);
    let view = node.view.load();
    let found = model.versions.iter().find(|found| found.name == *version);
    let targets = found.into_iter().flat_map(|found| &found.targets);
    // An instance uses the engines of its group only, and a stage may use none of those.
    let mut used = targets.filter(|target| {
        let key = view.key(target);
        key.is_some_and(|key| !left_out.contains(&key))
    });
    used.any(|target| has_loaded(node, target, version))
}

/// Returns whether an engine may have a version loaded; one that was never asked may.
fn has_loaded(node: &Node, target: &TargetName, version: &VersionName) -> bool {
    let reported = node.reported(target);
    reported.is_none_or(|versions| versions.contains(version))
}

fn brakes(node: &Node, agent: &Agent) -> Vec<Brake> {
    let Some(force) = node.force.load_full() else {
        return Vec::new();
    };
    let moves = force.headline.parts.values().flat_map(|part| {
        part.moves
            .iter()
            .map(|change| (part.origin, change.candidate.clone()))
    });
    moves
        .filter(|(origin, candidate)| agent.brakes().cause(*origin, candidate).is_some())
        .map(|(revision, candidate)| Brake {
            revision,
            version: VersionName::new(format!(
                "{}{SEPARATOR}{}",
                candidate.model, candidate.version
            )),
        })
        .collect()
}

fn base_engines(force: &Force, change: &Move) -> u32 {
    let model = force.model(&change.candidate.model);
    let versions = model.into_iter().flat_map(|model| &model.versions);
    let base = versions
        .filter(|version| version.name == change.base)
        .map(|version| version.targets.len() as u32);
    base.sum()
}

/// Returns the live instances by the platform's list.
fn listed(node: &Node) -> Vec<InstanceName> {
    let list = node.list.load();
    let live = list
        .instances
        .iter()
        .filter(|instance| instance.state == celerypond_platform::Presence::Live);
    live.map(|instance| instance.name.clone()).collect()
}

/// Estimates the requests a second for a model over all instances from those of this one.
fn rate(node: &Node, model: &ModelName) -> f64 {
    let asked = lock(&node.rollouts.asked).get(model).copied().unwrap_or(0);
    let seconds = (node.now_ms() as f64 / 1e3).max(1.0);
    let instances = listed(node).len().max(1);
    asked as f64 / seconds * instances as f64
}

/// Returns the kind of request that a version's faults may differ by.
pub fn route(adapter: Option<&celerypond_types::AdapterName>) -> Route {
    Route(adapter.map_or("", |adapter| adapter.as_str()).into())
}

/// Makes the trial of one chunk of an answer.
pub fn trial(
    model: &ModelName,
    version: &VersionName,
    route: &Route,
    target: &TargetName,
) -> Trial {
    Trial {
        model: model.clone(),
        version: version.clone(),
        route: route.clone(),
        target: target.clone(),
        is_first: true,
        begun_ms: node::wall_ms(),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
