//! The check of a bundle, which finds every fault in one run.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::{
    document::{optional, Document},
    validation_error::{quoted, EntryKind, Expected, ValidationError, ValidationErrors},
    Account, Bundle, Model, Service, Target, TargetKind, FORMAT,
};

const DAY_MS: u64 = 24 * 60 * 60 * 1000;
const LEAST_TRANSITION_S: u64 = 10;
const WEEK_S: u64 = 7 * 24 * 60 * 60;

/// Which kind each target of the document has; `None` where its kind has a fault.
type Kinds = BTreeMap<String, Option<TargetKind>>;

impl Bundle {
    /// Reads a bundle and checks it.
    ///
    /// # Errors
    ///
    /// Gives every fault, each with its path, what was found and what was expected.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_bundle::Bundle;
    ///
    /// let text = r#"{"format":1,"title":"empty","targets":[],"accounts":[],"colour":"red"}"#;
    /// let faults = Bundle::parse(text).unwrap_err();
    /// assert_eq!(faults[0].to_string(), "colour: found a field, expected no field `colour`");
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<ValidationError>> {
        let mut document = Document::read::<Self>(text)?;
        let targets: Vec<(usize, Target)> = document.entries("targets");
        let models: Vec<(usize, Model)> = document.entries("models");
        let services: Vec<(usize, Service)> = document.entries("services");
        let accounts: Vec<(usize, Account)> = document.entries("accounts");
        let kinds = kinds(&document, &targets);
        let mut faults = std::mem::take(&mut document.faults);
        check_format(&mut faults, document.value.get("format"));
        check_targets(&mut faults, &targets);
        for (index, model) in &models {
            check_model(&mut faults, &format!("models[{index}]"), model, &kinds);
        }
        for (index, service) in &services {
            check_service(&mut faults, &format!("services[{index}]"), service, &kinds);
        }
        check_accounts(&mut faults, &accounts);
        faults.unique(paths(
            "models",
            models.iter().map(|(at, model)| (at, &model.name)),
        ));
        faults.unique(paths(
            "services",
            services.iter().map(|(at, it)| (at, &it.name)),
        ));
        document.faults = faults;
        document.whole()
    }
}

fn kinds(document: &Document, targets: &[(usize, Target)]) -> Kinds {
    let mut kinds: Kinds = document
        .names("targets")
        .into_iter()
        .map(|name| (name, None))
        .collect();
    for (_, target) in targets {
        kinds.insert(target.name.as_str().to_owned(), Some(target.kind));
    }
    kinds
}

fn paths<'a, T: 'a>(
    list: &'static str,
    names: impl Iterator<Item = (&'a usize, T)> + 'a,
) -> impl Iterator<Item = (String, T)> + 'a {
    names.map(move |(index, name)| (format!("{list}[{index}].name"), name))
}

fn check_format(faults: &mut ValidationErrors, value: Option<&Value>) {
    let format: Option<u32> = optional(value);
    if let Some(format) = format.filter(|format| *format != FORMAT) {
        faults.add("format", format.to_string(), Expected::Format(FORMAT));
    }
}

fn check_targets(faults: &mut ValidationErrors, targets: &[(usize, Target)]) {
    for (index, target) in targets {
        let path = format!("targets[{index}]");
        faults.name(&format!("{path}.name"), target.name.as_str());
        faults.name(&format!("{path}.data_centre"), target.data_centre.as_str());
        faults.range(
            &format!("{path}.address"),
            target.address.port().into(),
            1,
            65_535,
        );
        faults.range(&format!("{path}.slots"), target.slots.into(), 1, 100_000);
    }
    faults.unique(paths(
        "targets",
        targets.iter().map(|(at, target)| (at, &target.name)),
    ));
    let addresses = targets
        .iter()
        .map(|(index, target)| (format!("targets[{index}].address"), target.address));
    faults.unique(addresses);
}

fn check_model(faults: &mut ValidationErrors, path: &str, model: &Model, kinds: &Kinds) {
    faults.name(&format!("{path}.name"), model.name.as_str());
    faults.range(&format!("{path}.deadline_ms"), model.deadline_ms, 1, DAY_MS);
    let transition = format!("{path}.complete_within_s");
    faults.range(
        &transition,
        model.complete_within_s,
        LEAST_TRANSITION_S,
        WEEK_S,
    );
    for (index, version) in model.versions.iter().enumerate() {
        let path = format!("{path}.versions[{index}]");
        faults.name(&format!("{path}.name"), version.name.as_str());
        let names = version.targets.iter().map(|target| target.as_str());
        check_used(
            faults,
            &format!("{path}.targets"),
            names,
            kinds,
            TargetKind::Engine,
        );
    }
    let versions = model.versions.iter().enumerate();
    faults.unique(versions.map(|(at, it)| (format!("{path}.versions[{at}].name"), &it.name)));
    for (index, adapter) in model.adapters.iter().enumerate() {
        faults.name(&format!("{path}.adapters[{index}]"), adapter.as_str());
    }
    check_shares(faults, path, model);
}

fn check_shares(faults: &mut ValidationErrors, path: &str, model: &Model) {
    let known: BTreeSet<_> = model.versions.iter().map(|version| &version.name).collect();
    if !known.contains(&model.base) {
        let expected = Expected::NameOf(EntryKind::Version);
        faults.add(
            format!("{path}.base"),
            quoted(model.base.as_str()),
            expected,
        );
    }
    for (index, share) in model.shares.iter().enumerate() {
        let path = format!("{path}.shares[{index}]");
        let found = quoted(share.version.as_str());
        faults.range(&format!("{path}.percent"), share.percent.into(), 1, 100);
        if share.version == model.base {
            faults.add(format!("{path}.version"), found, Expected::NotBase);
        } else if !known.contains(&share.version) {
            faults.add(
                format!("{path}.version"),
                found,
                Expected::NameOf(EntryKind::Version),
            );
        }
    }
    let shares = model.shares.iter().enumerate();
    faults.unique(shares.map(|(at, it)| (format!("{path}.shares[{at}].version"), &it.version)));
    let sum: u64 = model
        .shares
        .iter()
        .map(|share| u64::from(share.percent))
        .sum();
    if sum > 100 {
        faults.add(
            format!("{path}.shares"),
            sum.to_string(),
            Expected::ShareSum,
        );
    }
}

fn check_service(faults: &mut ValidationErrors, path: &str, service: &Service, kinds: &Kinds) {
    faults.name(&format!("{path}.name"), service.name.as_str());
    faults.range(
        &format!("{path}.deadline_ms"),
        service.deadline_ms,
        1,
        DAY_MS,
    );
    let names = service.targets.iter().map(|target| target.as_str());
    check_used(
        faults,
        &format!("{path}.targets"),
        names,
        kinds,
        TargetKind::Service,
    );
    for (index, code) in service.not_run_codes.iter().enumerate() {
        let path = format!("{path}.not_run_codes[{index}]");
        faults.range(&path, (*code).into(), 400, 599);
    }
    for (index, call) in service.calls.iter().enumerate() {
        let path = format!("{path}.calls[{index}]");
        if !call.path.starts_with('/') {
            faults.add(format!("{path}.path"), quoted(&call.path), Expected::Path);
        }
        let capitals = call.method.chars().all(|c| c.is_ascii_uppercase());
        if call.method.is_empty() || !capitals {
            faults.add(
                format!("{path}.method"),
                quoted(&call.method),
                Expected::Method,
            );
        }
    }
}

fn check_used<'a>(
    faults: &mut ValidationErrors,
    path: &str,
    names: impl Iterator<Item = &'a str> + Clone,
    kinds: &Kinds,
    kind: TargetKind,
) {
    if names.clone().next().is_none() {
        faults.add(path, "[]", Expected::NonEmptyList);
    }
    for (index, name) in names.clone().enumerate() {
        let fits = kinds
            .get(name)
            .is_some_and(|known| known.is_none_or(|known| known == kind));
        if !fits {
            let known = match kind {
                TargetKind::Engine => EntryKind::Engine,
                TargetKind::Service => EntryKind::ServiceTarget,
            };
            faults.add(
                format!("{path}[{index}]"),
                quoted(name),
                Expected::NameOf(known),
            );
        }
    }
    faults.unique(
        names
            .enumerate()
            .map(|(index, name)| (format!("{path}[{index}]"), name)),
    );
}

fn check_accounts(faults: &mut ValidationErrors, accounts: &[(usize, Account)]) {
    const MOST: u64 = 100_000_000;

    for (index, account) in accounts {
        let path = format!("accounts[{index}]");
        faults.name(&format!("{path}.name"), account.name.as_str());
        faults.key_digest(&format!("{path}.key_digest"), &account.key_digest);
        let requests = format!("{path}.requests_per_s");
        faults.range(&requests, account.requests_per_s.into(), 1, MOST);
        let tokens = format!("{path}.tokens_per_s");
        faults.range(&tokens, account.tokens_per_s.into(), 1, MOST);
        faults.range(&format!("{path}.weight"), account.weight.into(), 1, 1000);
    }
    faults.unique(paths(
        "accounts",
        accounts.iter().map(|(at, it)| (at, &it.name)),
    ));
    let digests = accounts
        .iter()
        .map(|(index, account)| (format!("accounts[{index}].key_digest"), account.key_digest));
    faults.unique(digests);
}
