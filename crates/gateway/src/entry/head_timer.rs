//! Bounds the time in which a caller sends the head of a request.
//!
//! The timer of the HTTP library runs from the end of the previous request on, so that it can only bound idle time and
//! slow heads together. This one starts with the first byte of a head.

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

/// Tells whether a connection has a request that is being answered.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestPhase {
    is_busy: Arc<AtomicBool>,
}

impl RequestPhase {
    /// Marks the connection as busy until the guard is dropped.
    pub(super) fn begin(&self) -> PhaseGuard {
        self.is_busy.store(true, Ordering::Relaxed);
        PhaseGuard { phase: self.clone() }
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
}

impl TimedStream {
    pub(super) fn new(stream: TcpStream, phase: RequestPhase, limit: Duration) -> Self {
        Self { stream, phase, limit, timer: Box::pin(sleep(limit)), is_receiving: false }
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
            return result;
        }
        if result.is_ready() {
            if !self.is_receiving && buffer.filled().len() > before {
                self.is_receiving = true;
                let deadline = Instant::now() + self.limit;
                self.timer.as_mut().reset(deadline);
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
