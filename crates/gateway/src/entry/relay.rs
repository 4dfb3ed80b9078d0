//! Relays an event stream to the caller, and resumes it at another upstream if the first one fails.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use balance::{AttemptOutcome, ForecastCheck, WritingProof};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use hyper::body::{Body, Frame, Incoming};
use log::info;
use snafu::Snafu;
use tokio::time::{Instant, Sleep, sleep_until};

use super::{
    event_order::EventOrder,
    guards::{AttemptGuard, InFlightGuard},
    pool::UpstreamConnection,
    request::{ALTERNATIVE_CHECK_INTERVAL, RequestContext},
};

/// Maximum size of an event, which is buffered until it is complete, with the comments before it.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Maximum size of a stream; one of 4,096 tokens has about 400 KB.
const MAX_STREAM_BYTES: usize = 16 << 20;
/// Factor on the target gap between events after which a silent upstream is abandoned and the stream is resumed at
/// another one.
const STALL_GAP_FACTOR: u32 = 4;
/// Minimum stall timeout, for routes with a short target gap or none.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reason of an abandoned stream that may indicate a crash of the upstream.
const CONNECTION_LOST: &str = "connection_lost";

/// Reason of an abandoned stream that ended within an event, however it was framed. Its upstream may also have crashed.
const EVENT_INCOMPLETE: &str = "event_incomplete";

/// Reason of an abandoned stream without a length that ended with its connection before any event.
const NO_EVENTS: &str = "no_events";

/// Reason of an abandoned stream without a length whose upstream could not be reached right after the stream ended.
const UPSTREAM_GONE: &str = "upstream_gone";

/// Reason of an abandoned stream that would begin on outdated weights.
const WEIGHTS_OUTDATED: &str = "weights_outdated";

/// Reasons why a stream ends before its last event. The connection to the caller is then closed, so that the response
/// does not look complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(crate) enum RelayError {
    /// The upstream failed and no other can resume the stream.
    #[snafu(display("the upstream failed and no other can resume the stream"))]
    Broken,
    /// The deadline of the request has passed.
    #[snafu(display("the deadline of the request has passed"))]
    Expired,
}

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    order: EventOrder,
}

impl EventSplitter {
    /// Adds bytes and returns the events that they complete, up to the first one that may not be passed on.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        let complete = if self.partial.is_empty() {
            let Some(end) = end_of_events(&bytes, false) else {
                self.partial.extend_from_slice(&bytes);
                return None;
            };
            self.partial.extend_from_slice(&bytes[end..]);
            bytes.slice(..end)
        } else {
            self.partial.extend_from_slice(&bytes);
            let end = end_of_events(&self.partial, false)?;
            self.partial.split_to(end).freeze()
        };
        let accepted = self.order.accept(&complete);
        (accepted > 0).then(|| complete.slice(..accepted))
    }

    /// Number of buffered bytes of the incomplete event.
    pub(crate) fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Discards the incomplete event, after its upstream has failed, and expects those of another upstream.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
        self.order.begin_run();
    }

    /// Takes the remaining bytes at the end of the stream; `None` if they are a part of an event.
    pub(crate) fn take_rest(&mut self) -> Option<Bytes> {
        if has_content(&self.partial) {
            if end_of_events(&self.partial, true) != Some(self.partial.len()) {
                return None;
            }
            if self.order.accept(&self.partial) < self.partial.len() {
                return None;
            }
        }
        Some(self.partial.split().freeze())
    }

    /// Id of the last complete event; `None` if there is no event or that one has no id.
    pub(crate) fn last_id(&self) -> Option<&CompactString> {
        self.order.last_id()
    }
}

/// Position after the last blank line, which ends an event; `None` if there is none. Lines end with a line feed, a
/// carriage return or both. Unless the bytes are `last`, a carriage return at their end may be the first half of both.
fn end_of_events(bytes: &[u8], last: bool) -> Option<usize> {
    let mut end = bytes.len();
    if !last && bytes.last() == Some(&b'\r') {
        end -= 1;
    }
    // Position before the line end that ends at `end`.
    let line_end_before = |end: usize| match bytes[..end] {
        [.., b'\r', b'\n'] => Some(end - 2),
        [.., b'\n' | b'\r'] => Some(end - 1),
        _ => None,
    };
    while end > 0 {
        let blank_line = line_end_before(end);
        if blank_line.and_then(line_end_before).is_some() {
            return Some(end);
        }
        end -= 1;
    }
    None
}

/// False if the events consist of comments only. A stalled upstream may still send those, or parts of an event.
fn has_content(events: &[u8]) -> bool {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.into_iter().any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Response that is still being received from an upstream.
pub(crate) struct OpenStream {
    pub(crate) body: Incoming,
    /// Address of the upstream.
    pub(crate) address: SocketAddr,
    pub(crate) connection: UpstreamConnection,
    pub(crate) guard: AttemptGuard,
    pub(crate) keep_alive: Option<Duration>,
    pub(crate) closes: bool,
    /// True if the body has a length or is chunked. Otherwise its end cannot be told from a connection that closed early.
    pub(crate) is_framed: bool,
    /// Time at which the stream is abandoned if no event has arrived, because the weights of the upstream are then
    /// outdated; `None` if they are not, or once an event has arrived.
    pub(crate) cancel_at: Option<Instant>,
    /// Prediction that the first event is compared with; `None` if the speed of the upstream is not learned, or once an
    /// event has arrived.
    pub(crate) forecast: Option<Box<ForecastCheck>>,
}

enum RelayState {
    Reading(OpenStream),
    /// The stream has ended with its connection. The future tells whether the upstream still accepts connections.
    Confirming(OpenStream, BoxFuture<'static, bool>),
    Resuming(BoxFuture<'static, Option<OpenStream>>),
    Ended,
}

/// Body of a streamed response.
pub(crate) struct RelayBody {
    request: Arc<RequestContext>,
    state: RelayState,
    splitter: EventSplitter,
    stall_timeout: Duration,
    timer: Pin<Box<Sleep>>,
    deadline: Instant,
    last_event: Instant,
    /// Tells whether the current upstream has shown that the request does not crash it.
    proof: WritingProof,
    /// True once the caller has received an event with content.
    has_events: bool,
    /// Number of bytes received from all upstreams.
    received: usize,
    /// Number of bytes received since the last event with content: comments, and a part of an event.
    without_event: usize,
    _in_flight: InFlightGuard,
}

impl RelayBody {
    pub(crate) fn new(
        request: Arc<RequestContext>,
        stream: OpenStream,
        in_flight: InFlightGuard,
    ) -> Self {
        let gap = request.route.target_gap.unwrap_or_default();
        let now = Instant::now();
        let deadline = Instant::from_std(request.deadline);
        let stall_timeout = (gap * STALL_GAP_FACTOR).max(MIN_STALL_TIMEOUT);
        let first_check = stream.cancel_at.unwrap_or(deadline).min(now + stall_timeout);
        // A caller that resumes a stream may have received all of its events.
        let last_id = request.meta.resume_after.clone();
        let has_events = last_id.is_some();
        let order = EventOrder::new(last_id, request.route.repeat.is_retryable());
        Self {
            request,
            state: RelayState::Reading(stream),
            splitter: EventSplitter { order, ..EventSplitter::default() },
            stall_timeout,
            timer: Box::pin(sleep_until(deadline.min(first_check))),
            deadline,
            last_event: now,
            proof: WritingProof::default(),
            has_events,
            received: 0,
            without_event: 0,
            _in_flight: in_flight,
        }
    }

    /// Abandons the current upstream, and resumes the stream at another one if that is allowed.
    fn abandon_upstream(&mut self, cause: &'static str) -> Result<(), RelayError> {
        let mut is_framed = false;
        if let Some(stream) = self.take_stream() {
            is_framed = stream.is_framed;
            if [CONNECTION_LOST, EVENT_INCOMPLETE, NO_EVENTS, UPSTREAM_GONE].contains(&cause) {
                let is_proven = self.proof.is_proven();
                let (upstream, address) = (stream.guard.upstream(), stream.address);
                self.request.record_connection_lost(upstream, address, is_proven);
            }
            if cause == WEIGHTS_OUTDATED {
                stream.guard.finish(AttemptOutcome::Abandoned);
            } else {
                stream.guard.fail();
            }
        }
        self.splitter.discard_partial();
        self.without_event = 0;
        let after = self.splitter.last_id().cloned();
        info!(
            "event=stream_broken request={} cause={cause} after={} framed={}",
            self.request.meta.id,
            after.as_deref().unwrap_or("none"),
            is_framed
        );
        if !self.may_resume() {
            self.request.log_end("broken", None);
            return Err(RelayError::Broken);
        }
        let request = self.request.clone();
        self.state = RelayState::Resuming(Box::pin(async move { request.resume(after).await }));
        Ok(())
    }

    /// True if the stream may be resumed. After an event without an id, another upstream would repeat events.
    fn may_resume(&self) -> bool {
        let has_position = !self.has_events || self.splitter.last_id().is_some();
        has_position && self.request.may_resume()
    }

    fn take_stream(&mut self) -> Option<OpenStream> {
        match std::mem::replace(&mut self.state, RelayState::Ended) {
            RelayState::Reading(stream) | RelayState::Confirming(stream, _) => Some(stream),
            RelayState::Resuming(_) | RelayState::Ended => None,
        }
    }

    /// Handles the end of the upstream's body. Returns the bytes that remain to be passed on.
    fn end_body(&mut self) -> Result<Option<Bytes>, RelayError> {
        let Some(rest) = self.splitter.take_rest() else {
            self.abandon_upstream(EVENT_INCOMPLETE)?;
            return Ok(None);
        };
        self.has_events |= has_content(&rest);
        match self.take_stream() {
            Some(stream) if stream.is_framed => {
                self.state = RelayState::Reading(stream);
                self.finish();
            }
            Some(stream) if !self.has_events || self.splitter.order.is_run_empty() => {
                self.state = RelayState::Reading(stream);
                self.abandon_upstream(NO_EVENTS)?;
            }
            Some(stream) => {
                // The connection of an upstream that crashed ends like that of one that sent a complete response.
                let (request, address) = (self.request.clone(), stream.address);
                let confirm = async move { request.shared.pool.accepts_connections(address).await };
                self.state = RelayState::Confirming(stream, Box::pin(confirm));
            }
            None => {}
        }
        Ok((!rest.is_empty()).then_some(rest))
    }

    fn finish(&mut self) {
        if let Some(stream) = self.take_stream() {
            let OpenStream { connection, guard, keep_alive, closes, is_framed, .. } = stream;
            let upstream = guard.upstream().clone();
            guard.succeed();
            self.request.record_success();
            // The connection of an upstream that crashed ends like that of one that sent a complete response.
            if is_framed {
                self.request.record_parts_success();
            }
            if !closes {
                self.request.shared.pool.put(&upstream, connection, keep_alive);
            }
        }
        self.request.log_end("answered", Some(200));
    }

    fn poll_reading(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, RelayError>>> {
        loop {
            if let Some(cause) = self.splitter.order.fault() {
                self.abandon_upstream(cause)?;
                return Poll::Ready(None);
            }
            let RelayState::Reading(stream) = &mut self.state else { return Poll::Ready(None) };
            match Pin::new(&mut stream.body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.received += bytes.len();
                    if self.received > MAX_STREAM_BYTES {
                        self.abandon_upstream("stream_too_long")?;
                        return Poll::Ready(None);
                    }
                    self.without_event += bytes.len();
                    if let Some(events) = self.splitter.push(bytes) {
                        if has_content(&events) {
                            let now = Instant::now();
                            self.request.record_event(now - self.last_event);
                            self.last_event = now;
                            if self.proof.record_events(now.into_std()) {
                                self.request.record_parts_success();
                            }
                            self.has_events = true;
                            self.without_event = self.splitter.partial_len();
                            stream.cancel_at = None;
                            if let Some(check) = stream.forecast.take() {
                                self.request.record_first_event(stream.guard.upstream(), *check);
                            }
                        }
                        if self.without_event <= MAX_EVENT_BYTES {
                            return Poll::Ready(Some(Ok(events)));
                        }
                    }
                    if self.without_event > MAX_EVENT_BYTES {
                        self.abandon_upstream("event_too_long")?;
                        return Poll::Ready(None);
                    }
                }
                Poll::Ready(Some(Err(_))) => {
                    self.abandon_upstream(CONNECTION_LOST)?;
                    return Poll::Ready(None);
                }
                Poll::Ready(None) => return Poll::Ready(self.end_body().transpose()),
                Poll::Pending => {
                    if stream.cancel_at.is_some_and(|at| at <= Instant::now()) {
                        self.abandon_upstream(WEIGHTS_OUTDATED)?;
                        return Poll::Ready(None);
                    }
                    let is_stalled = self.last_event.elapsed() >= self.stall_timeout;
                    if is_stalled && self.may_resume() && self.request.has_alternative() {
                        self.abandon_upstream("stalled")?;
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
                RelayState::Confirming(_, confirm) => match confirm.as_mut().poll(context) {
                    Poll::Ready(true) => {
                        this.finish();
                        continue;
                    }
                    Poll::Ready(false) => {
                        if let Err(error) = this.abandon_upstream(UPSTREAM_GONE) {
                            return Poll::Ready(Some(Err(error)));
                        }
                        continue;
                    }
                    Poll::Pending => {}
                },
                RelayState::Resuming(resume) => match resume.as_mut().poll(context) {
                    Poll::Ready(Some(stream)) => {
                        this.last_event = Instant::now();
                        this.proof = WritingProof::default();
                        if let Some(at) = stream.cancel_at {
                            this.timer.as_mut().reset(at.min(this.deadline));
                        }
                        this.state = RelayState::Reading(stream);
                        continue;
                    }
                    Poll::Ready(None) => {
                        this.state = RelayState::Ended;
                        this.request.log_end("broken", None);
                        return Poll::Ready(Some(Err(RelayError::Broken)));
                    }
                    Poll::Pending => {}
                },
            }
            ready!(this.timer.as_mut().poll(context));
            let now = Instant::now();
            if now >= this.deadline {
                this.state = RelayState::Ended;
                this.request.log_end("expired", None);
                return Poll::Ready(Some(Err(RelayError::Expired)));
            }
            let stalled_at = this.last_event + this.stall_timeout;
            let next = if stalled_at > now { stalled_at } else { now + ALTERNATIVE_CHECK_INTERVAL };
            let cancel_at = match &this.state {
                RelayState::Reading(stream) => stream.cancel_at,
                RelayState::Confirming(..) | RelayState::Resuming(_) | RelayState::Ended => None,
            };
            this.timer.as_mut().reset(next.min(cancel_at.unwrap_or(next)).min(this.deadline));
        }
    }
}
