//! Shows why the log reuses its objects instead of deleting them.

use celerypond_ledger::{ReadReply, WriteReply};
use celerypond_platform::Version;

use crate::memory_store::MemoryStore;

// A is paused before its write for position 5. Other instances write position 5, continue, and delete
// old objects. When A's write arrives, its condition that the object does not exist holds again, and
// A would send a call that another instance may have sent.
#[test]
fn position_can_be_written_twice_if_objects_are_deleted() {
    let mut store = MemoryStore::new();
    let first = store.put("ledger/5", None, "intent of B".into());
    assert_eq!(first, WriteReply::Written(Version(1)));
    store.objects.remove("ledger/5");
    let second = store.put("ledger/5", None, "intent of A".into());
    assert!(matches!(second, WriteReply::Written(_)));
}

// The same with an object that is reused: A's condition names the version that A has last read, and
// the store never reuses versions.
#[test]
fn position_can_be_written_once_if_objects_are_reused() {
    let mut store = MemoryStore::new();
    let WriteReply::Written(old_version) = store.put("ledger/5", None, "expired".into()) else {
        panic!("the first write fails");
    };
    let first = store.put("ledger/5", Some(old_version), "intent of B".into());
    let WriteReply::Written(new_version) = first else {
        panic!("B's write fails");
    };
    store.put("ledger/5", Some(new_version), "a later batch".into());
    let late_write = store.put("ledger/5", Some(old_version), "intent of A".into());
    assert_eq!(late_write, WriteReply::Conflict);
    assert!(
        matches!(store.get("ledger/5"), ReadReply::Found(found) if found.value == "a later batch")
    );
}
