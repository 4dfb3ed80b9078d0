//! Handler of the messages from entries: status requests, forwarded requests and crash notices.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Outcome, RefusalReason};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::StatusCode;
use limit::WorkRefusal;
use log::{debug, warn};
use once::{KEY_SIGNING_CONTEXT, KeySigner, RecordOptions, RecordedResult, RetainedResponse};
use wire::{
    Ack, Body, ChannelError, End, FleetKey, Forward, FrameChannel, Head, Payload, ReadyModel,
    StatusRequest, StatusResponse,
};

use super::{
    core::RequestCore,
    keyed::{KeyedRequests, KeyedStart},
    relay::{AgentRefusal, DEADLINE_GRACE, ResponseRelay},
};
use crate::{
    server::{FrameHandler, ServerChannel},
    weights::WeightsProgress,
};

/// Minimum duration of a planned stop. Entries detect the stop with their probes; until then their requests are refused
/// with the outcome `not_run` instead of a refused connection.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(1);

/// Maximum remaining time of a request; a longer one is shortened, so that it cannot overflow the clock.
const MAX_REMAINING: Duration = Duration::from_secs(3_600);

/// Handler of `Forward`, `StatusRequest` and `CrashNotice` messages.
pub struct ForwardHandler {
    core: Arc<RequestCore>,
    keyed: Arc<KeyedRequests>,
    weights: WeightsProgress,
    signer: KeySigner,
}

impl ForwardHandler {
    /// Creates the handler; `key` is the fleet key, from which the signing key of request keys is derived.
    #[must_use]
    pub fn new(
        core: Arc<RequestCore>,
        weights: WeightsProgress,
        key: &FleetKey,
        options: RecordOptions,
    ) -> Arc<Self> {
        let keyed = KeyedRequests::new(core.clone(), options);
        let signer = KeySigner::new(key.derive(KEY_SIGNING_CONTEXT));
        Arc::new(Self { core, keyed, weights, signer })
    }

    /// Waits until no request is in progress, at most for `limit`, and returns the number of those left. The node must
    /// already be draining.
    pub async fn wait_until_idle(&self, limit: Duration) -> u32 {
        self.core.gate.update_now();
        tokio::time::sleep(MIN_DRAIN_TIME.min(limit)).await;
        let left = limit.saturating_sub(MIN_DRAIN_TIME);
        self.core.progress.wait_until_idle(left, || self.core.now()).await
    }

    /// Returns the status for entries and operators, without cache events.
    #[must_use]
    pub fn status(&self) -> StatusResponse {
        let core = &self.core;
        let upstream = core.monitor.get();
        let (held_bytes, wanted_bytes) = self.weights.held_and_wanted_bytes();
        let ready = upstream.loaded.iter().map(|loaded| ReadyModel {
            model: loaded.model.to_string(),
            manifest: Bytes::copy_from_slice(loaded.manifest.as_bytes()),
        });
        StatusResponse {
            upstream: core.upstream.to_string(),
            incarnation: core.context.incarnation,
            uptime_ms: u64::try_from(core.uptime().as_millis()).unwrap_or(u64::MAX),
            load: core.admitter.load(),
            ready: ready.collect(),
            draining: core.gate.is_draining(),
            revision: core.view.get().map_or(0, |view| view.config.revision),
            upstream_up: upstream.up,
            held_bytes,
            wanted_bytes,
            cache_generation: 0,
            cache_events: Vec::new(),
        }
    }

    fn status_response(&self, request: StatusRequest) -> StatusResponse {
        let feed = &self.core.cache;
        let (cache_generation, cache_events) =
            feed.events_since(request.cache_generation, request.cache_after);
        StatusResponse { cache_generation, cache_events, ..self.status() }
    }

    async fn forward(
        &self,
        forward: Forward,
        channel: &mut ServerChannel,
    ) -> Result<(), ChannelError> {
        let now = self.core.now();
        // An excessive remaining time must not overflow the clock.
        let remaining = Duration::from_millis(forward.remaining_ms).min(MAX_REMAINING);
        let deadline = now + remaining;
        let _ = self.core.gate.is_stale();
        if !forward.key.is_empty() {
            return self.forward_keyed(forward, deadline, channel).await;
        }
        if self.needs_key(&forward) {
            // The entry forwarded the request under a configuration in which the service is idempotent.
            let refusal = self.core.refusal(RefusalReason::Refreshing);
            return self.refuse(&forward, refusal, channel).await;
        }
        self.forward_idempotent(&forward, deadline, channel).await
    }

    fn needs_key(&self, forward: &Forward) -> bool {
        let is_read = matches!(forward.method.as_str(), "GET" | "HEAD");
        let view = self.core.view.get();
        let record = view.as_ref().and_then(|view| view.config.service(&forward.service));
        !is_read && record.is_some_and(|record| !record.idempotent)
    }

    async fn forward_idempotent(
        &self,
        forward: &Forward,
        deadline: Instant,
        channel: &mut ServerChannel,
    ) -> Result<(), ChannelError> {
        let progress = self.core.progress.add(forward, self.core.now());
        let FrameChannel { sender, receiver, .. } = channel;
        let acquired = tokio::select! {
            acquired = self.core.acquire(forward, deadline, &progress) => acquired,
            message = receiver.receive() => return Err(cancel(forward, message)),
        };
        let work = match acquired {
            Ok(work) => work,
            Err(refusal) => return self.refuse(forward, refusal, channel).await,
        };
        let relay = ResponseRelay::new(&self.core, forward, sender, &work, deadline);
        let result = tokio::select! {
            result = relay.run(work.isolated) => result,
            message = receiver.receive() => Err(cancel(forward, message)),
        };
        match result {
            Ok(result) => {
                work.ticket.finish(result);
                Ok(())
            }
            // Dropping the ticket returns the slot after the upstream has had time to notice the cancellation.
            Err(error) => Err(error),
        }
    }

    async fn forward_keyed(
        &self,
        forward: Forward,
        deadline: Instant,
        channel: &mut ServerChannel,
    ) -> Result<(), ChannelError> {
        let _progress = self.core.progress.add(&forward, self.core.now());
        let key = match self.signer.verify(&forward.key) {
            Ok(key) => key,
            Err(error) => {
                warn!("event=key_rejected error=\"{error}\"");
                let unknown = RecordedResult::Unknown(RefusalReason::OwnerGone);
                return self.send_result(&forward, unknown, channel).await;
            }
        };
        if *key.service() != forward.service {
            return self.send_key_mismatch(&forward, channel).await;
        }
        let result = match self.keyed.begin(key, &forward, deadline) {
            KeyedStart::Settled(result) => result,
            KeyedStart::ContentMismatch => return self.send_key_mismatch(&forward, channel).await,
            KeyedStart::Wait(mut wait) => {
                let left = deadline.saturating_duration_since(self.core.now()) + DEADLINE_GRACE;
                tokio::select! {
                    result = wait.result() => result,
                    message = channel.receiver.receive() => return Err(cancel(&forward, message)),
                    () = tokio::time::sleep(left) => {
                        RecordedResult::Unknown(RefusalReason::DeadlineExceeded)
                    }
                }
            }
        };
        self.send_result(&forward, result, channel).await
    }

    async fn send_result(
        &self,
        forward: &Forward,
        result: RecordedResult,
        channel: &mut ServerChannel,
    ) -> Result<(), ChannelError> {
        let (outcome, reason) = match result {
            RecordedResult::Answered(response) => {
                return self.send_response(forward, response, channel).await;
            }
            RecordedResult::NotRun(reason) => (Outcome::NotRun, reason),
            RecordedResult::Unknown(reason) => (Outcome::Unknown, reason),
        };
        let retry_after = self.core.admitter.retry_after();
        let refusal = AgentRefusal { outcome, reason, retry_after };
        let payload = refusal.to_payload(forward.request_id, self.core.admitter.load());
        channel.sender.send(payload).await
    }

    /// Reports that the caller used one key for two requests. The status of the first request is not changed by this.
    async fn send_key_mismatch(
        &self,
        forward: &Forward,
        channel: &mut ServerChannel,
    ) -> Result<(), ChannelError> {
        let body = Bytes::from_static(
            br#"{"error":"key_mismatch","detail":"the key belongs to another request"}"#,
        );
        let status = StatusCode::UNPROCESSABLE_ENTITY.as_u16();
        let content_type = "application/json".into();
        let response = RetainedResponse { status, content_type, body };
        self.send_response(forward, response, channel).await
    }

    async fn send_response(
        &self,
        forward: &Forward,
        response: RetainedResponse,
        channel: &mut ServerChannel,
    ) -> Result<(), ChannelError> {
        let request_id = forward.request_id;
        let RetainedResponse { status, content_type, body: data } = response;
        let length = data.len() as u64;
        let head = Head {
            request_id,
            status: u32::from(status),
            content_type: content_type.to_string(),
            manifest: Bytes::new(),
        };
        channel.sender.send(Payload::Head(head)).await?;
        if !data.is_empty() {
            channel.sender.send(Payload::Body(Body { data })).await?;
        }
        let load = self.core.admitter.load();
        let end = End { request_id, length, complete: true, load, crashed: false };
        channel.sender.send(Payload::End(end)).await
    }

    async fn refuse(
        &self,
        forward: &Forward,
        refusal: WorkRefusal,
        channel: &mut ServerChannel,
    ) -> Result<(), ChannelError> {
        let WorkRefusal { reason, retry_after } = refusal;
        let refusal = AgentRefusal { outcome: Outcome::NotRun, reason, retry_after };
        let payload = refusal.to_payload(forward.request_id, self.core.admitter.load());
        channel.sender.send(payload).await
    }
}

impl FrameHandler for ForwardHandler {
    fn accepts(&self, payload: &Payload) -> bool {
        matches!(payload, Payload::CrashNotice(_) | Payload::Forward(_) | Payload::StatusRequest(_))
    }

    fn handle<'a>(
        &'a self,
        payload: Payload,
        channel: &'a mut ServerChannel,
    ) -> BoxFuture<'a, Result<(), ChannelError>> {
        Box::pin(async move {
            match payload {
                Payload::Forward(forward) => self.forward(forward, channel).await,
                Payload::CrashNotice(notice) => {
                    self.core.crashes.apply_notice(&notice);
                    channel.sender.send(Payload::Ack(Ack {})).await
                }
                Payload::StatusRequest(request) => {
                    let status = self.status_response(request);
                    channel.sender.send(Payload::StatusResponse(status)).await
                }
                _ => Err(ChannelError::Unexpected),
            }
        })
    }
}

/// Returns the error for a message or event on the connection during an exchange. Normally the entry has closed the
/// connection, which cancels the request.
fn cancel(forward: &Forward, message: Result<Payload, ChannelError>) -> ChannelError {
    let error = message.err().unwrap_or(ChannelError::Unexpected);
    debug!("event=exchange_left request_id={} error=\"{error}\"", forward.request_id);
    error
}
