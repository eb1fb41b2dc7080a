//! A bundle with one model for the models of this measure.

use celerypond_bundle::{Account, Bundle, Model, Target, TargetKind, Version, FORMAT};
use celerypond_route::{Accounts, Route, RoutingView};
use celerypond_types::{AccountKey, Digest, TargetKey};
use tokio::time::Instant;

/// Makes a view of `engines` engines of one version, the route to it and the engines' keys.
pub(crate) fn view(
    engines: usize,
    slots: u32,
    now: Instant,
) -> (RoutingView, Route, Vec<TargetKey>) {
    let (view, bundle) = declared(engines, slots, now);
    let version = view.version_key(&"draft".into(), &"v1".into());
    let route = Route::Version(version.unwrap_or_default());
    let keys = bundle.targets.iter();
    let keys = keys
        .filter_map(|target| view.target_key(&target.name))
        .collect();
    (view, route, keys)
}

/// Makes a view of `engines` engines of one version, and the bundle that declares them.
pub(crate) fn declared(engines: usize, slots: u32, now: Instant) -> (RoutingView, Bundle) {
    let targets: Vec<Target> = (0..engines).map(|at| target(at, slots)).collect();
    let version = Version {
        name: "v1".into(),
        weights: "v1".into(),
        targets: targets.iter().map(|target| target.name.clone()).collect(),
    };
    let bundle = Bundle {
        format: FORMAT,
        title: "bench".into(),
        models: vec![Model {
            name: "draft".into(),
            versions: vec![version],
            base: "v1".into(),
            shares: vec![],
            adapters: vec![],
            deadline_ms: 60_000,
            complete_within_s: 600,
        }],
        targets,
        services: vec![],
        accounts: vec![],
    };
    (RoutingView::new(now).with_bundle(&bundle, now), bundle)
}

fn target(at: usize, slots: u32) -> Target {
    let [_, _, high, low] = (at as u32).to_be_bytes();
    Target {
        name: format!("engine-{at:05}").as_str().into(),
        kind: TargetKind::Engine,
        address: ([10, 1, high, low], 80).into(),
        data_centre: format!("dc-{}", at % 3).as_str().into(),
        slots,
        fencing: Default::default(),
    }
}

/// Makes the keys of `count` accounts.
pub(crate) fn accounts(count: usize) -> Vec<AccountKey> {
    let account = |at: usize| Account {
        name: format!("account-{at:03}").as_str().into(),
        key_digest: Digest::of(&at.to_le_bytes()),
        requests_per_s: 1,
        tokens_per_s: 1,
        weight: 1,
        priority: Default::default(),
    };
    let declared: Vec<Account> = (0..count).map(account).collect();
    let accounts = Accounts::default().with_bundle(&declared, 0);
    accounts.iter().map(|(key, _)| key).collect()
}
