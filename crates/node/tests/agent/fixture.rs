//! One agent on loopback, with a stand-in for its platform and its upstream. The test acts as the entry.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use base::{Clock, ContentDigest, Outcome, RefusalReason};
use bytes::Bytes;
use config::AgentSettings;
use node::{AgentNode, NodeContext, NodeListeners};
use once::{KEY_SIGNING_CONTEXT, KeyOwner, KeySigner, RecordOptions, RequestKey};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    runtime::Handle,
    time::timeout,
};
use wire::{
    ChannelLimits, FleetKey, Forward, FrameChannel, Payload, StatusRequest, StatusResponse,
};

use crate::upstream::{FakeUpstream, manifest};

/// Timeout for each message of a response, so that an agent that hangs fails the test instead of blocking it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
const SECRET: &str = "a secret of the test fleet";

/// Result of one request, as the entry sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardResult {
    Response { status: u32, body: String, complete: bool, crashed: bool },
    Refused { outcome: Outcome, reason: RefusalReason },
}

/// Clock that a test can move forward, as a pause of the process does.
#[derive(Default)]
pub struct JumpingClock(Mutex<Duration>);

impl JumpingClock {
    pub fn jump(&self, gap: Duration) {
        *self.0.lock().unwrap() += gap;
    }
}

impl Clock for JumpingClock {
    fn now(&self) -> Instant {
        Instant::now() + *self.0.lock().unwrap()
    }
}

/// Configuration and host list that the stand-in of the platform returns.
pub struct FakePlatform {
    pub config: Mutex<Value>,
    pub hosts: Mutex<Value>,
}

pub struct AgentFixture {
    pub agent: AgentNode,
    pub upstream: Arc<FakeUpstream>,
    pub platform: Arc<FakePlatform>,
    pub clock: Arc<JumpingClock>,
    pub address: SocketAddr,
    platform_address: SocketAddr,
}

impl AgentFixture {
    /// Starts an agent for a model engine, or for a plain service if `service` is not empty.
    pub async fn start(service: &str, cold_limit: u32, options: RecordOptions) -> Self {
        let upstream = FakeUpstream::start(service.is_empty(), cold_limit).await;
        let platform = Arc::new(FakePlatform {
            config: Mutex::new(fleet_config(service, cold_limit)),
            hosts: Mutex::new(Value::Null),
        });
        let platform_address = serve_platform(platform.clone()).await;
        let clock = Arc::<JumpingClock>::default();
        let listeners = listen();
        let address = listeners.peer.local_addr().expect("the listener is bound");
        *platform.hosts.lock().unwrap() = host_list(1, address, "live");
        let agent = start_agent(&upstream, platform_address, clock.clone(), listeners, options);
        let fixture = Self { agent, upstream, platform, clock, address, platform_address };
        fixture.wait_until(|status| status.load.limit == cold_limit && status.upstream_up).await;
        fixture
    }

    /// Replaces the agent with a new one, as a restart does.
    pub async fn restart_agent(&mut self) {
        self.agent.kill();
        let listeners = listen();
        self.address = listeners.peer.local_addr().expect("the listener is bound");
        *self.platform.hosts.lock().unwrap() = host_list(2, self.address, "live");
        let (platform, clock) = (self.platform_address, self.clock.clone());
        let options = RecordOptions::default();
        self.agent = start_agent(&self.upstream, platform, clock, listeners, options);
        self.wait_until(|status| status.upstream_up && status.revision > 0).await;
    }

    pub async fn connect(&self) -> FrameChannel<TcpStream> {
        connect(self.address).await
    }

    pub async fn status(&self) -> StatusResponse {
        let mut channel = self.connect().await;
        match channel.call(Payload::StatusRequest(StatusRequest::default())).await {
            Ok(Payload::StatusResponse(status)) => status,
            other => panic!("expected a status response, got {other:?}"),
        }
    }

    pub async fn wait_until(&self, wanted: impl Fn(&StatusResponse) -> bool) {
        for _ in 0..750 {
            if wanted(&self.status().await) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("status not reached within 15 s: {:?}", self.status().await);
    }

    /// Issues a key of this agent, as an entry does from a status response.
    pub async fn issue_key(&self) -> String {
        let status = self.status().await;
        let owner = KeyOwner::new(status.upstream, status.incarnation);
        let issued = Duration::from_millis(status.uptime_ms);
        let key = RequestKey::new("booking", owner, issued, &mut rand::rng());
        KeySigner::new(FleetKey::new(SECRET).derive(KEY_SIGNING_CONTEXT)).sign(&key)
    }

    pub async fn send(&self, forward: Forward) -> ForwardResult {
        exchange(&mut self.connect().await, forward).await
    }
}

pub fn service_request(body: &str, key: &str) -> Forward {
    Forward {
        team: "team".to_owned(),
        remaining_ms: 10_000,
        service: "booking".to_owned(),
        method: "POST".to_owned(),
        path: "/book".to_owned(),
        key: key.to_owned(),
        body: Bytes::copy_from_slice(body.as_bytes()),
        ..Forward::default()
    }
}

pub fn model_request(text: &str, max_tokens: u64) -> Forward {
    let body = json!({"prompt": text, "max_tokens": max_tokens}).to_string();
    Forward {
        team: "team".to_owned(),
        remaining_ms: 10_000,
        model: "m".to_owned(),
        manifest: Bytes::copy_from_slice(manifest().as_bytes()),
        fingerprint: Bytes::copy_from_slice(ContentDigest::of(text.as_bytes()).as_bytes()),
        body: body.into(),
        ..Forward::default()
    }
}

pub fn refused(outcome: Outcome, reason: RefusalReason) -> ForwardResult {
    ForwardResult::Refused { outcome, reason }
}

pub async fn connect(address: SocketAddr) -> FrameChannel<TcpStream> {
    let stream = TcpStream::connect(address).await.expect("the agent listens");
    let key = FleetKey::new(SECRET);
    wire::connect(stream, &key, "entry", ChannelLimits::default()).await.expect("handshake")
}

pub async fn exchange(channel: &mut FrameChannel<TcpStream>, forward: Forward) -> ForwardResult {
    channel.sender.send(Payload::Forward(forward)).await.expect("the agent accepts the request");
    let (mut status, mut body) = (0, Vec::new());
    loop {
        let message = timeout(RESPONSE_TIMEOUT, channel.receiver.receive()).await;
        match message.expect("a message before the timeout").expect("the agent responds") {
            Payload::Head(head) => status = head.status,
            Payload::Body(part) => body.extend_from_slice(&part.data),
            Payload::End(end) => {
                assert_eq!(end.length, body.len() as u64);
                let body = String::from_utf8(body).expect("the body is UTF-8");
                let (complete, crashed) = (end.complete, end.crashed);
                return ForwardResult::Response { status, body, complete, crashed };
            }
            Payload::Refusal(refusal) => {
                assert_eq!(status, 0, "refusal after the head of a response");
                let outcome = Outcome::from_code(refusal.outcome).expect("a known outcome");
                let reason = RefusalReason::from_code(refusal.reason).expect("a known reason");
                return ForwardResult::Refused { outcome, reason };
            }
            other => panic!("unexpected message: {other:?}"),
        }
    }
}

fn listen() -> NodeListeners {
    let bind = || {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        listener.set_nonblocking(true).expect("the listener can be non-blocking");
        listener
    };
    NodeListeners { peer: bind(), admin: bind(), http: None }
}

fn start_agent(
    upstream: &FakeUpstream,
    platform: SocketAddr,
    clock: Arc<JumpingClock>,
    listeners: NodeListeners,
    options: RecordOptions,
) -> AgentNode {
    let address = listeners.peer.local_addr().expect("the listener is bound");
    let settings = format!(
        "upstream = \"u-1\"\nupstream_address = \"{}\"\nweight_sources = []\nqueue_length = 64\n\
         [common]\nhost = \"h-1\"\ndata_centre = \"dc-1\"\npeer_listen = \"{address}\"\n\
         admin_listen = \"127.0.0.1:0\"\nplatform = \"{platform}\"\nfleet_key = \"{SECRET}\"\n\
         drain_ms = 3500\n",
        upstream.address
    );
    let settings = AgentSettings::parse(&settings).expect("the settings are valid");
    let context = NodeContext::new(clock, Handle::current(), Handle::current());
    AgentNode::start_with_record_options(context, settings, listeners, options)
}

pub fn host_list(version: u64, peer: SocketAddr, state: &str) -> Value {
    let host = json!({
        "id": "h-1", "data_centre": "dc-1", "role": "agent", "upstream": "u-1",
        "peer": peer, "state": state,
    });
    json!({"version": version, "hosts": [host]})
}

pub fn fleet_config(service: &str, cold_limit: u32) -> Value {
    let mut upstream = json!({
        "id": "u-1", "host": "h-1", "data_centre": "dc-1", "kind": "model",
        "cold_limit": cold_limit, "warm_limit": cold_limit * 8, "memory_mib": 64,
    });
    let mut services = json!([]);
    if !service.is_empty() {
        upstream["kind"] = "service".into();
        upstream["service"] = service.into();
        services = json!([{"id": service, "idempotent": service != "booking"}]);
    }
    let presets = ["ordinary", "peak", "maintenance"].map(|id| {
        let wanted =
            if service.is_empty() { json!([{"model": "m", "replicas": 1}]) } else { json!([]) };
        json!({"id": id, "models": wanted})
    });
    json!({
        "revision": 1, "preset": "ordinary",
        "teams": [{"id": "team", "organisation": "o", "share": 1}],
        "data_centres": [{"id": "dc-1", "region": "r"}, {"id": "dc-2", "region": "r"}],
        "upstreams": [upstream],
        "models": [{
            "id": "m", "current": "v1",
            "versions": [{"name": "v1", "manifest": manifest(), "size_bytes": 1}],
        }],
        "services": services,
        "presets": presets,
    })
}

/// Serves the configuration and the host list.
async fn serve_platform(platform: Arc<FakePlatform>) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_reads(stream, platform.clone()));
        }
    });
    address
}

async fn serve_reads(mut stream: TcpStream, platform: Arc<FakePlatform>) {
    let mut buffer = vec![0; 4096];
    while let Ok(read @ 1..) = stream.read(&mut buffer).await {
        let request = String::from_utf8_lossy(&buffer[..read]).into_owned();
        let path = request.split(' ').nth(1).unwrap_or_default().to_owned();
        let (status, body) = match path.split_once("after=") {
            Some((_, query)) => {
                let after: u64 = query.split('&').next().unwrap_or("0").parse().unwrap_or(0);
                let config = platform.config.lock().unwrap().clone();
                match config["revision"].as_u64() > Some(after) {
                    true => (200, config.to_string()),
                    false => (304, String::new()),
                }
            }
            None => (200, platform.hosts.lock().unwrap().to_string()),
        };
        if status == 304 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let length = body.len();
        let response = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}");
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}
