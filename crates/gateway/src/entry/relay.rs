//! Relays a stream of events to the caller, and continues it at another upstream if the first one breaks off.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use hyper::body::{Body, Frame, Incoming};
use log::info;
use snafu::Snafu;
use tokio::time::{Instant, Sleep, sleep_until};

use super::{
    call::CallContext,
    guards::{InFlight, SendGuard},
    pool::UpstreamConnection,
};

/// Longest event that is held until it is whole.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Pauses of the target length after which a silent upstream is given up and the stream is continued elsewhere.
const STALL_GAPS: u32 = 4;
/// Shortest such time, for routes with a short or no target.
const MIN_STALL: Duration = Duration::from_millis(1_000);

/// Cause of an end that may be a crash of the upstream.
const CONNECTION_LOST: &str = "connection_lost";

/// Why a stream ends before its last event. The connection to the caller is then closed, so that the answer does not
/// look complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(crate) enum RelayError {
    /// The upstream broke off and no other can continue.
    #[snafu(display("the upstream broke off"))]
    Broken,
    /// The time of the request is over.
    #[snafu(display("the time of the request is over"))]
    Expired,
}

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<CompactString>,
}

impl EventSplitter {
    /// Takes bytes and returns the events that are whole now.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        let whole = if self.partial.is_empty() {
            let Some(end) = end_of_events(&bytes) else {
                self.partial.extend_from_slice(&bytes);
                return None;
            };
            self.partial.extend_from_slice(&bytes[end..]);
            bytes.slice(..end)
        } else {
            self.partial.extend_from_slice(&bytes);
            let end = end_of_events(&self.partial)?;
            self.partial.split_to(end).freeze()
        };
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Bytes of an event that is not whole.
    pub(crate) fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Forgets the part of an event that will not be finished.
    pub(crate) fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// The rest, at the end of the stream.
    pub(crate) fn take_partial(&mut self) -> Option<Bytes> {
        (!self.partial.is_empty()).then(|| self.partial.split().freeze())
    }

    /// Id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&CompactString> {
        self.last_id.as_ref()
    }
}

/// Position behind the last blank line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let windows = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    unix.max(windows)
}

fn last_event_id(events: &[u8]) -> Option<CompactString> {
    let line = events.split(|byte| *byte == b'\n').rev().find(|line| line.starts_with(b"id:"))?;
    let text = std::str::from_utf8(&line[3..]).ok()?;
    Some(text.trim().into())
}

/// An answer that is still arriving from an upstream.
pub(crate) struct OpenStream {
    pub(crate) body: Incoming,
    pub(crate) connection: UpstreamConnection,
    pub(crate) guard: SendGuard,
    pub(crate) keep: Option<Duration>,
    pub(crate) closes: bool,
}

enum RelayState {
    Reading(OpenStream),
    Resuming(BoxFuture<'static, Option<OpenStream>>),
    Ended,
}

/// Body of a streamed answer.
pub(crate) struct RelayBody {
    call: Arc<CallContext>,
    state: RelayState,
    splitter: EventSplitter,
    stall: Duration,
    timer: Pin<Box<Sleep>>,
    expires: Instant,
    last_event: Instant,
    _in_flight: InFlight,
}

impl RelayBody {
    pub(crate) fn new(call: Arc<CallContext>, stream: OpenStream, in_flight: InFlight) -> Self {
        let gap = call.route.target_gap.unwrap_or_default();
        let now = Instant::now();
        let expires = Instant::from_std(call.answer_by);
        let stall = (gap * STALL_GAPS).max(MIN_STALL);
        Self {
            call,
            state: RelayState::Reading(stream),
            splitter: EventSplitter::default(),
            stall,
            timer: Box::pin(sleep_until(expires.min(now + stall))),
            expires,
            last_event: now,
            _in_flight: in_flight,
        }
    }

    /// Gives the upstream up and continues elsewhere if that is allowed.
    fn give_up(&mut self, cause: &'static str) -> Result<(), RelayError> {
        if let RelayState::Reading(stream) = std::mem::replace(&mut self.state, RelayState::Ended) {
            if cause == CONNECTION_LOST {
                self.call.record_broken(stream.guard.upstream());
            }
            stream.guard.fail();
        }
        self.splitter.drop_partial();
        let after = self.splitter.last_id().cloned();
        info!(
            "event=stream_broken request={} cause={cause} after={}",
            self.call.facts.id,
            after.as_deref().unwrap_or("none")
        );
        if !self.call.may_resume() {
            self.call.log_end("broken", None);
            return Err(RelayError::Broken);
        }
        let call = self.call.clone();
        self.state = RelayState::Resuming(Box::pin(async move { call.resume(after).await }));
        Ok(())
    }

    fn finish(&mut self) {
        if let RelayState::Reading(stream) = std::mem::replace(&mut self.state, RelayState::Ended) {
            let OpenStream { connection, guard, keep, closes, .. } = stream;
            let upstream = guard.upstream().clone();
            guard.answer();
            self.call.record_answered();
            if !closes {
                self.call.shared.pool.put(&upstream, connection, keep);
            }
        }
        self.call.log_end("answered", Some(200));
    }

    fn poll_reading(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, RelayError>>> {
        loop {
            let RelayState::Reading(stream) = &mut self.state else { return Poll::Ready(None) };
            match Pin::new(&mut stream.body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let now = Instant::now();
                    self.call.record_event(now - self.last_event);
                    self.last_event = now;
                    let Ok(bytes) = frame.into_data() else { continue };
                    if let Some(events) = self.splitter.push(bytes) {
                        return Poll::Ready(Some(Ok(events)));
                    }
                    if self.splitter.partial_len() > MAX_EVENT_BYTES {
                        self.give_up("event_too_long")?;
                        return Poll::Ready(None);
                    }
                }
                Poll::Ready(Some(Err(_))) => {
                    self.give_up(CONNECTION_LOST)?;
                    return Poll::Ready(None);
                }
                Poll::Ready(None) => {
                    let rest = self.splitter.take_partial();
                    self.finish();
                    return Poll::Ready(rest.map(Ok));
                }
                Poll::Pending => {
                    let is_stalled = self.last_event.elapsed() >= self.stall;
                    if is_stalled && self.call.may_resume() {
                        self.give_up("stalled")?;
                        return Poll::Ready(None);
                    }
                    return Poll::Pending;
                }
            }
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let this = &mut *self;
        loop {
            match &mut this.state {
                RelayState::Ended => return Poll::Ready(None),
                RelayState::Reading(_) => match this.poll_reading(context) {
                    Poll::Ready(Some(Ok(events))) => {
                        return Poll::Ready(Some(Ok(Frame::data(events))));
                    }
                    Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error))),
                    Poll::Ready(None) => continue,
                    Poll::Pending => {}
                },
                RelayState::Resuming(resume) => match resume.as_mut().poll(context) {
                    Poll::Ready(Some(stream)) => {
                        this.last_event = Instant::now();
                        this.state = RelayState::Reading(stream);
                        continue;
                    }
                    Poll::Ready(None) => {
                        this.state = RelayState::Ended;
                        this.call.log_end("broken", None);
                        return Poll::Ready(Some(Err(RelayError::Broken)));
                    }
                    Poll::Pending => {}
                },
            }
            ready!(this.timer.as_mut().poll(context));
            let now = Instant::now();
            if now >= this.expires {
                this.state = RelayState::Ended;
                this.call.log_end("expired", None);
                return Poll::Ready(Some(Err(RelayError::Expired)));
            }
            let stalled_at = this.last_event + this.stall;
            let next = if stalled_at > now { stalled_at } else { now + this.stall };
            this.timer.as_mut().reset(next.min(this.expires));
        }
    }
}
