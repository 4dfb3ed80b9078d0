//! A small agent that does what a test tells it.

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
    Head, LoadReport, Payload, ReadyModel, Refusal, StatusReply,
};

use super::{FLEET_KEY, MODEL};

const LOAD: LoadReport = LoadReport { limit: 8, in_use: 0, queued: 0 };

/// How an answer ends early.
#[derive(Clone, Copy)]
pub enum Break {
    /// The connection closes.
    Close,
    /// The agent says that the upstream crashed.
    Crash,
}

/// What the agent does with a request.
#[derive(Clone)]
pub enum Act {
    /// Sends tokens from the offset on (`overlap` earlier), up to `count`, unless it breaks before token `break_at`.
    Tokens { count: u64, overlap: u64, break_at: Option<(u64, Break)>, pace: Duration },
    /// Answers a call.
    Answer(&'static str),
    /// Refuses.
    Refuse(Outcome, RefusalReason),
    /// Never answers.
    Hang,
}

impl Act {
    /// A whole answer of `count` tokens.
    pub fn tokens(count: u64) -> Self {
        Self::Tokens { count, overlap: 0, break_at: None, pace: Duration::ZERO }
    }

    /// An answer that ends before token `at`.
    pub fn broken(at: u64, end: Break) -> Self {
        Self::Tokens { count: 99, overlap: 0, break_at: Some((at, end)), pace: Duration::ZERO }
    }
}

type Script = Box<dyn Fn(&Forward) -> Act + Send + Sync>;

/// A fake agent and what it has seen.
pub struct FakeAgent {
    pub upstream: String,
    pub address: SocketAddr,
    manifest: ContentDigest,
    script: Mutex<Script>,
    pub forwards: Mutex<Vec<Forward>>,
    pub notices: Mutex<Vec<CrashNotice>>,
    /// Requests whose connection closed before the answer ended.
    pub cancelled: AtomicU32,
    /// False while it does not answer probes.
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
            script: Mutex::new(Box::new(|_| Act::Hang)),
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

    /// Sets what the agent does from now on.
    pub fn play(&self, script: impl Fn(&Forward) -> Act + Send + Sync + 'static) {
        *self.script.lock().unwrap() = Box::new(script);
    }

    /// Stops at once, as a crash of the agent would.
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
                    let act = (self.script.lock().unwrap())(&forward);
                    self.forwards.lock().unwrap().push(forward.clone());
                    if self.act(act, forward, &mut channel).await.is_err() {
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
        Payload::StatusReply(StatusReply {
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
            ..StatusReply::default()
        })
    }

    async fn act(
        &self,
        act: Act,
        forward: Forward,
        channel: &mut FrameChannel<TcpStream>,
    ) -> Result<(), ChannelError> {
        let request_id = forward.request_id;
        let manifest = Bytes::copy_from_slice(self.manifest.as_bytes());
        let head = Head { request_id, status: 200, content_type: String::new(), manifest };
        let mut end = End { request_id, length: 0, complete: true, load: LOAD, crashed: false };
        match act {
            Act::Hang => {
                // Returns with an error as soon as the entry closes the connection.
                channel.receiver.receive().await?;
            }
            Act::Refuse(outcome, reason) => {
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
            Act::Answer(text) => {
                channel.sender.send(Payload::Head(head)).await?;
                let data = Bytes::from_static(text.as_bytes());
                end.length = data.len() as u64;
                channel.sender.send(Payload::Body(Body { data })).await?;
                channel.sender.send(Payload::End(end)).await?;
            }
            Act::Tokens { count, overlap, break_at, pace } => {
                channel.sender.send(Payload::Head(head)).await?;
                for index in forward.resume_offset.saturating_sub(overlap)..=count {
                    match break_at {
                        Some((at, Break::Close)) if at == index => {
                            return Err(ChannelError::Closed);
                        }
                        Some((at, Break::Crash)) if at == index => {
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
                        () = tokio::time::sleep(pace) => {}
                        closed = channel.receiver.receive() => drop(closed?),
                    }
                }
                channel.sender.send(Payload::End(end)).await?;
            }
        }
        Ok(())
    }
}
