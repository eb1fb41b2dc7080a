//! What `roll --wait` reports as the end of a rollout.

use rstest::rstest;
use serde_json::{json, Value};

use crate::harness::{run, serve, text};

const DIGEST: &str = "b570fe52e605e049281c2d8b13ec6d2b7f967b99f6d4777f7e4030ea70308e16";

fn status(revision: u64, on: u64, endings: &[Option<&str>]) -> Value {
    let rollouts: Vec<Value> = endings
        .iter()
        .map(|it| json!({"stage": "s", "ending": it}))
        .collect();
    let first = rollouts
        .iter()
        .min_by_key(|it| !it["ending"].is_null())
        .cloned();
    json!({"revision": revision, "in_force": {"on": on, "of": 3}, "rollout": first, "rollouts": rollouts})
}

// An operator rolls revision 4 and waits. An instance that still has revision 3 may answer first,
// and tells how the rollout before ended; a bundle may move no traffic; or one of two versions may
// be taken back. The operator must read the end of this roll, and only once it has come.
#[rstest]
#[case::nothing_moves(0, vec![status(4, 1, &[]), status(4, 3, &[])], 0, "done")]
#[case::an_instance_is_behind(1, vec![status(3, 3, &[Some("done")]), status(4, 3, &[Some("taken_back")])], 8, "taken back")]
#[case::not_begun_yet(1, vec![status(4, 3, &[]), status(4, 3, &[Some("done")])], 0, "done")]
#[case::one_of_two_is_back(2, vec![status(4, 3, &[Some("done"), Some("taken_back")])], 8, "taken back")]
#[case::a_later_bundle(1, vec![status(5, 3, &[None])], 6, "superseded by a later bundle")]
fn the_end_is_that_of_this_roll(
    #[case] moves: usize,
    #[case] seen: Vec<Value>,
    #[case] code: i32,
    #[case] said: &str,
) {
    let rolled = json!({"revision": 4, "parts": {"drafts": {"moves": vec![json!({}); moves]}}});
    let replies = [rolled]
        .into_iter()
        .chain(seen)
        .map(|value| (200, value.to_string()));
    let at = serve(replies.collect()).to_string();
    let output = run(&["--at", &at, "roll", DIGEST, "--wait"]);
    let out = text(&output.stdout);
    assert_eq!(
        (output.status.code(), out.lines().last()),
        (Some(code), Some(said))
    );
}
