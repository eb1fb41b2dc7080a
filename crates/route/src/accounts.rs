//! The client accounts of a bundle.

use std::{collections::HashMap, sync::Arc};

use celerypond_bundle::Account;
use celerypond_types::{AccountKey, AccountName, Digest};
use slotmap::SlotMap;

use crate::AccountLimiter;

/// A client account, as stored in [`Accounts`].
#[derive(Clone, Debug)]
pub struct AccountEntry {
    /// The account as the bundle declares it.
    pub account: Account,
    /// The account's rate limiter at this instance, shared by all views.
    pub limiter: Arc<AccountLimiter>,
}

/// The client accounts of a bundle. Keys and limiters are kept when the bundle changes.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    entries: SlotMap<AccountKey, AccountEntry>,
    keys_by_name: HashMap<AccountName, AccountKey>,
    keys_by_digest: HashMap<Digest, AccountKey>,
}

impl Accounts {
    /// Returns the accounts after a bundle came into force at `now_ms`.
    #[must_use]
    pub fn with_bundle(&self, accounts: &[Account], now_ms: u64) -> Self {
        let mut next = Self {
            entries: self.entries.clone(),
            ..Self::default()
        };
        for account in accounts {
            let key = next.upsert(
                self.keys_by_name.get(&account.name).copied(),
                account,
                now_ms,
            );
            next.keys_by_name.insert(account.name.clone(), key);
            next.keys_by_digest.insert(account.key_digest, key);
        }
        let Self {
            entries,
            keys_by_name,
            ..
        } = &mut next;
        entries.retain(|key, entry| keys_by_name.get(&entry.account.name) == Some(&key));
        next
    }

    fn upsert(&mut self, key: Option<AccountKey>, account: &Account, now_ms: u64) -> AccountKey {
        let Some(key) = key else {
            return self.entries.insert(AccountEntry {
                account: account.clone(),
                limiter: Arc::new(AccountLimiter::new(now_ms)),
            });
        };
        self.entries[key].account = account.clone();
        key
    }

    /// Looks up an account by the digest of its API key.
    pub fn by_digest(&self, digest: &Digest) -> Option<AccountKey> {
        self.keys_by_digest.get(digest).copied()
    }

    /// Looks up an account by name.
    pub fn key(&self, name: &AccountName) -> Option<AccountKey> {
        self.keys_by_name.get(name).copied()
    }

    /// Looks up an account by key.
    pub fn get(&self, key: AccountKey) -> Option<&AccountEntry> {
        self.entries.get(key)
    }

    /// Iterates over all accounts in storage order.
    pub fn iter(&self) -> impl Iterator<Item = (AccountKey, &AccountEntry)> + '_ {
        self.entries.iter()
    }
}
