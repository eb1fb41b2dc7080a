//! The choice of an engine for the next attempt at an answer.

use std::sync::Arc;

use celerypond_answer::{ChosenTarget, Input, TargetCriteria};
use celerypond_route::{Route, RoutingView};
use celerypond_types::{TargetKey, TargetName, VersionKey, VersionName};
use tokio::time::Instant;

use super::Drive;
use crate::{admission::Permit, front::completions, target_watch::is_live};

impl Drive {
    pub(super) async fn choose(&mut self, criteria: &TargetCriteria) -> Option<Input> {
        if let Some(permit) = self.permit.take() {
            return Some(self.use_permit(permit).await);
        }
        let version = match (&criteria.version, &self.version) {
            (Some(version), _) => version.clone(),
            (None, Some(version)) => version.clone(),
            (None, None) => return Some(Input::NoTarget),
        };
        let view = self.node.view.load_full();
        let Some(key) = view.version_key(&self.ask.model, &version) else {
            return Some(Input::NoTarget);
        };
        if criteria.is_resume {
            self.wait_to_resume(key, version);
            return None;
        }
        let avoid = criteria
            .excluded
            .iter()
            .filter_map(|name| view.target_key(name))
            .collect();
        let name = self.pick_live(&view, Route::Version(key), avoid).await;
        Some(match name {
            Some(name) => Input::Chosen(self.chosen(name, version)),
            None => Input::NoTarget,
        })
    }

    /// Chooses a target that takes new work by a word that is not old.
    pub(super) async fn pick_live(
        &mut self,
        view: &RoutingView,
        route: Route,
        avoid: Vec<TargetKey>,
    ) -> Option<TargetName> {
        let now = Instant::now();
        let mut excluded = self.node.suspects.add_to(avoid, now);
        let prefixes = completions::prefixes(&self.ask.prompt);
        let adapter = self.ask.adapter.as_ref();
        let adapter = adapter.map_or(0, |name| celerypond_route::hash(name.as_str().as_bytes()));
        loop {
            let ask = celerypond_route::PickCriteria {
                prefixes: &prefixes,
                adapter,
                excluded: &excluded,
                preferred_data_centre: Some(&self.node.settings.data_centre),
            };
            let picked = view.pick(route, &ask, now, &mut self.rng).ok()?;
            let target = view.target(picked.target)?;
            if is_live(&self.node, picked.target, target).await {
                return Some(target.name.clone());
            }
            excluded.push(picked.target);
        }
    }

    /// Begins at the place that was given when the answer was admitted.
    pub(super) async fn use_permit(&mut self, permit: Permit) -> Input {
        let view = self.node.view.load_full();
        let (Some(target), Some(version)) = (view.target(permit.target), self.version.clone())
        else {
            return Input::NoTarget;
        };
        if !is_live(&self.node, permit.target, target).await {
            return Input::NoTarget;
        }
        let chosen = self.chosen(target.name.clone(), version);
        self.permit = Some(permit);
        Input::Chosen(chosen)
    }

    /// Waits in line with other answers that lost their engines; the place comes as an input.
    pub(super) fn wait_to_resume(&mut self, key: VersionKey, version: VersionName) {
        let active = self.node.active_bundle.load_full();
        let model = active
            .as_ref()
            .and_then(|active| active.model(&self.ask.model));
        let unloaded = model.map(|model| {
            self.node
                .rollouts
                .engines_without_version(&self.node, model, &version)
        });
        let unloaded = unloaded.unwrap_or_default();
        let granted = self
            .node
            .admission
            .enqueue_resume(key, unloaded, self.last_token);
        let node = Arc::clone(&self.node);
        let inputs = self.inputs.clone();
        let tokens = self.prompt_tokens();
        self.resuming = true;
        self.node.background_tasks.spawn(async move {
            let Ok(key) = granted.await else { return };
            let view = node.view.load_full();
            let live = match view.target(key) {
                Some(target) if is_live(&node, key, target).await => Some(target.name.clone()),
                _ => None,
            };
            let Some(target) = live else {
                node.admission.release_resume(key);
                // An answer that is over needs no target.
                let _ = inputs.send(Input::NoTarget).await;
                return;
            };
            let timeouts = node.progress_timeouts.timeouts(&target, tokens);
            let chosen = ChosenTarget {
                target,
                version,
                timeouts,
            };
            if inputs.send(Input::Chosen(chosen)).await.is_err() {
                node.admission.release_resume(key);
            }
        });
    }

    pub(super) fn chosen(&self, target: TargetName, version: VersionName) -> ChosenTarget {
        let timeouts = self
            .node
            .progress_timeouts
            .timeouts(&target, self.prompt_tokens());
        ChosenTarget {
            target,
            version,
            timeouts,
        }
    }

    pub(super) fn prompt_tokens(&self) -> u32 {
        // About four characters make a token.
        (self.ask.prompt.len() / 4) as u32
    }
}
