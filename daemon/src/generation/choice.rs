//! Chooses an engine for the next attempt at an answer.

use std::sync::Arc;

use celerypond_answer::{ChosenTarget, Input, TargetCriteria};
use celerypond_route::{Route, RoutingView};
use celerypond_types::{TargetKey, TargetName, VersionKey, VersionName};
use tokio::time::Instant;

use super::AnswerDriver;
use crate::{admission::Permit, front::completions, target_watch::is_live};

impl AnswerDriver {
    pub(super) async fn choose_target(&mut self, criteria: &TargetCriteria) -> Option<Input> {
        if let Some(permit) = self.permit.take() {
            return Some(self.use_permit(permit).await);
        }
        let version = match (&criteria.version, &self.version) {
            (Some(version), _) => version.clone(),
            (None, Some(version)) => version.clone(),
            (None, None) => return Some(Input::NoTarget),
        };
        let view = self.node.view.load_full();
        let Some(key) = view.version_key(&self.generation_request.model, &version) else {
            return Some(Input::NoTarget);
        };
        if criteria.is_resume {
            self.enqueue_resume(key, version);
            return None;
        }
        let excluded = criteria
            .excluded
            .iter()
            .filter_map(|name| view.target_key(name))
            .collect();
        let name = self.pick_live(&view, Route::Version(key), excluded).await;
        Some(match name {
            Some(name) => Input::Chosen(self.chosen_target(name, version)),
            None => Input::NoTarget,
        })
    }

    /// Picks a target that is live by a recent report, or by a health check now.
    pub(super) async fn pick_live(
        &mut self,
        view: &RoutingView,
        route: Route,
        excluded: Vec<TargetKey>,
    ) -> Option<TargetName> {
        let now = Instant::now();
        let mut excluded = self.node.suspects.add_to(excluded, now);
        let prefixes = completions::prefix_hashes(&self.generation_request.prompt);
        let adapter = self.generation_request.adapter.as_ref();
        let adapter = adapter.map_or(0, |name| celerypond_route::hash(name.as_str().as_bytes()));
        loop {
            let criteria = celerypond_route::PickCriteria {
                prefixes: &prefixes,
                adapter,
                excluded: &excluded,
                preferred_data_centre: Some(&self.node.settings.data_centre),
            };
            let picked = view.pick(route, &criteria, now, &mut self.rng).ok()?;
            let target = view.target(picked.target)?;
            if is_live(&self.node, picked.target, target).await {
                return Some(target.name.clone());
            }
            excluded.push(picked.target);
        }
    }

    /// Chooses the target of the permit that was granted at admission.
    pub(super) async fn use_permit(&mut self, permit: Permit) -> Input {
        let view = self.node.view.load_full();
        let (Some(target), Some(version)) = (view.target(permit.target), self.version.clone())
        else {
            return Input::NoTarget;
        };
        if !is_live(&self.node, permit.target, target).await {
            return Input::NoTarget;
        }
        let chosen = self.chosen_target(target.name.clone(), version);
        self.permit = Some(permit);
        Input::Chosen(chosen)
    }

    /// Queues the answer with others that have lost their engines; the granted target arrives as an
    /// input.
    pub(super) fn enqueue_resume(&mut self, key: VersionKey, version: VersionName) {
        let active = self.node.active_bundle.load_full();
        let model = active
            .as_ref()
            .and_then(|active| active.model(&self.generation_request.model));
        let not_loaded = model.map(|model| {
            self.node
                .rollouts
                .engines_without_version(&self.node, model, &version)
        });
        let not_loaded = not_loaded.unwrap_or_default();
        let receiver = self
            .node
            .admission
            .enqueue_resume(key, not_loaded, self.last_token);
        let node = Arc::clone(&self.node);
        let inputs = self.inputs.clone();
        let prompt_tokens = self.estimated_prompt_tokens();
        self.awaiting_grant = true;
        self.node.background_tasks.spawn(async move {
            let Ok(key) = receiver.await else { return };
            let view = node.view.load_full();
            let live = match view.target(key) {
                Some(target) if is_live(&node, key, target).await => Some(target.name.clone()),
                _ => None,
            };
            let Some(target) = live else {
                node.admission.release_resume(key);
                // Fails if the answer has ended, which then needs no target.
                let _ = inputs.send(Input::NoTarget).await;
                return;
            };
            let timeouts = node.progress_timeouts.timeouts(&target, prompt_tokens);
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

    pub(super) fn chosen_target(&self, target: TargetName, version: VersionName) -> ChosenTarget {
        let timeouts = self
            .node
            .progress_timeouts
            .timeouts(&target, self.estimated_prompt_tokens());
        ChosenTarget {
            target,
            version,
            timeouts,
        }
    }

    pub(super) fn estimated_prompt_tokens(&self) -> u32 {
        // A token has about four characters.
        (self.generation_request.prompt.len() / 4) as u32
    }
}
