//! The timeout of connections of callers that send no request.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{ready, Context, Poll},
    time::Duration,
};

use hyper::rt::{Sleep, Timer};
use tokio::time::Instant;

use super::state::RelayState;

/// A timer for the next request of a connection, which goes by the current configuration.
///
/// A connection may outlast the configuration that it was accepted under, and callers reuse it for
/// as long as the current one allows. hyper fixes its timeout when the connection is accepted, so
/// this timer ignores it.
pub(super) struct IdleTimer(pub(super) Arc<RelayState>);

impl IdleTimer {
    fn start(&self) -> Pin<Box<dyn Sleep>> {
        let since = Instant::now();
        Box::pin(IdleSleep {
            sleep: Box::pin(tokio::time::sleep_until(since + max_idle_time(&self.0))),
            state: Arc::clone(&self.0),
            since,
        })
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        self.start()
    }

    fn sleep_until(&self, _: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        self.start()
    }
}

struct IdleSleep {
    state: Arc<RelayState>,
    since: Instant,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            let end = self.since + max_idle_time(&self.state);
            if end <= Instant::now() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(end);
        }
    }
}

impl Sleep for IdleSleep {}

/// Returns how long the next request may take to arrive.
fn max_idle_time(state: &RelayState) -> Duration {
    let limits = state.view.table().config().limits;
    limits.idle_time.max(limits.head_time)
}
