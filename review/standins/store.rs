//! The platform's store: reads, listings and watches over HTTP.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{Received, respond, serve};

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key and the value in base64; `None` for a removal.
    events: Vec<(u64, String, Option<String>)>,
    /// Number of times at which the waiting watches were cut.
    cuts: u64,
}

/// Store that keeps all history.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit) & 63) as usize;
            text.push(if digit <= three.len() { char::from(DIGITS[index]) } else { '=' });
        }
    }
    text
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"create_revision\":{revision},\"lease\":0}}"
    )
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        store.state.0.lock().unwrap().revision = 100;
        let shared = store.clone();
        serve(address, move |request, stream| match request.path.as_str() {
            "/v1/kv-range" => respond(stream, 200, JSON, shared.range(request).as_bytes()),
            "/v1/kv-watch" => match shared.watch(request) {
                Some(body) => respond(stream, 200, JSON, body.as_bytes()),
                None => Ok(false),
            },
            _ => respond(stream, 404, "", b""),
        })?;
        Ok(store)
    }

    /// Writes an item; when this returns, the store has acknowledged it.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let (revision, value) = (state.revision, base64(value.as_bytes()));
        state.items.insert(key.into(), (value.clone(), revision));
        state.events.push((revision, key.into(), Some(value)));
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.events.push((revision, key.into(), None));
        self.state.1.notify_all();
    }

    /// Closes the connections of the watches that are waiting.
    pub fn cut_watches(&self) {
        self.state.0.lock().unwrap().cuts += 1;
        self.state.1.notify_all();
    }

    fn range(&self, request: &Received) -> String {
        let (prefix, after) = (request.field("prefix"), request.field("after"));
        let state = self.state.0.lock().unwrap();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<_> =
            items.map(|(key, (value, revision))| item(key, value, *revision)).collect();
        let (items, as_of) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"truncated\":false,\"as_of\":{as_of}}}")
    }

    /// Body of the response to a watch; `None` if the watch is cut.
    fn watch(&self, request: &Received) -> Option<String> {
        let prefix = request.field("prefix");
        let after: u64 = request.field("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.field("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        let cuts = state.cuts;
        loop {
            let events = state.events.iter();
            let events: Vec<_> = events
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if state.cuts > cuts {
                return None;
            }
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return Some(format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Header of a JSON body.
pub const JSON: &str = "Content-Type: application/json\r\n";
