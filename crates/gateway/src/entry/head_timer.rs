//! Timeouts for idle connections and for receiving the head of a request.
//!
//! The timer of the HTTP library covers idle time and the head together, and closes a connection although its caller's
//! request has arrived, if the process was held up and the runtime does not know of it yet. These timers look into the
//! socket first. The head is also checked for conflicting body lengths, because the library silently picks one of them,
//! which allows request smuggling.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use log::warn;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

/// Time in which the runtime learns of bytes that are in the socket already.
const READ_DELAY: Duration = Duration::from_millis(20);
/// Maximum size of a head that is checked; configurations set far lower limits.
const MAX_CHECKED_HEAD_BYTES: usize = 256 << 10;

/// True if a head contains both `Content-Length` and `Transfer-Encoding`.
fn has_conflicting_lengths(head: &[u8]) -> bool {
    let has_header = |name: &[u8]| {
        head.split(|byte| *byte == b'\n').any(|line| {
            line.len() > name.len()
                && line[..name.len()].eq_ignore_ascii_case(name)
                && line[name.len()] == b':'
        })
    };
    has_header(b"content-length") && has_header(b"transfer-encoding")
}

/// State of a connection, shared by its stream and its request handler.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionState {
    is_busy: Arc<AtomicBool>,
    is_ambiguous: Arc<AtomicBool>,
    is_receiving: Arc<AtomicBool>,
    must_reset: Arc<AtomicBool>,
}

impl ConnectionState {
    /// Marks the connection as busy until the guard is dropped.
    pub(super) fn mark_busy(&self) -> BusyGuard {
        self.is_busy.store(true, Ordering::Relaxed);
        BusyGuard { state: self.clone() }
    }
}

impl ConnectionState {
    /// True while a request is being handled.
    pub(super) fn is_busy(&self) -> bool {
        self.is_busy.load(Ordering::Relaxed)
    }

    /// True while a part of a head has been received.
    pub(super) fn is_receiving(&self) -> bool {
        self.is_receiving.load(Ordering::Relaxed)
    }

    /// Makes the connection end with a reset, so that a response that ends with it does not look complete.
    pub(super) fn reset_at_end(&self) {
        self.must_reset.store(true, Ordering::Relaxed);
    }

    /// True if the last head contained conflicting body lengths.
    pub(super) fn is_ambiguous(&self) -> bool {
        self.is_ambiguous.load(Ordering::Relaxed)
    }
}

/// Marks a connection as busy until the response is complete.
pub(super) struct BusyGuard {
    state: ConnectionState,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.state.is_busy.store(false, Ordering::Relaxed);
    }
}

/// Time limits of a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionLimits {
    /// Time without a request.
    pub(super) idle: Duration,
    /// Time from the first byte of a head to its end.
    pub(super) head: Duration,
}

/// Connection of a caller; reads fail with `TimedOut` if it is idle for too long or a head takes too long.
pub(super) struct TimedStream {
    stream: TcpStream,
    state: ConnectionState,
    limits: ConnectionLimits,
    /// Runs while the connection is idle or a head is being received.
    timer: Pin<Box<Sleep>>,
    /// True while the timer measures idle time.
    is_idle: bool,
    /// Bytes of the head received so far.
    head: Vec<u8>,
}

impl TimedStream {
    pub(super) fn new(stream: TcpStream, state: ConnectionState, limits: ConnectionLimits) -> Self {
        let timer = Box::pin(sleep(limits.idle));
        Self { stream, state, limits, timer, is_idle: true, head: Vec::new() }
    }

    /// True if the socket holds bytes that have not been read.
    fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.stream).peek(&mut byte).is_ok_and(|count| count > 0)
    }

    /// Polls the timer; it does not end while there are unread bytes, which the runtime is about to report.
    fn poll_timer(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(context).is_ready() {
            if !self.has_unread_bytes() {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(Instant::now() + READ_DELAY);
        }
        Poll::Pending
    }

    /// Collects the head and checks it once it is complete.
    fn check_head(&mut self, bytes: &[u8]) {
        if self.head.len() + bytes.len() > MAX_CHECKED_HEAD_BYTES {
            // The library rejects a head of this size.
            self.head.clear();
            return;
        }
        // The blank line may span two reads, so the search overlaps the last three bytes of the previous read.
        let searched = self.head.len().saturating_sub(3);
        self.head.extend_from_slice(bytes);
        let end = self.head[searched..].windows(4).position(|four| four == b"\r\n\r\n");
        if let Some(end) = end {
            let is_ambiguous = has_conflicting_lengths(&self.head[..searched + end]);
            self.state.is_ambiguous.store(is_ambiguous, Ordering::Relaxed);
            self.head.clear();
        }
    }
}

impl Drop for TimedStream {
    fn drop(&mut self) {
        if self.state.must_reset.load(Ordering::Relaxed)
            && let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
        {
            warn!("event=socket_option_failed error=\"{error}\"");
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
        if self.state.is_busy.load(Ordering::Relaxed) {
            self.state.is_receiving.store(false, Ordering::Relaxed);
            self.is_idle = false;
            self.head.clear();
            return result;
        }
        if result.is_ready() {
            if buffer.filled().len() > before {
                if !self.state.is_receiving.swap(true, Ordering::Relaxed) {
                    self.is_idle = false;
                    let deadline = Instant::now() + self.limits.head;
                    self.timer.as_mut().reset(deadline);
                }
                self.check_head(&buffer.filled()[before..]);
            }
            return result;
        }
        if !self.state.is_receiving() && !self.is_idle {
            self.is_idle = true;
            let deadline = Instant::now() + self.limits.idle;
            self.timer.as_mut().reset(deadline);
        }
        self.poll_timer(context).map(|()| Err(io::ErrorKind::TimedOut.into()))
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
        if self.state.must_reset.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
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
