//! Stand-in for an upstream. It uses plain sockets, so that its faults are exact to the byte.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering::SeqCst},
    },
    time::Duration,
};

use base::ContentDigest;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Fault of the upstream's responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Runs the request and closes the connection instead of responding.
    LoseResponse,
    /// Closes the connection in the middle of the body.
    CutBody,
    /// Leaves out one token and ends the response normally.
    SkipToken,
    /// Leaves out the last line and ends the response normally.
    OmitLastLine,
}

/// Stand-in for an upstream, with state that the test can read and change.
pub struct FakeUpstream {
    pub address: SocketAddr,
    loaded: Value,
    pub response_time: Mutex<Duration>,
    /// Delay of status responses.
    pub status_time: Mutex<Duration>,
    pub fault: Mutex<Fault>,
    /// Bodies of all requests that were run.
    pub runs: Mutex<Vec<String>>,
    /// Number of streams whose connection the agent closed before the end.
    pub cancelled: AtomicU32,
    /// Number of requests that exceeded the concurrency that this incarnation allows.
    pub overloads: AtomicU32,
    /// Changes when a restart begins, which closes the connections of the previous incarnation.
    incarnation: watch::Sender<u64>,
    in_use: AtomicU32,
    max_concurrent: AtomicU32,
    down: AtomicBool,
}

pub fn manifest() -> ContentDigest {
    ContentDigest::of(b"manifest of the test model")
}

impl FakeUpstream {
    /// Starts a model engine or a plain service.
    pub async fn start(is_model: bool, cold_limit: u32) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
        let upstream = Arc::new(Self {
            address: listener.local_addr().expect("the listener is bound"),
            loaded: match is_model {
                true => json!([{"model": "m", "manifest": manifest()}]),
                false => json!([]),
            },
            response_time: Mutex::new(Duration::from_millis(20)),
            status_time: Mutex::default(),
            fault: Mutex::new(Fault::None),
            runs: Mutex::default(),
            cancelled: AtomicU32::new(0),
            overloads: AtomicU32::new(0),
            incarnation: watch::Sender::new(1),
            in_use: AtomicU32::new(0),
            max_concurrent: AtomicU32::new(cold_limit),
            down: AtomicBool::new(false),
        });
        let shared = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // Subscribes before the check, so that a restart closes every connection that passes it.
                let restarts = shared.incarnation.subscribe();
                let incarnation = *restarts.borrow();
                if !shared.down.load(SeqCst) {
                    tokio::spawn(shared.clone().serve(stream, incarnation, restarts));
                }
            }
        });
        upstream
    }

    pub fn run_count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }

    /// Closes all connections and restarts cold, with a new incarnation, after `time`.
    pub async fn restart(&self, cold_limit: u32, time: Duration) {
        self.down.store(true, SeqCst);
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
        tokio::time::sleep(time).await;
        self.in_use.store(0, SeqCst);
        self.max_concurrent.store(cold_limit, SeqCst);
        self.down.store(false, SeqCst);
    }

    async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        incarnation: u64,
        mut restarts: watch::Receiver<u64>,
    ) {
        tokio::select! {
            _ = self.serve_requests(stream, incarnation) => {}
            _ = restarts.changed() => {}
        }
    }

    async fn serve_requests(&self, stream: TcpStream, incarnation: u64) -> Option<()> {
        let mut stream = BufReader::new(stream);
        loop {
            let (path, body) = read_request(&mut stream).await?;
            // The connections do not all close at the same instant. As a process that has crashed, this incarnation
            // responds on none of them once the restart has begun.
            if *self.incarnation.borrow() != incarnation {
                return None;
            }
            if path == "/v1/status" {
                let status = self.status(incarnation).to_string();
                let status_time = *self.status_time.lock().unwrap();
                tokio::time::sleep(status_time).await;
                send_response(&mut stream, 200, &status).await?;
                continue;
            }
            if path.starts_with("/v1/") && path != "/v1/generate" {
                // Load orders of the weights module; the model of this upstream is always loaded.
                send_response(&mut stream, 202, "").await?;
                continue;
            }
            self.runs.lock().unwrap().push(body.clone());
            let in_use = self.in_use.fetch_add(1, SeqCst) + 1;
            if in_use > self.max_concurrent.load(SeqCst) {
                self.overloads.fetch_add(1, SeqCst);
            }
            let done = if path == "/v1/generate" {
                self.generate(&mut stream, &body).await
            } else {
                self.serve_service(&mut stream, &body).await
            };
            if *self.incarnation.borrow() == incarnation {
                self.in_use.fetch_sub(1, SeqCst);
                self.max_concurrent.fetch_add(1, SeqCst);
            }
            done?;
        }
    }

    fn status(&self, incarnation: u64) -> Value {
        json!({
            "incarnation": incarnation,
            "cache_epoch": 0,
            "in_use": self.in_use.load(SeqCst),
            "loaded": self.loaded,
        })
    }

    async fn serve_service(&self, stream: &mut BufReader<TcpStream>, body: &str) -> Option<()> {
        let response_time = *self.response_time.lock().unwrap();
        tokio::time::sleep(response_time).await;
        let response = format!("response to {body}");
        match *self.fault.lock().unwrap() {
            Fault::LoseResponse => return None,
            Fault::CutBody => {}
            _ => {
                self.max_concurrent.fetch_add(1, SeqCst);
            }
        }
        if *self.fault.lock().unwrap() == Fault::CutBody {
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n";
            stream.write_all(format!("{head}{response}").as_bytes()).await.ok()?;
            return None;
        }
        send_response(stream, 201, &response).await
    }

    async fn generate(&self, stream: &mut BufReader<TcpStream>, body: &str) -> Option<()> {
        let request: Value = serde_json::from_str(body).ok()?;
        let count = request["max_tokens"].as_u64()?;
        let offset = request["offset"].as_u64()?;
        let fault = *self.fault.lock().unwrap();
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.ok()?;
        let token_time = *self.response_time.lock().unwrap();
        for index in offset..count {
            tokio::time::sleep(token_time).await;
            if fault == Fault::CutBody && index == count / 2 {
                return None;
            }
            if fault == Fault::SkipToken && index == count / 2 {
                continue;
            }
            let line = json!({"index": index, "token": format!("t{index}")});
            if send_chunk(stream, &format!("{line}\n")).await.is_none() {
                self.cancelled.fetch_add(1, SeqCst);
                return None;
            }
        }
        if fault != Fault::OmitLastLine {
            let line = json!({"done": true, "count": count, "manifest": manifest()});
            send_chunk(stream, &format!("{line}\n")).await?;
        }
        stream.write_all(b"0\r\n\r\n").await.ok()
    }
}

async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut line = String::new();
    stream.read_line(&mut line).await.ok().filter(|read| *read > 0)?;
    let path = line.split(' ').nth(1)?.to_owned();
    let mut length = 0;
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).await.ok().filter(|read| *read > 0)?;
        if header.trim().is_empty() {
            break;
        }
        if let Some(value) = header.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some((path, String::from_utf8(body).ok()?))
}

async fn send_response(stream: &mut BufReader<TcpStream>, status: u16, body: &str) -> Option<()> {
    let length = body.len();
    let response = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(response.as_bytes()).await.ok()
}

async fn send_chunk(stream: &mut BufReader<TcpStream>, text: &str) -> Option<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes()).await.ok()
}

/// Guards against a stand-in that reports its next incarnation on a connection of the previous one, which no upstream
/// that has crashed does. The agent would take the time until the restart for a second crash.
#[tokio::test]
async fn restarted_upstream_does_not_respond_on_old_connections() {
    const STATUS_REQUEST: &[u8] = b"GET /v1/status HTTP/1.1\r\n\r\n";
    let upstream = FakeUpstream::start(true, 4).await;
    let mut connections = Vec::new();
    for _ in 0..32 {
        let mut stream = TcpStream::connect(upstream.address).await.unwrap();
        stream.write_all(STATUS_REQUEST).await.unwrap();
        let mut response = vec![0; 1024];
        let length = stream.read(&mut response).await.unwrap();
        let response = String::from_utf8_lossy(&response[..length]);
        assert!(response.contains("\"incarnation\":1"), "{response}");
        connections.push(stream);
    }
    for stream in &connections {
        assert_eq!(stream.try_write(STATUS_REQUEST).unwrap(), STATUS_REQUEST.len());
    }
    // On this runtime with one thread, the tasks of the connections are woken by the requests here, but run only after
    // the restart has begun.
    tokio::task::yield_now().await;
    let responses = async {
        let mut responses = Vec::new();
        for stream in &mut connections {
            let mut response = String::new();
            let _ = stream.read_to_string(&mut response).await;
            responses.push(response);
        }
        responses
    };
    let ((), responses) = tokio::join!(upstream.restart(4, Duration::from_millis(50)), responses);
    assert_eq!(responses, vec![String::new(); 32]);
}
