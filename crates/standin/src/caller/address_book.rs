//! Addresses of entries, as entries name them, kept for their time to live.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use base::TeamId;
use hyper::{Method, StatusCode};
use rand::seq::IndexedRandom;
use serde::Deserialize;

use crate::{
    http::lock,
    http_client::{HttpCall, HttpClient},
};

/// Longest wait for an address answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Addresses that one team uses.
#[derive(Debug)]
pub struct AddressBook {
    client: HttpClient,
    team: TeamId,
    seeds: Vec<SocketAddr>,
    state: Mutex<BookState>,
}

#[derive(Debug, Default)]
struct BookState {
    addresses: Vec<SocketAddr>,
    valid_until: Option<Instant>,
}

/// Answer to an address query.
#[derive(Deserialize)]
struct AddressAnswer {
    addresses: Vec<SocketAddr>,
    ttl_ms: u64,
}

impl AddressBook {
    /// Creates a book that asks `seeds` first.
    #[must_use]
    pub fn new(client: HttpClient, team: TeamId, seeds: Vec<SocketAddr>) -> Self {
        Self { client, team, seeds, state: Mutex::default() }
    }

    /// An address to use now; asks an entry if the addresses held are too old.
    pub async fn choose(&self) -> Option<SocketAddr> {
        let (held, valid) = {
            let state = lock(&self.state);
            let valid = state.valid_until.is_some_and(|until| Instant::now() < until);
            (state.addresses.clone(), valid && !state.addresses.is_empty())
        };
        if valid {
            return held.choose(&mut rand::rng()).copied();
        }
        self.refresh(&held).await;
        lock(&self.state).addresses.choose(&mut rand::rng()).copied()
    }

    /// Removes an address that did not answer until the next address query.
    pub fn remove(&self, address: SocketAddr) {
        lock(&self.state).addresses.retain(|held| *held != address);
    }

    async fn refresh(&self, held: &[SocketAddr]) {
        let candidates = held
            .choose(&mut rand::rng())
            .into_iter()
            .copied()
            .chain(self.seeds.sample(&mut rand::rng(), self.seeds.len()).copied());
        for address in candidates.collect::<Vec<_>>() {
            let Some(answer) = self.ask(address).await else { continue };
            if answer.addresses.is_empty() {
                continue;
            }
            let valid_until = Instant::now() + Duration::from_millis(answer.ttl_ms);
            let addresses = answer.addresses;
            *lock(&self.state) = BookState { addresses, valid_until: Some(valid_until) };
            return;
        }
    }

    async fn ask(&self, address: SocketAddr) -> Option<AddressAnswer> {
        let path = format!("/v1/addresses?team={}", self.team);
        let call = HttpCall::new(Method::GET, address, path).with_header("x-team", &*self.team);
        let answer =
            tokio::time::timeout(ANSWER_TIMEOUT, self.client.send(call)).await.ok()?.ok()?;
        (answer.status == StatusCode::OK).then(|| answer.json().ok())?
    }
}
