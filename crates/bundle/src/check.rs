//! Parsing and validation of a bundle. One run reports all errors.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

use crate::{
    document::{deserialize_if_valid, Document},
    validation_error::{quoted, EntryKind, Expected, ValidationError, ValidationErrors},
    Account, Bundle, Model, Service, Target, TargetKind, FORMAT,
};

const DAY_MS: u64 = 24 * 60 * 60 * 1000;
const MIN_ROLLOUT_S: u64 = 10;
const WEEK_S: u64 = 7 * 24 * 60 * 60;

/// The kind of each target in the document, by name. It is `None` if the target is invalid.
type TargetKinds = BTreeMap<String, Option<TargetKind>>;

impl Bundle {
    /// Parses and validates a bundle.
    ///
    /// # Errors
    ///
    /// Returns all errors in the document.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_bundle::Bundle;
    ///
    /// let text = r#"{"format":1,"title":"empty","targets":[],"accounts":[],"colour":"red"}"#;
    /// let errors = Bundle::parse(text).unwrap_err();
    /// assert_eq!(errors[0].to_string(), "colour: found a field, expected no field `colour`");
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<ValidationError>> {
        let mut document = Document::parse::<Self>(text)?;
        let targets: Vec<(usize, Target)> = document.valid_entries("targets");
        let models: Vec<(usize, Model)> = document.valid_entries("models");
        let services: Vec<(usize, Service)> = document.valid_entries("services");
        let accounts: Vec<(usize, Account)> = document.valid_entries("accounts");
        let target_kinds = target_kinds(&document, &targets);
        let mut errors = std::mem::take(&mut document.errors);
        check_format(&mut errors, document.value.get("format"));
        check_targets(&mut errors, &targets);
        for (index, model) in &models {
            check_model(
                &mut errors,
                &format!("models[{index}]"),
                model,
                &target_kinds,
            );
        }
        for (index, service) in &services {
            check_service(
                &mut errors,
                &format!("services[{index}]"),
                service,
                &target_kinds,
            );
        }
        check_accounts(&mut errors, &accounts);
        errors.check_unique(name_paths(
            "models",
            models.iter().map(|(index, model)| (index, &model.name)),
        ));
        errors.check_unique(name_paths(
            "services",
            services
                .iter()
                .map(|(index, service)| (index, &service.name)),
        ));
        document.errors = errors;
        document.into_typed()
    }
}

fn target_kinds(document: &Document, targets: &[(usize, Target)]) -> TargetKinds {
    let mut target_kinds: TargetKinds = document
        .entry_names("targets")
        .into_iter()
        .map(|name| (name, None))
        .collect();
    for (_, target) in targets {
        target_kinds.insert(target.name.as_str().to_owned(), Some(target.kind));
    }
    target_kinds
}

fn name_paths<'a, T: 'a>(
    list: &'static str,
    names: impl Iterator<Item = (&'a usize, T)> + 'a,
) -> impl Iterator<Item = (String, T)> + 'a {
    names.map(move |(index, name)| (format!("{list}[{index}].name"), name))
}

fn check_format(errors: &mut ValidationErrors, value: Option<&Value>) {
    let format: Option<u32> = deserialize_if_valid(value);
    if let Some(format) = format.filter(|format| *format != FORMAT) {
        errors.add("format", format.to_string(), Expected::Format(FORMAT));
    }
}

fn check_targets(errors: &mut ValidationErrors, targets: &[(usize, Target)]) {
    for (index, target) in targets {
        let path = format!("targets[{index}]");
        errors.check_name(&format!("{path}.name"), target.name.as_str());
        errors.check_name(&format!("{path}.data_centre"), target.data_centre.as_str());
        errors.check_range(
            &format!("{path}.address"),
            target.address.port().into(),
            1,
            65_535,
        );
        errors.check_range(&format!("{path}.slots"), target.slots.into(), 1, 100_000);
    }
    errors.check_unique(name_paths(
        "targets",
        targets.iter().map(|(index, target)| (index, &target.name)),
    ));
    let addresses = targets
        .iter()
        .map(|(index, target)| (format!("targets[{index}].address"), target.address));
    errors.check_unique(addresses);
}

fn check_model(
    errors: &mut ValidationErrors,
    path: &str,
    model: &Model,
    target_kinds: &TargetKinds,
) {
    errors.check_name(&format!("{path}.name"), model.name.as_str());
    errors.check_range(&format!("{path}.deadline_ms"), model.deadline_ms, 1, DAY_MS);
    let duration = format!("{path}.complete_within_s");
    errors.check_range(&duration, model.complete_within_s, MIN_ROLLOUT_S, WEEK_S);
    for (index, version) in model.versions.iter().enumerate() {
        let path = format!("{path}.versions[{index}]");
        errors.check_name(&format!("{path}.name"), version.name.as_str());
        let names = version.targets.iter().map(|target| target.as_str());
        check_target_references(
            errors,
            &format!("{path}.targets"),
            names,
            target_kinds,
            TargetKind::Engine,
        );
    }
    let versions = model.versions.iter().enumerate();
    errors.check_unique(
        versions.map(|(index, version)| (format!("{path}.versions[{index}].name"), &version.name)),
    );
    for (index, adapter) in model.adapters.iter().enumerate() {
        errors.check_name(&format!("{path}.adapters[{index}]"), adapter.as_str());
    }
    check_shares(errors, path, model);
}

fn check_shares(errors: &mut ValidationErrors, path: &str, model: &Model) {
    let known: BTreeSet<_> = model.versions.iter().map(|version| &version.name).collect();
    if !known.contains(&model.base) {
        let expected = Expected::NameOf(EntryKind::Version);
        errors.add(
            format!("{path}.base"),
            quoted(model.base.as_str()),
            expected,
        );
    }
    for (index, share) in model.shares.iter().enumerate() {
        let path = format!("{path}.shares[{index}]");
        let found = quoted(share.version.as_str());
        errors.check_range(&format!("{path}.percent"), share.percent.into(), 1, 100);
        if share.version == model.base {
            errors.add(format!("{path}.version"), found, Expected::NotBase);
        } else if !known.contains(&share.version) {
            errors.add(
                format!("{path}.version"),
                found,
                Expected::NameOf(EntryKind::Version),
            );
        }
    }
    let shares = model.shares.iter().enumerate();
    errors.check_unique(
        shares.map(|(index, share)| (format!("{path}.shares[{index}].version"), &share.version)),
    );
    let sum: u64 = model
        .shares
        .iter()
        .map(|share| u64::from(share.percent))
        .sum();
    if sum > 100 {
        errors.add(
            format!("{path}.shares"),
            sum.to_string(),
            Expected::ShareSum,
        );
    }
}

fn check_service(
    errors: &mut ValidationErrors,
    path: &str,
    service: &Service,
    target_kinds: &TargetKinds,
) {
    errors.check_name(&format!("{path}.name"), service.name.as_str());
    errors.check_range(
        &format!("{path}.deadline_ms"),
        service.deadline_ms,
        1,
        DAY_MS,
    );
    let names = service.targets.iter().map(|target| target.as_str());
    check_target_references(
        errors,
        &format!("{path}.targets"),
        names,
        target_kinds,
        TargetKind::Service,
    );
    for (index, code) in service.not_run_codes.iter().enumerate() {
        let path = format!("{path}.not_run_codes[{index}]");
        errors.check_range(&path, (*code).into(), 400, 599);
    }
    for (index, call) in service.calls.iter().enumerate() {
        let path = format!("{path}.calls[{index}]");
        if !call.path.starts_with('/') {
            errors.add(format!("{path}.path"), quoted(&call.path), Expected::Path);
        }
        let is_upper_case = call.method.chars().all(|c| c.is_ascii_uppercase());
        if call.method.is_empty() || !is_upper_case {
            errors.add(
                format!("{path}.method"),
                quoted(&call.method),
                Expected::Method,
            );
        }
    }
}

fn check_target_references<'a>(
    errors: &mut ValidationErrors,
    path: &str,
    names: impl Iterator<Item = &'a str> + Clone,
    target_kinds: &TargetKinds,
    kind: TargetKind,
) {
    if names.clone().next().is_none() {
        errors.add(path, "[]", Expected::NonEmptyList);
    }
    for (index, name) in names.clone().enumerate() {
        let is_valid = target_kinds
            .get(name)
            .is_some_and(|known| known.is_none_or(|known| known == kind));
        if !is_valid {
            let known = match kind {
                TargetKind::Engine => EntryKind::Engine,
                TargetKind::Service => EntryKind::ServiceTarget,
            };
            errors.add(
                format!("{path}[{index}]"),
                quoted(name),
                Expected::NameOf(known),
            );
        }
    }
    errors.check_unique(
        names
            .enumerate()
            .map(|(index, name)| (format!("{path}[{index}]"), name)),
    );
}

fn check_accounts(errors: &mut ValidationErrors, accounts: &[(usize, Account)]) {
    const MAX_RATE: u64 = 100_000_000;

    for (index, account) in accounts {
        let path = format!("accounts[{index}]");
        errors.check_name(&format!("{path}.name"), account.name.as_str());
        errors.check_key_digest(&format!("{path}.key_digest"), &account.key_digest);
        let requests = format!("{path}.requests_per_s");
        errors.check_range(&requests, account.requests_per_s.into(), 1, MAX_RATE);
        let tokens = format!("{path}.tokens_per_s");
        errors.check_range(&tokens, account.tokens_per_s.into(), 1, MAX_RATE);
        errors.check_range(&format!("{path}.weight"), account.weight.into(), 1, 1000);
    }
    errors.check_unique(name_paths(
        "accounts",
        accounts
            .iter()
            .map(|(index, account)| (index, &account.name)),
    ));
    let digests = accounts
        .iter()
        .map(|(index, account)| (format!("accounts[{index}].key_digest"), account.key_digest));
    errors.check_unique(digests);
}
