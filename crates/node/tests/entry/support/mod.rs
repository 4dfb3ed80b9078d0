//! One entry with stand-ins for its agents and platform, and a client for callers' requests.

pub mod agent;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use agent::FakeAgent;
use base::{Clock, ContentDigest};
use bytes::Bytes;
use config::{EntrySettings, FleetConfig, HostList};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use node::{EntryNode, NodeContext, NodeListeners};
use serde_json::{Value, json};
use standin::platform::config_service::ConfigService;
use tokio::runtime::Handle;

pub const FLEET_KEY: &str = "fleet key of the entry tests";
pub const MODEL: &str = "briefing";

/// System clock that a test can move forward, as a pause of the process does.
pub struct JumpClock {
    jumped_ms: AtomicU64,
}

impl JumpClock {
    pub fn jump(&self, gap: Duration) {
        self.jumped_ms.fetch_add(gap.as_millis() as u64, Ordering::Relaxed);
    }
}

impl Clock for JumpClock {
    fn now(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.jumped_ms.load(Ordering::Relaxed))
    }
}

/// Manifest of the current (`new`) or the previous (`old`) version of the model.
pub fn manifest(version: &str) -> ContentDigest {
    ContentDigest::of(version.as_bytes())
}

/// The entry, its agents and its platform.
pub struct TestFleet {
    pub agents: Vec<Arc<FakeAgent>>,
    pub entry: EntryNode,
    pub clock: Arc<JumpClock>,
    pub http: SocketAddr,
    pub peer: SocketAddr,
    admin: SocketAddr,
    platform: ConfigService,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Complete response, as a caller gets it.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    pub outcome: String,
    pub retry_after: Option<String>,
    pub body: String,
}

impl CallerResponse {
    pub fn lines(&self) -> Vec<Value> {
        self.body.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }

    /// Returns true if the response has every token exactly once and in order, and the `done` line.
    pub fn has_all_tokens(&self, count: u64) -> bool {
        let lines = self.lines();
        let in_order = lines
            .iter()
            .enumerate()
            .all(|(position, line)| line["done"] == true || line["index"] == position as u64);
        let done = lines.last().is_some_and(|line| line["done"] == true && line["count"] == count);
        in_order && done && lines.len() as u64 == count + 1
    }
}

/// Upstreams whose ids start with `m` run the model, with `b` the booking service and with `o` the office service.
/// Those that end with `1` are in data centre `b`, the others in `a`.
fn fleet_config(revision: u64, out: &str, upstreams: &[&str]) -> FleetConfig {
    let upstreams: Vec<_> = upstreams
        .iter()
        .map(|id| {
            let service = match &id[..1] {
                "b" => Some("booking"),
                "o" => Some("office"),
                _ => None,
            };
            let kind = if service.is_some() { "service" } else { "model" };
            let centre = if id.ends_with('1') { "b" } else { "a" };
            json!({"id": id, "host": id, "data_centre": centre, "kind": kind, "service": service,
                   "cold_limit": 1, "warm_limit": 8, "memory_mib": 1})
        })
        .collect();
    let version = |name| json!({"name": name, "manifest": manifest(name), "size_bytes": 1});
    let centres = ["a", "b"].map(|id| json!({"id": id, "region": "r", "out": id == out}));
    let preset = |name| json!({"id": name, "models": [{"model": MODEL, "replicas": 3}]});
    let presets = ["ordinary", "peak", "maintenance"].map(preset);
    serde_json::from_value(json!({
        "revision": revision, "preset": "ordinary", "upstreams": upstreams,
        "teams": [{"id": "survey", "organisation": "trust", "share": 1}],
        "data_centres": centres,
        "models": [{"id": MODEL, "versions": [version("new"), version("old")],
                    "current": "new", "previous": "old"}],
        "services": [{"id": "booking", "idempotent": false}, {"id": "office", "idempotent": true}],
        "presets": presets,
    }))
    .unwrap()
}

impl TestFleet {
    /// Starts an entry in data centre `a`, with agents that serve the current version.
    pub async fn start(upstreams: &[&str]) -> Self {
        let versions: Vec<_> = upstreams.iter().map(|id| (*id, "new")).collect();
        Self::with_versions(&versions).await
    }

    pub async fn with_versions(upstreams: &[(&str, &str)]) -> Self {
        let mut agents = Vec::new();
        for (id, version) in upstreams {
            agents.push(FakeAgent::start(id, manifest(version)).await);
        }
        let any = "127.0.0.1:0".parse().unwrap();
        let platform = ConfigService::start(any, Duration::ZERO).await.unwrap();
        let bind = || node::context::bind(any).unwrap();
        let listeners = NodeListeners { peer: bind(), admin: bind(), http: Some(bind()) };
        let http = listeners.http.as_ref().unwrap().local_addr().unwrap();
        let admin = listeners.admin.local_addr().unwrap();
        let peer = listeners.peer.local_addr().unwrap();
        let settings = format!(
            "http_listen = \"{http}\"\naddress_ttl_ms = 400\nmax_body_bytes = 4096\n[common]\n\
             host = \"entry\"\ndata_centre = \"a\"\npeer_listen = \"{peer}\"\n\
             admin_listen = \"{admin}\"\nplatform = \"{}\"\nfleet_key = \"{FLEET_KEY}\"\n",
            platform.address(),
        );
        let hosts = agents.iter().map(|agent| {
            let centre = if agent.upstream.ends_with('1') { "b" } else { "a" };
            json!({"id": agent.upstream, "data_centre": centre, "role": "agent",
                   "upstream": agent.upstream, "peer": agent.address, "state": "live"})
        });
        let entries = [("entry", "a", http), ("other", "b", "127.0.0.1:9".parse().unwrap())];
        let entries = entries.map(|(id, centre, http)| {
            json!({"id": id, "data_centre": centre, "role": "entry", "http": http,
                   "peer": if id == "entry" { peer } else { http }, "state": "live"})
        });
        let hosts: Vec<_> = hosts.chain(entries).collect();
        let hosts: HostList =
            serde_json::from_value(json!({"version": 1, "hosts": hosts})).unwrap();
        platform.set_hosts(&hosts);
        let ids: Vec<_> = upstreams.iter().map(|(id, _)| *id).collect();
        platform.publish(&fleet_config(1, "", &ids));
        let clock = Arc::new(JumpClock { jumped_ms: AtomicU64::new(0) });
        let context = NodeContext::new(clock.clone(), Handle::current(), Handle::current());
        let settings = EntrySettings::parse(&settings).unwrap();
        let entry = EntryNode::start(context, settings, listeners);
        let client = Client::builder(TokioExecutor::new()).build_http();
        let fleet = Self { agents, entry, clock, http, peer, admin, platform, client };
        fleet.wait_until_ready().await;
        fleet
    }

    pub async fn wait_until_ready(&self) {
        for _ in 0..400 {
            let ready = self.admin("/admin/v1/ready").await;
            let status = self.admin("/admin/v1/status").await;
            let reachable = |agent: &Value| agent["reachable"] == true;
            let agents = status["upstreams"].as_array().unwrap();
            if ready["ready"] == true && !agents.is_empty() && agents.iter().all(reachable) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the entry did not become ready");
    }

    /// Takes a data centre out of service.
    pub fn take_out(&self, data_centre: &str) {
        let ids: Vec<_> = self.agents.iter().map(|agent| agent.upstream.as_str()).collect();
        self.platform.publish(&fleet_config(2, data_centre, &ids));
    }

    pub async fn admin(&self, path: &str) -> Value {
        let uri = format!("http://{}{path}", self.admin);
        let response = self.client.get(uri.parse().unwrap()).await.unwrap();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        serde_json::from_slice(&body).unwrap()
    }

    /// Sends a request and returns as soon as the response starts.
    pub async fn open(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response<Incoming> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.http))
            .header("x-team", "survey");
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        self.client.request(request).await.unwrap()
    }

    pub async fn send_request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> CallerResponse {
        let response = self.open(method, path, headers, body).await;
        let header =
            |name| response.headers().get(name).map(|value| value.to_str().unwrap().to_owned());
        let (outcome, retry_after) = (header("x-outcome").unwrap(), header("retry-after"));
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let body = String::from_utf8(body.to_vec()).unwrap();
        CallerResponse { status, outcome, retry_after, body }
    }

    pub async fn generate(&self, prompt: &str) -> CallerResponse {
        let body = json!({"prompt": prompt, "max_tokens": 12}).to_string();
        self.send_request("POST", &format!("/v1/models/{MODEL}/generate"), &[], &body).await
    }

    pub async fn request_keys(&self, count: usize) -> Vec<String> {
        let key_request =
            json!({"service": "booking", "team": "survey", "count": count}).to_string();
        let response = self.send_request("POST", "/v1/keys", &[], &key_request).await;
        assert_eq!(response.status, 200, "{response:?}");
        let granted: Value = serde_json::from_str(&response.body).unwrap();
        serde_json::from_value(granted["keys"].clone()).unwrap()
    }

    pub async fn send_booking(&self, key: &str) -> CallerResponse {
        self.send_request("POST", "/v1/services/booking/visits", &[("x-request-key", key)], "visit")
            .await
    }

    pub fn forward_total(&self) -> usize {
        self.agents.iter().map(|agent| agent.forward_count()).sum()
    }
}
