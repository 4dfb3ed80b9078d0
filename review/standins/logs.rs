//! The reader of an entry's log output stands still for some seconds.

use std::{
    env,
    io::{self, Read},
    net::TcpStream,
    process::{Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    BROKEN, FAILED, HELD,
    http::{Received, call, respond, serve},
    net::{
        APP, CaseResult, FRONT, Net, SIGCONT, SIGSTOP, STORE, STORE_HOST, client_request, config,
        has_trouble, wait_until, worker_item,
    },
    store::Store,
};

/// Time for which the reader stands still.
const STALL: Duration = Duration::from_secs(8);
/// `timeout_ms` of the route, and the time after it by which an answer is due.
const TIMEOUT: Duration = Duration::from_millis(800);
const SLACK: Duration = Duration::from_millis(500);
/// Time that a client waits, as `Deadline-Ms` states.
const DEADLINE_MS: u32 = 1_500;
/// Pause between two bookings: 40 a second, where the busiest entry of the sheet gets 31 requests a second.
const PAUSE: Duration = Duration::from_millis(25);
const ENTRIES: [u8; 2] = [1, 2];
const DESKS: [u8; 3] = [21, 22, 23];
const WORK: Duration = Duration::from_millis(15);

/// Reads standard input to its end, as a process that collects logs does.
pub fn collect() -> CaseResult<i32> {
    let mut part = [0; 65_536];
    while io::stdin().read(&mut part)? > 0 {}
    Ok(HELD)
}

struct Sent {
    id: String,
    entry: u8,
    during_stall: bool,
    status: u16,
    took: Duration,
}

pub fn run(folder: &str) -> CaseResult<i32> {
    let net = Arc::new(Net::new(folder, &[1, 2, 21, 22, 23])?);
    let store = Store::start(net.at(STORE_HOST, STORE))?;
    store.put("op/config", &config(&net));
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    for host in DESKS {
        let (ran, record) = (ran.clone(), net.record.clone());
        let handle = move |request: &Received, stream: &mut TcpStream| {
            let id = request.header("request-id").to_owned();
            record.line(&format!("worker i-{host} runs {id}"));
            ran.lock().unwrap().push(id.clone());
            thread::sleep(WORK);
            let head = format!("Request-Id: {id}\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n");
            respond(stream, 200, &head, b"booked")
        };
        serve(net.at(host, APP), handle)?;
        let item = worker_item("wuno96b", net.at(host, APP), 6, 0, 1_000 + u64::from(host));
        store.put(&format!("servers/i-{host}"), &item);
    }
    // Each entry writes its log to a reader of its own.
    let mut readers = Vec::new();
    for host in ENTRIES {
        let mut reader = Command::new(env::current_exe()?)
            .arg("collect")
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()?;
        let input = reader.stdin.take().ok_or("the reader has no input")?;
        readers.push(net.keep(reader));
        net.start_logging("entry", host, input.into())?;
    }
    for host in ENTRIES {
        net.wait_ready(host)?;
        let target = net.at(host, FRONT);
        wait_until("a booking is served", || {
            let request =
                client_request("POST", "/book/2f", &format!("w{host}"), DEADLINE_MS, b"{}");
            call(target, &request, Duration::from_millis(1_500)).status == 200
        })?;
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let (stop, is_stalled) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let generators: Vec<_> = ENTRIES
        .iter()
        .map(|entry| {
            let (net, sent, entry) = (net.clone(), sent.clone(), *entry);
            let (stop, is_stalled) = (stop.clone(), is_stalled.clone());
            thread::spawn(move || {
                let mut clients = Vec::new();
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let (net, sent) = (net.clone(), sent.clone());
                    let during_stall = is_stalled.load(Ordering::Relaxed);
                    clients.push(thread::spawn(move || {
                        let id = format!("e{entry}-{number}");
                        net.record.line(&format!("client sends {id} to entry {entry}"));
                        let request = client_request("POST", "/book/2f", &id, DEADLINE_MS, b"{}");
                        let started = Instant::now();
                        let patience = Duration::from_millis(u64::from(DEADLINE_MS));
                        let answer = call(net.at(entry, FRONT), &request, patience);
                        let (status, took) = (answer.status, started.elapsed());
                        let took_ms = took.as_millis();
                        net.record
                            .line(&format!("client of {id}: status {status} after {took_ms} ms"));
                        sent.lock().unwrap().push(Sent { id, entry, during_stall, status, took });
                    }));
                    thread::sleep(PAUSE);
                }
                for client in clients {
                    let _ = client.join();
                }
            })
        })
        .collect();
    // The machines are in touch.
    thread::sleep(Duration::from_secs(5));
    is_stalled.store(true, Ordering::Relaxed);
    if has_trouble() {
        net.signal(readers[0], SIGSTOP);
        net.record.line("the reader of entry 1's log stands still");
    }
    thread::sleep(STALL);
    stop.store(true, Ordering::Relaxed);
    for generator in generators {
        let _ = generator.join();
    }
    net.signal(readers[0], SIGCONT);
    net.record.line("the reader of entry 1's log goes on");

    let (sent, ran) = (sent.lock().unwrap(), ran.lock().unwrap());
    let is_answered_by = |sent: &Sent, limit| sent.status != 0 && sent.took <= limit;
    let long: Vec<_> = sent.iter().filter(|sent| !is_answered_by(sent, TIMEOUT)).collect();
    let unanswered: Vec<_> =
        long.iter().filter(|sent| !is_answered_by(sent, TIMEOUT + SLACK)).collect();
    let ran_in_vain = unanswered.iter().filter(|sent| sent.status == 0 && ran.contains(&sent.id));
    let ran_in_vain = ran_in_vain.count();
    let by_entry =
        ENTRIES.map(|entry| unanswered.iter().filter(|sent| sent.entry == entry).count());
    let stalled = sent.iter().filter(|sent| sent.during_stall && sent.entry == 1).count();
    net.record.line(&format!(
        "{} bookings, {stalled} of them sent to entry 1 during the stall; {} without an answer after \
         {} ms, {} of them also after {} ms (by entry: {by_entry:?}); {ran_in_vain} of these have run",
        sent.len(),
        long.len(),
        TIMEOUT.as_millis(),
        unanswered.len(),
        (TIMEOUT + SLACK).as_millis(),
    ));
    println!(
        "logs: of {} bookings that were unanswered at the route's timeout, {} had no answer 0.5 s \
         later; {ran_in_vain} of them had run",
        long.len(),
        unanswered.len()
    );
    if sent.iter().filter(|sent| sent.status == 200).count() < 50 {
        return Ok(FAILED);
    }
    let is_broken = unanswered.len() >= 8 && unanswered.len() * 2 > long.len();
    Ok(if is_broken { BROKEN } else { HELD })
}
