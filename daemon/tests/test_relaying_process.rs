//! Relaying instances as processes.

use std::{
    fs, io,
    io::Write as _,
    net::Ipv4Addr,
    path::PathBuf,
    process::{Command, Stdio},
    thread,
    time::Duration,
};

use celerypond_standins::{fixtures::SETTINGS_VARIABLE, loopback};
use rustix::process::Signal;
use tokio::{
    net::TcpStream,
    time::{sleep, Instant},
};

use crate::process::{settings, wait_until, Process, PORTS, PROGRAM};

/// How long a planned stop may take: the grace period in the settings plus one second.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

async fn accepts_connections(ip: Ipv4Addr) -> bool {
    TcpStream::connect((ip, PORTS[1])).await.is_ok()
}

/// Returns whether a process has opened its standard input once more, which it does to read its settings from there.
fn reads_settings(process: &Process) -> bool {
    let files = PathBuf::from(format!("/proc/{}/fd", process.0.id()));
    let input = fs::read_link(files.join("0")).ok();
    let files = fs::read_dir(files).into_iter().flatten().flatten();
    let of_input = files.filter(|file| fs::read_link(file.path()).ok() == input);
    input.is_some() && of_input.count() > 1
}

// Guards against a process that ends because its settings change while it reads them for the first time.
#[tokio::test]
async fn process_that_starts_survives_a_hangup_signal() {
    let ip = loopback::address(40);
    let child = Command::new(PROGRAM)
        .arg("--relay")
        .env(SETTINGS_VARIABLE, "/dev/stdin")
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn();
    let mut process = Process(child.unwrap());
    assert!(wait_until(|| async { reads_settings(&process) }).await);
    process.signal(Signal::HUP);
    let mut input = process.0.stdin.take().unwrap();
    // The process may have ended, which is checked below.
    let _ = input.write_all(settings(ip, loopback::unused_address()).as_bytes());
    drop(input);
    assert!(
        wait_until(|| accepts_connections(ip)).await,
        "the process does not serve: {:?}",
        process.0.try_wait()
    );
}

// Guards against a planned stop that hangs after its end because nobody reads the log.
#[tokio::test]
async fn process_stops_although_nobody_reads_its_log() {
    let ip = loopback::address(41);
    let files = tempfile::tempdir().unwrap();
    let path = files.path().join("settings.conf");
    fs::write(&path, settings(ip, loopback::unused_address())).unwrap();
    let (reader, writer) = io::pipe().unwrap();
    let mut filler = writer.try_clone().unwrap();
    // Ends when the reader is closed.
    thread::spawn(move || while filler.write_all(&[b'\n'; 4096]).is_ok() {});
    let child = Command::new(PROGRAM)
        .arg("--relay")
        .env(SETTINGS_VARIABLE, &path)
        .stdout(Stdio::from(writer))
        .spawn();
    let mut process = Process(child.unwrap());
    assert!(wait_until(|| accepts_connections(ip)).await);
    process.signal(Signal::TERM);
    let end = Instant::now() + STOP_TIMEOUT;
    while process.is_running() && Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
    }
    assert!(
        !process.is_running(),
        "the process runs {STOP_TIMEOUT:?} after the signal"
    );
    drop(reader);
}
