//! One exchange with an agent: a request, then either a refusal or an answer in parts.

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

/// Why an attempt gave no whole answer.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFailure {
    /// What this attempt allows to conclude.
    pub outcome: Outcome,
    /// Why.
    pub reason: RefusalReason,
    /// When the agent suggests another attempt.
    pub retry_after: Option<Duration>,
    /// True if the upstream crashed with the request in flight.
    pub crashed: bool,
    /// True if the agent cannot be reached or the connection to it broke.
    pub unreachable: bool,
    /// Load of the upstream, if the agent told it.
    pub load: Option<LoadReport>,
}

impl AttemptFailure {
    /// The request was not sent.
    pub const NOT_SENT: Self = Self {
        outcome: Outcome::NotRun,
        reason: RefusalReason::NoUpstream,
        retry_after: None,
        crashed: false,
        unreachable: true,
        load: None,
    };
    /// The connection broke after the request was sent.
    pub const BROKEN: Self =
        Self { outcome: Outcome::Unknown, reason: RefusalReason::ConnectionLost, ..Self::NOT_SENT };
    /// The answer does not belong to the request or is malformed.
    pub const INVALID: Self =
        Self { reason: RefusalReason::InvalidAnswer, unreachable: false, ..Self::BROKEN };
    /// No answer within the time allowed.
    pub const LATE: Self =
        Self { reason: RefusalReason::DeadlineExceeded, unreachable: false, ..Self::BROKEN };

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
        Self { reason, crashed: end.crashed, load: Some(end.load), ..Self::INVALID }
    }
}

/// An answer that has started to arrive. Dropping it closes the connection, which cancels the exchange.
pub struct OpenAnswer {
    /// Start of the answer.
    pub head: Head,
    /// Load of the upstream after the request; set once the answer has ended.
    pub load: Option<LoadReport>,
    channel: Option<PeerChannel>,
    length: u64,
}

impl OpenAnswer {
    /// Sends a request and waits for the start of the answer, at most `limit`.
    ///
    /// A channel that was idle may have been closed by the agent; if it breaks, the request is sent once more on a new
    /// one. That is safe for idempotent requests, and for keyed ones because the owner knows the key.
    ///
    /// # Errors
    /// Fails with what the attempt allows to conclude.
    pub async fn start(
        pool: &Arc<PeerPool>,
        peer: SocketAddr,
        forward: Forward,
        limit: Duration,
    ) -> Result<Self, AttemptFailure> {
        let sent = AtomicBool::new(false);
        let failure = || {
            if sent.load(Ordering::Relaxed) {
                AttemptFailure::BROKEN
            } else {
                AttemptFailure::NOT_SENT
            }
        };
        let request_id = forward.request_id;
        let call = async {
            let mut channel = pool.open(peer).await.map_err(|_| failure())?;
            sent.store(true, Ordering::Relaxed);
            let mut first = channel.channel.call(Payload::Forward(forward.clone())).await;
            if first.is_err() && channel.reused {
                channel = pool.open_new(peer).await.map_err(|_| failure())?;
                first = channel.channel.call(Payload::Forward(forward)).await;
            }
            Ok((channel, first))
        };
        let (channel, first) = match timeout(limit, call).await {
            Ok(called) => called?,
            Err(_) if sent.load(Ordering::Relaxed) => return Err(AttemptFailure::LATE),
            Err(_) => return Err(AttemptFailure::NOT_SENT),
        };
        match first {
            Ok(Payload::Head(head)) if head.request_id == request_id => {
                Ok(Self { head, load: None, channel: Some(channel), length: 0 })
            }
            Ok(Payload::Refusal(refusal)) if refusal.request_id == request_id => {
                channel.release();
                Err(AttemptFailure::from_refusal(&refusal))
            }
            Ok(_) => Err(AttemptFailure::INVALID),
            Err(error) => Err(classify(&error)),
        }
    }

    /// The next part of the body, or `None` at the end of a complete answer. Cancel safe.
    ///
    /// # Errors
    /// Fails if the answer is not complete; the connection is then closed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AttemptFailure> {
        let Some(channel) = &mut self.channel else { return Ok(None) };
        let failure = match channel.channel.receiver.receive().await {
            Ok(Payload::Body(body)) => {
                self.length += body.data.len() as u64;
                return Ok(Some(body.data));
            }
            Ok(Payload::End(end)) if end.request_id != self.head.request_id => {
                AttemptFailure::INVALID
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
                // Part of the answer has arrived, so the request was run.
                outcome: Outcome::Unknown,
                ..AttemptFailure::from_refusal(&refusal)
            },
            Ok(_) => AttemptFailure::INVALID,
            Err(error) => classify(&error),
        };
        self.channel = None;
        Err(failure)
    }
}

fn classify(error: &ChannelError) -> AttemptFailure {
    match error {
        ChannelError::Connection { .. } | ChannelError::Closed => AttemptFailure::BROKEN,
        _ => AttemptFailure::INVALID,
    }
}
