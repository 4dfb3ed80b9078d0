//! Many users come at once, each with a body of the size that the limits allow, over slow links.
//!
//! A burst of 1.7 times the 279 requests a second of the sheet, on nine entries, is 53 requests a second at each of them.

use std::{
    collections::HashSet,
    fs,
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    BROKEN, FAILED, HELD,
    engine::{Engine, start_origin},
    http::{KeptConnection, Received, call, respond, serve},
    net::{
        APP, CaseResult, FRONT, HOST, KEY, MODEL, Net, ORIGIN, ORIGIN_HOST, STORE, STORE_HOST,
        client_request, config, has_trouble, wait_until, worker_item,
    },
    store::Store,
};

/// Memory of an entry's machine; the platform kills a process that exceeds it.
const MEMORY_MB: u64 = 260;
/// Size of a large body, the limit of the configuration, and time for which it is under way.
const BODY: usize = 4 << 20;
const UPLOAD_TIME: Duration = Duration::from_millis(3_000);
const UPLOADS: u32 = 80;
/// Pause between the begins of two uploads: 53 a second.
const UPLOAD_PAUSE: Duration = Duration::from_millis(19);
const ENTRY: u8 = 1;
const ENGINE: u8 = 11;
const DESKS: [u8; 3] = [21, 22, 23];
/// Other clients, each with a kept connection.
const CLIENTS: u32 = 12;
const WORK: Duration = Duration::from_millis(30);
const CLIENT_PAUSE: Duration = Duration::from_millis(5);

fn resident_mb(pid: i32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1_024
}

/// Sends one request with a body of `size` bytes in steps over [`UPLOAD_TIME`]; returns the status.
fn upload(net: &Net, id: &str, size: usize) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(net.at(ENTRY, FRONT))?;
    let head = format!(
        "POST /draft/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\n\
         Model: {MODEL}\r\nToken-Counts: 200,80\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {size}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    const STEPS: usize = 30;
    let part = vec![b'x'; size / STEPS];
    for _ in 0..STEPS {
        stream.write_all(&part)?;
        thread::sleep(UPLOAD_TIME / STEPS as u32);
    }
    stream.write_all(&vec![b'x'; size - part.len() * STEPS])?;
    let mut answer = [0; 16];
    stream.set_read_timeout(Some(Duration::from_millis(2_400)))?;
    stream.read_exact(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer[9..12]).parse().unwrap_or(0))
}

pub fn run(folder: &str) -> CaseResult<i32> {
    let net = Arc::new(Net::new(folder, &[ENTRY, ENGINE, 21, 22, 23])?);
    let store = Store::start(net.at(STORE_HOST, STORE))?;
    store.put("op/config", &config(&net));
    let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
    for host in DESKS {
        let (ran, record) = (ran.clone(), net.record.clone());
        let handle = move |request: &Received, stream: &mut TcpStream| {
            let id = request.header("request-id").to_owned();
            ran.lock().unwrap().insert(id.clone());
            record.line(&format!("worker i-{host} runs {id}"));
            thread::sleep(WORK);
            let head = format!("Request-Id: {id}\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n");
            respond(stream, 200, &head, b"booked")
        };
        serve(net.at(host, APP), handle)?;
        let item = worker_item("wuno96b", net.at(host, APP), 6, 0, 1_000 + u64::from(host));
        store.put(&format!("servers/i-{host}"), &item);
    }
    start_origin(net.at(ORIGIN_HOST, ORIGIN))?;
    let engine = Engine::new("i-11", 1_000, 1, false, Box::new(|_| {}), Box::new(|_, _| {}));
    engine.start(net.at(ENGINE, APP))?;
    store.put("servers/i-11", &worker_item("huvo11a", net.at(ENGINE, APP), 16, 1, 1_000));
    let entry = net.start("entry", ENTRY)?;
    net.start("agent", ENGINE)?;
    net.wait_ready(ENTRY)?;
    let target = net.at(ENTRY, FRONT);
    let send = move |method: &str, id: &str| {
        let path = if method == "GET" { "/look/2f" } else { "/book/2f" };
        let request = client_request(method, path, id, 1_500, b"");
        call(target, &request, Duration::from_millis(1_500))
    };
    wait_until("a lookup is served", || send("GET", "warmup").status == 200)?;

    let stop = Arc::new(AtomicBool::new(false));
    let peak = Arc::new(AtomicU64::new(0));
    let platform = {
        let (net, stop, peak) = (net.clone(), stop.clone(), peak.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let megabytes = resident_mb(entry);
                peak.fetch_max(megabytes, Ordering::Relaxed);
                if megabytes > MEMORY_MB {
                    net.record
                        .line(&format!("the entry holds {megabytes} MB: the platform kills it"));
                    net.end(entry);
                    return;
                }
                thread::sleep(Duration::from_millis(5));
            }
        })
    };
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (net, stop, lost) = (net.clone(), stop.clone(), lost.clone());
            thread::spawn(move || {
                let patience = Duration::from_millis(1_500);
                let Ok(mut connection) = KeptConnection::open(target, patience) else { return };
                for count in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("c{number}-{count}");
                    let request = client_request("POST", "/book/2f", &id, 1_500, b"{}");
                    let answer = connection.call(&request);
                    net.record.line(&format!("client of {id}: status {}", answer.status));
                    if answer.status == 0 {
                        // The connection is closed.
                        lost.lock().unwrap().push(id);
                        return;
                    }
                    thread::sleep(CLIENT_PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(4_000));
    let size = if has_trouble() { BODY } else { 600 };
    net.record.line(&format!("{UPLOADS} users come, each with a body of {size} bytes"));
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let net = net.clone();
            thread::sleep(UPLOAD_PAUSE);
            thread::spawn(move || {
                let id = format!("u{number}");
                let result = upload(&net, &id, size);
                net.record.line(&format!("client of {id}: {result:?}"));
            })
        })
        .collect();
    for upload in uploads {
        let _ = upload.join();
    }
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::Relaxed);
    let _ = platform.join();
    for client in clients {
        let _ = client.join();
    }
    let peak = peak.load(Ordering::Relaxed);
    let (lost, ran) = (lost.lock().unwrap(), ran.lock().unwrap());
    let passed_on = lost.iter().filter(|id| ran.contains(id.as_str())).count();
    net.record.line(&format!(
        "the entry held up to {peak} MB of {MEMORY_MB}; connections closed without an answer: {lost:?}, \
         {passed_on} of these requests had reached a worker"
    ));
    println!(
        "bodies: the entry held up to {peak} MB of {MEMORY_MB}; {} kept connections were closed without \
         an answer, {passed_on} of them with a request that had reached a sound worker",
        lost.len()
    );
    if peak == 0 || ran.len() < 100 {
        return Ok(FAILED);
    }
    Ok(if passed_on > 3 { BROKEN } else { HELD })
}
