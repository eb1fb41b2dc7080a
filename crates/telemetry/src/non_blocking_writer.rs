//! A writer that hands log lines to a background thread, so that a slow reader blocks no caller.

use std::{
    io::{self, Write},
    mem,
    sync::{
        mpsc::{self, RecvTimeoutError},
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// The maximum size of the buffer, in bytes. A full buffer holds a few thousand lines, which is
/// what is logged within one second at the maximum rate.
const MAX_BUFFER_BYTES: usize = 1 << 20;
/// How long lines are collected before they are written. At hundreds of lines per second, one write
/// covers some tens of lines. A process that is killed loses at most the
/// lines of this time.
const FLUSH_DELAY: Duration = Duration::from_millis(50);
/// How long the end of a process waits until the remaining lines are written. A reader that takes
/// lines at all takes them within a few milliseconds.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// A writer that never blocks. Writes that do not fit into its buffer are dropped and counted.
///
/// If the reader of standard output stops reading, the pipe fills up, and a direct write would
/// block a thread that serves requests. With this writer, only the background thread blocks.
#[derive(Clone)]
pub struct NonBlockingWriter {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    wakeup: Condvar,
    /// Notified when lines were written.
    written: Condvar,
}

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    /// The number of writes dropped since the last one that fit into the buffer.
    dropped: u64,
    /// Whether the lines are written without delay.
    is_urgent: bool,
    /// Whether lines are being written that are no longer in the buffer.
    is_writing: bool,
    is_closed: bool,
}

/// A handle to the background thread. Dropping it waits until all lines are written and the thread
/// has ended, or for a bounded time if the reader does not take the lines.
pub struct WriterGuard {
    writer: NonBlockingWriter,
    thread: Option<JoinHandle<()>>,
    /// Disconnected when the thread has ended.
    ended: mpsc::Receiver<()>,
}

impl NonBlockingWriter {
    /// Starts a background thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::io::Write as _;
    ///
    /// use celerypond_telemetry::NonBlockingWriter;
    ///
    /// let (mut writer, guard) = NonBlockingWriter::start(std::io::sink()).unwrap();
    /// writer.write_all(b"a line\n").unwrap();
    /// drop(guard); // All lines are written now.
    /// ```
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(Self, WriterGuard)> {
        let writer = Self {
            shared: Arc::new(Shared {
                state: Mutex::default(),
                wakeup: Condvar::new(),
                written: Condvar::new(),
            }),
        };
        let shared = Arc::clone(&writer.shared);
        let (ending, ended) = mpsc::channel();
        let thread = thread::Builder::new().name("log".into()).spawn(move || {
            // Dropped at the end, also by a panic.
            let _ending: mpsc::Sender<()> = ending;
            run_writer(&shared, output);
        })?;
        let guard = WriterGuard {
            writer: writer.clone(),
            thread: Some(thread),
            ended,
        };
        Ok((writer, guard))
    }

    /// Waits until all lines are written, for at most `limit`. Returns whether they are.
    pub fn flush_within(&self, limit: Duration) -> bool {
        let mut state = self.state();
        state.is_urgent = true;
        self.shared.wakeup.notify_one();
        let is_pending = |state: &mut State| state.is_writing || !state.bytes.is_empty();
        let waited = self
            .shared
            .written
            .wait_timeout_while(state, limit, is_pending);
        let (_state, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        !timeout.timed_out()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.lock()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for NonBlockingWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.state();
        if state.bytes.len() + line.len() > MAX_BUFFER_BYTES {
            state.dropped += 1;
            return Ok(line.len());
        }
        let was_empty = state.bytes.is_empty();
        let dropped = mem::take(&mut state.dropped);
        if dropped > 0 {
            let notice = format!("{{\"level\":\"WARN\",\"message\":\"lines left out, the reader is slow\",\"count\":{dropped}}}\n");
            state.bytes.extend_from_slice(notice.as_bytes());
        }
        state.bytes.extend_from_slice(line);
        drop(state);
        if was_empty {
            self.shared.wakeup.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl WriterGuard {
    /// Returns the writer whose lines the thread writes.
    pub fn writer(&self) -> NonBlockingWriter {
        self.writer.clone()
    }
}

impl Drop for WriterGuard {
    fn drop(&mut self) {
        self.writer.state().is_closed = true;
        self.writer.shared.wakeup.notify_one();
        let waited = self.ended.recv_timeout(CLOSE_TIMEOUT);
        // A thread that still writes ends with the process.
        if let (Err(RecvTimeoutError::Disconnected), Some(thread)) = (waited, self.thread.take()) {
            // If the thread panicked, there is nothing left to wait for.
            let _ = thread.join();
        }
    }
}

fn run_writer(shared: &Shared, mut output: impl Write) {
    loop {
        let state = shared.lock();
        let state = shared
            .wakeup
            .wait_while(state, |state| state.bytes.is_empty() && !state.is_closed);
        let state = state.unwrap_or_else(PoisonError::into_inner);
        let collected = shared
            .wakeup
            .wait_timeout_while(state, FLUSH_DELAY, |state| {
                !state.is_urgent && !state.is_closed
            });
        let (mut state, _) = collected.unwrap_or_else(PoisonError::into_inner);
        let is_closed = state.is_closed;
        let bytes = mem::take(&mut state.bytes);
        state.is_urgent = false;
        state.is_writing = true;
        drop(state);
        // A failed write of log lines cannot be reported anywhere.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
        let mut state = shared.lock();
        state.is_writing = false;
        let is_empty = state.bytes.is_empty();
        drop(state);
        shared.written.notify_all();
        if is_closed && is_empty {
            return;
        }
    }
}
