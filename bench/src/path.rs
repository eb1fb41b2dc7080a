//! The full path of a request through an instance over loopback sockets, compared with direct calls
//! to the target.
//!
//! The stand-ins (platform, engine and service), one instance and the callers share a process, each
//! with its own runtime.

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
mod test_bed;
mod usage;

use call::HttpCall;
use test_bed::{TestBed, INSTANCE_THREAD};

/// How many pairs of calls, direct and through the instance, are made for each seed.
const PAIRS_PER_SEED: u64 = 20;
const CALLER_THREADS: usize = 3;
/// The time between tokens of the paced streams.
const PACED_INTERVAL: Duration = Duration::from_millis(10);
const PACED_STREAMS: usize = 50;
const PACED_TOKENS: u32 = 200;
/// The number of streams that send tokens without a pause, and the tokens of each.
const FAST_STREAMS: usize = 100;
const FAST_TOKENS: u32 = 1000;
const FAST_RUNS: usize = 5;
/// The time between tokens of the streams that are held open to measure memory.
const IDLE_TOKEN_INTERVAL: Duration = Duration::from_secs(1);
const IDLE_TOKENS: u32 = 500;
/// Memory is read at these two numbers of open streams.
const FEW_STREAMS: usize = 100;
const MANY_STREAMS: usize = 2000;
/// How many streams are opened concurrently.
const OPEN_BATCH: usize = 50;
/// How long to wait for memory use to settle.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The delays that the store adds to each request, with their names in the table.
const STORE_DELAYS_MS: [(u64, &str); 2] = [(0, "store 0 ms"), (3, "store 3 ms")];

/// Error from a benchmark.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum PathError {
    /// The stand-ins or the instance did not start.
    #[error("the stand-ins and the instance did not start")]
    Start,
    /// A call got no answer.
    #[error("a call brought no answer")]
    Call,
    /// A call was refused.
    #[error("a call was refused with status {0}")]
    Status(u16),
    /// A stream ended with the wrong number of tokens.
    #[error("{0} of {1} tokens came")]
    Tokens(usize, usize),
    /// The CPU or memory use could not be read from `/proc`.
    #[error("the use of CPU or memory is not known")]
    Usage,
}

/// Runs the benchmarks one after the other, each with its own stand-ins and instance.
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
    // Memory comes first: memory freed by other benchmarks would be reused without any growth.
    let results = [
        runtime.block_on(memory()),
        runtime.block_on(first_token(pairs)),
        runtime.block_on(token_gap()),
        runtime.block_on(calls(pairs)),
        runtime.block_on(tokens_per_cpu()),
    ];
    for result in results {
        match result {
            Ok(result_rows) => rows.extend(result_rows),
            Err(report) => eprintln!("a measure of the path is missing: {report:#}"),
        }
    }
    rows
}

/// Times the first token, alternating between direct calls and calls through an instance.
async fn first_token(pairs: u64) -> Result<Vec<Row>, Report<PathError>> {
    const MEASURE: &str = "first token";

    let test_bed = TestBed::start(Duration::ZERO, 2).await?;
    let proxied = HttpCall::completion(test_bed.instance, 1);
    let [mut direct_times, mut via_instance_times, mut added] = [const { Vec::new() }; 3];
    for i in 0..pairs {
        let call = HttpCall::direct(test_bed.engine_address, &format!("direct-{i}"), 1);
        let (direct_us, proxied_us) = (
            first_token_us(&call).await?,
            first_token_us(&proxied).await?,
        );
        direct_times.push(direct_us);
        via_instance_times.push(proxied_us);
        added.push(proxied_us - direct_us);
    }
    Ok(vec![
        Row::of(MEASURE, "engine directly (baseline)", "us", direct_times),
        Row::of(MEASURE, "over an instance", "us", via_instance_times),
        Row::of(MEASURE, "added, by pairs", "us", added),
    ])
}

async fn first_token_us(call: &HttpCall) -> Result<f64, Report<PathError>> {
    let (started_at, times) = call.tokens().await?;
    let first = times.first().ok_or(PathError::Tokens(0, 1))?;
    Ok((*first - started_at).as_secs_f64() * 1e6)
}

/// Compares when the tokens of a stream reach a caller through an instance and a second reader that
/// reads the same stream from the engine directly.
async fn token_gap() -> Result<Vec<Row>, Report<PathError>> {
    const MEASURE: &str = "token at a gap of 10 ms, 50 streams";

    let test_bed = TestBed::start(PACED_INTERVAL, 2).await?;
    let direct: Vec<HttpCall> = (0..PACED_STREAMS)
        .map(|i| {
            HttpCall::direct(
                test_bed.engine_address,
                &format!("direct-{i}"),
                PACED_TOKENS,
            )
        })
        .collect();
    let direct = try_join_all(direct.iter().map(HttpCall::tokens)).await?;
    let keys: Vec<String> = (0..PACED_STREAMS).map(|i| format!("over-{i}")).collect();
    let pairs = try_join_all(keys.iter().map(|key| read_both(&test_bed, key))).await?;
    let gaps = |times: &[Instant]| -> Vec<f64> {
        let gap = |pair: &[Instant]| (pair[1] - pair[0]).as_secs_f64() * 1e6;
        times.windows(2).map(gap).collect()
    };
    let delay_us = |a: &Instant, b: &Instant| match a >= b {
        true => (*a - *b).as_secs_f64() * 1e6,
        false => -(*b - *a).as_secs_f64() * 1e6,
    };
    let direct_gaps = direct.iter().flat_map(|(_, times)| gaps(times)).collect();
    let via_instance_gaps = pairs
        .iter()
        .flat_map(|(via_instance, _)| gaps(via_instance))
        .collect();
    let added = pairs
        .iter()
        // Skips the first tokens: the direct reader joins late and finds them already there.
        .flat_map(|(via_instance, direct)| via_instance.iter().zip(direct).skip(10))
        .map(|(a, b)| delay_us(a, b))
        .collect();
    Ok(vec![
        Row::of(
            MEASURE,
            "gap, engine directly (baseline)",
            "us",
            direct_gaps,
        ),
        Row::of(MEASURE, "gap, over an instance", "us", via_instance_gaps),
        Row::of(MEASURE, "added to a direct reader", "us", added),
    ])
}

/// Reads one stream through the instance and directly, and returns the arrival times of the tokens.
async fn read_both(
    test_bed: &TestBed,
    key: &str,
) -> Result<(Vec<Instant>, Vec<Instant>), Report<PathError>> {
    let via_instance = HttpCall {
        key: Some(key.to_owned()),
        ..HttpCall::completion(test_bed.instance, PACED_TOKENS)
    };
    let direct = async {
        let name = loop {
            time::sleep(Duration::from_millis(1)).await;
            let starts = test_bed.engine.log().starts;
            let own = format!("path.{key}/");
            if let Some(name) = starts.iter().find(|start| start.starts_with(&own)) {
                break name.clone();
            }
        };
        HttpCall::stream(test_bed.engine_address, &name)
            .tokens()
            .await
    };
    let ((_, via_instance), (_, direct)) = try_join(via_instance.tokens(), direct).await?;
    check_token_count(via_instance.len(), PACED_TOKENS as usize)?;
    check_token_count(direct.len(), PACED_TOKENS as usize)?;
    Ok((via_instance, direct))
}

/// Fails unless all expected tokens were received.
fn check_token_count(received: usize, expected: usize) -> Result<(), Report<PathError>> {
    match received == expected {
        true => Ok(()),
        false => Err(Report::new(PathError::Tokens(received, expected))),
    }
}

/// Times calls to a plain service, alternating between direct calls and calls through an instance.
async fn calls(pairs: u64) -> Result<Vec<Row>, Report<PathError>> {
    let test_bed = TestBed::start(Duration::ZERO, 2).await?;
    let body = json!({"item": 4});
    let direct = HttpCall::post(test_bed.service, "/quotes", &body);
    let quote = HttpCall::post(test_bed.instance, "/v1/services/desk/quotes", &body);
    let [mut direct_us, mut via_instance_us] = [const { Vec::new() }; 2];
    for _ in 0..pairs {
        direct_us.push(direct.timed().await?);
        via_instance_us.push(quote.timed().await?);
    }
    let mut rows = vec![
        Row::of(
            "service call",
            "service directly (baseline)",
            "us",
            direct_us,
        ),
        Row::of(
            "service call",
            "idempotent, over an instance",
            "us",
            via_instance_us,
        ),
    ];
    for (slow_ms, name) in STORE_DELAYS_MS {
        test_bed.platform.set_faults(PlatformFault {
            slow_ms: Some(slow_ms),
            ..PlatformFault::default()
        });
        let [mut write, mut keyed] = [const { Vec::new() }; 2];
        for i in 0..pairs {
            let path = format!("/v1/objects/bench/{name}-{i}").replace(' ', "-");
            let put = HttpCall {
                method: http::Method::PUT,
                ..HttpCall::post(test_bed.store, &path, &body)
            };
            write.push(put.timed().await?);
            let hold_call = HttpCall {
                key: Some(format!("hold-{slow_ms}-{i}")),
                ..HttpCall::post(test_bed.instance, "/v1/services/desk/holds", &body)
            };
            keyed.push(hold_call.timed().await?);
        }
        let write_name = format!("one write to the {name}");
        rows.push(Row::of("service call", write_name, "us", write));
        let keyed_name = format!("keyed, {name}");
        rows.push(Row::of("service call", keyed_name, "us", keyed));
    }
    Ok(rows)
}

/// Measures the tokens per CPU second of an instance with one worker thread.
async fn tokens_per_cpu() -> Result<Vec<Row>, Report<PathError>> {
    const MEASURE: &str = "100 streams without a gap";

    let test_bed = TestBed::start(Duration::ZERO, 1).await?;
    let [mut direct, mut via_instance, mut per_cpu, mut busy] = [const { Vec::new() }; 4];
    for run in 0..FAST_RUNS {
        let direct_calls = (0..FAST_STREAMS).map(|i| {
            HttpCall::direct(
                test_bed.engine_address,
                &format!("fast-{run}-{i}"),
                FAST_TOKENS,
            )
        });
        let (tokens, seconds) = read_streams(direct_calls).await?;
        direct.push(tokens / seconds);
        let before = usage::cpu_seconds(INSTANCE_THREAD)?;
        let via_instance_calls =
            (0..FAST_STREAMS).map(|_| HttpCall::completion(test_bed.instance, FAST_TOKENS));
        let (tokens, seconds) = read_streams(via_instance_calls).await?;
        let cpu = usage::cpu_seconds(INSTANCE_THREAD)? - before;
        via_instance.push(tokens / seconds);
        per_cpu.push(tokens / cpu);
        busy.push(cpu / seconds);
    }
    Ok(vec![
        Row::of(MEASURE, "engine directly (baseline)", "tokens/s", direct),
        Row::of(
            MEASURE,
            "over an instance, 1 worker",
            "tokens/s",
            via_instance,
        ),
        Row::of(
            MEASURE,
            "instance, by its CPU time",
            "tokens/CPU s",
            per_cpu,
        ),
        Row::of(MEASURE, "instance's CPU time by time", "share", busy),
    ])
}

/// Reads streams concurrently to their ends. Returns the number of tokens and the elapsed seconds.
async fn read_streams(
    calls: impl Iterator<Item = HttpCall>,
) -> Result<(f64, f64), Report<PathError>> {
    let started_at = Instant::now();
    let mut tasks = JoinSet::new();
    calls.for_each(|call| {
        tasks.spawn(async move { call.tokens().await });
    });
    let mut tokens = 0;
    while let Some(done) = tasks.join_next().await {
        let (_, times) = done.change_context(PathError::Call)??;
        check_token_count(times.len(), FAST_TOKENS as usize)?;
        tokens += times.len();
    }
    Ok((tokens as f64, started_at.elapsed().as_secs_f64()))
}

/// Measures the growth of resident memory for each open stream, directly and through an instance.
async fn memory() -> Result<Vec<Row>, Report<PathError>> {
    const MEASURE: &str = "memory for an open stream";

    let test_bed = TestBed::start(IDLE_TOKEN_INTERVAL, 2).await?;
    // All streams stay open to the end, so that none reuses memory that another has freed.
    let mut open = JoinSet::new();
    let direct_calls =
        |i| HttpCall::direct(test_bed.engine_address, &format!("idle-{i}"), IDLE_TOKENS);
    let direct = kib_per_stream(&mut open, direct_calls).await?;
    let via_instance_calls = |_| HttpCall::completion(test_bed.instance, IDLE_TOKENS);
    let via_instance = kib_per_stream(&mut open, via_instance_calls).await?;
    let open_streams = open.len();
    check_token_count(open_streams, 2 * MANY_STREAMS)?;
    Ok(vec![
        Row::of(MEASURE, "engine directly (baseline)", "KiB", vec![direct]),
        Row::of(MEASURE, "over an instance", "KiB", vec![via_instance]),
        Row::of(
            MEASURE,
            "instance's part",
            "KiB",
            vec![via_instance - direct],
        ),
    ])
}

async fn kib_per_stream(
    open: &mut JoinSet<()>,
    call: impl Fn(usize) -> HttpCall,
) -> Result<f64, Report<PathError>> {
    hold_open(open, 0..FEW_STREAMS, &call).await?;
    let few = usage::resident_bytes()?;
    hold_open(open, FEW_STREAMS..MANY_STREAMS, &call).await?;
    let many = usage::resident_bytes()?;
    Ok((many - few) / 1024.0 / (MANY_STREAMS - FEW_STREAMS) as f64)
}

/// Opens streams whose tokens are read and discarded until the streams end.
async fn hold_open(
    open: &mut JoinSet<()>,
    range: std::ops::Range<usize>,
    call: impl Fn(usize) -> HttpCall,
) -> Result<(), Report<PathError>> {
    let calls: Vec<HttpCall> = range.map(call).collect();
    for batch in calls.chunks(OPEN_BATCH) {
        for answer in try_join_all(batch.iter().map(HttpCall::open)).await? {
            open.spawn(call::drain(answer));
        }
    }
    time::sleep(SETTLE_TIME).await;
    Ok(())
}
