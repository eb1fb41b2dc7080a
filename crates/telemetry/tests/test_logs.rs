//! Tests for log lines, the non-blocking writer and the rate limiter.

use std::{
    fs,
    io::Write,
    sync::{mpsc, Arc, Mutex},
    time::{Duration, Instant},
};

use celerypond_telemetry::{LogFormat, LogRateLimiter, LogSettings, NonBlockingWriter, Output};
use log::{Level, LevelFilter, Record};
use rstest::rstest;

#[rstest]
#[case::text(LogFormat::Text, "WARN  fleet: \"peer\" is suspected")]
#[case::json(LogFormat::Json, r#""message":"\"peer\" is suspected""#)]
fn line_is_written_if_its_level_is_enabled(#[case] format: LogFormat, #[case] part: &str) {
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

// Guards against a blocked thread when the reader of the output stops reading. Lines that do not
// fit into the buffer are dropped, and a line with their number follows once there is room again.
#[test]
fn stopped_reader_does_not_block_the_writer() {
    let (output, release) = BlockedOutput::new();
    let (mut writer, guard) = NonBlockingWriter::start(output).unwrap();
    let line = vec![b'x'; 64 << 10];
    for _ in 0..200 {
        writer.write_all(&line).unwrap();
    }
    let written = release();
    std::thread::sleep(Duration::from_millis(200));
    writer.write_all(b"last\n").unwrap();
    drop(guard);
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(text.contains("lines left out"), "{} bytes", text.len());
    assert!(text.ends_with("last\n"));
}

// Guards against the loss of lines that were collected for the next write when a process ends.
#[test]
fn flushed_lines_are_written_without_delay() {
    let (output, release) = BlockedOutput::new();
    let (mut writer, guard) = NonBlockingWriter::start(output).unwrap();
    writer.write_all(b"a line\n").unwrap();
    assert!(!writer.flush_within(Duration::from_millis(10)));
    let written = release();
    assert!(writer.flush_within(Duration::from_secs(5)));
    assert_eq!(*written.lock().unwrap(), b"a line\n");
    assert!(writer.flush_within(Duration::ZERO));
    drop(guard);
}

// Guards against a process that hangs at its end because nobody reads its log.
#[test]
fn end_does_not_wait_for_a_stopped_reader() {
    let (output, release) = BlockedOutput::new();
    let (mut writer, guard) = NonBlockingWriter::start(output).unwrap();
    writer.write_all(b"a line\n").unwrap();
    let (ended, end) = mpsc::channel();
    std::thread::spawn(move || {
        drop(guard);
        let _ = ended.send(());
    });
    let has_ended = end.recv_timeout(Duration::from_secs(2));
    release();
    assert_eq!(has_ended, Ok(()));
}

/// An output whose writes block until it is released.
struct BlockedOutput {
    released: mpsc::Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl BlockedOutput {
    fn new() -> (Self, impl FnOnce() -> Arc<Mutex<Vec<u8>>>) {
        let (send, released) = mpsc::channel();
        let written = Arc::new(Mutex::default());
        let output = Self {
            released,
            is_open: false,
            written: Arc::clone(&written),
        };
        let release = move || {
            send.send(()).unwrap();
            written
        };
        (output, release)
    }
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.is_open {
            self.released.recv().unwrap();
            self.is_open = true;
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn routine_lines_do_not_displace_lines_of_failures() {
    let limiter = LogRateLimiter::new(10, 5);
    let now = Instant::now();
    let routine = (0..100).filter(|_| limiter.allow(Level::Info, now)).count();
    let failures = (0..3).filter(|_| limiter.allow(Level::Warn, now)).count();
    assert_eq!((routine, failures), (10, 3));
    assert_eq!(limiter.take_dropped(), 90);
    assert!(limiter.allow(Level::Info, now + Duration::from_secs(1)));
}

#[test]
fn json_line_contains_key_value_pairs() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let settings = LogSettings {
        level: LevelFilter::Info,
        format: LogFormat::Json,
        output: Output::File(path.clone()),
    };
    let (_, logger) = settings.dispatch().unwrap().into_log();
    let values = [("request", "a1"), ("target", "t1")];
    logger.log(
        &Record::builder()
            .level(Level::Info)
            .target("celerypond_fleet")
            .key_values(&values)
            .args(format_args!("chosen"))
            .build(),
    );
    logger.flush();
    let lines = fs::read_to_string(path).unwrap();
    assert!(
        lines.contains(r#""message":"chosen","request":"a1","target":"t1""#),
        "{lines}"
    );
}
