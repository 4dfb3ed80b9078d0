//! Addresses, settings and processes of a small deployment on loopback.

use std::{
    env,
    error::Error,
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::http::call;

pub type CaseResult<T> = Result<T, Box<dyn Error>>;

pub const FRONT: u16 = 8005;
pub const READY: u16 = 8002;
pub const CONTROL: u16 = 8000;
pub const DIRECTORY: u16 = 8009;
pub const APP: u16 = 8001;
pub const ORIGIN: u16 = 8006;
pub const STORE: u16 = 8007;
const PEER: u16 = 7700;
const METRICS: u16 = 9464;
/// Last octets of the addresses.
pub const STORE_HOST: u8 = 250;
pub const ORIGIN_HOST: u8 = 251;

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Record of what was sent, answered and run, in milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", self.start.elapsed().as_millis());
    }
}

/// True unless the environment says that the case runs without its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Processes that this run has started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Addresses of one run and its temporary folder.
pub struct Net {
    subnet: (u8, u8),
    folder: PathBuf,
    binary: PathBuf,
    pub record: Record,
}

impl Net {
    /// Chooses a loopback subnet in which the addresses of `hosts` are free.
    pub fn new(case_folder: &str, hosts: &[u8]) -> CaseResult<Self> {
        let root = env::current_dir()?;
        let binary = root.join("target/release/wigeonhaven");
        if !binary.exists() {
            return Err("target/release/wigeonhaven is missing".into());
        }
        let id = process::id();
        let candidates = (0..200_u32).map(|step| {
            let number = id.wrapping_mul(7).wrapping_add(step);
            (90 + (number / 250 % 20) as u8, 1 + (number % 250) as u8)
        });
        let subnet = candidates.into_iter().find(|(second, third)| {
            let ports = [FRONT, READY, CONTROL, DIRECTORY, APP, ORIGIN, STORE, PEER, METRICS];
            let hosts = hosts.iter().chain(&[STORE_HOST, ORIGIN_HOST]);
            hosts.clone().all(|host| {
                let ip = Ipv4Addr::new(127, *second, *third, *host);
                ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
            })
        });
        let folder = temporary_folder();
        fs::create_dir_all(&folder)?;
        let file = File::create(Path::new(case_folder).join("record.txt"))?;
        let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
        Ok(Self { subnet: subnet.ok_or("no free loopback subnet")?, folder, binary, record })
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.subnet.0, self.subnet.1, host), port).into()
    }

    /// Starts `wigeonhaven entry` or `wigeonhaven agent` on a host, with the settings of a small deployment. Returns its
    /// process id.
    pub fn start(&self, role: &str, host: u8) -> CaseResult<i32> {
        let log = File::create(self.folder.join(format!("{role}-{host}.log")))?;
        self.start_logging(role, host, log.into())
    }

    /// The same with the standard output of the process given.
    pub fn start_logging(&self, role: &str, host: u8, output: Stdio) -> CaseResult<i32> {
        let at = |port| self.at(host, port);
        let (class, memory, link) = match role {
            "entry" => ("front", 260, 1000.0),
            _ => ("side", 128, 9.4),
        };
        let own = match role {
            "entry" => format!(
                "serves=front,control,directory\nlisten.front={}\nlisten.ready={}\n\
                 listen.control={}\nlisten.directory={}\n",
                at(FRONT),
                at(READY),
                at(CONTROL),
                at(DIRECTORY)
            ),
            _ => format!("serves=side\napp={}\nservice=huvo11a\n", at(APP)),
        };
        let text = format!(
            "node_name={class}-rajkot-a-{host}\nrole={role}\nmachine_class={class}\nip={}\n\
             zone=rajkot-a\nregion=saurashtra\nzones.rajkot-a=saurashtra\nzones.bhuj-a=kutch\n\
             zones.surat-a=dakshin-gujarat\ninternal_port_range=7700,7715\nseeds={}\n\
             bootstrap=true\nloss_counts=false\nlimits.cpu_share=0.25\nlimits.cpu_cores=1\n\
             limits.memory_mb={memory}\nlimits.max_fds=4100\nlimits.link_mbps={link}\n\
             limits.disk_mb=0\ndiscovery=platform\nentry=directory\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,chunks\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=3000\n\
             bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
             bounds.rollback_slack_ms=250\nbounds.outer_ms=5000\nbounds.revoke_strict=false\n\
             bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.budget_extra=106\nbounds.cold_over=1.5\nbounds.cold_slack=5\n\
             bounds.evacuate_ms=5000\nbounds.recovery_s=12\nbounds.pass_ms=120\n\
             bounds.retry_after_s=0\nbounds.version_ms=8000\nbounds.version_all_ms=0\n\
             bounds.ttl_max_s=5\nplatform.address={}\nplatform.form=read\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
             platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n{own}",
            at(0).ip(),
            self.at(1, CONTROL),
            self.at(STORE_HOST, STORE),
        );
        let path = self.folder.join(format!("{role}-{host}.conf"));
        fs::write(&path, text)?;
        let errors = File::create(self.folder.join(format!("{role}-{host}.err")))?;
        let child = Command::new(&self.binary)
            .arg(role)
            .env("WIGEONHAVEN_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()?;
        Ok(self.keep(child))
    }

    /// Starts this program as a stand-in in a process of its own, whose output goes to the log `name`.
    pub fn start_standin(&self, name: &str, arguments: &[&str]) -> CaseResult<i32> {
        let log = File::options().create(true).append(true).open(self.folder.join(name))?;
        let child = Command::new(env::current_exe()?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(self.keep(child))
    }

    /// Ends a process with this run; returns its id.
    pub fn keep(&self, child: Child) -> i32 {
        let pid = child.id() as i32;
        CHILDREN.lock().unwrap().push(child);
        pid
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(name)).unwrap_or_default()
    }

    /// Sends a signal to a process that this run has started.
    pub fn signal(&self, pid: i32, signal: i32) {
        let children = CHILDREN.lock().unwrap();
        if children.iter().any(|child| child.id() as i32 == pid) {
            // SAFETY: `kill` has no memory effects; the process is a child that has not been waited for.
            unsafe { kill(pid, signal) };
        }
    }

    /// Kills a process and waits for its end.
    pub fn end(&self, pid: i32) {
        let mut children = CHILDREN.lock().unwrap();
        if let Some(index) = children.iter().position(|child| child.id() as i32 == pid) {
            let mut child = children.remove(index);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until an entry answers its readiness check with 200.
    pub fn wait_ready(&self, host: u8) -> CaseResult<()> {
        let request = format!("GET /v1/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.at(host, READY));
        wait_until("an entry is ready", || {
            let patience = Duration::from_secs(1);
            call(self.at(host, READY), request.as_bytes(), patience).status == 200
        })
    }
}

/// Kills all processes that this run has started and has not ended yet, and removes its temporary folder.
pub fn clean_up() {
    for mut child in CHILDREN.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(temporary_folder());
    }
}

fn temporary_folder() -> PathBuf {
    env::temp_dir().join(format!("review-{}", process::id()))
}

pub fn wait_until(what: &str, condition: impl Fn() -> bool) -> CaseResult<()> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > Duration::from_secs(20) {
            return Err(format!("timed out: {what}").into());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

pub const HOST: &str = "jepu9.example";
pub const KEY: &str = "jnbanfqasnmgkcuyj8pj";
pub const MODEL: &str = "daka510000";

/// A configuration like that of the pages, with a route for streams, one for bookings and one for lookups.
pub fn config(net: &Net) -> String {
    let route = |name: &str,
                 kind: &str,
                 timeout: u32,
                 target: u32,
                 service: &str,
                 attempts: u32| {
        let is_stream = kind == "streaming";
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":{attempts},\"public\":false,\
             \"sticky\":{is_stream},\"resumable\":{is_stream},\"target_gap_ms\":{},\
             \"allowed_regions\":[]}}",
            if is_stream { "300" } else { "null" }
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{},{}],\"services\":[{{\"name\":\"huvo11a\",\
         \"health_path\":\"/health\",\"max_connections\":434,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":3.0,\"cold_per_s\":36.0,\"engine\":{{\"slots\":16,\
         \"kv_capacity_tokens\":685000,\"stride\":6,\"models\":[{{\"name\":\"{MODEL}\",\"pace\":1.0,\
         \"load_s\":4.0,\"warmup_s\":0.3}}],\"step_ms\":7.4,\"per_seq_ms\":0.0387,\
         \"context_per_k\":0.0203,\"read_per_s\":31900.0,\"pairs_per_m\":0.733,\"chunk\":2048,\
         \"report_lag_ms\":200.0,\"usual\":{{\"prompt\":972,\"answer\":106}},\"layers\":16,\
         \"chunks\":{},\"chunk_bytes\":{}}}}},{{\"name\":\"kafi81c\",\"origin\":\"{}\",\
         \"zone\":\"rajkot-a\",\"link_mbps\":15.0,\"max_connections\":48}},{{\"name\":\"wuno96b\",\
         \"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"allowed_regions\":[]}}]}}",
        route("draft", "streaming", 6_000, 400, "huvo11a", 2),
        route("book", "unsafe", 800, 100, "wuno96b", 1),
        route("look", "safe", 800, 100, "wuno96b", 2),
        crate::engine::CHUNKS,
        crate::engine::CHUNK_BYTES,
        net.at(ORIGIN_HOST, ORIGIN),
    )
}

/// Item of a worker in the store.
pub fn worker_item(
    service: &str,
    address: SocketAddr,
    slots: u32,
    version: u64,
    born: u64,
) -> String {
    let models = match version {
        0 => String::new(),
        _ => format!("{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}"),
    };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"rajkot-a\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"stage\":\"colocated\",\"models\":[{models}],\"sequence\":1,\"born\":{born}}}"
    )
}

/// Request of a client, ready to be sent.
pub fn client_request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    body: &[u8],
) -> Vec<u8> {
    let model = match path.starts_with("/draft/") {
        true => format!("Model: {MODEL}\r\nToken-Counts: 200,80\r\n"),
        false => String::new(),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n{model}\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
