//! The subset of a bundle's targets to which one instance sends requests.
//!
//! With 900 instances and 11,000 engines, ten million health checks per second would be sent if each
//! instance watched every engine. Each instance therefore uses only the targets of its group.

use std::collections::HashSet;

use celerypond_bundle::Bundle;
use celerypond_types::TargetName;

/// The minimum number of targets of a version or service; if fewer are in the group, it keeps all.
///
/// With too few targets, an instance could be left without any, or send all its requests to one.
const MIN_TARGETS: usize = 8;

/// Returns the bundle with only the targets in `group`, except where too few would remain.
///
/// # Examples
///
/// ```
/// use celerypond_bundle::Bundle;
/// use celerypond_daemon::bundle_subset::restrict_to_group;
///
/// let text = r#"{"format":1,"title":"t","targets":[],"accounts":[]}"#;
/// let bundle = Bundle::parse(text).unwrap();
/// assert_eq!(restrict_to_group(&bundle, &[]), bundle);
/// ```
pub fn restrict_to_group(bundle: &Bundle, group: &[TargetName]) -> Bundle {
    let group: HashSet<&TargetName> = group.iter().collect();
    let mut subset = bundle.clone();
    let versions = subset
        .models
        .iter_mut()
        .flat_map(|model| &mut model.versions);
    for version in versions {
        restrict_targets(&mut version.targets, &group);
    }
    for service in &mut subset.services {
        restrict_targets(&mut service.targets, &group);
    }
    let used_targets = used_targets(&subset);
    subset
        .targets
        .retain(|target| used_targets.contains(&target.name));
    subset
}

fn restrict_targets(targets: &mut Vec<TargetName>, group: &HashSet<&TargetName>) {
    let remaining = targets.iter().filter(|name| group.contains(name)).count();
    if remaining >= MIN_TARGETS {
        targets.retain(|name| group.contains(name));
    }
}

fn used_targets(bundle: &Bundle) -> HashSet<TargetName> {
    let versions = bundle.models.iter().flat_map(|model| &model.versions);
    let version_targets = versions.flat_map(|version| &version.targets);
    let service_targets = bundle.services.iter().flat_map(|service| &service.targets);
    version_targets.chain(service_targets).cloned().collect()
}
