//! What callers got and targets saw, and the promises over both.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use celerypond_standins::{caller::ReceivedResponse, responses::platform_response};

use crate::fleet::{Fleet, EVENTS};

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    Safe,
    Unsafe,
    Stream,
}

/// What callers got.
#[derive(Clone, Default)]
pub(crate) struct Record {
    got: Arc<Mutex<Vec<(Kind, String, ReceivedResponse)>>>,
}

impl Record {
    pub(crate) fn add(&self, kind: Kind, id: String, got: ReceivedResponse) {
        self.lock().push((kind, id, got));
    }

    /// Returns all promises that were broken.
    pub(crate) fn check(&self, fleet: &Fleet) -> Vec<String> {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for request in fleet.targets.iter().flat_map(|target| target.received()) {
            if platform_response(&request, "").is_none() {
                *runs.entry(request.id().to_owned()).or_default() += 1;
            }
        }
        let mut broken = Vec::new();
        for (kind, id, got) in self.lock().iter() {
            let runs = runs.get(id).copied().unwrap_or_default();
            let fault = match got.status {
                200 if *kind == Kind::Stream => stream_fault(got),
                200 => plain_fault(id, got),
                408 | 421 | 429 | 503 if runs > 0 => Some("refused, and it ran"),
                401 | 404 => Some("denied, though it is allowed"),
                _ => None,
            };
            let twice = (*kind == Kind::Unsafe && runs > 1).then_some("ran twice");
            for fault in fault.into_iter().chain(twice) {
                broken.push(format!("{kind:?} {id}: {fault}; {runs} runs; {got:?}"));
            }
        }
        broken
    }

    /// Returns how many requests had which status.
    pub(crate) fn summary(&self) -> String {
        let mut counts: HashMap<(Kind, u16), usize> = HashMap::new();
        for (kind, _, got) in self.lock().iter() {
            *counts.entry((*kind, got.status)).or_default() += 1;
        }
        let mut counts: Vec<String> = counts
            .into_iter()
            .map(|((kind, status), count)| format!("{kind:?} {status}: {count}"))
            .collect();
        counts.sort();
        counts.join(", ")
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(Kind, String, ReceivedResponse)>> {
        self.got.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn plain_fault(id: &str, got: &ReceivedResponse) -> Option<&'static str> {
    if !got.is_response_to(id) {
        return Some("another request's answer, or unsigned");
    }
    // One that ends early does not look complete.
    (got.is_whole && got.body != format!("answer to {id}")).then_some("a wrong body")
}

fn stream_fault(got: &ReceivedResponse) -> Option<&'static str> {
    let ids = got
        .body
        .split('\n')
        .filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
    let is_in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    if !is_in_order {
        return Some("an event is missing, or came twice");
    }
    (got.is_whole && ids.len() as u64 != EVENTS).then_some("ended as complete before its end")
}
