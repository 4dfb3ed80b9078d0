//! One exchange with an agent: a request, followed by a refusal or by a response in parts.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use base::{Outcome, RefusalReason};
use bytes::Bytes;
use tokio::time::timeout;
use wire::{ChannelError, End, Forward, Head, LoadReport, Payload, Refusal};

use crate::peer::{PeerChannel, PeerPool};

/// Failure of an attempt that got no complete response.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFailure {
    /// Whether the request may have run in this attempt.
    pub outcome: Outcome,
    /// Reason for the failure.
    pub reason: RefusalReason,
    /// Retry delay from the agent; `None` if the agent did not refuse the request.
    pub retry_after: Option<Duration>,
    /// True if the upstream crashed with the request in flight.
    pub crashed: bool,
    /// True if the agent cannot be reached or the connection to it broke.
    pub unreachable: bool,
    /// Load of the upstream; `None` if the agent did not report it.
    pub load: Option<LoadReport>,
}

impl AttemptFailure {
    /// The agent could not be reached, and the request was not sent.
    pub const NOT_SENT: Self = Self {
        outcome: Outcome::NotRun,
        reason: RefusalReason::NoUpstream,
        retry_after: None,
        crashed: false,
        unreachable: true,
        load: None,
    };
    /// The connection broke after the request was sent.
    pub const CONNECTION_LOST: Self =
        Self { outcome: Outcome::Unknown, reason: RefusalReason::ConnectionLost, ..Self::NOT_SENT };
    /// The response is malformed or does not belong to the request.
    pub const INVALID_RESPONSE: Self =
        Self { reason: RefusalReason::InvalidAnswer, unreachable: false, ..Self::CONNECTION_LOST };
    /// No response arrived within the timeout.
    pub const TIMED_OUT: Self = Self {
        reason: RefusalReason::DeadlineExceeded,
        unreachable: false,
        ..Self::CONNECTION_LOST
    };

    fn from_refusal(refusal: &Refusal) -> Self {
        Self {
            outcome: Outcome::from_code(refusal.outcome)
                .filter(|outcome| *outcome != Outcome::Answered)
                .unwrap_or(Outcome::Unknown),
            reason: RefusalReason::from_code(refusal.reason)
                .unwrap_or(RefusalReason::InvalidAnswer),
            retry_after: Some(Duration::from_millis(refusal.retry_after_ms)),
            crashed: refusal.crashed,
            unreachable: false,
            load: Some(refusal.load),
        }
    }

    fn from_end(end: &End) -> Self {
        let reason = if end.crashed {
            RefusalReason::UpstreamCrashed
        } else {
            RefusalReason::ConnectionLost
        };
        Self { reason, crashed: end.crashed, load: Some(end.load), ..Self::INVALID_RESPONSE }
    }
}

/// A response that has started to arrive. Dropping it before its end closes the connection, which cancels the exchange.
pub struct IncomingResponse {
    /// Head of the response.
    pub head: Head,
    /// Load of the upstream after the request; `None` until the response has ended.
    pub load: Option<LoadReport>,
    channel: Option<PeerChannel>,
    length: u64,
}

impl IncomingResponse {
    /// Sends a request and waits for the head of the response, at most for `limit`.
    ///
    /// The agent may have closed an idle channel; if a reused channel breaks, the request is sent once more on a new
    /// one. This is safe for idempotent requests, and for keyed ones because the owner recognises the key.
    ///
    /// # Errors
    /// Fails if the request is refused, or the head does not arrive or is invalid.
    pub async fn start(
        pool: &Arc<PeerPool>,
        peer: SocketAddr,
        forward: Forward,
        limit: Duration,
    ) -> Result<Self, AttemptFailure> {
        let sent = AtomicBool::new(false);
        let failure = || {
            if sent.load(Ordering::Relaxed) {
                AttemptFailure::CONNECTION_LOST
            } else {
                AttemptFailure::NOT_SENT
            }
        };
        let request_id = forward.request_id;
        let exchange = async {
            let mut channel = pool.open(peer).await.map_err(|_| failure())?;
            sent.store(true, Ordering::Relaxed);
            let mut first_message = channel.channel.call(Payload::Forward(forward.clone())).await;
            if first_message.is_err() && channel.reused {
                channel = pool.open_new(peer).await.map_err(|_| failure())?;
                first_message = channel.channel.call(Payload::Forward(forward)).await;
            }
            Ok((channel, first_message))
        };
        let (channel, first_message) = match timeout(limit, exchange).await {
            Ok(called) => called?,
            Err(_) if sent.load(Ordering::Relaxed) => return Err(AttemptFailure::TIMED_OUT),
            Err(_) => return Err(AttemptFailure::NOT_SENT),
        };
        match first_message {
            Ok(Payload::Head(head)) if head.request_id == request_id => {
                Ok(Self { head, load: None, channel: Some(channel), length: 0 })
            }
            Ok(Payload::Refusal(refusal)) if refusal.request_id == request_id => {
                channel.release();
                Err(AttemptFailure::from_refusal(&refusal))
            }
            Ok(_) => Err(AttemptFailure::INVALID_RESPONSE),
            Err(error) => Err(classify_channel_error(&error)),
        }
    }

    /// Returns the next part of the body, or `None` at the end of a complete response. This method is cancel safe.
    ///
    /// # Errors
    /// Fails if the response is incomplete or invalid; the connection is then closed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AttemptFailure> {
        let Some(channel) = &mut self.channel else { return Ok(None) };
        let failure = match channel.channel.receiver.receive().await {
            Ok(Payload::Body(body)) => {
                self.length += body.data.len() as u64;
                return Ok(Some(body.data));
            }
            Ok(Payload::End(end)) if end.request_id != self.head.request_id => {
                AttemptFailure::INVALID_RESPONSE
            }
            Ok(Payload::End(end)) if end.complete && end.length == self.length => {
                self.load = Some(end.load);
                if let Some(channel) = self.channel.take() {
                    channel.release();
                }
                return Ok(None);
            }
            Ok(Payload::End(end)) => AttemptFailure::from_end(&end),
            Ok(Payload::Refusal(refusal)) => AttemptFailure {
                // The head has already arrived, so the request may have run, whatever the refusal says.
                outcome: Outcome::Unknown,
                ..AttemptFailure::from_refusal(&refusal)
            },
            Ok(_) => AttemptFailure::INVALID_RESPONSE,
            Err(error) => classify_channel_error(&error),
        };
        self.channel = None;
        Err(failure)
    }
}

fn classify_channel_error(error: &ChannelError) -> AttemptFailure {
    match error {
        ChannelError::Connection { .. } | ChannelError::Closed => AttemptFailure::CONNECTION_LOST,
        _ => AttemptFailure::INVALID_RESPONSE,
    }
}
