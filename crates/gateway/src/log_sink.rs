//! Log output that never blocks: lines are collected in a bounded buffer and written in batches.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// Maximum number of buffered bytes; further lines are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

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

    /// Writes the buffered lines to standard output at each interval, until the task is dropped.
    pub(crate) async fn flush_forever(self, interval: Duration) {
        loop {
            tokio::time::sleep(interval).await;
            self.write_buffered();
        }
    }

    /// Writes the buffered lines to standard output, followed by the number of dropped lines if there are any.
    pub fn write_buffered(&self) {
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
