//! Log of the responses to callers, and its check against the requests that targets received.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use celerypond_standins::{caller::ReceivedResponse, responses::platform_response};

use crate::fleet::{Fleet, EVENTS};

/// How a request may be handled; `Unsafe` ones must run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequestKind {
    Safe,
    Unsafe,
    Stream,
}

/// The responses that callers received.
#[derive(Clone, Default)]
pub(crate) struct ResponseLog {
    entries: Arc<Mutex<Vec<(RequestKind, String, ReceivedResponse)>>>,
}

impl ResponseLog {
    pub(crate) fn add(&self, kind: RequestKind, id: String, response: ReceivedResponse) {
        self.lock().push((kind, id, response));
    }

    /// Checks all responses and the number of runs at the targets; returns a line for each violation.
    pub(crate) fn check(&self, fleet: &Fleet) -> Vec<String> {
        let mut run_counts: HashMap<String, usize> = HashMap::new();
        for request in fleet.targets.iter().flat_map(|target| target.received()) {
            if platform_response(&request, "").is_none() {
                *run_counts.entry(request.id().to_owned()).or_default() += 1;
            }
        }
        let mut violations = Vec::new();
        for (kind, id, response) in self.lock().iter() {
            let runs = run_counts.get(id).copied().unwrap_or_default();
            let violation = match response.status {
                200 if *kind == RequestKind::Stream => stream_violation(response),
                200 => plain_response_violation(id, response),
                408 | 421 | 429 | 503 if runs > 0 => Some("was refused although it ran"),
                401 | 404 => Some("was denied although it is allowed"),
                _ => None,
            };
            let ran_twice = (*kind == RequestKind::Unsafe && runs > 1).then_some("ran twice");
            for violation in violation.into_iter().chain(ran_twice) {
                violations.push(format!(
                    "{kind:?} {id}: {violation}; {runs} runs; {response:?}"
                ));
            }
        }
        violations
    }

    /// Returns the number of responses per kind of request and status.
    pub(crate) fn summary(&self) -> String {
        let mut counts: HashMap<(RequestKind, u16), usize> = HashMap::new();
        for (kind, _, response) in self.lock().iter() {
            *counts.entry((*kind, response.status)).or_default() += 1;
        }
        let mut counts: Vec<String> = counts
            .into_iter()
            .map(|((kind, status), count)| format!("{kind:?} {status}: {count}"))
            .collect();
        counts.sort();
        counts.join(", ")
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(RequestKind, String, ReceivedResponse)>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn plain_response_violation(id: &str, response: &ReceivedResponse) -> Option<&'static str> {
    if !response.is_response_to(id) {
        return Some("the response belongs to another request or is unsigned");
    }
    // The body of a truncated response is not compared, since the caller can tell that it is incomplete.
    (response.is_whole && response.body != format!("answer to {id}")).then_some("the body is wrong")
}

fn stream_violation(response: &ReceivedResponse) -> Option<&'static str> {
    let ids = response.event_ids();
    let is_in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    if !is_in_order {
        return Some("an event is missing or repeated");
    }
    (response.is_whole && ids.len() as u64 != EVENTS)
        .then_some("the stream ended as complete before its last event")
}
