//! An entry freezes while a worker, whose answers end with their connections, crashes and comes back.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    BROKEN, FAILED, HELD,
    engine::{EVENTS, start_origin},
    http::{Answer, call},
    net::{
        APP, CaseResult, FRONT, Net, ORIGIN, ORIGIN_HOST, SIGCONT, SIGSTOP, STORE, STORE_HOST,
        client_request, config, has_trouble, wait_until, worker_item,
    },
    store::Store,
};

/// Length of the freeze.
const FREEZE: Duration = Duration::from_millis(2_200);
/// Time from the start of the freeze to the crash, and time for which the worker is down.
const CRASH_DELAY: Duration = Duration::from_millis(150);
const DOWN: Duration = Duration::from_millis(1_500);
/// Gap between two events after which clients abandon a stream: eight times the longest pause of the sheet.
const PATIENCE: Duration = Duration::from_millis(2_400);
const STREAMS: u32 = 16;
const ENTRIES: [u8; 2] = [1, 2];
const ENGINES: [u8; 2] = [11, 12];

pub fn run(folder: &str) -> CaseResult<i32> {
    let net = Net::new(folder, &[1, 2, 11, 12])?;
    let store = Store::start(net.at(STORE_HOST, STORE))?;
    start_origin(net.at(ORIGIN_HOST, ORIGIN))?;
    store.put("op/config", &config(&net));
    let born_now = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |at| at.as_millis());
    let start_engine = |host: u8, id: &str, version: u64| -> CaseResult<i32> {
        let (address, born) = (net.at(host, APP), born_now());
        let words = [&address.to_string(), id, &born.to_string(), &version.to_string(), "1"];
        let pid = net.start_standin(
            &format!("{id}.log"),
            &["engine", words[0], words[1], words[2], words[3], words[4]],
        )?;
        let item = worker_item("huvo11a", address, 16, version, born as u64);
        store.put(&format!("servers/{id}"), &item);
        Ok(pid)
    };
    let mut engines = Vec::new();
    for host in ENGINES {
        engines.push(start_engine(host, &format!("i-{host}"), 1)?);
    }
    let mut entries = Vec::new();
    for host in ENTRIES {
        entries.push(net.start("entry", host)?);
    }
    for host in ENGINES {
        net.start("agent", host)?;
    }
    for host in ENTRIES {
        net.wait_ready(host)?;
    }
    let target = net.at(ENTRIES[0], FRONT);
    let send = move |id: &str| {
        call(target, &client_request("POST", "/draft/2f", id, 6_000, b"{}"), PATIENCE)
    };
    wait_until("a stream is served", || send("warmup").is_complete)?;
    thread::sleep(Duration::from_millis(1_500));

    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (answers, record) = (answers.clone(), net.record.clone());
            thread::sleep(Duration::from_millis(10));
            thread::spawn(move || {
                let id = format!("s{number:02}");
                record.line(&format!("client sends {id}"));
                let answer = send(&id);
                answers.lock().unwrap().push((id, answer));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(250));
    if has_trouble() {
        net.record.line("entry 1 freezes");
        net.signal(entries[0], SIGSTOP);
        thread::sleep(CRASH_DELAY);
        net.record.line("worker i-11 crashes");
        net.end(engines[0]);
        thread::sleep(DOWN);
        start_engine(ENGINES[0], "i-11b", 0)?;
        net.record.line("worker i-11b has started at the same address");
        thread::sleep(FREEZE - CRASH_DELAY - DOWN);
        net.signal(entries[0], SIGCONT);
        net.record.line("entry 1 wakes");
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(300));

    let last_event = format!("id: {}\n", EVENTS - 1);
    let (mut cut, mut whole) = (0, 0);
    for (id, answer) in answers.lock().unwrap().iter() {
        let text = String::from_utf8_lossy(&answer.body);
        let events = text.matches("id: ").count();
        let is_cut = answer.status == 200
            && answer.is_complete
            && !answer.header("server-stamp").is_empty()
            && !text.contains(&last_event);
        let is_whole = answer.status == 200 && answer.is_complete && !is_cut;
        (cut, whole) = (cut + u32::from(is_cut), whole + u32::from(is_whole));
        net.record.line(&format!(
            "client of {id}: status {}, {events} of {EVENTS} events, ended as complete: {}, \
             abandoned: {}{}",
            answer.status,
            answer.is_complete,
            answer.is_abandoned,
            if is_cut { "  <- looks complete, but is not" } else { "" }
        ));
    }
    for name in ["i-11.log", "i-11b.log", "i-12.log"] {
        for line in net.log(name).lines().filter(|line| !line.contains("warmup")) {
            net.record.line(&format!("{name}: {line}"));
        }
    }
    net.record.line(&format!("{cut} truncated streams ended as complete, {whole} whole ones"));
    println!("truncated: {cut} of {STREAMS} streams ended as complete before their last event");
    if whole == 0 && cut == 0 {
        return Ok(FAILED);
    }
    Ok(if cut > 0 { BROKEN } else { HELD })
}
