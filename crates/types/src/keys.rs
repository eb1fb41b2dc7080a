//! Small `Copy` keys into the arenas of an instance.
//!
//! A key is meaningful only inside the process that made it; names travel between processes.

slotmap::new_key_type! {
    /// A client account in the accounts arena.
    pub struct AccountKey;
    /// An instance in the membership arena.
    pub struct InstanceKey;
    /// A target in the routing arena.
    pub struct TargetKey;
    /// A version of a model in the versions arena.
    pub struct VersionKey;
}
