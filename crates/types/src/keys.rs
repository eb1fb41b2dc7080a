//! Small `Copy` keys of entries in the slot maps of an instance.
//!
//! A key is valid only in the process that created it. Messages between processes use names
//! instead.

slotmap::new_key_type! {
    /// The key of a client account.
    pub struct AccountKey;
    /// The key of an instance in the fleet.
    pub struct InstanceKey;
    /// The key of a target in routing.
    pub struct TargetKey;
    /// The key of a version of a model.
    pub struct VersionKey;
}
