//! A request on its way through targets.

use std::{sync::Arc, time::Duration};

use celerypond_relay::{Clock, Ended, Next, Route, RouteKind, Situation, Want};
use celerypond_types::{AccountName, DataCentre, ServiceName, TargetKey};
use tokio::time::Instant;

use super::{attempt::Asked, lease::Lease, site::Site};

/// A request on its way through targets.
pub(super) struct Run {
    pub(super) site: Arc<Site>,
    pub(super) asked: Asked,
    pub(super) route: Route,
    pub(super) service: ServiceName,
    pub(super) account: Option<AccountName>,
    pub(super) clock: Clock,
    pub(super) affinity: Option<u64>,
    /// Tokens that it takes at most.
    pub(super) tokens: u64,
    /// The memory of one engine, in tokens.
    pub(super) capacity: Option<u64>,
    near: DataCentre,
    tried: Vec<TargetKey>,
    runs: u32,
    refusals: u32,
}

impl Run {
    pub(super) fn new(
        site: &Arc<Site>,
        asked: Asked,
        route: &Route,
        service: ServiceName,
        account: Option<AccountName>,
        clock: Clock,
    ) -> Self {
        site.retries.succeeded();
        Self {
            near: site.settings.load().data_centre.clone(),
            site: Arc::clone(site),
            asked,
            route: route.clone(),
            service,
            account,
            clock,
            affinity: None,
            tokens: 0,
            capacity: None,
            tried: Vec::new(),
            runs: 0,
            refusals: 0,
        }
    }

    pub(super) fn left(&self) -> Duration {
        self.clock.left(Instant::now())
    }

    pub(super) const fn kind(&self) -> RouteKind {
        self.route.kind
    }

    fn want(&self) -> Want<'_> {
        Want {
            service: &self.service,
            version: None,
            near: &self.near,
            tried: &self.tried,
            affinity: self.affinity,
            tokens: self.tokens,
            capacity: self.capacity,
        }
    }

    /// Takes a place at the best target that was not tried yet.
    pub(super) fn place(&mut self) -> Option<Lease> {
        let pick = self.site.targets().pick(&self.want(), Instant::now())?;
        self.place_at(pick.key)
    }

    /// Takes a place at a target.
    pub(super) fn place_at(&mut self, key: TargetKey) -> Option<Lease> {
        let lease = Lease::take(&self.site, key, self.tokens)?;
        self.tried.push(key);
        self.runs += 1;
        Some(lease)
    }

    /// Chooses the engine that holds a copy of a run's memory.
    pub(super) fn backup_of(&self, main: TargetKey) -> Option<TargetKey> {
        self.site
            .targets()
            .pick_backup(main, &self.want(), Instant::now())
    }

    /// Takes in how an attempt ended and decides what follows.
    pub(super) fn ended(&mut self, lease: &Lease, ended: Ended) -> Next {
        lease.ended(ended);
        if ended.proves_not_run() {
            self.runs -= 1;
            self.refusals += 1;
        }
        let situation = Situation {
            kind: self.route.kind,
            runs: self.runs,
            attempts: self.route.attempts,
            refusals: self.refusals,
            left: self.left(),
        };
        let next = situation.next(ended, || self.site.retries.take());
        log::info!(
            request = self.asked.id.as_str(),
            target = lease.name.as_str(),
            ended:? = ended,
            runs = self.runs,
            refusals = self.refusals,
            left_ms = self.left().as_millis() as u64,
            next:? = next;
            "attempt ended"
        );
        next
    }
}
