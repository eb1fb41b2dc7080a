//! The part of a bundle's targets that one instance sends work to.
//!
//! At 900 instances and 11,000 engines an instance that watched every engine would make, with the
//! others, ten million polls a second. Each uses the targets of its group only.

use std::collections::HashSet;

use celerypond_bundle::Bundle;
use celerypond_types::TargetName;

/// A version or service keeps all its targets rather than fewer than this many.
///
/// With few targets in its part an instance could be left without one, or send all its work to one.
const LEAST: usize = 8;

/// Returns the bundle with only those targets that are in `group`, where enough are left.
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
    let mut part = bundle.clone();
    let versions = part.models.iter_mut().flat_map(|model| &mut model.versions);
    for version in versions {
        narrow(&mut version.targets, &group);
    }
    for service in &mut part.services {
        narrow(&mut service.targets, &group);
    }
    let used = used(&part);
    part.targets.retain(|target| used.contains(&target.name));
    part
}

fn narrow(targets: &mut Vec<TargetName>, group: &HashSet<&TargetName>) {
    let left = targets.iter().filter(|name| group.contains(name)).count();
    if left >= LEAST {
        targets.retain(|name| group.contains(name));
    }
}

fn used(bundle: &Bundle) -> HashSet<TargetName> {
    let versions = bundle.models.iter().flat_map(|model| &model.versions);
    let of_versions = versions.flat_map(|version| &version.targets);
    let of_services = bundle.services.iter().flat_map(|service| &service.targets);
    of_versions.chain(of_services).cloned().collect()
}
