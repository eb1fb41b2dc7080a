//! Shards with the platform client and a simulated platform on a socket.

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
    time::Duration,
};

use celerypond_ledger::{
    Answer, Call, CallId, CallKey, Effect, ListReply, NotRunCodes, RequestFingerprint,
    ServiceResponse, Settings, Shard, ShardNumber,
};
use celerypond_platform::{Client, ClientSettings, Rates};
use celerypond_testutils::{fault::PlatformFault, instances::InstanceList, platform::Platform};
use celerypond_types::Outcome;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_millis(100);
const RATES: Rates = Rates {
    reads: 1000.0,
    writes: 1000.0,
    burst: Duration::from_secs(1),
};

// Guards against a call that runs twice, or not at all, after the store's replies were lost.
//
// Three instances get the same key at the same time. The replies to the first two writes are lost
// after the writes took effect, so these writes are read back. The call runs once, and all three
// callers get its response.
#[tokio::test]
async fn call_runs_once_if_store_replies_are_lost() {
    let platform = Platform::new(InstanceList::default(), Duration::ZERO);
    let server = platform
        .serve("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap();
    platform.set_faults(PlatformFault {
        lose_replies: Some(2),
        ..PlatformFault::default()
    });
    let runs = AtomicUsize::new(0);
    let calls = (1..4).map(|seed| {
        let client = Client::new(&ClientSettings {
            addresses: vec![server.address],
            connect_timeout: TIMEOUT,
            timeout: TIMEOUT,
            rates: RATES,
        });
        run_call(seed, client, &runs)
    });
    let answers = futures::future::join_all(calls).await;
    let response = ServiceResponse::new(200, "text/plain", "held");
    for answer in answers {
        assert_eq!(answer, Answer::Outcome(Outcome::Ran(response.clone())));
    }
    assert_eq!(runs.load(Relaxed), 1);
}

/// Runs a shard with one call until the call is answered and nothing is left to write.
async fn run_call(seed: u64, client: Client, runs: &AtomicUsize) -> Answer {
    let now = Instant::now();
    let mut shard = Shard::new(ShardNumber(0), Settings::default(), seed, now);
    let call = Call {
        id: CallId(seed),
        key: CallKey::of(&"account".into(), &"key".into()),
        fingerprint: RequestFingerprint::of("POST", "/holds", b""),
        send_by: now + Duration::from_secs(3),
        service_timeout: Duration::from_secs(1),
    };
    let mut effects = VecDeque::from(shard.handle_call(call, now));
    let mut caller_answer = None;
    loop {
        let Some(effect) = effects.pop_front() else {
            match caller_answer {
                Some(answer) if shard.is_idle() => return answer,
                _ => tokio::time::sleep_until(shard.wake_at().unwrap()).await,
            }
            effects.extend(shard.tick(Instant::now()));
            continue;
        };
        let next = match effect {
            Effect::List { prefix } => {
                let list = client.list_all(&prefix).await;
                let reply = list.map_or(ListReply::Failed, |all| ListReply::Listed(all.objects));
                shard.handle_list_reply(reply, Instant::now())
            }
            Effect::Get { key } => {
                let result = client.get(&key).await.map_err(|e| *e.current_context());
                shard.handle_read_reply(result.into(), Instant::now())
            }
            Effect::Create { key, value } => {
                let result = client
                    .create(&key, value)
                    .await
                    .map_err(|e| *e.current_context());
                shard.handle_write_reply(result.into(), Instant::now())
            }
            Effect::Update {
                key,
                expected_version,
                value,
            } => {
                let result = client.update(&key, expected_version, value).await;
                shard.handle_write_reply(
                    result.map_err(|e| *e.current_context()).into(),
                    Instant::now(),
                )
            }
            Effect::Dispatch { unsent, .. } => {
                let sent = unsent.mark_sent(Instant::now()).unwrap();
                runs.fetch_add(1, Relaxed);
                let response = ServiceResponse::new(200, "text/plain", "held");
                shard.handle_finished_call(
                    sent.answered(response, TIMEOUT, &NotRunCodes::default()),
                    Instant::now(),
                )
            }
            Effect::Answer { answer, .. } => {
                caller_answer = Some(answer);
                Vec::new()
            }
            Effect::ReportCorruption { error } => panic!("{error}"),
        };
        effects.extend(next);
    }
}
