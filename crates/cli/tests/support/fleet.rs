//! Test fleet that runs the real binaries against stand-ins for the platform.

use std::{
    collections::HashMap,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use base::ContentDigest;
use bytes::Bytes;
use config::{FleetConfig, HostList, HostRecord, HostRole, HostState};
use futures_util::TryStreamExt;
use hyper::Method;
use ports::HttpClient;
use serde_json::{Value, json};
use standin::{
    ConfigService, EngineOptions, ModelEngine, PlainService, ServiceOptions, StoreOptions,
    WeightCatalog, WeightImage, WeightStore, platform::token::token_text,
};
use tokio::task::JoinHandle;

const FIRST_PORT: u16 = 7000;
const ENTRIES: usize = 2;
const ENGINES: usize = 2;
const WEIGHT_BYTES: usize = 4 << 20;
const CHUNK_BYTES: usize = 256 << 10;
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Response as a caller received it.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Body, or the part of it that arrived before the connection broke.
    pub body: String,
    /// False if the connection broke before the end of the body.
    pub complete: bool,
}

impl HttpResponse {
    /// Returns true if this is the complete and correct response to a generate request.
    pub fn is_expected(&self, manifest: &str, prompt: &str, tokens: u64) -> bool {
        let mut lines =
            self.body.lines().map(|line| serde_json::from_str::<Value>(line).unwrap_or_default());
        let tokens_correct = (0..tokens).all(|index| {
            let line = lines.next().unwrap_or_default();
            line["index"] == json!(index)
                && line["token"] == json!(token_text(prompt, manifest, index))
        });
        let done = lines.next().unwrap_or_default();
        self.complete
            && self.status == 200
            && tokens_correct
            && done["done"] == json!(true)
            && lines.next().is_none()
    }
}

/// Fleet of processes on loopback; they are killed on drop.
pub struct ProcessFleet {
    /// Stand-in for the configuration service, which also serves the host list.
    pub platform: ConfigService,
    /// Booking service behind the agent `booking-0`.
    pub booking: PlainService,
    /// Most recently published configuration.
    pub config: FleetConfig,
    engines: Vec<ModelEngine>,
    _store: WeightStore,
    image: Arc<WeightImage>,
    entries: Vec<SocketAddr>,
    children: HashMap<String, Child>,
    work_dir: PathBuf,
}

impl ProcessFleet {
    /// Starts 2 entries, 2 agents for engines and 1 agent for a booking service.
    ///
    /// `name` must be unique among the tests: it selects the working directory and the loopback address.
    pub async fn start(name: &str) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let platform = ConfigService::start(any, Duration::from_millis(500)).await.unwrap();
        let catalog = Arc::new(WeightCatalog::default());
        let image = catalog.add(WeightImage::generate(1, WEIGHT_BYTES, CHUNK_BYTES));
        let store =
            WeightStore::start(any, catalog.clone(), StoreOptions::default()).await.unwrap();
        let booking = PlainService::start(any, ServiceOptions::default()).await.unwrap();
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            engines.push(
                ModelEngine::start(any, catalog.clone(), EngineOptions::default()).await.unwrap(),
            );
        }
        let work_dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&work_dir).unwrap();
        let config = fleet_config(&image);
        let mut fleet = Self {
            platform,
            booking,
            config,
            engines,
            _store: store,
            image,
            entries: Vec::new(),
            children: HashMap::new(),
            work_dir,
        };
        fleet.start_processes(name);
        fleet
    }

    fn start_processes(&mut self, name: &str) {
        let count = ENTRIES + ENGINES + 1;
        let ports = loopback_addresses(name, 3 * count);
        let seeds: Vec<_> = ports.chunks(3).map(|ports| ports[0]).collect();
        let mut hosts = Vec::new();
        for (index, ports) in ports.chunks(3).enumerate() {
            let (role, name) = match index {
                _ if index < ENTRIES => (HostRole::Entry, format!("entry-{index}")),
                _ if index < ENTRIES + ENGINES => {
                    (HostRole::Agent, format!("engine-{}", index - ENTRIES))
                }
                _ => (HostRole::Agent, "booking-0".to_owned()),
            };
            let data_centre = if index % 2 == 0 { "rajkot-a" } else { "bannau" };
            hosts.push(HostRecord {
                id: name.as_str().into(),
                data_centre: data_centre.into(),
                role,
                upstream: (role == HostRole::Agent).then(|| name.as_str().into()),
                http: (role == HostRole::Entry).then_some(ports[2]),
                peer: ports[0],
                state: HostState::Live,
            });
            let settings = self.settings(&name, data_centre, role, ports, &seeds);
            fs::write(self.work_dir.join(format!("{name}.toml")), settings).unwrap();
        }
        self.entries = hosts.iter().filter_map(|host| host.http).collect();
        self.platform.publish(&self.config);
        self.platform.set_hosts(&HostList { version: 1, hosts: hosts.clone() });
        for host in hosts {
            self.spawn(&host.id, host.role);
        }
    }

    fn settings(
        &self,
        name: &str,
        data_centre: &str,
        role: HostRole,
        ports: &[SocketAddr],
        seeds: &[SocketAddr],
    ) -> String {
        let seeds: Vec<_> = seeds
            .iter()
            .map(|seed| format!("{seed:?}"))
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let common = format!(
            "[common]\nhost = \"{name}\"\ndata_centre = \"{data_centre}\"\npeer_listen = \"{}\"\n\
             admin_listen = \"{}\"\nseeds = [{}]\nplatform = \"{}\"\n\
             fleet_key = \"0123456789abcdef0123456789abcdef\"\nlog_level = \"info\"\n",
            ports[0],
            ports[1],
            seeds.join(", "),
            self.platform.address(),
        );
        if role == HostRole::Entry {
            return format!("http_listen = \"{}\"\n\n{common}", ports[2]);
        }
        let upstream =
            match name.strip_prefix("engine-").and_then(|index| index.parse::<usize>().ok()) {
                Some(index) => self.engines[index].address(),
                None => self.booking.address(),
            };
        let store = self._store.address();
        format!(
            "upstream = \"{name}\"\nupstream_address = \"{upstream}\"\nweight_sources = [\"{store}\"]\n\n{common}"
        )
    }

    /// Starts a process with its settings file; its log goes to `{name}.log`.
    pub fn spawn(&mut self, name: &str, role: HostRole) {
        let binary = match role {
            HostRole::Entry => env!("CARGO_BIN_EXE_wigeon-entry"),
            HostRole::Agent => env!("CARGO_BIN_EXE_wigeon-agent"),
        };
        let log = fs::File::create(self.work_dir.join(format!("{name}.log"))).unwrap();
        let settings = self.work_dir.join(format!("{name}.toml"));
        let child = Command::new(binary)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn();
        self.children.insert(name.to_owned(), child.unwrap());
    }

    /// Sends a signal, such as `TERM` or `STOP`, to a process.
    pub fn signal(&self, name: &str, signal: &str) {
        let id = self.children[name].id().to_string();
        assert!(Command::new("kill").args(["-s", signal, &id]).status().unwrap().success());
    }

    /// Kills a process with SIGKILL and waits until it is gone.
    pub fn kill(&mut self, name: &str) {
        let child = self.children.get_mut(name).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Returns true if the process exits with status 0 within 10 s, without being killed.
    pub async fn exits_successfully(&mut self, name: &str) -> bool {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if let Some(status) = self.children.get_mut(name).unwrap().try_wait().unwrap() {
                return status.success();
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        false
    }

    /// Digest of the weights manifest that the engines serve.
    pub fn manifest(&self) -> String {
        self.image.digest.to_string()
    }

    /// HTTP address on which an entry accepts callers' requests.
    pub fn entry_address(&self, entry: usize) -> SocketAddr {
        self.entries[entry]
    }

    /// Sends a GET request to an entry.
    pub async fn get(&self, entry: usize, path: &str) -> HttpResponse {
        send(self.entries[entry], Method::GET, path, &[], Bytes::new()).await
    }

    /// Obtains a request key from an entry, retrying for up to 20 s.
    pub async fn obtain_key(&self, entry: usize) -> String {
        let body = json!({"service": "booking", "team": "survey-north", "count": 1}).to_string();
        let deadline = Instant::now() + Duration::from_secs(20);
        loop {
            let address = self.entries[entry];
            let headers = [("x-team", "survey-north")];
            let response =
                send(address, Method::POST, "/v1/keys", &headers, body.clone().into()).await;
            let response_body: Value = serde_json::from_str(&response.body).unwrap_or_default();
            if let Some(key) = response_body["keys"][0].as_str() {
                return key.to_owned();
            }
            assert!(Instant::now() < deadline, "{response:?}");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Sends a booking request with a request key.
    pub async fn book(&self, entry: usize, key: &str, reference: &str) -> HttpResponse {
        let headers = [("x-team", "survey-north"), ("x-request-key", key)];
        let body = json!({"reference": reference, "attempt": reference}).to_string();
        let path = "/v1/services/booking/bookings";
        send(self.entries[entry], Method::POST, path, &headers, body.into()).await
    }

    /// Number of times the booking service ran the booking `reference`.
    pub fn count_runs(&self, reference: &str) -> usize {
        let records = self.booking.gauge().log().records();
        records.iter().filter(|record| record.reference == reference).count()
    }

    /// Orders all engines to unload the model, as an earlier process of their agents may have done.
    pub async fn unload(&self) {
        let order = json!({
            "model": "routes", "manifest": self.manifest(),
            "fencing": {"revision": self.config.revision, "incarnation": u64::MAX - 1},
        });
        for engine in &self.engines {
            let order = order.to_string().into();
            let response = send(engine.address(), Method::POST, "/v1/unload", &[], order).await;
            assert_eq!(response.status, 202, "{response:?}");
        }
    }

    /// Sends a generate request from a background task.
    pub fn start_generate(
        &self,
        entry: usize,
        prompt: &str,
        tokens: u64,
    ) -> JoinHandle<HttpResponse> {
        let address = self.entries[entry];
        let body = json!({"prompt": prompt, "max_tokens": tokens}).to_string();
        tokio::spawn(async move {
            let headers = [("x-team", "survey-north")];
            send(address, Method::POST, "/v1/models/routes/generate", &headers, body.into()).await
        })
    }

    /// Retries a generate request until a complete response with status 200 arrives or `limit` has passed, then returns
    /// the last response. Generate requests are idempotent, so retries are safe.
    pub async fn generate_until_complete(
        &self,
        entry: usize,
        prompt: &str,
        tokens: u64,
        limit: Duration,
    ) -> HttpResponse {
        let deadline = Instant::now() + limit;
        loop {
            let response = self.start_generate(entry, prompt, tokens).await.unwrap();
            if (response.status == 200 && response.complete) || Instant::now() > deadline {
                return response;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> HttpResponse {
    let client = HttpClient::with_fresh_connections(address);
    let Ok(mut response) = client.send(method, path, headers, body).await else {
        return HttpResponse { status: 0, body: String::new(), complete: false };
    };
    let mut collected = Vec::new();
    let complete = loop {
        match response.body.try_next().await {
            Ok(Some(part)) => collected.extend_from_slice(&part),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    HttpResponse {
        status: response.status,
        body: String::from_utf8_lossy(&collected).into_owned(),
        complete,
    }
}

/// Returns addresses on a loopback host derived from the test name and process id, so that tests share no address.
///
/// The ports are below the ephemeral range. A free port of that range could be taken by a connection of another test
/// before a process binds it.
fn loopback_addresses(name: &str, count: usize) -> Vec<SocketAddr> {
    let seed = ContentDigest::of(format!("{name} {}", std::process::id()).as_bytes());
    let [second, third, ..] = *seed.as_bytes();
    let host = Ipv4Addr::new(127, 10 + second % 240, third, 250);
    (0..count).map(|index| SocketAddr::from((host, FIRST_PORT + index as u16))).collect()
}

fn fleet_config(image: &WeightImage) -> FleetConfig {
    let document = json!({
        "revision": 1,
        "preset": "ordinary",
        "teams": [{"id": "survey-north", "organisation": "sahyog", "share": 1}],
        "data_centres": [{"id": "rajkot-a", "region": "saurashtra"}, {"id": "bannau", "region": "de-cymru"}],
        "upstreams": [
            {"id": "engine-0", "host": "engine-0", "data_centre": "rajkot-a", "kind": "model", "fencing": "checked",
             "cold_limit": 4, "warm_limit": 16, "memory_mib": 64},
            {"id": "engine-1", "host": "engine-1", "data_centre": "bannau", "kind": "model", "fencing": "checked",
             "cold_limit": 4, "warm_limit": 16, "memory_mib": 64},
            {"id": "booking-0", "host": "booking-0", "data_centre": "rajkot-a", "kind": "service",
             "service": "booking", "cold_limit": 4, "warm_limit": 16}
        ],
        "models": [{"id": "routes", "current": "v1", "versions": [
            {"name": "v1", "manifest": ContentDigest::to_string(&image.digest), "size_bytes": WEIGHT_BYTES}
        ]}],
        "services": [{"id": "booking", "idempotent": false}],
        "presets": [
            {"id": "ordinary", "models": [{"model": "routes", "replicas": 2, "floor": 1}]},
            {"id": "peak", "models": [{"model": "routes", "replicas": 2, "floor": 1}]},
            {"id": "maintenance", "models": [{"model": "routes", "replicas": 2, "floor": 1}]}
        ]
    });
    FleetConfig::parse(document.to_string().as_bytes()).unwrap()
}
