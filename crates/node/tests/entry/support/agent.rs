//! Stand-in for an agent, with behaviour set by the test.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use base::{ContentDigest, Outcome, RefusalReason};
use bytes::Bytes;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use wire::{
    Ack, Body, ChannelError, ChannelLimits, CrashNotice, End, FleetKey, Forward, FrameChannel,
    Head, LoadReport, Payload, ReadyModel, Refusal, StatusResponse,
};

use super::{FLEET_KEY, MODEL};

const LOAD: LoadReport = LoadReport { limit: 8, in_use: 0, queued: 0, sequence: 0 };

/// How a stream ends early.
#[derive(Clone, Copy)]
pub enum StreamBreak {
    /// The connection is closed.
    Close,
    /// The agent reports that the upstream crashed.
    Crash,
}

/// Reaction of the stand-in to a request.
#[derive(Clone)]
pub enum AgentAction {
    /// Sends the tokens from `overlap` before the offset up to `count`, or up to the break before the token in
    /// `break_at`.
    Tokens {
        count: u64,
        overlap: u64,
        break_at: Option<(u64, StreamBreak)>,
        token_interval: Duration,
    },
    /// Sends a complete response with this body.
    Respond(&'static str),
    /// Refuses the request.
    Refuse(Outcome, RefusalReason),
    /// Never responds.
    Hang,
}

impl AgentAction {
    /// A complete response of `count` tokens.
    pub fn tokens(count: u64) -> Self {
        Self::Tokens { count, overlap: 0, break_at: None, token_interval: Duration::ZERO }
    }

    /// A response that ends before token `at`.
    pub fn broken(at: u64, end: StreamBreak) -> Self {
        Self::Tokens {
            count: 99,
            overlap: 0,
            break_at: Some((at, end)),
            token_interval: Duration::ZERO,
        }
    }
}

type ActionFn = Box<dyn Fn(&Forward) -> AgentAction + Send + Sync>;

/// Stand-in for an agent, with the messages that it has received.
pub struct FakeAgent {
    pub upstream: String,
    pub address: SocketAddr,
    manifest: ContentDigest,
    action_fn: Mutex<ActionFn>,
    pub forwards: Mutex<Vec<Forward>>,
    pub notices: Mutex<Vec<CrashNotice>>,
    /// Number of requests whose connection was closed before the end of the response.
    pub cancelled: AtomicU32,
    /// False while the agent does not respond to probes.
    pub responsive: AtomicBool,
    stopped: CancellationToken,
}

impl FakeAgent {
    pub async fn start(upstream: &str, manifest: ContentDigest) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let agent = Arc::new(Self {
            upstream: upstream.to_owned(),
            address: listener.local_addr().unwrap(),
            manifest,
            action_fn: Mutex::new(Box::new(|_| AgentAction::Hang)),
            forwards: Mutex::default(),
            notices: Mutex::default(),
            cancelled: AtomicU32::new(0),
            responsive: AtomicBool::new(true),
            stopped: CancellationToken::new(),
        });
        let (server, stopped) = (agent.clone(), agent.stopped.clone());
        tokio::spawn(stopped.run_until_cancelled_owned(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                let stopped = server.stopped.clone();
                tokio::spawn(stopped.run_until_cancelled_owned(async move {
                    let _ = server.serve(stream).await;
                }));
            }
        }));
        agent
    }

    /// Sets the function that selects the action for each later request.
    pub fn set_action(&self, action_fn: impl Fn(&Forward) -> AgentAction + Send + Sync + 'static) {
        *self.action_fn.lock().unwrap() = Box::new(action_fn);
    }

    /// Closes all connections and stops listening, as a crash of the agent does.
    pub fn kill(&self) {
        self.stopped.cancel();
    }

    pub fn forward_count(&self) -> usize {
        self.forwards.lock().unwrap().len()
    }

    async fn serve(&self, stream: TcpStream) -> Result<(), ChannelError> {
        stream.set_nodelay(true).unwrap();
        let key = FleetKey::new(FLEET_KEY);
        let limits = ChannelLimits::default();
        let mut channel = wire::accept(stream, &key, &self.upstream, limits).await?;
        loop {
            match channel.receiver.receive().await? {
                Payload::StatusRequest(_) if !self.responsive.load(Ordering::Relaxed) => {
                    std::future::pending().await
                }
                Payload::StatusRequest(_) => channel.sender.send(self.status()).await?,
                Payload::CrashNotice(notice) => {
                    self.notices.lock().unwrap().push(notice);
                    channel.sender.send(Payload::Ack(Ack {})).await?;
                }
                Payload::Forward(forward) => {
                    let action = (self.action_fn.lock().unwrap())(&forward);
                    self.forwards.lock().unwrap().push(forward.clone());
                    if self.perform(action, forward, &mut channel).await.is_err() {
                        self.cancelled.fetch_add(1, Ordering::Relaxed);
                        return Ok(());
                    }
                }
                _ => return Err(ChannelError::Unexpected),
            }
        }
    }

    fn status(&self) -> Payload {
        let manifest = Bytes::copy_from_slice(self.manifest.as_bytes());
        Payload::StatusResponse(StatusResponse {
            upstream: self.upstream.clone(),
            incarnation: 7,
            uptime_ms: 60_000,
            load: LOAD,
            ready: vec![ReadyModel { model: MODEL.to_owned(), manifest }],
            draining: false,
            revision: 1,
            upstream_up: true,
            held_bytes: 0,
            wanted_bytes: 0,
            ..StatusResponse::default()
        })
    }

    async fn perform(
        &self,
        action: AgentAction,
        forward: Forward,
        channel: &mut FrameChannel<TcpStream>,
    ) -> Result<(), ChannelError> {
        let request_id = forward.request_id;
        let manifest = Bytes::copy_from_slice(self.manifest.as_bytes());
        let head = Head { request_id, status: 200, content_type: String::new(), manifest };
        let mut end = End { request_id, length: 0, complete: true, load: LOAD, crashed: false };
        match action {
            AgentAction::Hang => {
                // Fails as soon as the entry closes the connection.
                channel.receiver.receive().await?;
            }
            AgentAction::Refuse(outcome, reason) => {
                let refusal = Refusal {
                    request_id,
                    outcome: outcome.code(),
                    reason: reason.code(),
                    retry_after_ms: 100,
                    crashed: reason == RefusalReason::UpstreamCrashed,
                    load: LOAD,
                };
                channel.sender.send(Payload::Refusal(refusal)).await?;
            }
            AgentAction::Respond(text) => {
                channel.sender.send(Payload::Head(head)).await?;
                let data = Bytes::from_static(text.as_bytes());
                end.length = data.len() as u64;
                channel.sender.send(Payload::Body(Body { data })).await?;
                channel.sender.send(Payload::End(end)).await?;
            }
            AgentAction::Tokens { count, overlap, break_at, token_interval } => {
                channel.sender.send(Payload::Head(head)).await?;
                for index in forward.resume_offset.saturating_sub(overlap)..=count {
                    match break_at {
                        Some((at, StreamBreak::Close)) if at == index => {
                            return Err(ChannelError::Closed);
                        }
                        Some((at, StreamBreak::Crash)) if at == index => {
                            (end.complete, end.crashed) = (false, true);
                            break;
                        }
                        _ => {}
                    }
                    let line = if index == count {
                        json!({"done": true, "count": count, "manifest": self.manifest})
                    } else {
                        json!({"index": index, "token": format!("t{index}")})
                    };
                    let data = Bytes::from(format!("{line}\n"));
                    end.length += data.len() as u64;
                    tokio::select! {
                        sent = channel.sender.send(Payload::Body(Body { data })) => sent?,
                        closed = channel.receiver.receive() => drop(closed?),
                    }
                    tokio::select! {
                        () = tokio::time::sleep(token_interval) => {}
                        closed = channel.receiver.receive() => drop(closed?),
                    }
                }
                channel.sender.send(Payload::End(end)).await?;
            }
        }
        Ok(())
    }
}
