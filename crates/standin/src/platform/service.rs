//! Stand-in for plain services: a booking service, whose requests are not idempotent, and an office service, whose
//! requests are.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use compact_str::CompactString;
use hyper::{Method, Request, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::json;

use crate::{
    error::StandinError,
    http::{ConnectionSwitch, HttpResponse, HttpServer, json_response, plain_response, read_body},
    platform::{token::confirmation, work::LoadGauge},
};

/// Limits and timing of a simulated plain service.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Concurrency limit after a start.
    pub cold_limit: u32,
    /// Concurrency limit when warm.
    pub warm_limit: u32,
    /// Duration of one request on an idle service; twice as long at the warm limit.
    pub request_time: Duration,
    /// Time from a crash until the service accepts connections again.
    pub restart_time: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            cold_limit: 4,
            warm_limit: 16,
            request_time: Duration::from_millis(8),
            restart_time: Duration::from_secs(1),
        }
    }
}

/// Request body: reference of the booking and id of the attempt.
#[derive(Deserialize)]
struct RequestBody {
    reference: CompactString,
    #[serde(default)]
    attempt: CompactString,
}

/// A simulated plain service with its HTTP server.
#[derive(Debug)]
pub struct PlainService {
    server: HttpServer,
    state: Arc<ServiceState>,
}

#[derive(Debug)]
struct ServiceState {
    options: ServiceOptions,
    gauge: Arc<LoadGauge>,
    switch: Arc<ConnectionSwitch>,
    /// Number of following requests whose response is dropped after they have run.
    responses_to_drop: AtomicU64,
}

impl PlainService {
    /// Starts a cold service.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, options: ServiceOptions) -> Result<Self, StandinError> {
        let switch = ConnectionSwitch::new();
        let state = Arc::new(ServiceState {
            gauge: LoadGauge::new(options.cold_limit, options.warm_limit),
            options,
            switch: Arc::clone(&switch),
            responses_to_drop: AtomicU64::new(0),
        });
        let shared = Arc::clone(&state);
        let server = HttpServer::start(address, switch, move |request| {
            let state = Arc::clone(&shared);
            Box::pin(async move { state.handle(request).await })
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Address of the HTTP interface.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Current load and log of all runs.
    #[must_use]
    pub fn gauge(&self) -> &Arc<LoadGauge> {
        &self.state.gauge
    }

    /// Drops all connections; the service restarts cold after the restart time.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Runs the next `times` requests but closes all connections before the response.
    pub fn drop_responses(&self, times: u64) {
        self.state.responses_to_drop.store(times, Ordering::SeqCst);
    }
}

impl ServiceState {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpResponse {
        if request.uri().path() == "/v1/status" {
            let status =
                json!({"incarnation": self.gauge.incarnation(), "in_use": self.gauge.in_use()});
            return json_response(StatusCode::OK, &status);
        }
        if matches!(*request.method(), Method::GET | Method::HEAD) {
            let runs = self.gauge.log().len();
            return json_response(StatusCode::OK, &json!({"runs": runs}));
        }
        let body = read_body(request).await.unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(body) => self.run(body).await,
            Err(_) => plain_response(StatusCode::BAD_REQUEST, "invalid JSON or missing reference"),
        }
    }

    async fn run(self: Arc<Self>, body: RequestBody) -> HttpResponse {
        let Ok(guard) = self.gauge.accept(body.reference.clone(), body.attempt) else {
            self.crash();
            return plain_response(StatusCode::INTERNAL_SERVER_ERROR, "");
        };
        let load = 1.0 + self.gauge.utilisation();
        tokio::time::sleep(self.options.request_time.mul_f64(load)).await;
        guard.finish();
        let decrement = |remaining: u64| remaining.checked_sub(1);
        if self
            .responses_to_drop
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
        {
            self.switch.cut();
            std::future::pending::<()>().await;
        }
        let text = confirmation(&body.reference);
        json_response(StatusCode::OK, &json!({"reference": body.reference, "confirmation": text}))
    }

    fn crash(self: &Arc<Self>) {
        self.gauge.crash();
        self.switch.set_refusing(true);
        self.switch.cut();
        let state = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(state.options.restart_time).await;
            state.switch.set_refusing(false);
        });
    }
}
