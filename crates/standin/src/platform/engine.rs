//! Simulated model engine: serves concurrent requests, slows down under load and crashes when overloaded.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use config::FencingMode;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    error::StandinError,
    http::{
        ConnectionSwitch, HttpResponse, HttpServer, json_response, lock, plain_response,
        query_number, read_body,
    },
    platform::{
        catalog::WeightCatalog,
        engine_state::{EngineState, OrderBody},
        token::token_text,
        work::{LoadGauge, WorkGuard},
    },
};

/// A prompt that contains this text crashes the engine that runs it.
pub const POISON: &str = "<poison>";
/// Requests with at least this priority are not slowed down by load.
const URGENT_PRIORITY: u64 = 8;

/// Limits and timing of a simulated engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Concurrency limit after a start.
    pub cold_limit: u32,
    /// Concurrency limit when warm.
    pub warm_limit: u32,
    /// Interval between tokens on an idle engine; twice as long at the warm limit.
    pub token_time: Duration,
    /// Time to the first token if the prefix is not cached.
    pub prefill_time: Duration,
    /// Duration of loading weights.
    pub load_time: Duration,
    /// Time from a crash until the engine accepts connections again.
    pub restart_time: Duration,
    /// Whether load orders with an old fencing number are rejected.
    pub fencing: FencingMode,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            cold_limit: 4,
            warm_limit: 16,
            token_time: Duration::from_millis(4),
            prefill_time: Duration::from_millis(12),
            load_time: Duration::from_millis(150),
            restart_time: Duration::from_secs(1),
            fencing: FencingMode::Checked,
        }
    }
}

/// A simulated model engine with its HTTP server.
#[derive(Debug)]
pub struct ModelEngine {
    server: HttpServer,
    core: Arc<EngineCore>,
}

#[derive(Debug)]
struct EngineCore {
    options: EngineOptions,
    catalog: Arc<WeightCatalog>,
    gauge: Arc<LoadGauge>,
    switch: Arc<ConnectionSwitch>,
    state: Mutex<EngineState>,
    activations: Mutex<Vec<Activation>>,
}

/// A completed load of weights.
#[derive(Clone, Debug)]
pub struct Activation {
    /// Digest of the manifest that is served from then on.
    pub manifest: String,
    /// Time at which the load completed.
    pub at: Instant,
    /// Configuration revision of the load order.
    pub revision: u64,
}

/// Body of a generate request.
#[derive(Deserialize)]
struct GenerateBody {
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    offset: u64,
    #[serde(default)]
    priority: u64,
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    manifest: Option<String>,
}

impl ModelEngine {
    /// Starts a cold engine without weights.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        catalog: Arc<WeightCatalog>,
        options: EngineOptions,
    ) -> Result<Self, StandinError> {
        let switch = ConnectionSwitch::new();
        let core = Arc::new(EngineCore {
            gauge: LoadGauge::new(options.cold_limit, options.warm_limit),
            options,
            catalog,
            switch: Arc::clone(&switch),
            state: Mutex::default(),
            activations: Mutex::default(),
        });
        let shared = Arc::clone(&core);
        let server = HttpServer::start(address, switch, move |request| {
            let core = Arc::clone(&shared);
            Box::pin(async move { core.handle(request).await })
        })
        .await?;
        Ok(Self { server, core })
    }

    /// Address of the HTTP interface.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Current load and log of all runs.
    #[must_use]
    pub fn gauge(&self) -> &Arc<LoadGauge> {
        &self.core.gauge
    }

    /// Digests of the manifests that are served now.
    #[must_use]
    pub fn loaded(&self) -> Vec<String> {
        lock(&self.core.state).loaded.values().cloned().collect()
    }

    /// All completed loads, in order.
    #[must_use]
    pub fn activations(&self) -> Vec<Activation> {
        lock(&self.core.activations).clone()
    }

    /// Drops all connections and weights; the engine restarts cold after the restart time.
    pub fn crash(&self) {
        self.core.crash();
    }

    /// Clears the prefix cache and resets the concurrency limit to the cold limit, without a restart.
    pub fn set_cold(&self) {
        lock(&self.core.state).reset_cache();
        self.core.gauge.set_cold();
    }
}

impl EngineCore {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        let path: Vec<_> = request.uri().path().trim_start_matches('/').split('/').collect();
        match (request.method(), path.as_slice()) {
            (&Method::GET, ["v1", "status"]) => json_response(StatusCode::OK, &self.status()),
            (&Method::GET, ["v1", "cache-events"]) => {
                let after = query_number(&request, "after").unwrap_or(0);
                let events = lock(&self.state).events_after(after);
                json_response(StatusCode::OK, &json!({"events": events}))
            }
            (&Method::PUT, ["v1", "weights", digest]) => {
                let digest = (*digest).to_owned();
                self.receive_weights(digest, request.into_body()).await
            }
            (&Method::POST, ["v1", "load"]) => match parse_body(request).await {
                Some(order) => self.load(order),
                None => plain_response(StatusCode::BAD_REQUEST, ""),
            },
            (&Method::POST, ["v1", "unload"]) => match parse_body(request).await {
                Some(order) => self.unload(&order),
                None => plain_response(StatusCode::BAD_REQUEST, ""),
            },
            (&Method::POST, ["v1", "generate"]) => match parse_body(request).await {
                Some(body) => self.generate(body),
                None => plain_response(StatusCode::BAD_REQUEST, ""),
            },
            _ => plain_response(StatusCode::NOT_FOUND, ""),
        }
    }

    fn status(&self) -> Value {
        let state = lock(&self.state);
        let loaded: Vec<_> = state
            .loaded
            .iter()
            .map(|(model, manifest)| json!({"model": model, "manifest": manifest}))
            .collect();
        json!({
            "incarnation": self.gauge.incarnation(),
            "cache_epoch": state.cache_epoch,
            "in_use": self.gauge.in_use(),
            "loaded": loaded,
            "last_order": state.last_order,
        })
    }

    /// Verifies uploaded weights chunk by chunk; only the digest is stored.
    async fn receive_weights(&self, digest: String, mut body: Incoming) -> HttpResponse {
        let Some(image) = self.catalog.get(&digest) else {
            return plain_response(StatusCode::NOT_FOUND, "unknown manifest digest");
        };
        let incarnation = self.gauge.incarnation();
        let mut expected = image.chunks.iter();
        let mut pending = BytesMut::new();
        let mut remaining = image.weights.len();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return plain_response(StatusCode::BAD_REQUEST, "request body ended early");
            };
            let Ok(data) = frame.into_data() else { continue };
            pending.extend_from_slice(&data);
            while remaining > 0 && pending.len() >= image.chunk_bytes.min(remaining) {
                let chunk = pending.split_to(image.chunk_bytes.min(remaining));
                remaining -= chunk.len();
                if expected.next() != Some(&base::ContentDigest::of(&chunk)) {
                    return plain_response(
                        StatusCode::UNPROCESSABLE_ENTITY,
                        "chunk digest does not match the manifest",
                    );
                }
            }
        }
        let complete =
            remaining == 0 && pending.is_empty() && self.gauge.incarnation() == incarnation;
        if !complete {
            return plain_response(
                StatusCode::UNPROCESSABLE_ENTITY,
                "size of the weights does not match the manifest",
            );
        }
        lock(&self.state).verified.insert(digest);
        plain_response(StatusCode::NO_CONTENT, "")
    }

    fn load(self: Arc<Self>, order: OrderBody) -> HttpResponse {
        let mut state = lock(&self.state);
        if !is_current_order(&self.options, &state, &order) {
            return plain_response(
                StatusCode::CONFLICT,
                "the fencing number is older than that of the last order",
            );
        }
        if !state.verified.contains(&order.manifest) {
            return plain_response(StatusCode::NOT_FOUND, "the weights have not been uploaded");
        }
        state.last_order = order.fencing;
        let contains_order = |models: &HashMap<String, String>| {
            models.get(&order.model).is_some_and(|manifest| *manifest == order.manifest)
        };
        if contains_order(&state.loaded) || contains_order(&state.loading) {
            return plain_response(StatusCode::ACCEPTED, "");
        }
        state.loaded.remove(&order.model);
        state.loading.insert(order.model.clone(), order.manifest.clone());
        drop(state);
        tokio::spawn(async move { self.finish_load(order).await });
        plain_response(StatusCode::ACCEPTED, "")
    }

    async fn finish_load(&self, order: OrderBody) {
        let incarnation = self.gauge.incarnation();
        tokio::time::sleep(self.options.load_time).await;
        let mut state = lock(&self.state);
        let replaced = state.loading.get(&order.model) != Some(&order.manifest);
        if replaced || self.gauge.incarnation() != incarnation {
            return;
        }
        state.loading.remove(&order.model);
        let manifest = order.manifest.clone();
        state.loaded.insert(order.model, order.manifest);
        drop(state);
        let revision = order.fencing.revision;
        lock(&self.activations).push(Activation { manifest, at: Instant::now(), revision });
    }

    fn unload(&self, order: &OrderBody) -> HttpResponse {
        let mut state = lock(&self.state);
        if !is_current_order(&self.options, &state, order) {
            return plain_response(
                StatusCode::CONFLICT,
                "the fencing number is older than that of the last order",
            );
        }
        state.last_order = order.fencing;
        if state.loaded.get(&order.model) == Some(&order.manifest) {
            state.loaded.remove(&order.model);
        }
        state.loading.remove(&order.model);
        state.verified.remove(&order.manifest);
        plain_response(StatusCode::ACCEPTED, "")
    }

    fn generate(self: Arc<Self>, body: GenerateBody) -> HttpResponse {
        let mut state = lock(&self.state);
        let manifest = match &body.model {
            Some(model) => state.loaded.get(model).cloned(),
            None => state.loaded.values().next().cloned(),
        };
        let wanted = body.manifest.as_ref();
        let Some(manifest) =
            manifest.filter(|loaded_manifest| wanted.is_none_or(|name| name == loaded_manifest))
        else {
            return plain_response(StatusCode::SERVICE_UNAVAILABLE, "the model is not loaded");
        };
        let cached = state.touch_prefix(&body.prompt);
        drop(state);
        let Ok(guard) = self.gauge.accept(body.prompt.as_str().into(), "".into()) else {
            self.crash();
            return plain_response(StatusCode::INTERNAL_SERVER_ERROR, "");
        };
        let index = body.offset;
        let prefilled = cached;
        let run = TokenRun { core: self, body, manifest, index, prefilled, guard: Some(guard) };
        let lines = stream::unfold(run, |mut run| async move {
            run.next_line().await.map(|line| (line.map(Frame::data), run))
        });
        Response::new(StreamBody::new(lines).boxed_unsync())
    }

    fn crash(self: &Arc<Self>) {
        self.gauge.crash();
        self.switch.set_refusing(true);
        self.switch.cut();
        *lock(&self.state) = EngineState::default();
        let core = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(core.options.restart_time).await;
            core.switch.set_refusing(false);
        });
    }
}

async fn parse_body<T: for<'a> Deserialize<'a>>(request: Request<Incoming>) -> Option<T> {
    serde_json::from_slice(&read_body(request).await?).ok()
}

fn is_current_order(options: &EngineOptions, state: &EngineState, order: &OrderBody) -> bool {
    options.fencing == FencingMode::Ignored || order.fencing >= state.last_order
}

/// One response in progress; dropping it cancels the work.
struct TokenRun {
    core: Arc<EngineCore>,
    body: GenerateBody,
    manifest: String,
    index: u64,
    prefilled: bool,
    guard: Option<WorkGuard>,
}

impl TokenRun {
    async fn next_line(&mut self) -> Option<io::Result<Bytes>> {
        let crashed = self.guard.as_ref()?.has_crashed();
        if crashed {
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        }
        tokio::time::sleep(self.step_duration()).await;
        if self.body.prompt.contains(POISON) {
            self.core.crash();
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let line = if self.index < self.body.max_tokens {
            let token = token_text(&self.body.prompt, &self.manifest, self.index);
            let line = json!({"index": self.index, "token": token});
            self.index += 1;
            line
        } else {
            if let Some(guard) = self.guard.take() {
                guard.finish();
            }
            json!({"done": true, "count": self.body.max_tokens, "manifest": self.manifest})
        };
        Some(Ok(Bytes::from(format!("{line}\n"))))
    }

    fn step_duration(&mut self) -> Duration {
        let options = &self.core.options;
        if !std::mem::replace(&mut self.prefilled, true) {
            return options.prefill_time;
        }
        if self.index >= self.body.max_tokens {
            return Duration::ZERO;
        }
        let urgent = self.body.priority >= URGENT_PRIORITY;
        let load = if urgent { 0.0 } else { self.core.gauge.utilisation() };
        options.token_time.mul_f64(1.0 + load)
    }
}
