//! Fixtures of the other tests: a bundle with engines and a plain service, and a view of it.

use celerypond_bundle::{Account, Bundle, Model, Service, Target, TargetKind, Version, FORMAT};
use celerypond_route::{Route, RoutingView};
use celerypond_types::{Digest, TargetKey};
use rand::{rngs::SmallRng, SeedableRng};
use tokio::time::Instant;

/// The number of slots of each target.
pub(crate) const SLOTS: u32 = 8;

pub(crate) fn rng(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

fn target(kind: TargetKind, prefix: &str, index: usize) -> Target {
    Target {
        name: format!("{prefix}-{index:03}").as_str().into(),
        kind,
        address: ([10, 0, (index / 200) as u8, (index % 200) as u8], 80).into(),
        data_centre: format!("dc-{}", index % 3).as_str().into(),
        slots: SLOTS,
        fencing: Default::default(),
    }
}

/// Creates a bundle with `engines` engines that all serve both versions of a model, and a plain
/// service with three targets.
pub(crate) fn bundle(engines: usize) -> Bundle {
    let engines: Vec<Target> = (0..engines)
        .map(|index| target(TargetKind::Engine, "engine", index))
        .collect();
    let desks: Vec<Target> = (0..3)
        .map(|index| target(TargetKind::Service, "desk", index))
        .collect();
    let version = |name: &str| Version {
        name: name.into(),
        weights: name.into(),
        targets: engines.iter().map(|engine| engine.name.clone()).collect(),
    };
    Bundle {
        format: FORMAT,
        title: "test".into(),
        models: vec![Model {
            name: "draft".into(),
            versions: vec![version("v1"), version("v2")],
            base: "v1".into(),
            shares: vec![],
            adapters: vec!["quotes".into()],
            deadline_ms: 60_000,
            complete_within_s: 600,
        }],
        services: vec![Service {
            name: "desk".into(),
            targets: desks.iter().map(|desk| desk.name.clone()).collect(),
            calls: vec![],
            deadline_ms: 2_000,
            not_run_codes: vec![],
        }],
        accounts: vec![Account {
            name: "showroom".into(),
            key_digest: Digest::of(b"key"),
            requests_per_s: 10,
            tokens_per_s: 1_000,
            weight: 1,
            priority: Default::default(),
        }],
        targets: engines.into_iter().chain(desks).collect(),
    }
}

/// Creates a view of [`bundle`]; returns it with the route to version `v1` and the keys of its
/// engines.
pub(crate) fn view(engines: usize, now: Instant) -> (RoutingView, Route, Vec<TargetKey>) {
    let view = RoutingView::new(now).with_bundle(&bundle(engines), now);
    let route = Route::Version(view.version_key(&"draft".into(), &"v1".into()).unwrap());
    let mut keys: Vec<TargetKey> = view.pool(route).unwrap().target_keys().collect();
    keys.sort();
    (view, route, keys)
}
