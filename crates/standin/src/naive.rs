//! Naive forwarder that serves as the baseline of measurements: it picks random upstreams and makes up to three
//! attempts for every request, without concurrency limits, idempotency keys or load information.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::DataCentreId;
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use rand::seq::IndexedRandom;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

use crate::{
    error::StandinError,
    fleet::FleetPlatform,
    http::{ConnectionSwitch, HttpResponse, HttpServer, json_response, lock, read_body},
    http_client::{HttpClient, HttpRequest},
    platform::catalog::WeightImage,
};

/// Maximum number of attempts for each request, idempotent or not.
const ATTEMPTS: usize = 3;
/// Timeout for the response headers of an upstream.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between reads of the configuration.
const CONFIG_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between checks of whether an engine has weights loaded.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Address and placement of an upstream; `service` is `None` for a model engine.
#[derive(Clone, Debug)]
struct NaiveUpstream {
    address: SocketAddr,
    data_centre: DataCentreId,
    service: Option<String>,
}

/// The naive forwarder; its background tasks stop when it is dropped.
pub struct NaiveForwarder {
    server: HttpServer,
    state: Arc<NaiveState>,
    stop: CancellationToken,
}

struct NaiveState {
    client: HttpClient,
    upstreams: Vec<NaiveUpstream>,
    out: Mutex<HashSet<DataCentreId>>,
    partitioned: Mutex<HashSet<DataCentreId>>,
    address: SocketAddr,
    model: String,
    next_revision: AtomicU64,
}

impl NaiveForwarder {
    /// Starts the forwarder for the upstreams of `platform` and keeps `image` loaded on every engine.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(
        platform: &FleetPlatform,
        model: &str,
        image: Arc<WeightImage>,
    ) -> Result<Self, StandinError> {
        let address = platform.layout.block.forwarder();
        let upstreams = platform.layout.agents.iter().map(|plan| NaiveUpstream {
            address: plan.upstream_address,
            data_centre: plan.data_centre.clone(),
            service: plan.service.as_ref().map(ToString::to_string),
        });
        let state = Arc::new(NaiveState {
            client: HttpClient::new(),
            upstreams: upstreams.collect(),
            out: Mutex::default(),
            partitioned: Mutex::default(),
            address,
            model: model.to_owned(),
            next_revision: AtomicU64::new(1),
        });
        let shared = Arc::clone(&state);
        let server = HttpServer::start(address, ConnectionSwitch::new(), move |request| {
            let state = Arc::clone(&shared);
            Box::pin(async move { state.handle(request).await })
        })
        .await?;
        let stop = CancellationToken::new();
        for upstream in state.upstreams.iter().filter(|upstream| upstream.service.is_none()) {
            let task = keep_loaded(Arc::clone(&state), upstream.address, Arc::clone(&image));
            let stop = stop.clone();
            tokio::spawn(async move { stop.run_until_cancelled(task).await });
        }
        let task = follow_config(Arc::clone(&state), platform.config_service.address());
        let stopped = stop.clone();
        tokio::spawn(async move { stopped.run_until_cancelled(task).await });
        Ok(Self { server, state, stop })
    }

    /// Address that callers send requests to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Simulates a network partition between the forwarder and the upstreams of a data centre, or ends it.
    pub fn set_separated(&self, data_centre: &str, partitioned: bool) {
        let mut set = lock(&self.state.partitioned);
        if partitioned {
            set.insert(data_centre.into());
        } else {
            set.remove(data_centre);
        }
    }

    /// Closes every connection of callers, as a restart without a graceful shutdown does.
    pub fn drop_connections(&self) {
        self.server.switch().cut();
    }
}

impl Drop for NaiveForwarder {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl NaiveState {
    async fn handle(&self, request: Request<Incoming>) -> HttpResponse {
        let path = request.uri().path().to_owned();
        let segments: Vec<_> = path.trim_start_matches('/').split('/').collect();
        let method = request.method().clone();
        match segments.as_slice() {
            ["v1", "addresses"] => {
                let body = json!({"addresses": [self.address], "ttl_ms": 2_000});
                json_response(StatusCode::OK, &body)
            }
            ["v1", "keys"] => json_response(StatusCode::OK, &json!({"keys": ["unused"]})),
            ["v1", "models", _, "generate"] => {
                let body = read_body(request).await.unwrap_or_default();
                let mut body: Value = serde_json::from_slice(&body).unwrap_or_default();
                body["offset"] = json!(0);
                body["priority"] = json!(4);
                body["model"] = json!(self.model);
                self.forward(None, method, "/v1/generate", body.to_string()).await
            }
            ["v1", "services", service, rest @ ..] => {
                let (service, path) = ((*service).to_owned(), format!("/{}", rest.join("/")));
                let body = read_body(request).await.unwrap_or_default();
                let body = String::from_utf8_lossy(&body).into_owned();
                self.forward(Some(service), method, &path, body).await
            }
            _ => json_response(StatusCode::NOT_FOUND, &json!({"error": "not_found", "detail": ""})),
        }
    }

    async fn forward(
        &self,
        service: Option<String>,
        method: Method,
        path: &str,
        body: String,
    ) -> HttpResponse {
        for _ in 0..ATTEMPTS {
            let Some(upstream) = self.choose(service.as_deref()) else { break };
            let request = HttpRequest::new(method.clone(), upstream.address, path)
                .with_header("content-type", "application/json")
                .with_body(body.clone());
            if let Some(response) = self.send(&upstream, request).await {
                let (parts, body) = response.into_parts();
                let body = body.map_err(std::io::Error::other).boxed_unsync();
                return Response::from_parts(parts, body);
            }
        }
        let body = json!({"outcome": "not_run", "reason": "no_upstream", "retry_after_ms": 100});
        json_response(StatusCode::SERVICE_UNAVAILABLE, &body)
    }

    fn choose(&self, service: Option<&str>) -> Option<NaiveUpstream> {
        let out = lock(&self.out);
        let is_candidate = |upstream: &&NaiveUpstream| {
            upstream.service.as_deref() == service && !out.contains(&upstream.data_centre)
        };
        let candidates: Vec<_> = self.upstreams.iter().filter(is_candidate).collect();
        candidates.choose(&mut rand::rng()).map(|upstream| (*upstream).clone())
    }

    async fn send(
        &self,
        upstream: &NaiveUpstream,
        request: HttpRequest,
    ) -> Option<Response<Incoming>> {
        let partitioned = lock(&self.partitioned).contains(&upstream.data_centre);
        if partitioned {
            tokio::time::sleep(RESPONSE_TIMEOUT).await;
            return None;
        }
        let response =
            tokio::time::timeout(RESPONSE_TIMEOUT, self.client.send_streaming(request)).await;
        response.ok()?.ok().filter(|response| !response.status().is_server_error())
    }
}

async fn follow_config(state: Arc<NaiveState>, platform: SocketAddr) {
    loop {
        let request = HttpRequest::new(Method::GET, platform, "/v1/config?after=0&wait_ms=0");
        if let Ok(response) = state.client.send(request).await
            && let Ok(config) = config::FleetConfig::parse(&response.body)
        {
            let out = config.data_centres.into_iter().filter(|record| record.out);
            *lock(&state.out) = out.map(|record| record.id).collect();
        }
        tokio::time::sleep(CONFIG_INTERVAL).await;
    }
}

async fn keep_loaded(state: Arc<NaiveState>, engine: SocketAddr, image: Arc<WeightImage>) {
    loop {
        load_if_missing(&state, engine, &image).await;
        tokio::time::sleep(LOAD_INTERVAL).await;
    }
}

async fn load_if_missing(
    state: &NaiveState,
    engine: SocketAddr,
    image: &WeightImage,
) -> Option<()> {
    let client = &state.client;
    let status = client.send(HttpRequest::new(Method::GET, engine, "/v1/status")).await.ok()?;
    let status: Value = status.json().ok()?;
    if status["loaded"].as_array().is_some_and(|loaded| !loaded.is_empty()) {
        return None;
    }
    let path = format!("/v1/weights/{}", image.digest);
    let put = HttpRequest::new(Method::PUT, engine, path).with_body(image.weights.clone());
    client.send(put).await.ok()?;
    let revision = state.next_revision.fetch_add(1, Ordering::Relaxed);
    let fencing = json!({"revision": revision, "incarnation": 1});
    let order = json!({"model": state.model, "manifest": image.digest, "fencing": fencing});
    let load = HttpRequest::new(Method::POST, engine, "/v1/load").with_body(order.to_string());
    client.send(load).await.ok().map(drop)
}
