//! Log output that never blocks: lines are collected in a bounded buffer, which a thread of its own writes in batches.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    thread,
    time::Duration,
};

/// Maximum number of buffered bytes; further lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Time for which the end of a process waits for the last write. The reader of the output may have stopped.
const FINISH_TIMEOUT: Duration = Duration::from_millis(100);
/// Stack of the thread that writes; it calls nothing that needs more.
const STACK_BYTES: usize = 128 << 10;

#[derive(Debug, Default)]
struct LogBuffer {
    lines: Vec<u8>,
    dropped: u64,
}

/// Buffer between the logger and standard output.
#[derive(Clone, Debug, Default)]
pub struct LogSink {
    buffer: Arc<Mutex<LogBuffer>>,
}

impl LogSink {
    /// Creates an empty sink.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts to write the buffered lines to standard output at each `interval`.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn start_writer(&self, interval: Duration) -> io::Result<LogWriter> {
        let (stop, stopped) = channel::<()>();
        let (report, finished) = channel();
        let sink = self.clone();
        let write = move || {
            while stopped.recv_timeout(interval) == Err(RecvTimeoutError::Timeout) {
                sink.write_buffered();
            }
            sink.write_buffered();
            // Fails only if the process no longer waits.
            let _ = report.send(());
        };
        thread::Builder::new().name("logs".to_owned()).stack_size(STACK_BYTES).spawn(write)?;
        Ok(LogWriter { stop, finished })
    }

    /// Writes the buffered lines to standard output, followed by the number of dropped lines if there are any.
    fn write_buffered(&self) {
        let (lines, dropped) = {
            let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            (std::mem::take(&mut buffer.lines), std::mem::take(&mut buffer.dropped))
        };
        if lines.is_empty() && dropped == 0 {
            return;
        }
        let mut output = io::stdout().lock();
        // Errors are ignored: a failure of standard output cannot be logged.
        let _ = output.write_all(&lines);
        if dropped > 0 {
            let _ = writeln!(output, "event=log_dropped lines={dropped}");
        }
        let _ = output.flush();
    }
}

/// Thread that writes the lines of a [`LogSink`]. It alone is blocked while the reader of the output takes nothing.
#[derive(Debug)]
pub struct LogWriter {
    stop: Sender<()>,
    finished: Receiver<()>,
}

impl LogWriter {
    /// Writes the remaining lines, unless that takes long.
    pub fn finish(self) {
        drop(self.stop);
        // After the timeout, the remaining lines are lost.
        let _ = self.finished.recv_timeout(FINISH_TIMEOUT);
    }
}

impl Write for LogSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.lines.len() + bytes.len() > MAX_BUFFERED_BYTES {
            if bytes.ends_with(b"\n") {
                buffer.dropped += 1;
            }
        } else {
            buffer.lines.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Installs a logger that sends lines of `level` and above to the sink. Has no effect if a logger is already installed.
pub fn init(level: log::LevelFilter, sink: &LogSink) {
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(log::LevelFilter::Off)
        .set_target_level(log::LevelFilter::Off)
        .set_location_level(log::LevelFilter::Off)
        .build();
    // Fails only if a logger is already installed, as in tests.
    let _ = simplelog::WriteLogger::init(level, config, sink.clone());
}
