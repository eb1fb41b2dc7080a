//! Signals that must not cut off what a relaying instance does.

use std::{fs, time::Duration};

use celerypond_standins::{
    caller::{routed_request, send},
    fixtures::{config, target_entry},
    loopback,
    responses::{ok, platform_response},
    store::Store,
    target::{Action, Target},
};
use rstest::rstest;
use rustix::process::Signal;
use tokio::time::{sleep, timeout, Instant};

use crate::process::{settings, wait_until, Process, PORTS};

/// How long the target takes for a request.
const WORK: Duration = Duration::from_millis(700);
/// How long a planned stop may take: the grace period in the settings plus one second.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

// Guards against a process that ends, with its open requests, by a signal that does not ask for a planned stop or
// asks for it by another name.
#[rstest]
#[case::user_1(56, Signal::USR1, false)]
#[case::user_2(57, Signal::USR2, false)]
#[case::alarm(58, Signal::ALARM, false)]
#[case::interrupt(59, Signal::INT, true)]
#[case::quit(60, Signal::QUIT, true)]
#[tokio::test]
async fn open_request_is_completed_after_a_signal(
    #[case] ip: u8,
    #[case] signal: Signal,
    #[case] stops: bool,
) {
    let store = Store::start().await.unwrap();
    store.put("config/main", &config(1));
    let target = Target::start(|request, _| {
        platform_response(request, "i-0").unwrap_or_else(|| {
            let mut actions = vec![Action::Wait(WORK)];
            actions.extend(ok(request, "a"));
            actions
        })
    });
    let target = target.await.unwrap();
    store.put("servers/i-0", &target_entry("shop", target.address));
    let ip = loopback::address(ip);
    let files = tempfile::tempdir().unwrap();
    let path = files.path().join("settings.conf");
    fs::write(&path, settings(ip, store.server.address)).unwrap();
    let mut process = Process::start(&path);
    let callers = (ip, PORTS[0]).into();
    let request = |id: &str| routed_request("GET /safe/1", id, 2_000, id);
    let serves = || async {
        let response = timeout(Duration::from_secs(2), send(callers, &request("first"))).await;
        response.is_ok_and(|response| response.status == 200)
    };
    assert!(wait_until(serves).await);
    let bytes = request("open");
    let open = tokio::spawn(async move { send(callers, &bytes).await });
    let is_sent = || async { target.running().contains(&"open".to_owned()) };
    assert!(wait_until(is_sent).await);
    process.signal(signal);
    assert_eq!(open.await.unwrap().status, 200);
    let end = Instant::now() + STOP_TIMEOUT;
    while stops && process.is_running() && Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(process.is_running(), !stops);
    if stops {
        let status = process.0.wait().unwrap();
        assert!(status.success(), "{status}");
    }
}
