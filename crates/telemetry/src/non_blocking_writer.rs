//! Lines that a thread of its own writes, so that nobody waits for a slow reader.

use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

/// The most bytes that wait to be written. A full buffer holds some thousand lines, a second of the
/// most that is logged.
const BUFFER_BYTES: usize = 1 << 20;
/// How long lines are gathered before they are written. At hundreds of lines a second one write
/// takes some tens of them along, and a killed process loses no more than this.
const GATHER: Duration = Duration::from_millis(50);

/// A writer that never waits: what does not fit into its buffer is left out and counted.
///
/// The failure: whoever reads the standard output stops, the pipe fills up, and a write blocks the
/// thread that serves requests. Here only the writing thread blocks.
#[derive(Clone)]
pub struct NonBlockingWriter {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    filled: Condvar,
}

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    /// Writes that did not fit since the last one that did.
    dropped: u64,
    is_closed: bool,
}

/// The writing thread; it is joined when this is dropped, after all lines were written.
pub struct WriterGuard {
    writer: NonBlockingWriter,
    thread: Option<JoinHandle<()>>,
}

impl NonBlockingWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::io::Write as _;
    ///
    /// use celerypond_telemetry::NonBlockingWriter;
    ///
    /// let (mut writer, thread) = NonBlockingWriter::start(std::io::sink()).unwrap();
    /// writer.write_all(b"a line\n").unwrap();
    /// drop(thread); // All lines are written now.
    /// ```
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(Self, WriterGuard)> {
        let writer = Self {
            shared: Arc::new(Shared {
                state: Mutex::default(),
                filled: Condvar::new(),
            }),
        };
        let shared = Arc::clone(&writer.shared);
        let thread = thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(&shared, output))?;
        let guard = WriterGuard {
            writer: writer.clone(),
            thread: Some(thread),
        };
        Ok((writer, guard))
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
        if state.bytes.len() + line.len() > BUFFER_BYTES {
            state.dropped += 1;
            return Ok(line.len());
        }
        let was_empty = state.bytes.is_empty();
        let dropped = mem::take(&mut state.dropped);
        if dropped > 0 {
            let note = format!("{{\"level\":\"WARN\",\"message\":\"lines left out, the reader is slow\",\"count\":{dropped}}}\n");
            state.bytes.extend_from_slice(note.as_bytes());
        }
        state.bytes.extend_from_slice(line);
        drop(state);
        if was_empty {
            self.shared.filled.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for WriterGuard {
    fn drop(&mut self) {
        self.writer.state().is_closed = true;
        self.writer.shared.filled.notify_one();
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has nothing left to write.
            let _ = thread.join();
        }
    }
}

fn write_all(shared: &Shared, mut output: impl Write) {
    loop {
        let mut state = shared.lock();
        while state.bytes.is_empty() && !state.is_closed {
            state = shared
                .filled
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let is_closed = state.is_closed;
        drop(state);
        if !is_closed {
            thread::sleep(GATHER);
        }
        let bytes = mem::take(&mut shared.lock().bytes);
        // Nobody is left to be told when the output is gone.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
        if is_closed && shared.lock().bytes.is_empty() {
            return;
        }
    }
}
