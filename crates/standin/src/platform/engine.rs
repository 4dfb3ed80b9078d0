//! Model engine: batches requests, slows down with load, and crashes above what it bears.

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
        ConnectionSwitch, HttpAnswer, HttpServer, answer, json_answer, lock, query_number,
        read_body,
    },
    platform::{
        catalog::WeightCatalog,
        engine_state::{EngineState, OrderBody},
        token::token_text,
        work::{LoadGauge, WorkGuard},
    },
};

/// A prompt that contains this text crashes the engine.
pub const POISON: &str = "<poison>";
/// Requests from this priority on are not slowed down by load.
const URGENT_PRIORITY: u64 = 8;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Requests at a time that it bears after a start.
    pub cold_limit: u32,
    /// Requests at a time that it bears when warm.
    pub warm_limit: u32,
    /// Time between two tokens on an idle engine; twice that at the warm limit.
    pub token_time: Duration,
    /// Time before the first token unless the prefix is cached.
    pub prefill_time: Duration,
    /// Duration of a load order.
    pub load_time: Duration,
    /// Time from a crash until it answers again.
    pub restart_time: Duration,
    /// What it does with old fencing numbers.
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

/// A model engine.
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

/// A load that an engine completed.
#[derive(Clone, Debug)]
pub struct Activation {
    /// Manifest that serves from then on.
    pub manifest: String,
    /// When the load was complete.
    pub at: Instant,
    /// Configuration revision of the order.
    pub revision: u64,
}

/// Body of a request for tokens.
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
    /// Fails if the address cannot be listened on.
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

    /// Address of the engine.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Load and runs of the engine.
    #[must_use]
    pub fn gauge(&self) -> &Arc<LoadGauge> {
        &self.core.gauge
    }

    /// Manifests that serve now.
    #[must_use]
    pub fn loaded(&self) -> Vec<String> {
        lock(&self.core.state).loaded.values().cloned().collect()
    }

    /// Every load that was completed.
    #[must_use]
    pub fn activations(&self) -> Vec<Activation> {
        lock(&self.core.activations).clone()
    }

    /// Drops all connections and weights, and comes back cold after the restart time.
    pub fn crash(&self) {
        self.core.crash();
    }

    /// Empties the prefix cache and bears only the cold limit again, without a restart.
    pub fn turn_cold(&self) {
        lock(&self.core.state).reset_cache();
        self.core.gauge.turn_cold();
    }
}

impl EngineCore {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpAnswer {
        let path: Vec<_> = request.uri().path().trim_start_matches('/').split('/').collect();
        match (request.method(), path.as_slice()) {
            (&Method::GET, ["v1", "status"]) => json_answer(StatusCode::OK, &self.status()),
            (&Method::GET, ["v1", "cache-events"]) => {
                let after = query_number(&request, "after").unwrap_or(0);
                let events = lock(&self.state).events_after(after);
                json_answer(StatusCode::OK, &json!({"events": events}))
            }
            (&Method::PUT, ["v1", "weights", digest]) => {
                let digest = (*digest).to_owned();
                self.receive_weights(digest, request.into_body()).await
            }
            (&Method::POST, ["v1", "load"]) => match parse(request).await {
                Some(order) => self.load(order),
                None => answer(StatusCode::BAD_REQUEST, ""),
            },
            (&Method::POST, ["v1", "unload"]) => match parse(request).await {
                Some(order) => self.unload(&order),
                None => answer(StatusCode::BAD_REQUEST, ""),
            },
            (&Method::POST, ["v1", "generate"]) => match parse(request).await {
                Some(body) => self.generate(body),
                None => answer(StatusCode::BAD_REQUEST, ""),
            },
            _ => answer(StatusCode::NOT_FOUND, ""),
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

    /// Verifies the weights chunk by chunk; the engine keeps no copy.
    async fn receive_weights(&self, digest: String, mut body: Incoming) -> HttpAnswer {
        let Some(image) = self.catalog.get(&digest) else {
            return answer(StatusCode::NOT_FOUND, "no manifest of this digest is known");
        };
        let incarnation = self.gauge.incarnation();
        let mut expected = image.chunks.iter();
        let mut pending = BytesMut::new();
        let mut left = image.weights.len();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return answer(StatusCode::BAD_REQUEST, "body ended early");
            };
            let Ok(data) = frame.into_data() else { continue };
            pending.extend_from_slice(&data);
            while left > 0 && pending.len() >= image.chunk_bytes.min(left) {
                let chunk = pending.split_to(image.chunk_bytes.min(left));
                left -= chunk.len();
                if expected.next() != Some(&base::ContentDigest::of(&chunk)) {
                    return answer(StatusCode::UNPROCESSABLE_ENTITY, "a chunk has another digest");
                }
            }
        }
        let complete = left == 0 && pending.is_empty() && self.gauge.incarnation() == incarnation;
        if !complete {
            return answer(StatusCode::UNPROCESSABLE_ENTITY, "the size differs from the manifest");
        }
        lock(&self.state).verified.insert(digest);
        answer(StatusCode::NO_CONTENT, "")
    }

    fn load(self: Arc<Self>, order: OrderBody) -> HttpAnswer {
        let mut state = lock(&self.state);
        if !accepts(&self.options, &state, &order) {
            return answer(StatusCode::CONFLICT, "the fencing number is old");
        }
        if !state.verified.contains(&order.manifest) {
            return answer(StatusCode::NOT_FOUND, "the weights were not received");
        }
        state.last_order = order.fencing;
        let is_known = |models: &HashMap<String, String>| {
            models.get(&order.model).is_some_and(|manifest| *manifest == order.manifest)
        };
        if is_known(&state.loaded) || is_known(&state.loading) {
            return answer(StatusCode::ACCEPTED, "");
        }
        state.loaded.remove(&order.model);
        state.loading.insert(order.model.clone(), order.manifest.clone());
        drop(state);
        tokio::spawn(async move { self.finish_load(order).await });
        answer(StatusCode::ACCEPTED, "")
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

    fn unload(&self, order: &OrderBody) -> HttpAnswer {
        let mut state = lock(&self.state);
        if !accepts(&self.options, &state, order) {
            return answer(StatusCode::CONFLICT, "the fencing number is old");
        }
        state.last_order = order.fencing;
        if state.loaded.get(&order.model) == Some(&order.manifest) {
            state.loaded.remove(&order.model);
        }
        state.loading.remove(&order.model);
        state.verified.remove(&order.manifest);
        answer(StatusCode::ACCEPTED, "")
    }

    fn generate(self: Arc<Self>, body: GenerateBody) -> HttpAnswer {
        let mut state = lock(&self.state);
        let manifest = match &body.model {
            Some(model) => state.loaded.get(model).cloned(),
            None => state.loaded.values().next().cloned(),
        };
        let wanted = body.manifest.as_ref();
        let Some(manifest) = manifest.filter(|found| wanted.is_none_or(|name| name == found))
        else {
            return answer(StatusCode::SERVICE_UNAVAILABLE, "the model is not loaded");
        };
        let cached = state.touch_prefix(&body.prompt);
        drop(state);
        let Ok(guard) = self.gauge.accept(body.prompt.as_str().into(), "".into()) else {
            self.crash();
            return answer(StatusCode::INTERNAL_SERVER_ERROR, "");
        };
        let index = body.offset;
        let started = cached;
        let run = TokenRun { core: self, body, manifest, index, started, guard: Some(guard) };
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

async fn parse<T: for<'a> Deserialize<'a>>(request: Request<Incoming>) -> Option<T> {
    serde_json::from_slice(&read_body(request).await?).ok()
}

fn accepts(options: &EngineOptions, state: &EngineState, order: &OrderBody) -> bool {
    options.fencing == FencingMode::Ignored || order.fencing >= state.last_order
}

/// One answer in progress; dropping it cancels the work.
struct TokenRun {
    core: Arc<EngineCore>,
    body: GenerateBody,
    manifest: String,
    index: u64,
    started: bool,
    guard: Option<WorkGuard>,
}

impl TokenRun {
    async fn next_line(&mut self) -> Option<io::Result<Bytes>> {
        let lost = self.guard.as_ref()?.is_lost();
        if lost {
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        }
        tokio::time::sleep(self.step_time()).await;
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

    fn step_time(&mut self) -> Duration {
        let options = &self.core.options;
        if !std::mem::replace(&mut self.started, true) {
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
