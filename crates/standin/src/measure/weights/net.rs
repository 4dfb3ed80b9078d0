//! Rate-limited loopback sockets that emulate the links of hosts and regions.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

/// Maximum number of bytes scheduled on the links at once.
const MAX_BOOKED_BYTES: usize = 256 << 10;

/// Writes up to this size are scheduled on the links but do not wait for them.
const MAX_SHORT_WRITE: usize = 4 << 10;
/// Idle time that a link can catch up on. Timers fire a millisecond late, and later on a busy machine. Without this
/// allowance, a saturated link would carry clearly less than its rate.
const CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// One direction of a link, with a fixed rate and in first-in, first-out order.
#[derive(Debug)]
pub(super) struct PacedLink {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
    booked_bytes: AtomicU64,
}

impl PacedLink {
    pub fn new(bytes_per_s: f64) -> Arc<Self> {
        let free_at = Mutex::new(Instant::now());
        Arc::new(Self { bytes_per_s, free_at, booked_bytes: AtomicU64::new(0) })
    }

    /// Schedules `count` bytes and returns the time at which the last of them has passed the link.
    pub fn book(&self, count: usize) -> Instant {
        let now = Instant::now();
        self.book_from(now.checked_sub(CATCH_UP_TIME).unwrap_or(now), count)
    }

    /// Schedules bytes that another link has just finished sending. This link carried them at the same time, so they
    /// are delayed only if this link is slower or busy.
    pub fn book_arrived(&self, count: usize) -> Instant {
        let now = Instant::now();
        self.book_from(now.checked_sub(self.transmission_time(count)).unwrap_or(now), count)
            .max(now)
    }

    fn book_from(&self, earliest: Instant, count: usize) -> Instant {
        self.booked_bytes.fetch_add(count as u64, Ordering::Relaxed);
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(earliest) + self.transmission_time(count);
        *free_at
    }

    /// Blocks the link until `until`.
    pub fn block(&self, until: Instant) {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(until);
    }

    /// Total number of bytes scheduled so far.
    pub fn booked_bytes(&self) -> u64 {
        self.booked_bytes.load(Ordering::Relaxed)
    }

    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52 bytes")]
    fn transmission_time(&self, count: usize) -> Duration {
        Duration::from_secs_f64(count as f64 / self.bytes_per_s)
    }
}

/// Links through which the bytes written to a stream pass.
#[derive(Debug)]
pub(super) struct WritePath {
    pub up: Arc<PacedLink>,
    /// Links between the regions; unset until the handshake has identified the peer.
    pub links_between: OnceLock<Vec<Arc<PacedLink>>>,
}

/// A stream whose writes are delayed by a path of rate-limited links.
pub(super) struct PacedStream {
    stream: TcpStream,
    path: Arc<WritePath>,
    booked: usize,
    wait: Option<Pin<Box<Sleep>>>,
}

impl PacedStream {
    pub fn new(stream: TcpStream, path: Arc<WritePath>) -> Self {
        Self { stream, path, booked: 0, wait: None }
    }
}

impl AsyncRead for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.booked == 0 {
            let count = bytes.len().min(MAX_BOOKED_BYTES);
            let mut end = self.path.up.book(count);
            for link in self.path.links_between.get().into_iter().flatten() {
                end = end.max(link.book(count));
            }
            self.booked = count;
            // Real links interleave the packets of concurrent flows, so a short message does not queue behind chunks.
            if end > Instant::now() && count > MAX_SHORT_WRITE {
                self.wait = Some(Box::pin(tokio::time::sleep_until(end.into())));
            }
        }
        if let Some(wait) = &mut self.wait {
            ready!(wait.as_mut().poll(context));
            self.wait = None;
        }
        let count = bytes.len().min(self.booked);
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, &bytes[..count]))?;
        self.booked -= written;
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
