//! Plain services: a booking service whose calls must not be repeated, and an office service whose calls may.

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
    http::{ConnectionSwitch, HttpAnswer, HttpServer, answer, json_answer, read_body},
    platform::{token::confirmation, work::LoadGauge},
};

/// How a plain service behaves.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Calls at a time that it bears after a start.
    pub cold_limit: u32,
    /// Calls at a time that it bears when warm.
    pub warm_limit: u32,
    /// Duration of one call on an idle service.
    pub call_time: Duration,
    /// Time from a crash until it answers again.
    pub restart_time: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            cold_limit: 4,
            warm_limit: 16,
            call_time: Duration::from_millis(8),
            restart_time: Duration::from_secs(1),
        }
    }
}

/// Body of a call: which booking it is, and which attempt of it.
#[derive(Deserialize)]
struct CallBody {
    reference: CompactString,
    #[serde(default)]
    attempt: CompactString,
}

/// A plain service.
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
    /// Calls that still lose their answer after they have run.
    lost_answers: AtomicU64,
}

impl PlainService {
    /// Starts a service.
    ///
    /// # Errors
    /// Fails if the address cannot be listened on.
    pub async fn start(address: SocketAddr, options: ServiceOptions) -> Result<Self, StandinError> {
        let switch = ConnectionSwitch::new();
        let state = Arc::new(ServiceState {
            gauge: LoadGauge::new(options.cold_limit, options.warm_limit),
            options,
            switch: Arc::clone(&switch),
            lost_answers: AtomicU64::new(0),
        });
        let shared = Arc::clone(&state);
        let server = HttpServer::start(address, switch, move |request| {
            let state = Arc::clone(&shared);
            Box::pin(async move { state.handle(request).await })
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Address of the service.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Load and runs of the service.
    #[must_use]
    pub fn gauge(&self) -> &Arc<LoadGauge> {
        &self.state.gauge
    }

    /// Drops all connections, and comes back cold after the restart time.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// The next `times` calls run, but their connection breaks before the answer.
    pub fn lose_answers(&self, times: u64) {
        self.state.lost_answers.store(times, Ordering::SeqCst);
    }
}

impl ServiceState {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpAnswer {
        if request.uri().path() == "/v1/status" {
            let status =
                json!({"incarnation": self.gauge.incarnation(), "in_use": self.gauge.in_use()});
            return json_answer(StatusCode::OK, &status);
        }
        if matches!(*request.method(), Method::GET | Method::HEAD) {
            let runs = self.gauge.log().len();
            return json_answer(StatusCode::OK, &json!({"runs": runs}));
        }
        let body = read_body(request).await.unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(call) => self.run(call).await,
            Err(_) => answer(StatusCode::BAD_REQUEST, "reference is missing"),
        }
    }

    async fn run(self: Arc<Self>, call: CallBody) -> HttpAnswer {
        let Ok(guard) = self.gauge.accept(call.reference.clone(), call.attempt) else {
            self.crash();
            return answer(StatusCode::INTERNAL_SERVER_ERROR, "");
        };
        let load = 1.0 + self.gauge.utilisation();
        tokio::time::sleep(self.options.call_time.mul_f64(load)).await;
        guard.finish();
        let losing = |left: u64| left.checked_sub(1);
        if self.lost_answers.fetch_update(Ordering::SeqCst, Ordering::SeqCst, losing).is_ok() {
            self.switch.cut();
            std::future::pending::<()>().await;
        }
        let text = confirmation(&call.reference);
        json_answer(StatusCode::OK, &json!({"reference": call.reference, "confirmation": text}))
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
