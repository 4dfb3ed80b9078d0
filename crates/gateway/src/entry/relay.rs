//! Relays an event stream to the caller, and resumes it at another upstream if the first one fails.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use balance::{ForecastCheck, WritingProof};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use hyper::body::{Body, Frame};
use log::info;
use snafu::Snafu;
use tokio::time::{Instant, Sleep, sleep_until};

use super::{
    events::{EventReader, MAX_STREAM_BYTES, StreamFault, StreamPart, has_content},
    guards::{AttemptGuard, InFlightGuard},
    outcome::ResumeRefusal,
    pool::UpstreamConnection,
    request::{ALTERNATIVE_CHECK_INTERVAL, AttemptPurpose, RequestContext},
};

/// Factor on the target gap between events after which a silent upstream is abandoned and the stream is resumed at
/// another one.
const STALL_GAP_FACTOR: u32 = 4;
/// Minimum stall timeout, for routes with a short target gap or none.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reason of an abandoned stream that may indicate a crash of the upstream.
const CONNECTION_LOST: &str = "connection_lost";

/// Reason of an abandoned stream that ended within an event, however it was framed. Its upstream may also have crashed.
const EVENT_INCOMPLETE: &str = "event_incomplete";

/// Reason of an abandoned stream without a length whose upstream could not be reached right after the stream ended.
const UPSTREAM_GONE: &str = "upstream_gone";

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

/// Response of an upstream that has sent its first event, or has ended without one.
pub(crate) struct OpenStream {
    pub(super) reader: Box<EventReader>,
    /// What was read before the response was passed on; `None` once it has been relayed.
    pub(super) first: Option<StreamPart>,
    pub(super) connection: UpstreamConnection,
    pub(super) guard: AttemptGuard,
    pub(super) keep_alive: Option<Duration>,
    pub(super) closes: bool,
    /// True if the body has a length or is chunked. Otherwise its end cannot be told from a connection that closed early.
    pub(super) is_framed: bool,
    /// Prediction that the first event is compared with; `None` if the speed of the upstream is not learned, or once an
    /// event has been relayed.
    pub(super) forecast: Option<Box<ForecastCheck>>,
}

enum RelayState {
    Reading(OpenStream),
    /// The stream has ended with its connection. The future tells whether the upstream still accepts connections.
    Confirming(OpenStream, BoxFuture<'static, bool>),
    /// The stream has broken off and is being resumed at another upstream. With `is_backup`, that had begun before.
    Resuming {
        resumed: BoxFuture<'static, Option<OpenStream>>,
        is_backup: bool,
    },
    Ended,
}

/// Body of a streamed response.
pub(crate) struct RelayBody {
    request: Arc<RequestContext>,
    state: RelayState,
    /// Id of the last event that the caller has received; `None` if there is no event or that one has no id.
    last_id: Option<CompactString>,
    stall_timeout: Duration,
    timer: Pin<Box<Sleep>>,
    deadline: Instant,
    last_event: Instant,
    /// Tells whether the current upstream has shown that the request does not crash it.
    proof: WritingProof,
    /// Attempt to resume the stream at another upstream while the current one is silent.
    backup: Option<BoxFuture<'static, Option<OpenStream>>>,
    /// True once the caller has received an event with content.
    has_events: bool,
    /// Number of bytes passed on from all upstreams.
    relayed: usize,
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
        // A caller that resumes a stream may have received all of its events.
        let last_id = request.meta.resume_after.clone();
        let has_events = last_id.is_some();
        Self {
            request,
            state: RelayState::Reading(stream),
            last_id,
            stall_timeout,
            timer: Box::pin(sleep_until(deadline.min(now + stall_timeout))),
            deadline,
            last_event: now,
            proof: WritingProof::default(),
            backup: None,
            has_events,
            relayed: 0,
            _in_flight: in_flight,
        }
    }

    /// Abandons the current upstream, and resumes the stream at another one if that is allowed.
    fn abandon_upstream(&mut self, cause: &'static str) -> Result<(), RelayError> {
        let mut is_framed = false;
        if let Some(stream) = self.take_stream() {
            is_framed = stream.is_framed;
            if [CONNECTION_LOST, EVENT_INCOMPLETE, UPSTREAM_GONE].contains(&cause) {
                let is_proven = self.proof.is_proven();
                self.request.record_connection_lost(stream.guard.record(), is_proven);
            }
            stream.guard.fail();
        }
        let after = self.last_id.clone();
        info!(
            "event=stream_broken request={} cause={cause} after={} events={} framed={}",
            self.request.meta.id,
            after.as_deref().unwrap_or("none"),
            self.has_events,
            is_framed
        );
        self.request.record_lost();
        if let Some(resumed) = self.backup.take() {
            self.state = RelayState::Resuming { resumed, is_backup: true };
            return Ok(());
        }
        self.resume()
    }

    /// Resumes a broken stream at another upstream if that is allowed.
    fn resume(&mut self) -> Result<(), RelayError> {
        let refusal = match self.relayed > MAX_STREAM_BYTES {
            true => Some(ResumeRefusal::TooLong),
            false => self.resume_refusal(),
        };
        if let Some(refusal) = refusal {
            self.state = RelayState::Ended;
            self.request.log_resume_refusal(refusal.as_str());
            self.request.log_end("broken", None);
            return Err(RelayError::Broken);
        }
        let (request, after) = (self.request.clone(), self.last_id.clone());
        let resumed = Box::pin(async move { request.resume(after, AttemptPurpose::Resume).await });
        self.state = RelayState::Resuming { resumed, is_backup: false };
        Ok(())
    }

    /// Tries to resume a stalled stream at another upstream. The current upstream may go on until that has an event.
    fn begin_backup(&mut self) {
        let is_stalled = self.last_event.elapsed() >= self.stall_timeout;
        let may_begin = is_stalled
            && self.backup.is_none()
            && matches!(self.state, RelayState::Reading(_))
            && self.resume_refusal().is_none()
            && self.request.has_alternative();
        if !may_begin {
            return;
        }
        let (request, after) = (self.request.clone(), self.last_id.clone());
        info!(
            "event=stream_stalled request={} after={}",
            request.meta.id,
            after.as_deref().unwrap_or("none")
        );
        let resume = async move { request.resume(after, AttemptPurpose::Backup).await };
        self.backup = Some(Box::pin(resume));
    }

    /// Polls the backup; true if it has taken over from the current upstream.
    fn poll_backup(&mut self, context: &mut Context<'_>) -> bool {
        let Some(backup) = &mut self.backup else { return false };
        let Poll::Ready(resumed) = backup.as_mut().poll(context) else { return false };
        self.backup = None;
        let Some(resumed) = resumed else { return false };
        if let Some(stalled) = self.take_stream() {
            stalled.guard.fail();
        }
        self.continue_with(resumed);
        true
    }

    fn continue_with(&mut self, resumed: OpenStream) {
        self.last_event = Instant::now();
        self.proof = WritingProof::default();
        self.state = RelayState::Reading(resumed);
    }

    /// Reason why the stream may not be resumed; `None` if it may. After an event without an id, another upstream would
    /// repeat events.
    fn resume_refusal(&self) -> Option<ResumeRefusal> {
        let has_position = !self.has_events || self.last_id.is_some();
        if has_position { self.request.resume_refusal() } else { Some(ResumeRefusal::NoPosition) }
    }

    fn take_stream(&mut self) -> Option<OpenStream> {
        match std::mem::replace(&mut self.state, RelayState::Ended) {
            RelayState::Reading(stream) | RelayState::Confirming(stream, _) => Some(stream),
            RelayState::Resuming { .. } | RelayState::Ended => None,
        }
    }

    /// Handles the end of the upstream's body. Returns the bytes that remain to be passed on.
    fn end_body(&mut self, rest: Bytes) -> Option<Bytes> {
        self.has_events |= has_content(&rest);
        match self.take_stream() {
            Some(stream) if stream.is_framed => {
                self.state = RelayState::Reading(stream);
                self.finish();
            }
            Some(stream) => {
                // The connection of an upstream that crashed ends like that of one that sent a complete response.
                let (request, address) = (self.request.clone(), stream.guard.record().address);
                let confirm = async move {
                    request.shared.pool.accepts_connections(address, request.deadline).await
                };
                self.state = RelayState::Confirming(stream, Box::pin(confirm));
            }
            None => {}
        }
        (!rest.is_empty()).then_some(rest)
    }

    fn finish(&mut self) {
        self.backup = None;
        if let Some(stream) = self.take_stream() {
            let OpenStream { connection, guard, keep_alive, closes, is_framed, .. } = stream;
            let upstream = guard.upstream().clone();
            guard.succeed();
            // The connection of an upstream that crashed ends like that of one that sent a complete response.
            if is_framed {
                self.request.record_success();
            }
            if !closes {
                self.request.shared.pool.put(&upstream, connection, keep_alive);
            }
        }
        self.request.log_end("answered", Some(200));
    }

    /// Records events that are about to be passed on.
    fn record_events(&mut self) {
        let RelayState::Reading(stream) = &mut self.state else { return };
        let now = Instant::now();
        self.request.record_event(now - self.last_event);
        self.last_event = now;
        if self.proof.record_events(now.into_std()) {
            self.request.record_parts_success();
        }
        self.has_events = true;
        if let Some(check) = stream.forecast.take() {
            self.request.record_first_event(stream.guard.upstream(), *check);
        }
    }

    fn poll_reading(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, RelayError>>> {
        let RelayState::Reading(stream) = &mut self.state else { return Poll::Ready(None) };
        let part = match stream.first.take() {
            Some(part) => part,
            None => match stream.reader.poll_part(context) {
                Poll::Ready(part) => part,
                Poll::Pending => return Poll::Pending,
            },
        };
        let (bytes, has_progress, is_end) = match part {
            StreamPart::Events(events) => (events, true, false),
            StreamPart::Comments(comments) => (comments, false, false),
            StreamPart::End(rest) => {
                let has_progress = stream.is_framed || has_content(&rest);
                (rest, has_progress, true)
            }
            StreamPart::Fault(fault) => {
                self.abandon_upstream(fault.into())?;
                return Poll::Ready(None);
            }
        };
        self.relayed += bytes.len();
        if self.relayed > MAX_STREAM_BYTES {
            self.abandon_upstream(StreamFault::StreamTooLong.into())?;
            return Poll::Ready(None);
        }
        self.last_id = stream.reader.last_id().cloned();
        if has_progress && self.backup.take().is_some() {
            info!("event=stream_recovered request={}", self.request.meta.id);
            self.request.record_upstream(stream.guard.upstream());
        }
        if is_end {
            return Poll::Ready(self.end_body(bytes).map(Ok));
        }
        if has_progress {
            self.record_events();
        }
        Poll::Ready(Some(Ok(bytes)))
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
                    Poll::Pending => {
                        this.begin_backup();
                        if this.poll_backup(context) {
                            continue;
                        }
                    }
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
                RelayState::Resuming { resumed, is_backup } => match resumed.as_mut().poll(context)
                {
                    Poll::Ready(Some(stream)) => {
                        this.continue_with(stream);
                        continue;
                    }
                    // A backup only goes to an upstream with a free slot. Now a busy one is better than none.
                    Poll::Ready(None) if *is_backup => match this.resume() {
                        Ok(()) => continue,
                        Err(error) => return Poll::Ready(Some(Err(error))),
                    },
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
            this.timer.as_mut().reset(next.min(this.deadline));
        }
    }
}
