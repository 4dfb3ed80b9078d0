//! Bounds the time in which a caller sends the head of a request.
//!
//! The timer of the HTTP library runs from the end of the previous request on, so that it can only bound idle time and
//! slow heads together. This one starts with the first byte of a head. The head is examined on the way, because the
//! library resolves two statements of a body's length silently.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

/// Largest head that is examined; the limits of the users' configurations are far below.
const MAX_EXAMINED: usize = 256 << 10;

/// True if a head states both a length and an encoding of the body.
fn states_length_twice(head: &[u8]) -> bool {
    let states = |name: &[u8]| {
        head.split(|byte| *byte == b'\n').any(|line| {
            line.len() > name.len()
                && line[..name.len()].eq_ignore_ascii_case(name)
                && line[name.len()] == b':'
        })
    };
    states(b"content-length") && states(b"transfer-encoding")
}

/// Tells whether a connection has a request that is being answered.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestPhase {
    is_busy: Arc<AtomicBool>,
    is_ambiguous: Arc<AtomicBool>,
}

impl RequestPhase {
    /// Marks the connection as busy until the guard is dropped.
    pub(super) fn begin(&self) -> PhaseGuard {
        self.is_busy.store(true, Ordering::Relaxed);
        PhaseGuard { phase: self.clone() }
    }
}

impl RequestPhase {
    /// True if the head that was received last states the length of the body twice.
    pub(super) fn is_ambiguous(&self) -> bool {
        self.is_ambiguous.load(Ordering::Relaxed)
    }
}

/// Marks the end of an answer when it is dropped.
pub(super) struct PhaseGuard {
    phase: RequestPhase,
}

impl Drop for PhaseGuard {
    fn drop(&mut self) {
        self.phase.is_busy.store(false, Ordering::Relaxed);
    }
}

/// A caller's connection that fails if a head takes too long.
pub(super) struct TimedStream {
    stream: TcpStream,
    phase: RequestPhase,
    limit: Duration,
    /// Runs while a head is being received.
    timer: Pin<Box<Sleep>>,
    is_receiving: bool,
    /// Bytes of the head so far.
    head: Vec<u8>,
}

impl TimedStream {
    pub(super) fn new(stream: TcpStream, phase: RequestPhase, limit: Duration) -> Self {
        Self {
            stream,
            phase,
            limit,
            timer: Box::pin(sleep(limit)),
            is_receiving: false,
            head: Vec::new(),
        }
    }

    /// Collects the head and examines it once it is whole.
    fn examine(&mut self, bytes: &[u8]) {
        if self.head.len() + bytes.len() > MAX_EXAMINED {
            // The library refuses a head of this size.
            self.head.clear();
            return;
        }
        // The end may lie across the border of what was searched before.
        let searched = self.head.len().saturating_sub(3);
        self.head.extend_from_slice(bytes);
        let end = self.head[searched..].windows(4).position(|four| four == b"\r\n\r\n");
        if let Some(end) = end {
            let is_ambiguous = states_length_twice(&self.head[..searched + end]);
            self.phase.is_ambiguous.store(is_ambiguous, Ordering::Relaxed);
            self.head.clear();
        }
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if self.phase.is_busy.load(Ordering::Relaxed) {
            self.is_receiving = false;
            self.head.clear();
            return result;
        }
        if result.is_ready() {
            if buffer.filled().len() > before {
                if !self.is_receiving {
                    self.is_receiving = true;
                    let deadline = Instant::now() + self.limit;
                    self.timer.as_mut().reset(deadline);
                }
                self.examine(&buffer.filled()[before..]);
            }
            return result;
        }
        if self.is_receiving && self.timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
