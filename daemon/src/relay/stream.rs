//! Requests whose response is a stream of events.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use celerypond_relay::{Ended, Event, Events, Next, Patience, TargetHead};
use celerypond_types::TargetKey;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::{timeout, Instant};

use super::{
    attempt::{send, Opened},
    lease::Lease,
    reply::{self, Body, Broken, Reply},
    run::Run,
};

/// Relays a stream, which goes on at another engine when its engine is lost.
pub(super) async fn relay(run: Run) -> Reply {
    let last = celerypond_adapter::headers::read_caller(&run.asked.headers).last_event;
    let mut flow = Flow {
        run,
        events: Events::default(),
        ready: VecDeque::new(),
        last,
        passed: 0,
        at: None,
        is_complete: false,
    };
    match flow.begin().await {
        Ok((status, headers)) if status.is_success() => {
            reply::relayed(status, &headers, body(flow))
        }
        Ok((status, headers)) => flow.pass_failure(status, &headers).await,
        Err(next) => reply::after(next, &flow.run.asked.id, flow.run.left()),
    }
}

/// A stream on its way to its caller.
struct Flow {
    run: Run,
    events: Events,
    /// Whole events that the caller has not had yet.
    ready: VecDeque<Bytes>,
    /// The id of the last event that was taken in.
    last: Option<u64>,
    /// Events that were passed on.
    passed: u64,
    at: Option<Position>,
    is_complete: bool,
}

/// Where a stream runs.
struct Position {
    lease: Lease,
    opened: Opened,
    patience: Patience,
    /// The engine to which the run's memory is copied.
    backup: Option<TargetKey>,
}

/// How an engine is asked for a stream.
struct Ask {
    /// The engine that holds a copy of the run's memory, when that is asked.
    from: Option<TargetKey>,
}

impl Flow {
    /// Asks engines until one has sent a first event, or its failure is to be passed on.
    async fn begin(&mut self) -> Result<(http::StatusCode, http::HeaderMap), Next> {
        loop {
            let Some(lease) = self.run.place() else {
                return Err(Next::NotRun);
            };
            let ended = match self.ask(lease, &Ask { from: None }).await {
                Ok(()) => {
                    let at = self.at.as_ref().ok_or(Next::Failed)?;
                    return Ok((at.opened.status, at.opened.headers.clone()));
                }
                Err((lease, ended)) => self.run.ended(&lease, ended),
            };
            if ended != Next::Elsewhere {
                return Err(ended);
            }
        }
    }

    /// Asks one engine, and waits for its first event.
    async fn ask(&mut self, mut lease: Lease, ask: &Ask) -> Result<(), (Lease, Ended)> {
        let patience = self.patience();
        let backup = self.backup(lease.key);
        let address = |key| self.run.site.address_of(key);
        let (backup_at, from_at) = (backup.and_then(address), ask.from.and_then(address));
        let target = lease.name.clone();
        let head = TargetHead {
            account: self.run.account.as_ref(),
            left: self.run.left(),
            target: &target,
            last_event: self.last,
            backup: backup_at,
            resume_from: from_at,
        };
        let limit = patience.first.min(head.left);
        let begun = Instant::now();
        let sent = send(&self.run.site, &mut lease, &self.run.asked, &head, limit).await;
        let opened = match sent {
            Ok(opened) => opened,
            Err(ended) => return Err((lease, ended)),
        };
        log::debug!(
            request = self.run.asked.id.as_str(),
            target = target.as_str(),
            status = opened.status.as_u16(),
            head_ms = begun.elapsed().as_millis() as u64,
            last = self.last;
            "engine answers"
        );
        let is_success = opened.status.is_success();
        let is_server_error = opened.status.is_server_error();
        if is_server_error && self.run.kind().may_repeat() {
            return Err((lease, Ended::Failed(opened.status.as_u16())));
        }
        let mut at = Position {
            lease,
            opened,
            patience,
            backup,
        };
        if is_success {
            let limit = limit.saturating_sub(begun.elapsed());
            if let Err(ended) = self.read(&mut at, limit).await {
                return Err((at.lease, ended));
            }
            at.lease.has_read();
        }
        self.at = Some(at);
        Ok(())
    }

    fn patience(&self) -> Patience {
        let prompt = celerypond_adapter::headers::read_caller(&self.run.asked.headers).prompt;
        let route = &self.run.route;
        Patience::of_stream(prompt.as_ref(), route.aim, route.gap_aim)
    }

    fn backup(&self, main: TargetKey) -> Option<TargetKey> {
        let table = self.run.site.table.load();
        let engine = table.service(&self.run.service)?.engine.as_ref()?;
        if !engine.backups || !self.run.kind().may_repeat() {
            return None;
        }
        self.run.backup_of(main)
    }

    /// Reads until there is a whole event to pass on or the stream has ended.
    async fn read(&mut self, at: &mut Position, limit: Duration) -> Result<(), Ended> {
        let until = Instant::now() + limit;
        while self.ready.is_empty() && !self.is_complete {
            let left = until.saturating_duration_since(Instant::now());
            match timeout(left, at.opened.body.frame()).await {
                Ok(Some(Ok(frame))) => self.take_in(&frame)?,
                Ok(Some(Err(_))) => return Err(Ended::Broken),
                Ok(None) if self.events.has_rest() => return Err(Ended::Broken),
                Ok(None) => self.is_complete = true,
                Err(_) => return Err(Ended::Silent),
            }
        }
        Ok(())
    }

    /// Takes in received bytes; events that the caller has are dropped.
    fn take_in(&mut self, frame: &Frame<Bytes>) -> Result<(), Ended> {
        let Some(bytes) = frame.data_ref() else {
            return Ok(());
        };
        self.events.push(bytes);
        for Event { id, bytes } in self.events.by_ref() {
            if let (Some(id), Some(last)) = (id, self.last) {
                if id <= last {
                    continue;
                }
                if id > last + 1 {
                    return Err(Ended::Foreign);
                }
            }
            self.last = id.or(self.last);
            self.ready.push_back(bytes);
        }
        Ok(())
    }

    /// Returns the next bytes for the caller; nothing at the end.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, Broken>> {
        loop {
            if !self.ready.is_empty() {
                self.passed += self.ready.len() as u64;
                let bytes: Vec<Bytes> = self.ready.drain(..).collect();
                return Some(Ok(Frame::data(join(bytes))));
            }
            if self.is_complete {
                self.finish();
                return None;
            }
            let mut at = self.at.take()?;
            let limit = at.patience.gap.min(self.run.left());
            match self.read(&mut at, limit).await {
                Ok(()) => self.at = Some(at),
                Err(ended) => {
                    if !self.go_on(at, ended).await {
                        return Some(Err(Broken));
                    }
                }
            }
        }
    }

    /// Goes on at another engine; returns whether one was found.
    ///
    /// The connection to the lost engine is closed first: two engines must not work on one request.
    async fn go_on(&mut self, at: Position, ended: Ended) -> bool {
        let Position {
            lease,
            opened,
            backup,
            ..
        } = at;
        drop(opened);
        self.events.clear();
        let mut next = self.run.ended(&lease, ended);
        drop(lease);
        let mut from = backup;
        while next == Next::Elsewhere {
            let lease = match from {
                Some(key) => self.run.place_at(key),
                None => self.run.place(),
            };
            let Some(lease) = lease else {
                if from.take().is_some() {
                    continue;
                }
                return false;
            };
            let ask = Ask { from: from.take() };
            match self.ask(lease, &ask).await {
                Ok(()) => {
                    let is_stream = self
                        .at
                        .as_ref()
                        .is_some_and(|at| at.opened.status.is_success());
                    log::info!(
                        request = self.run.asked.id.as_str(),
                        with_copy = ask.from.is_some(),
                        last = self.last,
                        is_stream;
                        "stream goes on"
                    );
                    return is_stream;
                }
                Err((lease, ended)) => next = self.run.ended(&lease, ended),
            }
            self.events.clear();
        }
        false
    }

    fn finish(&mut self) {
        if let Some(Position { lease, opened, .. }) = self.at.take() {
            opened.keep(&self.run.site, &lease);
        }
        log::info!(
            request = self.run.asked.id.as_str(),
            events = self.passed,
            last = self.last;
            "stream complete"
        );
    }

    /// Passes the failure of an engine on.
    async fn pass_failure(mut self, status: http::StatusCode, headers: &http::HeaderMap) -> Reply {
        let left = self.run.left();
        let Some(mut at) = self.at.take() else {
            return reply::after(Next::Failed, &self.run.asked.id, left);
        };
        match super::attempt::read_whole(&mut at.opened.body, left).await {
            Ok(body) => reply::relayed(status, headers, reply::whole(body)),
            Err(_) => reply::after(Next::Failed, &self.run.asked.id, left),
        }
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        if let Some(at) = &self.at {
            log::info!(
                request = self.run.asked.id.as_str(),
                target = at.lease.name.as_str(),
                events = self.passed;
                "caller left its stream"
            );
        }
    }
}

fn body(flow: Flow) -> Body {
    let frames = stream::unfold(Some(flow), |flow| async {
        let mut flow = flow?;
        let frame = flow.next().await?;
        let rest = frame.is_ok().then_some(flow);
        Some((frame, rest))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

fn join(mut parts: Vec<Bytes>) -> Bytes {
    if parts.len() == 1 {
        return parts.remove(0);
    }
    parts.concat().into()
}
