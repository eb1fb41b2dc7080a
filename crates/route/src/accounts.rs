//! The client accounts of a bundle.

use std::{collections::HashMap, sync::Arc};

use celerypond_bundle::Account;
use celerypond_types::{AccountKey, AccountName, Digest};
use slotmap::SlotMap;

use crate::AccountLimiter;

/// A client account in the accounts arena.
#[derive(Clone, Debug)]
pub struct AccountEntry {
    /// What the bundle declares.
    pub account: Account,
    /// What it uses of this instance, over all snapshots.
    pub limiter: Arc<AccountLimiter>,
}

/// The client accounts of a bundle; keys and meters outlive a change of the bundle.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    entries: SlotMap<AccountKey, AccountEntry>,
    names: HashMap<AccountName, AccountKey>,
    digests: HashMap<Digest, AccountKey>,
}

impl Accounts {
    /// Returns the accounts after a bundle has come into force at `now_ms`.
    #[must_use]
    pub fn with_bundle(&self, accounts: &[Account], now_ms: u64) -> Self {
        let mut next = Self {
            entries: self.entries.clone(),
            ..Self::default()
        };
        for account in accounts {
            let key = next.set(self.names.get(&account.name).copied(), account, now_ms);
            next.names.insert(account.name.clone(), key);
            next.digests.insert(account.key_digest, key);
        }
        let Self { entries, names, .. } = &mut next;
        entries.retain(|key, entry| names.get(&entry.account.name) == Some(&key));
        next
    }

    fn set(&mut self, key: Option<AccountKey>, account: &Account, now_ms: u64) -> AccountKey {
        let Some(key) = key else {
            return self.entries.insert(AccountEntry {
                account: account.clone(),
                limiter: Arc::new(AccountLimiter::new(now_ms)),
            });
        };
        self.entries[key].account = account.clone();
        key
    }

    /// Finds an account by the digest of the key that its callers send.
    pub fn by_digest(&self, digest: &Digest) -> Option<AccountKey> {
        self.digests.get(digest).copied()
    }

    /// Finds an account by name.
    pub fn key(&self, name: &AccountName) -> Option<AccountKey> {
        self.names.get(name).copied()
    }

    /// Finds an account by key.
    pub fn get(&self, key: AccountKey) -> Option<&AccountEntry> {
        self.entries.get(key)
    }

    /// Returns all accounts, in the order of the arena.
    pub fn iter(&self) -> impl Iterator<Item = (AccountKey, &AccountEntry)> + '_ {
        self.entries.iter()
    }
}
