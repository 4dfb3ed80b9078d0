//! Waiting watches are cut while a worker leaves whose entry is removed from the store.

use std::{
    collections::HashMap,
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    BROKEN, FAILED, HELD,
    http::{Received, Server, call, respond, serve},
    net::{
        APP, CaseResult, FRONT, Net, STORE, STORE_HOST, client_request, config, has_trouble,
        wait_until, worker_item,
    },
    store::Store,
};

/// Bound of the settings: a worker gets nothing later than this after the store has acknowledged that it leaves.
const DRAIN: Duration = Duration::from_millis(2_000);
const ENTRIES: [u8; 2] = [1, 2];
const DESKS: [u8; 3] = [21, 22, 23];
/// Worker that leaves.
const LEAVING: u8 = 21;
const WORK: Duration = Duration::from_millis(15);
const CLIENTS: u32 = 6;
/// Time from the cut to the removal of the worker's entry.
const REMOVAL_DELAY: Duration = Duration::from_millis(20);
/// Time for which the worker serves after the bound, "a little longer".
const LONGER: Duration = Duration::from_millis(250);

/// Time of each arrival at a worker.
type Arrivals = Arc<Mutex<Vec<(u8, String, Instant)>>>;

fn start_desk(net: &Net, host: u8, arrivals: &Arrivals) -> CaseResult<Server> {
    let arrivals = arrivals.clone();
    let handle = move |request: &Received, stream: &mut TcpStream| {
        if request.path == "/health" {
            return respond(stream, 200, &format!("Instance-Id: i-{host}\r\n"), b"");
        }
        let id = request.header("request-id").to_owned();
        arrivals.lock().unwrap().push((host, id.clone(), Instant::now()));
        let echo = format!("Request-Id: {id}\r\n");
        if request.header("expect-instance") != format!("i-{host}") {
            return respond(stream, 421, &echo, b"");
        }
        thread::sleep(WORK);
        let head = format!("{echo}Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n");
        respond(stream, 200, &head, format!("{} {id}", request.path).as_bytes())
    };
    Ok(serve(net.at(host, APP), handle)?)
}

fn run_client(net: &Net, number: u32, stop: &AtomicBool, failed: &Mutex<Vec<String>>) {
    let record = &net.record;
    let target = net.at(ENTRIES[number as usize % ENTRIES.len()], FRONT);
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let id = format!("c{number}-{count}");
        count += 1;
        let (method, path) =
            if count % 2 == 0 { ("POST", "/book/2f") } else { ("GET", "/look/2f") };
        let body: &[u8] = if count % 2 == 0 { b"{}" } else { b"" };
        let request = client_request(method, path, &id, 1_500, body);
        let answer = call(target, &request, Duration::from_millis(1_500));
        record.line(&format!("client of {id}: {method} status {}", answer.status));
        if answer.status != 200 {
            failed.lock().unwrap().push(format!("{id} ({method}, {})", answer.status));
        }
        thread::sleep(Duration::from_millis(10));
    }
}

pub fn run(folder: &str) -> CaseResult<i32> {
    let net = Arc::new(Net::new(folder, &[1, 2, 21, 22, 23])?);
    let store = Store::start(net.at(STORE_HOST, STORE))?;
    store.put("op/config", &config(&net));
    let arrivals = Arrivals::default();
    let mut leaving = None;
    for host in DESKS {
        let server = start_desk(&net, host, &arrivals)?;
        if host == LEAVING {
            leaving = Some(server);
        }
        let item = worker_item("wuno96b", net.at(host, APP), 6, 0, 1_000 + u64::from(host));
        store.put(&format!("servers/i-{host}"), &item);
    }
    for host in ENTRIES {
        net.start("entry", host)?;
    }
    for host in ENTRIES {
        net.wait_ready(host)?;
        let target = net.at(host, FRONT);
        wait_until("a lookup is served", || {
            let request = client_request("GET", "/look/2f", &format!("w{host}"), 1_500, b"");
            call(target, &request, Duration::from_millis(1_500)).status == 200
        })?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let failed: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (net, stop, failed) = (net.clone(), stop.clone(), failed.clone());
            thread::spawn(move || run_client(&net, number, &stop, &failed))
        })
        .collect();
    // The machines are in touch once the store has been calm for `contact_ms`, 3 s.
    thread::sleep(Duration::from_millis(5_000));
    if has_trouble() {
        store.cut_watches();
        net.record.line("the waiting watches are cut");
    }
    thread::sleep(REMOVAL_DELAY);
    store.remove(&format!("servers/i-{LEAVING}"));
    let removed = Instant::now();
    net.record.line(&format!("the store acknowledges that worker i-{LEAVING} is gone"));
    thread::sleep(DRAIN + LONGER);
    if let Some(server) = leaving {
        server.close();
        net.record.line(&format!("worker i-{LEAVING} exits"));
    }
    thread::sleep(Duration::from_millis(1_500));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let arrivals = arrivals.lock().unwrap();
    let mut by_worker: HashMap<u8, u32> = HashMap::new();
    let (mut late, mut last) = (0, Duration::ZERO);
    for (host, id, at) in arrivals.iter() {
        *by_worker.entry(*host).or_default() += 1;
        let after = at.saturating_duration_since(removed);
        if *host != LEAVING || after.is_zero() {
            continue;
        }
        last = last.max(after);
        if after > DRAIN {
            late += 1;
            net.record.line(&format!(
                "{id} reached worker i-{host} {} ms after that, later than {} ms",
                after.as_millis(),
                DRAIN.as_millis()
            ));
        }
    }
    net.record.line(&format!("arrivals by worker: {by_worker:?}"));
    let failed = failed.lock().unwrap();
    net.record.line(&format!("requests that were not served: {failed:?}"));
    println!(
        "leaving: {late} requests reached the worker later than {} ms after its leaving, the last {} ms \
         after it; not served: {failed:?}",
        DRAIN.as_millis(),
        last.as_millis()
    );
    if by_worker.len() < DESKS.len() {
        return Ok(FAILED);
    }
    Ok(if late > 0 { BROKEN } else { HELD })
}
