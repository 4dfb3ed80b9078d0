//! HTTP API for callers.

use std::sync::Arc;

use base::{Outcome, RefusalReason};
use bytes::Bytes;
use config::EntrySettings;
use futures_util::future::BoxFuture;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use once::KeySigner;
use route::{RequestTarget, resolve_addresses};
use serde_json::json;

use super::{
    forward::{ForwardRefusal, Forwarder, RequestRun},
    keys::IssueKeysRequest,
    request::{
        CallerError, CallerHeaders, CallerRequest, CallerWork, check_model_request,
        check_service_request, check_team, fingerprint, read_body,
    },
    respond::{
        caller_error_response, close_connection, complete_response, refusal_response,
        stream_response, with_outcome,
    },
    service::{send_idempotent, send_keyed},
    stream::{ModelResponse, line_channel, start_model},
};
use crate::{
    http::{HttpHandler, ResponseBody, json_response},
    view::FleetView,
};

const SERVICES_PREFIX: &str = "/v1/services/";

/// Error for a request that gets no response from an upstream.
enum ApiError {
    Caller(CallerError),
    Refused(ForwardRefusal),
}

impl From<CallerError> for ApiError {
    fn from(fault: CallerError) -> Self {
        Self::Caller(fault)
    }
}

impl From<ForwardRefusal> for ApiError {
    fn from(refusal: ForwardRefusal) -> Self {
        Self::Refused(refusal)
    }
}

type ApiResult = Result<Response<ResponseBody>, ApiError>;

/// HTTP handler for callers.
pub struct CallerApi {
    settings: EntrySettings,
    signer: KeySigner,
    forwarder: Arc<Forwarder>,
}

impl CallerApi {
    /// Creates the handler; `signer` signs and verifies request keys.
    #[must_use]
    pub fn new(
        settings: &EntrySettings,
        signer: KeySigner,
        forwarder: Arc<Forwarder>,
    ) -> Arc<Self> {
        Arc::new(Self { settings: settings.clone(), signer, forwarder })
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (version, keyed) = (request.version(), request.headers().contains_key("x-request-key"));
        let mut response = match self.dispatch(request).await {
            Ok(response) => response,
            Err(ApiError::Caller(fault)) => caller_error_response(&fault, keyed, version),
            Err(ApiError::Refused(refusal)) => refusal_response(&refusal),
        };
        if self.forwarder.context.draining.is_cancelled() {
            close_connection(&mut response, version);
        }
        response
    }

    async fn dispatch(&self, request: Request<Incoming>) -> ApiResult {
        let path = request.uri().path().to_owned();
        let segments: Vec<_> = path.trim_start_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (&Method::GET, ["v1", "addresses"]) => self.addresses(request.uri().query()),
            (&Method::POST, ["v1", "keys"]) => self.keys(request).await,
            (&Method::POST, ["v1", "models", model, "generate"]) => {
                self.generate(request, model).await
            }
            (_, ["v1", "services", service, _, ..]) => self.forward(request, service).await,
            _ => {
                let detail = "paths are /v1/addresses, /v1/keys, /v1/models/MODEL/generate and \
                              /v1/services/SERVICE/PATH";
                Err(CallerError::not_found("not_found", detail).into())
            }
        }
    }

    fn view(&self, keyed: bool) -> Result<Arc<FleetView>, ForwardRefusal> {
        let outcome = if keyed { Outcome::Unknown } else { Outcome::NotRun };
        let view = self.forwarder.view.get();
        view.ok_or_else(|| ForwardRefusal::new(outcome, RefusalReason::Refreshing))
    }

    fn addresses(&self, query: Option<&str>) -> ApiResult {
        let view = self.view(false)?;
        let pairs = query.unwrap_or_default().split('&');
        let team = pairs.filter_map(|pair| pair.strip_prefix("team=")).next();
        let team =
            team.ok_or(CallerError::new("team_required", "query parameter `team` is required"))?;
        check_team(team, &view.config)?;
        let stopping = self.forwarder.context.draining.is_cancelled();
        let response = resolve_addresses(
            &view.config,
            &view.hosts,
            stopping.then_some(self.settings.common.host.as_str()),
            team,
            std::time::Duration::from_millis(self.settings.address_ttl_ms),
            &mut self.forwarder.state.lock().rng,
        );
        let ttl_ms = u64::try_from(response.ttl.as_millis()).unwrap_or(u64::MAX);
        let body = json!({"addresses": response.addresses, "ttl_ms": ttl_ms});
        Ok(with_outcome(json_response(StatusCode::OK, &body), Outcome::Answered))
    }

    async fn keys(&self, request: Request<Incoming>) -> ApiResult {
        let view = self.view(false)?;
        let body = read_body(request.into_body(), self.settings.max_body_bytes).await?;
        let response =
            IssueKeysRequest::parse(&body, &view.config)?.issue(&self.forwarder, &self.signer)?;
        Ok(with_outcome(json_response(StatusCode::OK, &response), Outcome::Answered))
    }

    async fn generate(&self, request: Request<Incoming>, model: &str) -> ApiResult {
        let view = self.view(false)?;
        let guard = self.forwarder.begin();
        let (request, _) = self
            .read_request(request, &view, |_, body| check_model_request(model, body, &view.config))
            .await?;
        let request = Arc::new(request);
        let run = RequestRun::new(self.forwarder.clone(), request.clone());
        let target = RequestTarget::for_model(&view.config, model);
        match start_model(run, target).await {
            Ok(ModelResponse::Stream(stream)) => {
                let (sender, receiver) = line_channel();
                self.forwarder.context.spawn_traffic(stream.forward_to(sender, guard));
                Ok(stream_response(receiver))
            }
            Ok(ModelResponse::ErrorResponse(status, content_type, body)) => {
                self.record_outcome(&request, Outcome::Answered);
                Ok(complete_response(status, &content_type, body))
            }
            Err(refusal) => {
                self.record_outcome(&request, refusal.outcome);
                Err(refusal.into())
            }
        }
    }

    async fn forward(&self, request: Request<Incoming>, service: &str) -> ApiResult {
        let keyed = request.headers().contains_key("x-request-key");
        let view = self.view(keyed)?;
        let _guard = self.forwarder.begin();
        let method = request.method().clone();
        let path_and_query = request.uri().path_and_query().map_or("", |path| path.as_str());
        let path = path_and_query
            .strip_prefix(SERVICES_PREFIX)
            .and_then(|rest| rest.strip_prefix(service));
        let path = path.unwrap_or("/").to_owned();
        let (request, key) = self
            .read_request(request, &view, |headers, _| {
                check_service_request(
                    service,
                    method,
                    path,
                    headers.key,
                    &view.config,
                    &self.signer,
                )
            })
            .await?;
        let request = Arc::new(request);
        let outcome = match &key {
            Some(key) => send_keyed(&self.forwarder, &request, key).await,
            None => {
                let run = RequestRun::new(self.forwarder.clone(), request.clone());
                send_idempotent(run, service.into()).await
            }
        };
        match outcome {
            Ok(response) => {
                self.record_outcome(&request, Outcome::Answered);
                Ok(complete_response(response.status, &response.content_type, response.body))
            }
            Err(refusal) => {
                self.record_outcome(&request, refusal.outcome);
                Err(refusal.into())
            }
        }
    }

    async fn read_request(
        &self,
        request: Request<Incoming>,
        view: &FleetView,
        work: impl FnOnce(&CallerHeaders<'_>, &[u8]) -> Result<CallerWork, CallerError>,
    ) -> Result<(CallerRequest, Option<once::RequestKey>), ApiError> {
        let started = self.forwarder.context.clock.now();
        let (parts, body) = request.into_parts();
        let headers = CallerHeaders::read(&parts.headers, &view.config)?;
        let body: Bytes = read_body(body, self.settings.max_body_bytes).await?;
        let work = work(&headers, &body)?;
        let key = match &work {
            CallerWork::Service { key: Some((key, _)), .. } => Some(key.clone()),
            _ => None,
        };
        let request = CallerRequest {
            team: headers.team.into(),
            priority: headers.priority,
            started,
            deadline: started + headers.deadline,
            fingerprint: fingerprint(&work, &body),
            work,
            body,
        };
        Ok((request, key))
    }

    fn record_outcome(&self, request: &CallerRequest, outcome: Outcome) {
        let now = self.forwarder.context.clock.now();
        let latency = now.saturating_duration_since(request.started);
        self.forwarder.record_outcome(request, outcome, latency);
    }
}

impl HttpHandler for CallerApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(self.respond(request))
    }
}
