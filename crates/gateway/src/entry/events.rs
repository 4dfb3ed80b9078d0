//! Reads the events of a streamed response.

use std::{
    future::poll_fn,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use base::{ByteBudget, ByteReservation};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use hyper::body::{Body, Incoming};

use super::event_order::EventOrder;

/// Maximum size of an event, which is buffered until it is complete, with the comments before it.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Maximum size of a stream; one of 4,096 tokens has about 400 KB.
pub(super) const MAX_STREAM_BYTES: usize = 16 << 20;

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
struct EventSplitter {
    partial: BytesMut,
    order: EventOrder,
}

impl EventSplitter {
    /// Adds bytes and returns the events that they complete, up to the first one that may not be passed on.
    fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
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
    fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Takes the remaining bytes at the end of the stream; `None` if they are a part of an event.
    fn take_rest(&mut self) -> Option<Bytes> {
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
    fn last_id(&self) -> Option<&CompactString> {
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
pub(super) fn has_content(events: &[u8]) -> bool {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.into_iter().any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Why the events of a stream cannot be read any further.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StreamFault {
    /// The connection was lost.
    ConnectionLost,
    /// The body ended within an event, however it was framed. The upstream may have crashed.
    EventIncomplete,
    /// The stream exceeds [`MAX_STREAM_BYTES`].
    StreamTooLong,
    /// An event, with the comments before it, exceeds [`MAX_EVENT_BYTES`].
    EventTooLong,
    /// The incomplete events of all streams, and the bodies of other responses, take too much memory.
    MemoryLimit,
    /// What was sent is no event, or does not continue the stream. The cause is given as it is logged.
    NotTheStream(&'static str),
}

impl StreamFault {
    /// True if the upstream may have crashed.
    pub(super) fn may_be_crash(self) -> bool {
        matches!(self, Self::ConnectionLost | Self::EventIncomplete)
    }
}

impl From<StreamFault> for &'static str {
    /// Name of the fault in logs.
    fn from(fault: StreamFault) -> Self {
        match fault {
            StreamFault::ConnectionLost => "connection_lost",
            StreamFault::EventIncomplete => "event_incomplete",
            StreamFault::StreamTooLong => "stream_too_long",
            StreamFault::EventTooLong => "event_too_long",
            StreamFault::MemoryLimit => "memory_limit",
            StreamFault::NotTheStream(cause) => cause,
        }
    }
}

/// Result of reading from a stream.
#[derive(Debug)]
pub(super) enum StreamPart {
    /// Complete events, at least one of them with content. Comments before it are included.
    Events(Bytes),
    /// Comments only. They show that the upstream is alive, but not that it makes progress.
    Comments(Bytes),
    /// End of the body, with the remaining complete events.
    End(Bytes),
    /// The stream cannot be read any further.
    Fault(StreamFault),
}

/// Reads the events of one upstream's response.
pub(super) struct EventReader {
    body: Incoming,
    splitter: EventSplitter,
    /// Number of bytes received.
    received: usize,
    /// Number of bytes received since the last event with content: comments, and a part of an event.
    without_event: usize,
    /// Reservation for the bytes without an event, which are kept.
    reservation: ByteReservation,
}

impl EventReader {
    /// Creates a reader of a response whose events must continue `order`.
    pub(super) fn new(body: Incoming, order: EventOrder, budget: Arc<ByteBudget>) -> Self {
        let splitter = EventSplitter { order, ..EventSplitter::default() };
        let reservation = ByteReservation::new(budget);
        Self { body, splitter, received: 0, without_event: 0, reservation }
    }

    /// Id of the last complete event, or of the event after which the response continues; `None` if the last event has
    /// none.
    pub(super) fn last_id(&self) -> Option<&CompactString> {
        self.splitter.last_id()
    }

    /// Reads the next part of the stream.
    pub(super) fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<StreamPart> {
        loop {
            if let Some(cause) = self.splitter.order.fault() {
                return Poll::Ready(StreamPart::Fault(StreamFault::NotTheStream(cause)));
            }
            let frame = match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return Poll::Ready(StreamPart::Fault(StreamFault::ConnectionLost)),
                None => {
                    let rest = self.splitter.take_rest();
                    let fault = StreamPart::Fault(StreamFault::EventIncomplete);
                    return Poll::Ready(rest.map_or(fault, StreamPart::End));
                }
            };
            let Ok(bytes) = frame.into_data() else { continue };
            self.received += bytes.len();
            if self.received > MAX_STREAM_BYTES {
                return Poll::Ready(StreamPart::Fault(StreamFault::StreamTooLong));
            }
            self.without_event += bytes.len();
            let complete = self.splitter.push(bytes);
            let has_event = complete.as_ref().is_some_and(|events| has_content(events));
            if has_event {
                self.without_event = self.splitter.partial_len();
            }
            if self.without_event > MAX_EVENT_BYTES {
                return Poll::Ready(StreamPart::Fault(StreamFault::EventTooLong));
            }
            if !self.reservation.try_resize(self.without_event) {
                return Poll::Ready(StreamPart::Fault(StreamFault::MemoryLimit));
            }
            match complete {
                Some(events) if has_event => return Poll::Ready(StreamPart::Events(events)),
                Some(comments) => return Poll::Ready(StreamPart::Comments(comments)),
                None => {}
            }
        }
    }

    /// Reads up to the first event with content. Comments before it are returned with it.
    pub(super) async fn read_first(&mut self) -> StreamPart {
        let mut before = BytesMut::new();
        loop {
            match poll_fn(|context| self.poll_part(context)).await {
                StreamPart::Comments(comments) => before.extend_from_slice(&comments),
                StreamPart::Events(events) => return StreamPart::Events(prefixed(before, events)),
                StreamPart::End(rest) => return StreamPart::End(prefixed(before, rest)),
                StreamPart::Fault(fault) => return StreamPart::Fault(fault),
            }
        }
    }
}

fn prefixed(mut before: BytesMut, bytes: Bytes) -> Bytes {
    if before.is_empty() {
        return bytes;
    }
    before.extend_from_slice(&bytes);
    before.freeze()
}
