//! Runs an idempotent request and relays its answer to the entry while it arrives.

use std::{
    pin::pin,
    time::{Duration, Instant},
};

use base::{ContentDigest, Outcome, RefusalReason};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::{TryStreamExt, stream::BoxStream};
use hyper::StatusCode;
use limit::WorkResult;
use log::warn;
use ports::{PlatformError, UpstreamAnswer};
use tokio::net::TcpStream;
use wire::{Body, ChannelError, End, Forward, FrameSender, Head, LoadReport, Payload, Refusal};

use super::{
    answer::TokenCheck,
    core::{AdmittedWork, CallCore, fingerprint},
};

/// Time after the deadline at which the agent ends a request by itself. Normally the entry closes the connection at the
/// deadline.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Sending half towards the entry.
pub type EntrySender = FrameSender<TcpStream>;

/// Body of an answer as it arrives.
type AnswerBody = BoxStream<'static, Result<Bytes, PlatformError>>;

/// A request that is not answered, as the entry is told.
#[derive(Clone, Copy, Debug)]
pub struct AgentRefusal {
    /// What may be concluded.
    pub outcome: Outcome,
    /// Why.
    pub reason: RefusalReason,
    /// When a new attempt makes sense.
    pub retry_after: Duration,
}

impl AgentRefusal {
    /// Message for the entry.
    #[must_use]
    pub fn to_payload(self, request_id: u64, load: LoadReport) -> Payload {
        Payload::Refusal(Refusal {
            request_id,
            outcome: self.outcome.code(),
            reason: self.reason.code(),
            retry_after_ms: u64::try_from(self.retry_after.as_millis()).unwrap_or(u64::MAX),
            crashed: self.reason == RefusalReason::UpstreamCrashed,
            load,
        })
    }
}

/// What the head of an answer says.
struct AnswerHead {
    status: u16,
    content_type: CompactString,
    is_delimited: bool,
}

/// Why an answer stopped before its end.
enum Interruption {
    Broken(PlatformError),
    Replaced,
    Deadline,
}

/// One idempotent request at the upstream.
pub struct AnswerRelay<'a> {
    core: &'a CallCore,
    forward: &'a Forward,
    sender: &'a mut EntrySender,
    incarnation: u64,
    deadline: Instant,
    length: u64,
    head_sent: bool,
}

impl<'a> AnswerRelay<'a> {
    /// Creates the relay of an admitted request.
    #[must_use]
    pub fn new(
        core: &'a CallCore,
        forward: &'a Forward,
        sender: &'a mut EntrySender,
        work: &AdmittedWork,
        deadline: Instant,
    ) -> Self {
        let incarnation = work.incarnation;
        Self { core, forward, sender, incarnation, deadline, length: 0, head_sent: false }
    }

    /// Runs the request and relays its answer. Dropping the future cancels the request.
    ///
    /// # Errors
    /// Fails if the entry cannot be reached any more.
    pub async fn run(mut self, isolated: bool) -> Result<WorkResult, ChannelError> {
        let started = self.core.now();
        let answer = match self.interruptible(self.core.call(self.forward)).await {
            Ok(answer) => answer,
            Err(interruption) => return self.interrupt(interruption).await,
        };
        let UpstreamAnswer { status, content_type, is_delimited, body, .. } = answer;
        if let Some(result) = self.refuse_unserved(status).await? {
            return Ok(result);
        }
        let head = AnswerHead { status, content_type, is_delimited };
        let latency = self.core.now().saturating_duration_since(started);
        let result = self.relay(head, body, latency).await?;
        if let WorkResult::Success { .. } = result {
            self.core.crashes.note_success(fingerprint(self.forward).as_ref(), isolated);
        }
        Ok(result)
    }

    /// Handles answers that say that the request was not served: a refusal of the engine, or the fault of an upstream
    /// that is crashing.
    async fn refuse_unserved(&mut self, status: u16) -> Result<Option<WorkResult>, ChannelError> {
        let is_model = self.forward.service.is_empty();
        if is_model && status == StatusCode::SERVICE_UNAVAILABLE.as_u16() {
            self.refuse(Outcome::NotRun, RefusalReason::NotReady).await?;
            let manifest = ContentDigest::from_slice(&self.forward.manifest);
            // An engine that still serves the version refuses because of its load. The last status may be from before a
            // switch of versions, so it is read anew.
            let state = self.core.monitor.read(self.core.now()).await;
            let serves = manifest.is_ok_and(|name| state.serves(&self.forward.model, name));
            return Ok(Some(if serves { WorkResult::Overloaded } else { WorkResult::Neutral }));
        }
        if status >= StatusCode::INTERNAL_SERVER_ERROR.as_u16()
            && self.core.crashes.judge(self.incarnation).await
        {
            self.refuse(Outcome::Unknown, RefusalReason::UpstreamCrashed).await?;
            return Ok(Some(WorkResult::Neutral));
        }
        Ok(None)
    }

    async fn relay(
        &mut self,
        head: AnswerHead,
        mut body: AnswerBody,
        head_latency: Duration,
    ) -> Result<WorkResult, ChannelError> {
        let started = self.core.now();
        let mut latency = None;
        let mut check = self.token_check(&head);
        loop {
            let part = match self.interruptible(body.try_next()).await {
                Ok(Some(part)) => part,
                Ok(None) => break,
                Err(interruption) => return self.interrupt(interruption).await,
            };
            let waited = self.core.now().saturating_duration_since(started);
            latency.get_or_insert(head_latency + waited);
            let data = match &mut check {
                Some(check) => match check.feed(&part) {
                    Ok(lines) => lines,
                    Err(error) => return self.reject(&head, &error.to_string()).await,
                },
                None => part,
            };
            self.send_body(&head, data).await?;
        }
        let complete = match &mut check {
            Some(check) => match check.finish() {
                Ok(rest) => {
                    self.send_body(&head, rest).await?;
                    check.is_complete()
                }
                Err(error) => return self.reject(&head, &error.to_string()).await,
            },
            None => head.is_delimited,
        };
        if !complete {
            return self.reject(&head, "the answer ends early").await;
        }
        self.send_head(&head).await?;
        self.send_end(true, false).await?;
        Ok(WorkResult::Success { latency: latency.unwrap_or(head_latency) })
    }

    fn token_check(&self, head: &AnswerHead) -> Option<TokenCheck> {
        let is_stream = self.forward.service.is_empty() && head.status == StatusCode::OK.as_u16();
        let manifest = ContentDigest::from_slice(&self.forward.manifest).ok()?;
        is_stream.then(|| TokenCheck::new(self.forward.resume_offset, manifest))
    }

    /// Runs a step until the upstream is replaced or the deadline has passed.
    async fn interruptible<T>(
        &self,
        step: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, Interruption> {
        let left = self.deadline.saturating_duration_since(self.core.now()) + DEADLINE_GRACE;
        let replaced = pin!(self.core.crashes.replaced(self.incarnation));
        tokio::select! {
            biased;
            outcome = step => outcome.map_err(Interruption::Broken),
            () = replaced => Err(Interruption::Replaced),
            () = tokio::time::sleep(left) => Err(Interruption::Deadline),
        }
    }

    async fn interrupt(&mut self, interruption: Interruption) -> Result<WorkResult, ChannelError> {
        let reason = match interruption {
            Interruption::Broken(error) if error.is_not_sent() => {
                self.refuse(Outcome::NotRun, RefusalReason::NotReady).await?;
                return Ok(WorkResult::Neutral);
            }
            Interruption::Broken(error) => {
                let crashed = self.core.crashes.judge(self.incarnation).await;
                warn!("event=answer_broken crashed={crashed} error=\"{error}\"");
                broken_reason(crashed)
            }
            Interruption::Replaced => {
                broken_reason(self.core.crashes.judge(self.incarnation).await)
            }
            Interruption::Deadline => RefusalReason::DeadlineExceeded,
        };
        if self.head_sent {
            self.send_end(false, reason == RefusalReason::UpstreamCrashed).await?;
        } else {
            self.refuse(Outcome::Unknown, reason).await?;
        }
        Ok(WorkResult::Neutral)
    }

    /// Ends an answer that is not whole or not the one asked for.
    async fn reject(&mut self, head: &AnswerHead, fault: &str) -> Result<WorkResult, ChannelError> {
        warn!("event=answer_rejected status={} fault=\"{fault}\"", head.status);
        let crashed = self.core.crashes.judge(self.incarnation).await;
        self.send_head(head).await?;
        self.send_end(false, crashed).await?;
        Ok(WorkResult::Neutral)
    }

    async fn refuse(
        &mut self,
        outcome: Outcome,
        reason: RefusalReason,
    ) -> Result<(), ChannelError> {
        let retry_after = self.core.admitter.retry_after();
        let refusal = AgentRefusal { outcome, reason, retry_after };
        let payload = refusal.to_payload(self.forward.request_id, self.core.admitter.load());
        self.sender.send(payload).await
    }

    async fn send_head(&mut self, head: &AnswerHead) -> Result<(), ChannelError> {
        if self.head_sent {
            return Ok(());
        }
        self.head_sent = true;
        let message = Head {
            request_id: self.forward.request_id,
            status: u32::from(head.status),
            content_type: head.content_type.to_string(),
            manifest: self.forward.manifest.clone(),
        };
        self.sender.send(Payload::Head(message)).await
    }

    async fn send_body(&mut self, head: &AnswerHead, data: Bytes) -> Result<(), ChannelError> {
        if data.is_empty() {
            return Ok(());
        }
        self.send_head(head).await?;
        self.length += data.len() as u64;
        self.sender.send(Payload::Body(Body { data })).await
    }

    async fn send_end(&mut self, complete: bool, crashed: bool) -> Result<(), ChannelError> {
        let mut load = self.core.admitter.load();
        // The slot of this request is returned right after the end.
        load.in_use = load.in_use.saturating_sub(1);
        let request_id = self.forward.request_id;
        let end = End { request_id, length: self.length, complete, load, crashed };
        self.sender.send(Payload::End(end)).await
    }
}

/// Reason for a request whose connection to the upstream broke.
#[must_use]
pub fn broken_reason(crashed: bool) -> RefusalReason {
    if crashed { RefusalReason::UpstreamCrashed } else { RefusalReason::ConnectionLost }
}
