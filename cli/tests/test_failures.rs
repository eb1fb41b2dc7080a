//! Tests of the exit codes and hints that `docs/cli.md` lists.

use rstest::rstest;

use crate::harness::{run, serve, text};

#[rstest]
#[case::no_command(&[], 2, "subcommand is required")]
#[case::unknown_command(&["frob"], 2, "unexpected argument: \"frob\"")]
#[case::no_address(&["entries"], 2, "hint: celerypond --help lists all commands")]
#[case::host_name(&["--at", "host:1", "entries"], 2, "host:1 is not an IP number and port")]
#[case::bad_digest(&["--at", "127.0.0.1:1", "approve", "ab"], 2, "ab is not a digest")]
#[case::bad_kind(&["schema", "x"], 2, "x is not `bundle` or `settings`")]
#[case::no_file(&["check", "/nowhere"], 1, "/nowhere: No such file")]
#[case::no_listener(&["--at", "127.0.0.1:1", "entries"], 3, "hint: check --at")]
fn exit_code_and_message_of_local_errors(
    #[case] args: &[&str],
    #[case] code: i32,
    #[case] message: &str,
) {
    let output = run(args);
    let error = text(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{error}");
    assert!(error.contains(message), "{error}");
}

#[rstest]
#[case::unauthorized("unauthorized", 7, "hint: check --key-file")]
#[case::bad_request("bad_request", 2, "bad_request: why")]
#[case::not_found("not_found", 2, "not_found: why")]
#[case::too_large("too_large", 2, "too_large: why")]
#[case::conflict("conflict", 6, "conflict: why")]
#[case::not_run("not_run", 3, "hint: nothing was run")]
#[case::unknown("unknown", 4, "hint: it may have run")]
#[case::incomplete("incomplete", 5, "incomplete: why")]
#[case::kind_of_later_version("new_kind", 1, "new_kind: why")]
fn exit_code_and_message_of_errors_from_instances(
    #[case] kind: &str,
    #[case] code: i32,
    #[case] message: &str,
) {
    let body = format!(r#"{{"error":{{"kind":"{kind}","message":"why"}}}}"#);
    let at = serve(vec![(500, body)]).to_string();
    let output = run(&["--at", &at, "status"]);
    let error = text(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{error}");
    assert!(error.contains(message), "{error}");
}
