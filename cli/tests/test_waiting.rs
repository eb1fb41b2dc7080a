//! Tests of the result that `roll --wait` reports.

use rstest::rstest;
use serde_json::{json, Value};

use crate::harness::{run, serve, text};

const DIGEST: &str = "b570fe52e605e049281c2d8b13ec6d2b7f967b99f6d4777f7e4030ea70308e16";

fn status(revision: u64, on: u64, endings: &[Option<&str>]) -> Value {
    let rollouts: Vec<Value> = endings
        .iter()
        .map(|ending| json!({"stage": "s", "ending": ending}))
        .collect();
    let first = rollouts
        .iter()
        .min_by_key(|rollout| !rollout["ending"].is_null())
        .cloned();
    json!({"revision": revision, "in_force": {"on": on, "of": 3}, "rollout": first, "rollouts": rollouts})
}

// Guards against reporting the result of another revision, or a result before all rollouts have
// ended. After the operator rolls revision 4, an instance that still has revision 3 may report the
// end of its previous rollout; a bundle may increase no share, so that nothing is rolled out; and
// one of two versions may be rolled back.
#[rstest]
#[case::no_rollout(0, vec![status(4, 1, &[]), status(4, 3, &[])], 0, "done")]
#[case::outdated_instance(1, vec![status(3, 3, &[Some("done")]), status(4, 3, &[Some("taken_back")])], 8, "taken back")]
#[case::rollout_not_started(1, vec![status(4, 3, &[]), status(4, 3, &[Some("done")])], 0, "done")]
#[case::one_of_two_rolled_back(2, vec![status(4, 3, &[Some("done"), Some("taken_back")])], 8, "taken back")]
#[case::later_revision(1, vec![status(5, 3, &[None])], 6, "superseded by a later bundle")]
fn wait_reports_the_end_of_the_rolled_revision(
    #[case] share_increases: usize,
    #[case] statuses: Vec<Value>,
    #[case] code: i32,
    #[case] last_line: &str,
) {
    let roll_response =
        json!({"revision": 4, "parts": {"drafts": {"moves": vec![json!({}); share_increases]}}});
    let responses = [roll_response]
        .into_iter()
        .chain(statuses)
        .map(|value| (200, value.to_string()));
    let at = serve(responses.collect()).to_string();
    let output = run(&["--at", &at, "roll", DIGEST, "--wait"]);
    let out = text(&output.stdout);
    assert_eq!(
        (output.status.code(), out.lines().last()),
        (Some(code), Some(last_line))
    );
}
