//! Executes the store calls of the rollout state machines.

use bytes::Bytes;
use celerypond_platform::{Client, PlatformError, Version};
use celerypond_rollout::{Condition, StoreCall, StoreReply};
use celerypond_telemetry::{Counter, Metrics};

/// Executes a call and returns its reply.
pub async fn call(client: &Client, metrics: &Metrics, call: &StoreCall) -> StoreReply {
    metrics.add(Counter::StoreCalls, 1);
    let reply = match call {
        StoreCall::Read { key } => read(client, key).await,
        StoreCall::Write {
            key,
            condition,
            value,
        } => write(client, key, *condition, value).await,
    };
    if matches!(reply, StoreReply::Lost | StoreReply::Down) {
        metrics.add(Counter::StoreFailures, 1);
    }
    reply
}

async fn read(client: &Client, key: &str) -> StoreReply {
    match client.get(key).await {
        Ok(object) => StoreReply::Found {
            version: object.version.0,
            value: object.value.to_vec(),
        },
        Err(report) => failure_reply(*report.current_context()),
    }
}

async fn write(client: &Client, key: &str, condition: Condition, value: &[u8]) -> StoreReply {
    let value = Bytes::copy_from_slice(value);
    let result = match condition {
        Condition::Absent => client.create(key, value).await,
        Condition::Version(version) => client.update(key, Version(version), value).await,
    };
    match result {
        Ok(version) => StoreReply::Written { version: version.0 },
        Err(report) => failure_reply(*report.current_context()),
    }
}

fn failure_reply(error: PlatformError) -> StoreReply {
    match error {
        PlatformError::Missing => StoreReply::Missing,
        PlatformError::Conflict => StoreReply::Conflict,
        error if error.no_effect() => StoreReply::Down,
        _ => StoreReply::Lost,
    }
}
