//! The versions of each service that get requests.

use std::{collections::HashMap, time::Duration};

use celerypond_rollout::TrafficSplitter;
use celerypond_types::{ServiceName, VersionName};
use tokio::time::Instant;

use crate::{Evidence, EvidenceReport, Order, Phase, Stage};

/// How long a share is valid without a report of the instance that drives the order, which sends
/// four per second.
const STAGE_TTL: Duration = Duration::from_millis(1_500);

/// The versions that may get a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionChoice {
    /// Any version.
    #[default]
    Any,
    /// This version, or another one if it has no target left.
    Only(VersionName),
    /// Any version except this one.
    Not(VersionName),
}

impl VersionChoice {
    /// Returns whether a version may get the request.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::VersionChoice;
    ///
    /// assert!(VersionChoice::Any.allows(&"v1".into()));
    /// assert!(!VersionChoice::Not("v2".into()).allows(&"v2".into()));
    /// ```
    pub fn allows(&self, version: &VersionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::Not(not) => version != not,
        }
    }

    /// Returns the versions that may get the request if no target of these is left.
    pub fn fallback(&self) -> Option<Self> {
        match self {
            Self::Only(version) => Some(Self::Not(version.clone())),
            Self::Any | Self::Not(_) => None,
        }
    }
}

/// The versions of each service that get requests, as reported by the instance that drives the
/// order.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::{VersionChoice, Order, Phase, Stage, VersionRouting};
/// use tokio::time::Instant;
///
/// let order = Order { service: "shop".into(), version: "v2".into(), time: Duration::from_secs(12) };
/// let mut versions = VersionRouting::default();
/// let now = Instant::now();
/// versions.update(Stage { order, revision: 7, phase: Phase::TakenBack, age_ms: 0 }, now);
/// assert_eq!(versions.choose(&"shop".into(), now), VersionChoice::Not("v2".into()));
/// assert_eq!(versions.choose(&"desk".into(), now), VersionChoice::Any);
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionRouting {
    services: HashMap<ServiceName, ServiceOrder>,
}

#[derive(Clone, Debug)]
struct ServiceOrder {
    stage: Stage,
    received_at: Instant,
    splitter: TrafficSplitter,
    evidence: Evidence,
}

impl VersionRouting {
    /// Updates the progress of an order as of some moment.
    ///
    /// A process that was paused may report the progress that it knew before. If the known stage
    /// takes precedence over the given one, it stays and is returned, so that the sender can be
    /// notified of it.
    pub fn update(&mut self, stage: Stage, at: Instant) -> Option<Stage> {
        let Some(known) = self.services.get_mut(&stage.order.service) else {
            self.insert(stage, at);
            return None;
        };
        if known.stage.order.version == stage.order.version {
            known.received_at = known.received_at.max(at);
            if !stage.phase.replaces(known.stage.phase) {
                return Some(known.stage.clone());
            }
            known.stage = stage;
            return None;
        }
        if stage.revision < known.stage.revision {
            return Some(known.stage.clone());
        }
        self.insert(stage, at);
        None
    }

    fn insert(&mut self, stage: Stage, at: Instant) {
        let service = stage.order.service.clone();
        let order_state = ServiceOrder {
            stage,
            received_at: at,
            splitter: TrafficSplitter::default(),
            evidence: Evidence::default(),
        };
        self.services.insert(service, order_state);
    }

    /// Chooses the versions that may get the next request for a service.
    ///
    /// If the instance that drives an order dies while a bad version has a share, the old versions
    /// get all requests until another instance drives the order.
    pub fn choose(&mut self, service: &ServiceName, now: Instant) -> VersionChoice {
        let Some(order_state) = self.services.get_mut(service) else {
            return VersionChoice::Any;
        };
        let version = order_state.stage.order.version.clone();
        let is_fresh = now.saturating_duration_since(order_state.received_at) < STAGE_TTL;
        match order_state.stage.phase {
            Phase::Completed => VersionChoice::Only(version),
            Phase::Running { share } if is_fresh && order_state.splitter.selects_next(share) => {
                VersionChoice::Only(version)
            }
            Phase::Moving if is_fresh => VersionChoice::Only(version),
            Phase::Running { .. } | Phase::Moving | Phase::TakenBack => VersionChoice::Not(version),
        }
    }

    /// Chooses the versions that may get a request that is sent again. A request that failed at a
    /// version on trial goes back to the others.
    pub fn choose_for_retry(&self, service: &ServiceName) -> VersionChoice {
        let Some(order_state) = self.services.get(service) else {
            return VersionChoice::Any;
        };
        let version = order_state.stage.order.version.clone();
        match order_state.stage.phase {
            Phase::Completed | Phase::Moving => VersionChoice::Only(version),
            Phase::Running { .. } | Phase::TakenBack => VersionChoice::Not(version),
        }
    }

    /// Records a response of a version on a route while there is an order.
    pub fn record_response(
        &mut self,
        service: &ServiceName,
        version: &VersionName,
        route: u64,
        is_bad: bool,
        time: Duration,
    ) {
        if let Some(order_state) = self.services.get_mut(service) {
            let is_new = *version == order_state.stage.order.version;
            order_state.evidence.record(route, is_new, is_bad, time);
        }
    }

    /// Returns what this instance observed of running orders.
    pub fn reports(&self, origin: u64) -> Vec<(ServiceName, EvidenceReport)> {
        let running = self.services.iter();
        let running = running.filter(|(_, order_state)| !order_state.stage.phase.is_ended());
        running
            .map(|(service, order_state)| {
                let version = &order_state.stage.order.version;
                (
                    service.clone(),
                    order_state.evidence.report(origin, version),
                )
            })
            .collect()
    }

    /// Returns the known progress of an order as of now, for the instance that drives it.
    pub fn progress(&self, order: &Order, now: Instant) -> Option<Stage> {
        let known = self.services.get(&order.service)?;
        let elapsed = now.saturating_duration_since(known.received_at);
        let elapsed_ms = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        let stage = known.stage.clone();
        (stage.order == *order).then(|| Stage {
            age_ms: stage.age_ms.saturating_add(elapsed_ms),
            ..stage
        })
    }
}
