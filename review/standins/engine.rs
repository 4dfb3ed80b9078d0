//! A model worker and the origin of its weights.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Received, Server, respond, serve},
    net::{CaseResult, MODEL},
    sha256::hex_digest,
    store::JSON,
};

pub const CHUNKS: u32 = 48;
pub const CHUNK_BYTES: usize = 49_152;
/// Events of each stream, and the pause between two of them.
pub const EVENTS: u32 = 20;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
const WARMUP: Duration = Duration::from_millis(300);
const STAMP: &str = "Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";

/// Bytes of a piece of the weights.
pub fn chunk(version: u64, index: u32) -> Vec<u8> {
    let mut state = version << 32 | u64::from(index) | 1 << 60;
    let mut bytes = Vec::with_capacity(CHUNK_BYTES);
    while bytes.len() < CHUNK_BYTES {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        bytes.extend_from_slice(&state.to_le_bytes());
    }
    bytes.truncate(CHUNK_BYTES);
    bytes
}

/// Serves manifests and pieces.
pub fn start_origin(address: SocketAddr) -> io::Result<Server> {
    serve(address, move |request, stream| {
        let version: u64 = request.field("version").parse().unwrap_or(1);
        if request.path.starts_with("/v1/manifest/") {
            let digests: Vec<_> = (0..CHUNKS)
                .map(|index| format!("\"{}\"", hex_digest(&chunk(version, index))))
                .collect();
            let body = format!(
                "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunk_bytes\":{CHUNK_BYTES},\
                 \"layers\":16,\"digests\":[{}]}}",
                digests.join(",")
            );
            return respond(stream, 200, JSON, body.as_bytes());
        }
        let index = request.field("num").parse().unwrap_or(0);
        respond(stream, 200, "", &chunk(version, index))
    })
}

struct EngineState {
    version: u64,
    is_busy: bool,
    sequence: u64,
    running: u32,
    staged: BTreeMap<u32, Vec<u8>>,
    /// Time at which a staged piece has turned bad.
    spoilt: BTreeMap<u32, Instant>,
    /// Pieces that were not those of the version when the last order was accepted, and for how long they had been bad.
    taken_bad: Vec<(u32, Duration)>,
}

/// A model worker.
pub struct Engine {
    id: String,
    born: u64,
    is_unframed: bool,
    state: Mutex<EngineState>,
    say: Box<dyn Fn(&str) + Send + Sync>,
    /// Called after a staged piece has been handed out, with its number and whether it is one of version 2.
    on_read: Box<dyn Fn(u32, bool) + Send + Sync>,
}

impl Engine {
    /// Creates a worker that holds `version`, which is also staged; 0 for one that holds nothing.
    pub fn new(
        id: &str,
        born: u64,
        version: u64,
        is_unframed: bool,
        say: Box<dyn Fn(&str) + Send + Sync>,
        on_read: Box<dyn Fn(u32, bool) + Send + Sync>,
    ) -> Arc<Self> {
        let staged = match version {
            0 => BTreeMap::new(),
            _ => (0..CHUNKS).map(|index| (index, chunk(version, index))).collect(),
        };
        let state = Mutex::new(EngineState {
            version,
            is_busy: false,
            sequence: 0,
            running: 0,
            staged,
            spoilt: BTreeMap::new(),
            taken_bad: Vec::new(),
        });
        Arc::new(Self { id: id.into(), born, is_unframed, state, say, on_read })
    }

    pub fn start(self: &Arc<Self>, address: SocketAddr) -> io::Result<Server> {
        let engine = self.clone();
        serve(address, move |request, stream| engine.handle(request, stream))
    }

    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    /// A staged piece turns bad.
    pub fn spoil(&self, index: u32) {
        let mut state = self.state.lock().unwrap();
        if let Some(bytes) = state.staged.get_mut(&index) {
            bytes[100] ^= 0x55;
            state.spoilt.insert(index, Instant::now());
        }
    }

    /// Pieces that were bad when they were taken, with the time since each had turned bad.
    pub fn taken_bad(&self) -> Vec<(u32, Duration)> {
        self.state.lock().unwrap().taken_bad.clone()
    }

    fn handle(self: &Arc<Self>, request: &Received, stream: &mut TcpStream) -> io::Result<bool> {
        let path = request.path.as_str();
        if path == "/v1/report" {
            let state = self.state.lock().unwrap();
            let models = match state.version {
                0 => String::new(),
                version => {
                    format!("{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}")
                }
            };
            let body = format!(
                "{{\"stage\":\"colocated\",\"models\":[{models}],\"busy\":{},\"sequence\":{},\
                 \"queued\":0,\"running\":{},\"kv_used\":0,\"kv_total\":685000,\"handles\":0,\
                 \"born\":{},\"pace\":1.0}}",
                state.is_busy, state.sequence, state.running, self.born
            );
            drop(state);
            return respond(stream, 200, JSON, body.as_bytes());
        }
        if path == "/health" {
            return respond(stream, 200, &format!("Instance-Id: {}\r\n", self.id), b"");
        }
        if path.starts_with("/v1/stage-put/") {
            let index = request.field("num").parse().unwrap_or(0);
            let mut state = self.state.lock().unwrap();
            state.spoilt.remove(&index);
            state.staged.insert(index, request.body.clone());
            drop(state);
            return respond(stream, 200, "", b"");
        }
        if path.starts_with("/v1/stage-get/") {
            return self.read_staged(request, stream);
        }
        if path == "/v1/order" {
            return self.accept_order(request, stream);
        }
        self.run(request, stream)
    }

    fn read_staged(&self, request: &Received, stream: &mut TcpStream) -> io::Result<bool> {
        let Ok(index) = request.field("num").parse::<u32>() else {
            let held: Vec<_> =
                self.state.lock().unwrap().staged.keys().map(u32::to_string).collect();
            let body = format!("{{\"held\":[{}]}}", held.join(","));
            return respond(stream, 200, JSON, body.as_bytes());
        };
        let bytes = self.state.lock().unwrap().staged.get(&index).cloned();
        let result = match &bytes {
            Some(bytes) => respond(stream, 200, "", bytes),
            None => respond(stream, 404, "", b""),
        };
        (self.on_read)(index, bytes.is_some_and(|bytes| bytes == chunk(2, index)));
        result
    }

    fn accept_order(
        self: &Arc<Self>,
        request: &Received,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let number = |field: &str| -> Option<u64> {
            let (_, rest) = text.split_once(&format!("\"{field}\":"))?;
            let end = rest.find(|digit: char| !digit.is_ascii_digit()).unwrap_or(rest.len());
            rest[..end].parse().ok()
        };
        let version = number("version").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if state.version == version && !state.is_busy {
            drop(state);
            return respond(stream, 200, "", b"");
        }
        if state.is_busy || number("expected_rev").is_some_and(|rev| rev != state.sequence) {
            drop(state);
            return respond(stream, 409, "", b"");
        }
        state.is_busy = true;
        state.sequence += 1;
        let bad: Vec<_> = (0..CHUNKS)
            .filter(|index| state.staged.get(index) != Some(&chunk(version, *index)))
            .map(|index| (index, state.spoilt.get(&index).map_or(Duration::MAX, Instant::elapsed)))
            .collect();
        (self.say)(&format!(
            "worker {} accepts the order to load version {version}; bad pieces: {bad:?}",
            self.id
        ));
        state.taken_bad = bad;
        drop(state);
        let engine = self.clone();
        thread::spawn(move || {
            while engine.state.lock().unwrap().running > 0 {
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(WARMUP);
            let mut state = engine.state.lock().unwrap();
            state.version = version;
            state.is_busy = false;
            drop(state);
            (engine.say)(&format!("worker {} holds version {version}", engine.id));
        });
        respond(stream, 202, "", b"")
    }

    fn run(&self, request: &Received, stream: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("request-id").to_owned();
        let echo = format!("Request-Id: {id}\r\n");
        let mut state = self.state.lock().unwrap();
        let version = state.version;
        let wants = request.header("expect-version");
        let is_other = request.header("expect-instance") != self.id
            || version == 0
            || (!wants.is_empty() && wants != version.to_string());
        if is_other || state.is_busy {
            drop(state);
            let status = if is_other { 421 } else { 503 };
            let headers = format!("{echo}Request-Not-Run: 1\r\nInstance-Id: {}\r\n", self.id);
            return respond(stream, status, &headers, b"");
        }
        state.running += 1;
        drop(state);
        (self.say)(&format!("worker {} runs {id} on version {version}", self.id));
        let result = self.write_events(&id, version, stream);
        self.state.lock().unwrap().running -= 1;
        result
    }

    fn write_events(&self, id: &str, version: u64, stream: &mut TcpStream) -> io::Result<bool> {
        let framing = match self.is_unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n{STAMP}\
             Weight-Versions: {version}\r\n{framing}\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for index in 0..EVENTS {
            let event = format!("id: {index}\ndata: {id} {index}\n\n");
            let part = match self.is_unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            stream.write_all(part.as_bytes())?;
            (self.say)(&format!("worker {} wrote event {index} of {id}", self.id));
            thread::sleep(EVENT_PAUSE);
        }
        if !self.is_unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        (self.say)(&format!("worker {} ended {id}", self.id));
        Ok(!self.is_unframed)
    }
}

/// Runs a worker as a process of its own until it is killed.
pub fn run_process(
    address: &str,
    id: &str,
    born: &str,
    version: &str,
    is_unframed: &str,
) -> CaseResult<i32> {
    let say = |text: &str| println!("{text}");
    let engine = Engine::new(
        id,
        born.parse()?,
        version.parse()?,
        is_unframed == "1",
        Box::new(say),
        Box::new(|_, _| {}),
    );
    engine.start(address.parse()?)?;
    loop {
        thread::sleep(Duration::from_secs(1));
    }
}
