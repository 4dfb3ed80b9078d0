//! Cache of the entry addresses that entries announce, with their time to live.

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
    http_client::{HttpClient, HttpRequest},
};

/// Timeout of an address query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Entry addresses that the callers of one team use.
#[derive(Debug)]
pub struct AddressCache {
    client: HttpClient,
    team: TeamId,
    seeds: Vec<SocketAddr>,
    state: Mutex<CacheState>,
}

#[derive(Debug, Default)]
struct CacheState {
    addresses: Vec<SocketAddr>,
    valid_until: Option<Instant>,
}

/// Response to an address query.
#[derive(Deserialize)]
struct AddressResponse {
    addresses: Vec<SocketAddr>,
    ttl_ms: u64,
}

impl AddressCache {
    /// Creates an empty cache. While it holds no addresses, it queries the entries in `seeds`.
    #[must_use]
    pub fn new(client: HttpClient, team: TeamId, seeds: Vec<SocketAddr>) -> Self {
        Self { client, team, seeds, state: Mutex::default() }
    }

    /// Chooses a random address. Queries an entry first if the cache is empty or has expired. `None` if no address is
    /// known.
    pub async fn choose(&self) -> Option<SocketAddr> {
        let (cached, valid) = {
            let state = lock(&self.state);
            let valid = state.valid_until.is_some_and(|until| Instant::now() < until);
            (state.addresses.clone(), valid && !state.addresses.is_empty())
        };
        if valid {
            return cached.choose(&mut rand::rng()).copied();
        }
        self.refresh(&cached).await;
        lock(&self.state).addresses.choose(&mut rand::rng()).copied()
    }

    /// Removes an address that did not respond. It may come back with the next address query.
    pub fn remove(&self, address: SocketAddr) {
        lock(&self.state).addresses.retain(|cached| *cached != address);
    }

    async fn refresh(&self, cached: &[SocketAddr]) {
        let candidates = cached
            .choose(&mut rand::rng())
            .into_iter()
            .copied()
            .chain(self.seeds.sample(&mut rand::rng(), self.seeds.len()).copied());
        for address in candidates.collect::<Vec<_>>() {
            let Some(response) = self.query(address).await else { continue };
            if response.addresses.is_empty() {
                continue;
            }
            let valid_until = Instant::now() + Duration::from_millis(response.ttl_ms);
            let addresses = response.addresses;
            *lock(&self.state) = CacheState { addresses, valid_until: Some(valid_until) };
            return;
        }
    }

    async fn query(&self, address: SocketAddr) -> Option<AddressResponse> {
        let path = format!("/v1/addresses?team={}", self.team);
        let request =
            HttpRequest::new(Method::GET, address, path).with_header("x-team", &*self.team);
        let response =
            tokio::time::timeout(QUERY_TIMEOUT, self.client.send(request)).await.ok()?.ok()?;
        (response.status == StatusCode::OK).then(|| response.json().ok())?
    }
}
