//! Runs forwarded requests on the upstream.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use base::{Outcome, RefusalReason};
use bytes::Bytes;
use config::AgentSettings;
use futures_util::{TryStreamExt, future::BoxFuture};
use hyper::Method;
use platform::{
    CallRequest, GenerateRequest, ModelEngine, PlainService, PlatformError, UpstreamAnswer,
};
use tokio::{sync::Semaphore, time::timeout};
use wire::{
    Body, ChannelError, End, Forward, Head, LoadReport, Payload, ReadyModel, Refusal, StatusReply,
};

use super::monitor::UpstreamMonitor;
use crate::{
    context::NodeContext,
    server::{FrameHandler, ServerChannel},
    view::ViewReader,
};

const RETRY_AFTER: Duration = Duration::from_millis(250);
const FINISH_POLL: Duration = Duration::from_millis(20);

/// Handles `Forward` and `StatusRequest`.
pub struct ForwardHandler {
    context: NodeContext,
    settings: AgentSettings,
    started: Instant,
    view: ViewReader,
    monitor: UpstreamMonitor,
    engine: Arc<dyn ModelEngine>,
    service: Arc<dyn PlainService>,
    permits: Semaphore,
    in_use: AtomicU32,
}

impl ForwardHandler {
    /// Creates the handler.
    #[must_use]
    pub fn new(
        context: &NodeContext,
        settings: &AgentSettings,
        view: ViewReader,
        monitor: UpstreamMonitor,
        engine: Arc<dyn ModelEngine>,
        service: Arc<dyn PlainService>,
    ) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            settings: settings.clone(),
            started: context.clock.now(),
            view,
            monitor,
            engine,
            service,
            permits: Semaphore::new(settings.queue_length),
            in_use: AtomicU32::new(0),
        })
    }

    /// Waits until nothing is in progress, at most `limit`; returns what is still held.
    pub async fn finish(&self, limit: Duration) -> u32 {
        let idle = async {
            while self.in_use.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(FINISH_POLL).await;
            }
        };
        let _ = timeout(limit, idle).await;
        self.in_use.load(Ordering::Relaxed)
    }

    /// Status for entries and operators.
    #[must_use]
    pub fn status(&self) -> StatusReply {
        let state = self.monitor.get();
        let view = self.view.get();
        let ready = state.loaded.iter().map(|loaded| ReadyModel {
            model: loaded.model.to_string(),
            manifest: Bytes::copy_from_slice(loaded.manifest.as_bytes()),
        });
        let uptime = self.context.clock.now().saturating_duration_since(self.started);
        StatusReply {
            upstream: self.settings.upstream.to_string(),
            incarnation: self.context.incarnation,
            uptime_ms: u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX),
            load: self.load(),
            ready: ready.collect(),
            draining: self.is_draining(),
            revision: view.map_or(0, |view| view.config.revision),
            upstream_up: state.up,
            held_bytes: 0,
            wanted_bytes: 0,
        }
    }

    fn is_draining(&self) -> bool {
        let out = self
            .view
            .get()
            .is_some_and(|view| view.config.is_out(&self.settings.common.data_centre));
        out || self.context.draining.is_cancelled()
    }

    fn load(&self) -> LoadReport {
        let limit = self
            .view
            .get()
            .and_then(|view| view.config.upstream(&self.settings.upstream).map(|r| r.cold_limit));
        LoadReport {
            limit: limit.unwrap_or(0),
            in_use: self.in_use.load(Ordering::Relaxed),
            queued: 0,
        }
    }

    fn refusal(&self, request_id: u64, outcome: Outcome, reason: RefusalReason) -> Payload {
        Payload::Refusal(Refusal {
            request_id,
            outcome: outcome.code(),
            reason: reason.code(),
            retry_after_ms: RETRY_AFTER.as_millis() as u64,
            crashed: false,
            load: self.load(),
        })
    }

    async fn forward(
        &self,
        forward: Forward,
        channel: &mut ServerChannel,
    ) -> Result<(), ChannelError> {
        let request_id = forward.request_id;
        if self.is_draining() {
            let refusal = self.refusal(request_id, Outcome::NotRun, RefusalReason::Draining);
            return channel.sender.send(refusal).await;
        }
        let Ok(permit) = self.permits.try_acquire() else {
            let refusal = self.refusal(request_id, Outcome::NotRun, RefusalReason::Overloaded);
            return channel.sender.send(refusal).await;
        };
        self.in_use.fetch_add(1, Ordering::Relaxed);
        let outcome = self.run(forward, channel).await;
        self.in_use.fetch_sub(1, Ordering::Relaxed);
        drop(permit);
        outcome
    }

    async fn run(&self, forward: Forward, channel: &mut ServerChannel) -> Result<(), ChannelError> {
        let request_id = forward.request_id;
        let manifest = forward.manifest.clone();
        match self.call(forward).await {
            Ok(answer) => stream_answer(request_id, manifest, answer, self.load(), channel).await,
            Err(error) if error.is_not_sent() => {
                let refusal = self.refusal(request_id, Outcome::NotRun, RefusalReason::NotReady);
                channel.sender.send(refusal).await
            }
            Err(_) => {
                let refusal =
                    self.refusal(request_id, Outcome::Unknown, RefusalReason::ConnectionLost);
                channel.sender.send(refusal).await
            }
        }
    }

    async fn call(&self, forward: Forward) -> Result<UpstreamAnswer, PlatformError> {
        if forward.service.is_empty() {
            let request = GenerateRequest { body: forward.body, priority: forward.priority };
            return self.engine.generate(request).await;
        }
        let request = CallRequest {
            method: Method::from_bytes(forward.method.as_bytes()).unwrap_or(Method::POST),
            path: forward.path.into(),
            body: forward.body,
            idempotent: forward.key.is_empty(),
        };
        self.service.call(request).await
    }
}

impl FrameHandler for ForwardHandler {
    fn accepts(&self, payload: &Payload) -> bool {
        matches!(payload, Payload::Forward(_) | Payload::StatusRequest(_))
    }

    fn handle<'a>(
        &'a self,
        payload: Payload,
        channel: &'a mut ServerChannel,
    ) -> BoxFuture<'a, Result<(), ChannelError>> {
        Box::pin(async move {
            match payload {
                Payload::Forward(forward) => self.forward(forward, channel).await,
                _ => channel.sender.send(Payload::StatusReply(self.status())).await,
            }
        })
    }
}

async fn stream_answer(
    request_id: u64,
    manifest: Bytes,
    mut answer: UpstreamAnswer,
    load: LoadReport,
    channel: &mut ServerChannel,
) -> Result<(), ChannelError> {
    let content_type = answer.content_type.to_string();
    let head = Head { request_id, status: u32::from(answer.status), content_type, manifest };
    channel.sender.send(Payload::Head(head)).await?;
    let mut length = 0;
    let complete = loop {
        match answer.body.try_next().await {
            Ok(Some(data)) => {
                length += data.len() as u64;
                channel.sender.send(Payload::Body(Body { data })).await?;
            }
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    channel
        .sender
        .send(Payload::End(End { request_id, length, complete, load, crashed: false }))
        .await
}
