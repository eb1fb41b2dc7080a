//! Charges requests to the limits of client accounts.

use std::sync::Arc;

use celerypond_bundle::Account;
use celerypond_route::AccountLimiter;
use celerypond_types::{AccountKey, NotRunReason};

use crate::{front::api_error::ApiError, node::Node};

/// The tokens charged to an account for a request; dropping it refunds those that were not used.
pub struct Charge {
    limiter: Arc<AccountLimiter>,
    tokens: u64,
    /// The number of tokens generated.
    pub used: u64,
}

impl Charge {
    /// Charges an account for a request of at most `tokens` tokens, 0 for a call to a plain service.
    ///
    /// # Errors
    ///
    /// `NotRun` with a retry delay if the account is over its limit.
    pub fn new(
        node: &Node,
        account: &Account,
        tokens: u64,
    ) -> Result<(AccountKey, Self), ApiError> {
        let view = node.view.load();
        let accounts = view.accounts();
        let key = accounts.key(&account.name);
        let entry = key.and_then(|key| Some((key, accounts.get(key)?)));
        let Some((key, entry)) = entry else {
            // The bundle has just changed; a retry will see the new one.
            return Err(ApiError::not_run(
                NotRunReason::Overload,
                Default::default(),
            ));
        };
        let limiter = Arc::clone(&entry.limiter);
        limiter
            .admit(tokens, node.now_ms())
            .map_err(|after| ApiError::not_run(NotRunReason::AccountLimit, after))?;
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
