//! Another writer lists a worker of a service that is not named, at the address of a sound worker.

use std::{net::TcpStream, thread, time::Duration};

use crate::{
    BROKEN, FAILED, HELD,
    http::{Received, call, respond, serve},
    net::{
        APP, CaseResult, FRONT, Net, STORE, STORE_HOST, client_request, config, has_trouble,
        worker_item,
    },
    store::Store,
};

const ENTRY: u8 = 1;
const DESK: u8 = 21;

pub fn run(folder: &str) -> CaseResult<i32> {
    let net = Net::new(folder, &[ENTRY, DESK])?;
    let store = Store::start(net.at(STORE_HOST, STORE))?;
    store.put("op/config", &config(&net));
    let handle = |request: &Received, stream: &mut TcpStream| {
        let echo = format!("Request-Id: {}\r\n", request.header("request-id"));
        if request.header("expect-instance") != "i-21" {
            return respond(stream, 421, &echo, b"");
        }
        let head = format!("{echo}Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n");
        respond(stream, 200, &head, b"looked up")
    };
    serve(net.at(DESK, APP), handle)?;
    let item = worker_item("wuno96b", net.at(DESK, APP), 6, 0, 1_000);
    store.put("servers/i-21", &item);
    net.start("entry", ENTRY)?;
    net.wait_ready(ENTRY)?;
    let look_up = |id: &str| {
        let request = client_request("GET", "/look/2f", id, 1_500, b"");
        let status = call(net.at(ENTRY, FRONT), &request, Duration::from_millis(1_500)).status;
        net.record.line(&format!("client of {id}: status {status}"));
        status
    };
    thread::sleep(Duration::from_secs(1));
    if look_up("before") != 200 {
        return Ok(FAILED);
    }
    if has_trouble() {
        let foreign = worker_item("nobody", net.at(DESK, APP), 6, 0, 2_000);
        store.put("servers/foreign", &foreign);
        net.record.line("another writer lists a worker of service nobody");
    }
    thread::sleep(Duration::from_secs(3));
    // The worker goes on writing its own entry.
    store.put("servers/i-21", &item);
    thread::sleep(Duration::from_secs(1));
    let status = look_up("after");
    println!("foreign: a lookup got status {status} beside the foreign entry");
    Ok(if status == 200 { HELD } else { BROKEN })
}
