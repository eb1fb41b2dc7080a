//! The whole path of a request over real sockets on loopback, against a call without an instance.
//!
//! Stand-ins, one instance and the callers share a process, and each has a runtime of its own.

use std::time::Duration;

use celerypond_testutils::fault::PlatformFault;
use error_stack::{Report, ResultExt};
use futures::future::{try_join, try_join_all};
use serde_json::json;
use thiserror::Error;
use tokio::{
    runtime::Builder,
    task::JoinSet,
    time::{self, Instant},
};

use crate::table::Row;

mod call;
mod stand;
mod usage;

use call::Sent;
use stand::{Stand, INSTANCE_THREAD};

/// The calls for which each seed counts.
const PAIRS_PER_SEED: u64 = 20;
const CALLER_THREADS: usize = 3;
const GAP: Duration = Duration::from_millis(10);
const GAP_STREAMS: usize = 50;
const GAP_TOKENS: u32 = 200;
/// The streams without a gap and their tokens.
const FAST_STREAMS: usize = 100;
const FAST_TOKENS: u32 = 1000;
const FAST_RUNS: usize = 5;
/// The time between tokens of the streams that are kept open.
const IDLE_GAP: Duration = Duration::from_secs(1);
const IDLE_TOKENS: u32 = 500;
const FEW: usize = 100;
const MANY: usize = 2000;
/// How many streams are opened at once.
const OPENERS: usize = 50;
/// How long memory is left to settle.
const SETTLE: Duration = Duration::from_secs(2);
const STORE_MS: [(u64, &str); 2] = [(0, "store 0 ms"), (3, "store 3 ms")];

/// Why a measure could not be taken.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum PathError {
    /// The stand-ins or the instance did not start.
    #[error("the stand-ins and the instance did not start")]
    Start,
    /// A call brought no answer.
    #[error("a call brought no answer")]
    Call,
    /// A call was refused.
    #[error("a call was refused with status {0}")]
    Status(u16),
    /// Tokens are missing.
    #[error("{0} of {1} tokens came")]
    Tokens(usize, usize),
    /// The system did not tell the use of CPU or memory.
    #[error("the use of CPU or memory is not known")]
    Usage,
}

/// Takes the measures one after the other; each has stand-ins and an instance of its own.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let runtime = Builder::new_multi_thread()
        .thread_name("path-caller")
        .worker_threads(CALLER_THREADS)
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return Vec::new();
    };
    let pairs = seeds * PAIRS_PER_SEED;
    let mut rows = Vec::new();
    // Memory comes first: what other measures leave behind would be used again and not be seen.
    let taken = [
        runtime.block_on(memory()),
        runtime.block_on(first_token(pairs)),
        runtime.block_on(token_gap()),
        runtime.block_on(calls(pairs)),
        runtime.block_on(tokens_per_cpu()),
    ];
    for result in taken {
        match result {
            Ok(part) => rows.extend(part),
            Err(report) => eprintln!("a measure of the path is missing: {report:#}"),
        }
    }
    rows
}

/// Times the first token, by turns without and with an instance.
async fn first_token(pairs: u64) -> Result<Vec<Row>, Report<PathError>> {
    const MEASURE: &str = "first token";

    let stand = Stand::start(Duration::ZERO, 2).await?;
    let over = Sent::completion(stand.instance, 1);
    let [mut direct, mut through, mut added] = [const { Vec::new() }; 3];
    for i in 0..pairs {
        let call = Sent::direct(stand.engine_address, &format!("direct-{i}"), 1);
        let (a, b) = (first_us(&call).await?, first_us(&over).await?);
        direct.push(a);
        through.push(b);
        added.push(b - a);
    }
    Ok(vec![
        Row::of(MEASURE, "engine directly (baseline)", "us", direct),
        Row::of(MEASURE, "over an instance", "us", through),
        Row::of(MEASURE, "added, by pairs", "us", added),
    ])
}

async fn first_us(call: &Sent) -> Result<f64, Report<PathError>> {
    let (began, times) = call.tokens().await?;
    let first = times.first().ok_or(PathError::Tokens(0, 1))?;
    Ok((*first - began).as_secs_f64() * 1e6)
}

/// Compares when a token comes over an instance and to a second, direct reader of the same stream.
async fn token_gap() -> Result<Vec<Row>, Report<PathError>> {
    const MEASURE: &str = "token at a gap of 10 ms, 50 streams";

    let stand = Stand::start(GAP, 2).await?;
    let direct: Vec<Sent> = (0..GAP_STREAMS)
        .map(|i| Sent::direct(stand.engine_address, &format!("direct-{i}"), GAP_TOKENS))
        .collect();
    let direct = try_join_all(direct.iter().map(Sent::tokens)).await?;
    let keys: Vec<String> = (0..GAP_STREAMS).map(|i| format!("over-{i}")).collect();
    let pairs = try_join_all(keys.iter().map(|key| both(&stand, key))).await?;
    let gaps = |times: &[Instant]| -> Vec<f64> {
        let gap = |pair: &[Instant]| (pair[1] - pair[0]).as_secs_f64() * 1e6;
        times.windows(2).map(gap).collect()
    };
    let later = |a: &Instant, b: &Instant| match a >= b {
        true => (*a - *b).as_secs_f64() * 1e6,
        false => -(*b - *a).as_secs_f64() * 1e6,
    };
    let direct_gaps = direct.iter().flat_map(|(_, times)| gaps(times)).collect();
    let over_gaps = pairs.iter().flat_map(|(over, _)| gaps(over)).collect();
    let added = pairs
        .iter()
        // The direct reader joins after the start, so it finds the first tokens already there.
        .flat_map(|(over, near)| over.iter().zip(near).skip(10))
        .map(|(a, b)| later(a, b))
        .collect();
    Ok(vec![
        Row::of(
            MEASURE,
            "gap, engine directly (baseline)",
            "us",
            direct_gaps,
        ),
        Row::of(MEASURE, "gap, over an instance", "us", over_gaps),
        Row::of(MEASURE, "added to a direct reader", "us", added),
    ])
}

/// Reads one stream over the instance and directly, and returns when the tokens came.
async fn both(stand: &Stand, key: &str) -> Result<(Vec<Instant>, Vec<Instant>), Report<PathError>> {
    let over = Sent {
        key: Some(key.to_owned()),
        ..Sent::completion(stand.instance, GAP_TOKENS)
    };
    let near = async {
        let name = loop {
            time::sleep(Duration::from_millis(1)).await;
            let starts = stand.engine.log().starts;
            let own = format!("path.{key}/");
            if let Some(name) = starts.iter().find(|start| start.starts_with(&own)) {
                break name.clone();
            }
        };
        Sent::stream(stand.engine_address, &name).tokens().await
    };
    let ((_, over), (_, near)) = try_join(over.tokens(), near).await?;
    whole(over.len(), GAP_TOKENS as usize)?;
    whole(near.len(), GAP_TOKENS as usize)?;
    Ok((over, near))
}

fn whole(came: usize, expected: usize) -> Result<(), Report<PathError>> {
    match came == expected {
        true => Ok(()),
        false => Err(Report::new(PathError::Tokens(came, expected))),
    }
}

/// Times calls to a plain service, by turns without and with an instance.
async fn calls(pairs: u64) -> Result<Vec<Row>, Report<PathError>> {
    let stand = Stand::start(Duration::ZERO, 2).await?;
    let body = json!({"item": 4});
    let direct = Sent::post(stand.service, "/quotes", &body);
    let quote = Sent::post(stand.instance, "/v1/services/desk/quotes", &body);
    let [mut near, mut over] = [const { Vec::new() }; 2];
    for _ in 0..pairs {
        near.push(direct.timed().await?);
        over.push(quote.timed().await?);
    }
    let mut rows = vec![
        Row::of("service call", "service directly (baseline)", "us", near),
        Row::of("service call", "idempotent, over an instance", "us", over),
    ];
    for (slow_ms, name) in STORE_MS {
        stand.platform.set_faults(PlatformFault {
            slow_ms: Some(slow_ms),
            ..PlatformFault::default()
        });
        let [mut write, mut keyed] = [const { Vec::new() }; 2];
        for i in 0..pairs {
            let path = format!("/v1/objects/bench/{name}-{i}").replace(' ', "-");
            let put = Sent {
                method: http::Method::PUT,
                ..Sent::post(stand.store, &path, &body)
            };
            write.push(put.timed().await?);
            let hold = Sent {
                key: Some(format!("hold-{slow_ms}-{i}")),
                ..Sent::post(stand.instance, "/v1/services/desk/holds", &body)
            };
            keyed.push(hold.timed().await?);
        }
        let way = format!("one write to the {name}");
        rows.push(Row::of("service call", way, "us", write));
        let way = format!("keyed, {name}");
        rows.push(Row::of("service call", way, "us", keyed));
    }
    Ok(rows)
}

/// Counts tokens for each second of CPU of an instance with one worker thread.
async fn tokens_per_cpu() -> Result<Vec<Row>, Report<PathError>> {
    const MEASURE: &str = "100 streams without a gap";

    let stand = Stand::start(Duration::ZERO, 1).await?;
    let [mut direct, mut over, mut per_cpu, mut busy] = [const { Vec::new() }; 4];
    for run in 0..FAST_RUNS {
        let near = (0..FAST_STREAMS).map(|i| {
            Sent::direct(
                stand.engine_address,
                &format!("fast-{run}-{i}"),
                FAST_TOKENS,
            )
        });
        let (tokens, seconds) = all(near).await?;
        direct.push(tokens / seconds);
        let before = usage::cpu_s(INSTANCE_THREAD)?;
        let far = (0..FAST_STREAMS).map(|_| Sent::completion(stand.instance, FAST_TOKENS));
        let (tokens, seconds) = all(far).await?;
        let cpu = usage::cpu_s(INSTANCE_THREAD)? - before;
        over.push(tokens / seconds);
        per_cpu.push(tokens / cpu);
        busy.push(cpu / seconds);
    }
    Ok(vec![
        Row::of(MEASURE, "engine directly (baseline)", "tokens/s", direct),
        Row::of(MEASURE, "over an instance, 1 worker", "tokens/s", over),
        Row::of(
            MEASURE,
            "instance, by its CPU time",
            "tokens/CPU s",
            per_cpu,
        ),
        Row::of(MEASURE, "instance's CPU time by time", "share", busy),
    ])
}

/// Reads streams at once to their ends; returns their tokens and the time it took.
async fn all(calls: impl Iterator<Item = Sent>) -> Result<(f64, f64), Report<PathError>> {
    let began = Instant::now();
    let mut tasks = JoinSet::new();
    calls.for_each(|call| {
        tasks.spawn(async move { call.tokens().await });
    });
    let mut tokens = 0;
    while let Some(done) = tasks.join_next().await {
        let (_, times) = done.change_context(PathError::Call)??;
        whole(times.len(), FAST_TOKENS as usize)?;
        tokens += times.len();
    }
    Ok((tokens as f64, began.elapsed().as_secs_f64()))
}

/// Compares resident memory at few and many open streams, without and with an instance.
async fn memory() -> Result<Vec<Row>, Report<PathError>> {
    const MEASURE: &str = "memory for an open stream";

    let stand = Stand::start(IDLE_GAP, 2).await?;
    // All streams stay open to the end, so that none is given memory that another gave back.
    let mut open = JoinSet::new();
    let direct = |i| Sent::direct(stand.engine_address, &format!("idle-{i}"), IDLE_TOKENS);
    let near = kib_per_stream(&mut open, direct).await?;
    let far = |_| Sent::completion(stand.instance, IDLE_TOKENS);
    let over = kib_per_stream(&mut open, far).await?;
    let ended = open.len();
    whole(ended, 2 * MANY)?;
    Ok(vec![
        Row::of(MEASURE, "engine directly (baseline)", "KiB", vec![near]),
        Row::of(MEASURE, "over an instance", "KiB", vec![over]),
        Row::of(MEASURE, "instance's part", "KiB", vec![over - near]),
    ])
}

async fn kib_per_stream(
    open: &mut JoinSet<()>,
    call: impl Fn(usize) -> Sent,
) -> Result<f64, Report<PathError>> {
    keep(open, 0..FEW, &call).await?;
    let few = usage::resident_bytes()?;
    keep(open, FEW..MANY, &call).await?;
    let many = usage::resident_bytes()?;
    Ok((many - few) / 1024.0 / (MANY - FEW) as f64)
}

/// Opens streams whose tokens are read and forgotten.
async fn keep(
    open: &mut JoinSet<()>,
    range: std::ops::Range<usize>,
    call: impl Fn(usize) -> Sent,
) -> Result<(), Report<PathError>> {
    let calls: Vec<Sent> = range.map(call).collect();
    for part in calls.chunks(OPENERS) {
        for answer in try_join_all(part.iter().map(Sent::open)).await? {
            open.spawn(call::drain(answer));
        }
    }
    time::sleep(SETTLE).await;
    Ok(())
}
