//! Sends an idempotent request to the upstream and relays its response to the entry while it arrives.

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
use ports::{PlatformError, UpstreamResponse};
use tokio::net::TcpStream;
use wire::{Body, ChannelError, End, Forward, FrameSender, Head, LoadReport, Payload, Refusal};

use super::{
    core::{AdmittedWork, RequestCore, fingerprint},
    response::TokenValidator,
};

/// Delay after the deadline until the agent ends a request itself. Normally the entry has closed the connection by
/// then.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Sending half of the channel to the entry.
pub type EntrySender = FrameSender<TcpStream>;

/// Body of a response while it arrives from the upstream.
type UpstreamBody = BoxStream<'static, Result<Bytes, PlatformError>>;

/// Refusal of a request, as it is sent to the entry.
#[derive(Clone, Copy, Debug)]
pub struct AgentRefusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Delay after which the request may be retried.
    pub retry_after: Duration,
}

impl AgentRefusal {
    /// Converts the refusal to the message for the entry.
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

/// Head of a response from the upstream.
struct ResponseHead {
    status: u16,
    content_type: CompactString,
    is_delimited: bool,
}

/// Reason why a response ended early.
enum Interruption {
    Broken(PlatformError),
    Replaced,
    Deadline,
}

/// One idempotent request and the response that is relayed to the entry.
pub struct ResponseRelay<'a> {
    core: &'a RequestCore,
    forward: &'a Forward,
    sender: &'a mut EntrySender,
    incarnation: u64,
    deadline: Instant,
    length: u64,
    head_sent: bool,
}

impl<'a> ResponseRelay<'a> {
    /// Creates the relay for an admitted request.
    #[must_use]
    pub fn new(
        core: &'a RequestCore,
        forward: &'a Forward,
        sender: &'a mut EntrySender,
        work: &AdmittedWork,
        deadline: Instant,
    ) -> Self {
        let incarnation = work.incarnation;
        Self { core, forward, sender, incarnation, deadline, length: 0, head_sent: false }
    }

    /// Sends the request and relays its response. Dropping the future cancels the request.
    ///
    /// # Errors
    /// Fails if the connection to the entry is lost.
    pub async fn run(mut self, isolated: bool) -> Result<WorkResult, ChannelError> {
        let started = self.core.now();
        let response = match self.run_interruptible(self.core.send(self.forward)).await {
            Ok(response) => response,
            Err(interruption) => return self.end_interrupted(interruption).await,
        };
        let UpstreamResponse { status, content_type, is_delimited, body, .. } = response;
        if let Some(result) = self.refuse_if_not_served(status).await? {
            return Ok(result);
        }
        let head = ResponseHead { status, content_type, is_delimited };
        let latency = self.core.now().saturating_duration_since(started);
        let result = self.relay(head, body, latency).await?;
        if let WorkResult::Success { .. } = result {
            self.core.crashes.record_success(fingerprint(self.forward).as_ref(), isolated);
        }
        Ok(result)
    }

    /// Turns a response that means that the request was not served into a refusal: status 503 of an engine, or a status
    /// from 500 of an upstream that crashed. Returns `None` for all other responses.
    async fn refuse_if_not_served(
        &mut self,
        status: u16,
    ) -> Result<Option<WorkResult>, ChannelError> {
        let is_model = self.forward.service.is_empty();
        if is_model && status == StatusCode::SERVICE_UNAVAILABLE.as_u16() {
            self.refuse(Outcome::NotRun, RefusalReason::NotReady).await?;
            let manifest = ContentDigest::from_slice(&self.forward.manifest);
            // An engine that still serves the version refused because of its load. The last status may be from before a
            // switch of versions, so it is read again.
            let state = self.core.monitor.read(self.core.now()).await;
            let serves = manifest.is_ok_and(|name| state.serves(&self.forward.model, name));
            return Ok(Some(if serves { WorkResult::Overloaded } else { WorkResult::Neutral }));
        }
        if status >= StatusCode::INTERNAL_SERVER_ERROR.as_u16()
            && self.core.crashes.detect_crash(self.incarnation).await
        {
            self.refuse(Outcome::Unknown, RefusalReason::UpstreamCrashed).await?;
            return Ok(Some(WorkResult::Neutral));
        }
        Ok(None)
    }

    async fn relay(
        &mut self,
        head: ResponseHead,
        mut body: UpstreamBody,
        head_latency: Duration,
    ) -> Result<WorkResult, ChannelError> {
        let started = self.core.now();
        let mut latency = None;
        let mut validator = self.token_validator(&head);
        loop {
            let part = match self.run_interruptible(body.try_next()).await {
                Ok(Some(part)) => part,
                Ok(None) => break,
                Err(interruption) => return self.end_interrupted(interruption).await,
            };
            let waited = self.core.now().saturating_duration_since(started);
            latency.get_or_insert(head_latency + waited);
            let data = match &mut validator {
                Some(validator) => match validator.feed(&part) {
                    Ok(lines) => lines,
                    Err(error) => return self.reject(&head, &error.to_string()).await,
                },
                None => part,
            };
            self.send_body(&head, data).await?;
        }
        let complete = match &mut validator {
            Some(validator) => match validator.finish() {
                Ok(rest) => {
                    self.send_body(&head, rest).await?;
                    validator.is_complete()
                }
                Err(error) => return self.reject(&head, &error.to_string()).await,
            },
            None => head.is_delimited,
        };
        if !complete {
            return self.reject(&head, "the response ended early").await;
        }
        self.send_head(&head).await?;
        self.send_end(true, false).await?;
        Ok(WorkResult::Success { latency: latency.unwrap_or(head_latency) })
    }

    fn token_validator(&self, head: &ResponseHead) -> Option<TokenValidator> {
        let is_stream = self.forward.service.is_empty() && head.status == StatusCode::OK.as_u16();
        let manifest = ContentDigest::from_slice(&self.forward.manifest).ok()?;
        is_stream.then(|| TokenValidator::new(self.forward.resume_offset, manifest))
    }

    /// Runs a step unless the upstream is replaced or the deadline passes first.
    async fn run_interruptible<T>(
        &self,
        step: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, Interruption> {
        let left = self.deadline.saturating_duration_since(self.core.now()) + DEADLINE_GRACE;
        let replaced = pin!(self.core.crashes.wait_until_replaced(self.incarnation));
        tokio::select! {
            biased;
            outcome = step => outcome.map_err(Interruption::Broken),
            () = replaced => Err(Interruption::Replaced),
            () = tokio::time::sleep(left) => Err(Interruption::Deadline),
        }
    }

    async fn end_interrupted(
        &mut self,
        interruption: Interruption,
    ) -> Result<WorkResult, ChannelError> {
        let reason = match interruption {
            Interruption::Broken(error) if error.is_not_sent() => {
                self.refuse(Outcome::NotRun, RefusalReason::NotReady).await?;
                return Ok(WorkResult::Neutral);
            }
            Interruption::Broken(error) => {
                let crashed = self.core.crashes.detect_crash(self.incarnation).await;
                warn!("event=answer_broken crashed={crashed} error=\"{error}\"");
                connection_loss_reason(crashed)
            }
            Interruption::Replaced => {
                connection_loss_reason(self.core.crashes.detect_crash(self.incarnation).await)
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

    /// Ends a response that is incomplete or invalid.
    async fn reject(
        &mut self,
        head: &ResponseHead,
        fault: &str,
    ) -> Result<WorkResult, ChannelError> {
        warn!("event=answer_rejected status={} fault=\"{fault}\"", head.status);
        let crashed = self.core.crashes.detect_crash(self.incarnation).await;
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

    async fn send_head(&mut self, head: &ResponseHead) -> Result<(), ChannelError> {
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

    async fn send_body(&mut self, head: &ResponseHead, data: Bytes) -> Result<(), ChannelError> {
        if data.is_empty() {
            return Ok(());
        }
        self.send_head(head).await?;
        self.length += data.len() as u64;
        self.sender.send(Payload::Body(Body { data })).await
    }

    async fn send_end(&mut self, complete: bool, crashed: bool) -> Result<(), ChannelError> {
        let mut load = self.core.admitter.load();
        // The slot of this request is returned directly after this message, so it no longer counts as in use.
        load.in_use = load.in_use.saturating_sub(1);
        let request_id = self.forward.request_id;
        let end = End { request_id, length: self.length, complete, load, crashed };
        self.sender.send(Payload::End(end)).await
    }
}

/// Returns the refusal reason for a request whose connection to the upstream broke.
#[must_use]
pub fn connection_loss_reason(crashed: bool) -> RefusalReason {
    if crashed { RefusalReason::UpstreamCrashed } else { RefusalReason::ConnectionLost }
}
