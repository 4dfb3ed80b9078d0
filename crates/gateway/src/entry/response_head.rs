//! Limits of the head of an upstream's response, and a check that none arrives before its request is sent.
//!
//! The HTTP library waits for the end of a head as long as bytes arrive, and skips any number of informational
//! responses. An upstream in trouble may send either without end.

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

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Maximum number of bytes up to the end of a head, including informational responses; a usual head has about 300.
pub(super) const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum time from the first byte of a head to its end. Upstreams send a head at once.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of informational responses before a response.
const MAX_INFORMATIONAL: u32 = 8;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Tells a [`LimitedStream`] whether a response head is due; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadGate {
    state: Arc<GateState>,
}

#[derive(Debug, Default)]
struct GateState {
    is_due: AtomicBool,
    /// A head has become due since the last read.
    is_new: AtomicBool,
    /// No part of the request has been written.
    is_unsent: AtomicBool,
}

impl HeadGate {
    /// Applies the limits until [`HeadGate::end`].
    pub(super) fn begin(&self) {
        self.state.is_unsent.store(true, Ordering::Relaxed);
        self.state.is_new.store(true, Ordering::Relaxed);
        self.state.is_due.store(true, Ordering::Relaxed);
    }

    /// Records that the head has been received.
    pub(super) fn end(&self) {
        self.state.is_due.store(false, Ordering::Relaxed);
    }

    /// True if no part of the last request has been written, so that the upstream cannot run it.
    pub(super) fn is_unsent(&self) -> bool {
        self.state.is_unsent.load(Ordering::Relaxed)
    }
}

/// Connection to an upstream; reads fail if the head of a response exceeds a limit.
pub(super) struct LimitedStream {
    stream: TcpStream,
    gate: HeadGate,
    /// Bytes received since a head became due.
    received: usize,
    heads: u32,
    /// Number of bytes of [`HEAD_END`] that were received last.
    matched: usize,
    /// Runs while a part of a head has been received.
    timer: Option<Pin<Box<Sleep>>>,
}

impl LimitedStream {
    pub(super) fn new(stream: TcpStream, gate: HeadGate) -> Self {
        Self { stream, gate, received: 0, heads: 0, matched: 0, timer: None }
    }

    /// Fails before the first byte of a request if something has arrived that the request cannot have caused. The
    /// socket itself is asked, because the runtime may not have processed its last event yet.
    fn check_unread(&self) -> io::Result<()> {
        if !self.gate.is_unsent() {
            return Ok(());
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(0) => Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(_) => {
                let message = "the upstream sent bytes before the request";
                Err(io::Error::new(io::ErrorKind::InvalidData, message))
            }
        }
    }

    fn record_written(&self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(written)) if *written > 0) {
            self.gate.state.is_unsent.store(false, Ordering::Relaxed);
        }
    }

    fn reset(&mut self) {
        (self.received, self.heads, self.matched, self.timer) = (0, 0, 0, None);
    }

    /// True if the library asks for more bytes although a limit is exceeded. Bytes that were read together with the end
    /// of the head, which may be a long body, do not matter.
    fn exceeds_limit(&self) -> bool {
        self.received > MAX_HEAD_BYTES || self.heads > MAX_INFORMATIONAL
    }

    /// Counts bytes that were received while a head is due.
    fn count(&mut self, bytes: &[u8]) {
        self.received += bytes.len();
        for byte in bytes {
            self.matched = match () {
                () if *byte == HEAD_END[self.matched] => self.matched + 1,
                () => usize::from(*byte == HEAD_END[0]),
            };
            if self.matched == HEAD_END.len() {
                self.matched = 0;
                self.heads += 1;
                self.timer = None;
            }
        }
        if !bytes.ends_with(HEAD_END) && self.timer.is_none() {
            self.timer = Some(Box::pin(sleep(HEAD_TIMEOUT)));
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.gate.state.is_new.swap(false, Ordering::Relaxed) {
            this.reset();
        }
        if !this.gate.state.is_due.load(Ordering::Relaxed) {
            return Pin::new(&mut this.stream).poll_read(context, buffer);
        }
        if this.exceeds_limit() {
            let message = "the head of the response is too long";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(context, buffer);
        if result.is_ready() {
            if buffer.filled().len() > before {
                this.count(&buffer.filled()[before..]);
            }
            return result;
        }
        let timer = this.timer.as_mut();
        if timer.is_some_and(|timer| timer.as_mut().poll(context).is_ready()) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_unread()?;
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_written(&result);
        result
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
        self.check_unread()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record_written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
