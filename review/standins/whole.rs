//! An agent freezes between its last check of the staged weights and its load order, while a staged piece turns bad.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicI32, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    BROKEN, FAILED, HELD,
    engine::{CHUNKS, Engine, start_origin},
    http::{Answer, call},
    net::{
        APP, CaseResult, FRONT, MODEL, Net, ORIGIN, ORIGIN_HOST, SIGCONT, SIGSTOP, STORE,
        STORE_HOST, client_request, config, has_trouble, wait_until, worker_item,
    },
    store::Store,
};

/// Length of the freeze.
const FREEZE: Duration = Duration::from_millis(3_900);
/// Time from the read of the last piece to the freeze, and from there to the spoiling of a piece.
const FREEZE_DELAY: Duration = Duration::from_millis(5);
const SPOIL_DELAY: Duration = Duration::from_millis(200);
/// Time for which a piece may have been bad when it is taken.
const EXCUSED: Duration = Duration::from_secs(3);
const SPOILT_PIECE: u32 = 7;
const ENTRY: u8 = 1;
const ENGINE: u8 = 11;

pub fn run(folder: &str) -> CaseResult<i32> {
    let net = Arc::new(Net::new(folder, &[ENTRY, ENGINE])?);
    let store = Store::start(net.at(STORE_HOST, STORE))?;
    start_origin(net.at(ORIGIN_HOST, ORIGIN))?;
    store.put("op/config", &config(&net));
    // Process id of the agent from the time at which it is to be frozen; 0 before.
    let target_pid = Arc::new(AtomicI32::new(0));
    let (sender, frozen) = mpsc::channel();
    let sender = Mutex::new(sender);
    let on_read = {
        let (net, target_pid) = (net.clone(), target_pid.clone());
        move |index: u32, is_version_2: bool| {
            if index != CHUNKS - 1 || !is_version_2 {
                return;
            }
            let pid = target_pid.swap(0, Ordering::Relaxed);
            if pid == 0 {
                return;
            }
            net.record.line("the agent has read the last staged piece");
            thread::sleep(FREEZE_DELAY);
            net.signal(pid, SIGSTOP);
            net.record.line("the agent's machine freezes");
            let _ = sender.lock().unwrap().send(());
        }
    };
    let record = net.record.clone();
    let say = move |text: &str| {
        if !text.contains("wrote event") {
            record.line(text);
        }
    };
    let engine = Engine::new("i-11", 1_000, 1, false, Box::new(say), Box::new(on_read));
    let engine_address = net.at(ENGINE, APP);
    engine.start(engine_address)?;
    store.put("servers/i-11", &worker_item("huvo11a", engine_address, 16, 1, 1_000));
    net.start("entry", ENTRY)?;
    let agent = net.start("agent", ENGINE)?;
    net.wait_ready(ENTRY)?;
    let target = net.at(ENTRY, FRONT);
    let send = |id: &str| -> Answer {
        let request = client_request("POST", "/draft/2f", id, 6_000, b"{}");
        call(target, &request, Duration::from_millis(2_400))
    };
    wait_until("a stream is served", || send("warmup").is_complete)?;

    // The agent reads all staged pieces, in order, right before it orders the load.
    if has_trouble() {
        target_pid.store(agent, Ordering::Relaxed);
    }
    let version = format!("{{\"model\":\"{MODEL}\",\"version\":2}}");
    store.put(&format!("op/version/{MODEL}"), &version);
    net.record.line("version 2 is declared");
    if has_trouble() {
        frozen.recv_timeout(Duration::from_secs(20))?;
        thread::sleep(SPOIL_DELAY);
        engine.spoil(SPOILT_PIECE);
        net.record.line(&format!("staged piece {SPOILT_PIECE} turns bad"));
        thread::sleep(FREEZE - SPOIL_DELAY);
        net.signal(agent, SIGCONT);
        net.record.line("the agent's machine wakes");
    }
    let started = Instant::now();
    while engine.version() != 2 && started.elapsed() < Duration::from_secs(20) {
        thread::sleep(Duration::from_millis(20));
    }
    if engine.version() != 2 {
        net.record.line("version 2 was never loaded");
        return Ok(FAILED);
    }
    let mut served = 0;
    for number in 0..20 {
        let answer = send(&format!("s{number:02}"));
        let version = answer.header("weight-versions").to_owned();
        net.record.line(&format!(
            "client of s{number:02}: status {}, weights {version}, complete {}",
            answer.status, answer.is_complete
        ));
        if answer.status == 200 && version == "2" {
            served += 1;
            break;
        }
        thread::sleep(Duration::from_millis(300));
    }
    let bad = engine.taken_bad();
    let is_broken = served > 0 && bad.iter().any(|(_, age)| *age > EXCUSED);
    net.record.line(&format!("pieces that were bad when they were taken: {bad:?}"));
    println!("whole: tokens made on version 2: {served}, pieces taken bad: {bad:?}");
    for line in net.log("agent-11.log").lines() {
        if ["pause", "staged", "load", "spoilt"].iter().any(|word| line.contains(word)) {
            net.record.line(&format!("agent: {line}"));
        }
    }
    Ok(if served == 0 {
        FAILED
    } else if is_broken {
        BROKEN
    } else {
        HELD
    })
}
