//! Log lines.

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

/// The reader of the output stops while lines go on. The thread that serves requests must not wait:
/// what does not fit is left out, and the next line that fits tells how many there were.
#[test]
fn a_reader_that_stops_holds_nobody_up() {
    let (held, release) = Gate::new();
    let (mut writer, thread) = NonBlockingWriter::start(held).unwrap();
    let line = vec![b'x'; 64 << 10];
    for _ in 0..200 {
        writer.write_all(&line).unwrap();
    }
    let written = release();
    std::thread::sleep(Duration::from_millis(200));
    writer.write_all(b"last\n").unwrap();
    drop(thread);
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(text.contains("lines left out"), "{} bytes", text.len());
    assert!(text.ends_with("last\n"));
}

/// An output that takes nothing until it is released.
struct Gate {
    released: mpsc::Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Gate {
    fn new() -> (Self, impl FnOnce() -> Arc<Mutex<Vec<u8>>>) {
        let (send, released) = mpsc::channel();
        let written = Arc::new(Mutex::default());
        let gate = Self {
            released,
            is_open: false,
            written: Arc::clone(&written),
        };
        let release = move || {
            send.send(()).unwrap();
            written
        };
        (gate, release)
    }
}

impl Write for Gate {
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
fn lines_of_failures_are_kept_when_routine_lines_are_many() {
    let limiter = LogRateLimiter::new(10, 5);
    let now = Instant::now();
    let routine = (0..100).filter(|_| limiter.allow(Level::Info, now)).count();
    let failures = (0..3).filter(|_| limiter.allow(Level::Warn, now)).count();
    assert_eq!((routine, failures), (10, 3));
    assert_eq!(limiter.take_dropped(), 90);
    assert!(limiter.allow(Level::Info, now + Duration::from_secs(1)));
}

#[test]
fn a_json_line_has_the_named_values() {
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
