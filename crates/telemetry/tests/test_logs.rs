//! Log lines.

use std::fs;

use celerypond_telemetry::{LogFormat, LogSettings, Output};
use log::{Level, LevelFilter, Record};
use rstest::rstest;

#[rstest]
#[case::text(LogFormat::Text, "WARN  fleet: \"peer\" is suspected")]
#[case::json(LogFormat::Json, r#""message":"\"peer\" is suspected""#)]
fn a_line_at_the_level_is_written_and_one_below_is_not(
    #[case] format: LogFormat,
    #[case] part: &str,
) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let settings = LogSettings {
        level: LevelFilter::Warn,
        format,
        output: Output::File(path.clone()),
    };
    let (_, logger) = settings.dispatch().unwrap().into_log();
    for level in [Level::Warn, Level::Info] {
        logger.log(
            &Record::builder()
                .level(level)
                .target("fleet")
                .args(format_args!("{:?} is suspected", "peer"))
                .build(),
        );
    }
    logger.flush();
    let lines = fs::read_to_string(path).unwrap();
    assert_eq!(lines.lines().count(), 1);
    assert!(lines.contains(part), "{lines}");
}
