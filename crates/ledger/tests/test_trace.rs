//! Why the log uses its objects again instead of deleting them.

use celerypond_ledger::{ReadReply, WriteReply};
use celerypond_platform::Version;

use crate::store::Store;

// A is paused with the write for place 5 in hand. Others write place 5, go on, and remove what is no
// longer needed. Then A's write arrives. With objects that are deleted, its condition "there is no
// such object" holds again, and A would send a call that another instance may have sent.
#[test]
fn a_deleted_place_can_be_taken_twice() {
    let mut store = Store::new();
    let first = store.put("ledger/5", None, "intent of B".into());
    assert_eq!(first, WriteReply::Written(Version(1)));
    store.objects.remove("ledger/5");
    let second = store.put("ledger/5", None, "intent of A".into());
    assert!(matches!(second, WriteReply::Written(_)));
}

// The same with an object that is used again: A's condition names the version that the object had
// when A last saw it, and versions never come back.
#[test]
fn a_used_place_can_be_taken_once() {
    let mut store = Store::new();
    let WriteReply::Written(seen) = store.put("ledger/5", None, "expired".into()) else {
        panic!("the first write fails");
    };
    let first = store.put("ledger/5", Some(seen), "intent of B".into());
    let WriteReply::Written(used) = first else {
        panic!("B's write fails");
    };
    store.put("ledger/5", Some(used), "a later batch".into());
    let late = store.put("ledger/5", Some(seen), "intent of A".into());
    assert_eq!(late, WriteReply::Conflict);
    assert!(
        matches!(store.get("ledger/5"), ReadReply::Found(found) if found.value == "a later batch")
    );
}
