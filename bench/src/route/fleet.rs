//! The routing view, bundle and accounts that the routing benchmarks share.

use celerypond_bundle::{Account, Bundle, Model, Target, TargetKind, Version, FORMAT};
use celerypond_route::{Accounts, Route, RoutingView};
use celerypond_types::{AccountKey, Digest, TargetKey};
use tokio::time::Instant;

/// Creates a routing view with `engines` engines that serve one model version. Returns it with the
/// route to that version and the target keys of the engines.
pub(crate) fn view(
    engines: usize,
    slots: u32,
    now: Instant,
) -> (RoutingView, Route, Vec<TargetKey>) {
    let (view, bundle) = view_with_bundle(engines, slots, now);
    let version = view.version_key(&"draft".into(), &"v1".into());
    let route = Route::Version(version.unwrap_or_default());
    let keys = bundle.targets.iter();
    let keys = keys
        .filter_map(|target| view.target_key(&target.name))
        .collect();
    (view, route, keys)
}

/// Creates a routing view with `engines` engines that serve one model version. Returns it with the
/// bundle that declares them.
pub(crate) fn view_with_bundle(engines: usize, slots: u32, now: Instant) -> (RoutingView, Bundle) {
    let targets: Vec<Target> = (0..engines)
        .map(|index| engine_target(index, slots))
        .collect();
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

fn engine_target(index: usize, slots: u32) -> Target {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    Target {
        name: format!("engine-{index:05}").as_str().into(),
        kind: TargetKind::Engine,
        address: ([10, 1, high, low], 80).into(),
        data_centre: format!("dc-{}", index % 3).as_str().into(),
        slots,
        fencing: Default::default(),
    }
}

/// Creates `count` accounts and returns their keys.
pub(crate) fn accounts(count: usize) -> Vec<AccountKey> {
    let account = |index: usize| Account {
        name: format!("account-{index:03}").as_str().into(),
        key_digest: Digest::of(&index.to_le_bytes()),
        requests_per_s: 1,
        tokens_per_s: 1,
        weight: 1,
        priority: Default::default(),
    };
    let bundle_accounts: Vec<Account> = (0..count).map(account).collect();
    let accounts = Accounts::default().with_bundle(&bundle_accounts, 0);
    accounts.iter().map(|(key, _)| key).collect()
}
