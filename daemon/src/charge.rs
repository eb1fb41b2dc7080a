//! What an account is charged for a request.

use std::sync::Arc;

use celerypond_bundle::Account;
use celerypond_route::AccountLimiter;
use celerypond_types::{AccountKey, NotRunReason};

use crate::{front::problem::Problem, node::Node};

/// The tokens that were charged to an account; what was not used goes back when this is dropped.
pub struct Charge {
    limiter: Arc<AccountLimiter>,
    tokens: u64,
    /// How many of them were generated.
    pub used: u64,
}

impl Charge {
    /// Charges an account for a request of at most `tokens` tokens, 0 for a call to a plain service.
    ///
    /// # Errors
    ///
    /// `NotRun` when the account is over its limit, with when to come back.
    pub fn new(node: &Node, account: &Account, tokens: u64) -> Result<(AccountKey, Self), Problem> {
        let view = node.view.load();
        let accounts = view.accounts();
        let found = accounts.key(&account.name);
        let entry = found.and_then(|key| Some((key, accounts.get(key)?)));
        let Some((key, entry)) = entry else {
            // The bundle has just changed; the caller's next try finds the new one.
            return Err(Problem::not_run(NotRunReason::Overload, Default::default()));
        };
        let limiter = Arc::clone(&entry.limiter);
        limiter
            .admit(tokens, node.now_ms())
            .map_err(|after| Problem::not_run(NotRunReason::AccountLimit, after))?;
        let charge = Self {
            limiter,
            tokens,
            used: 0,
        };
        Ok((key, charge))
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.limiter.reconcile(self.tokens, self.used);
    }
}
