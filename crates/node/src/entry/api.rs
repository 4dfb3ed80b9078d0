//! The callers' HTTP API.

use std::{io, sync::Arc, time::Duration};

use base::Outcome;
use bytes::Bytes;
use config::{EntrySettings, HostState};
use futures_util::{StreamExt, future::BoxFuture};
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde_json::json;
use tokio::time::timeout;
use wire::{Forward, Payload};

use super::forward::{ForwardRefusal, Forwarder, StartedAnswer};
use crate::{
    context::NodeContext,
    http::{HttpHandler, ResponseBody, fault_response, json_response},
    view::ViewReader,
};

const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_DEADLINE_MS: u64 = 30_000;
const DEFAULT_PRIORITY: u32 = 4;

/// Handler of the callers' API.
pub struct CallerApi {
    context: NodeContext,
    settings: EntrySettings,
    view: ViewReader,
    forwarder: Arc<Forwarder>,
}

impl CallerApi {
    /// Creates the handler.
    #[must_use]
    pub fn new(
        context: &NodeContext,
        settings: &EntrySettings,
        view: ViewReader,
        forwarder: Arc<Forwarder>,
    ) -> Arc<Self> {
        Arc::new(Self { context: context.clone(), settings: settings.clone(), view, forwarder })
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path().to_owned();
        let segments: Vec<_> = path.trim_start_matches('/').split('/').collect();
        match (request.method().clone(), segments.as_slice()) {
            (Method::GET, ["v1", "addresses"]) => self.addresses(),
            (Method::POST, ["v1", "models", model, "generate"]) => {
                let forward = Forward { model: (*model).to_owned(), ..Forward::default() };
                self.forward(request, forward).await
            }
            (method, ["v1", "services", service, rest @ ..]) => {
                let forward = Forward {
                    service: (*service).to_owned(),
                    method: method.to_string(),
                    path: format!("/{}", rest.join("/")),
                    ..Forward::default()
                };
                self.forward(request, forward).await
            }
            _ => fault_response(
                StatusCode::NOT_FOUND,
                "not_found",
                "see docs/OPERATORS.md for the paths",
            ),
        }
    }

    fn addresses(&self) -> Response<ResponseBody> {
        let Some(view) = self.view.get() else {
            return fault_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "starting",
                "no configuration in force yet",
            );
        };
        let addresses: Vec<_> = view
            .hosts
            .entries()
            .filter(|host| host.state == HostState::Live && !view.config.is_out(&host.data_centre))
            .filter_map(|host| host.http)
            .collect();
        json_response(
            StatusCode::OK,
            &json!({"addresses": addresses, "ttl_ms": self.settings.address_ttl_ms}),
        )
    }

    async fn forward(
        &self,
        request: Request<Incoming>,
        mut forward: Forward,
    ) -> Response<ResponseBody> {
        let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let Some(team) = header("x-team").map(str::to_owned) else {
            return fault_response(
                StatusCode::BAD_REQUEST,
                "team_required",
                "header x-team names a team",
            );
        };
        forward.team = team;
        forward.priority =
            header("x-priority").and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_PRIORITY);
        forward.remaining_ms = header("x-deadline-ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_DEADLINE_MS);
        forward.key = header("x-request-key").unwrap_or_default().to_owned();
        let limited = Limited::new(request.into_body(), self.settings.max_body_bytes);
        match timeout(BODY_TIMEOUT, limited.collect()).await {
            Ok(Ok(collected)) => forward.body = collected.to_bytes(),
            Ok(Err(_)) => {
                return fault_response(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body_too_large",
                    "see max_body_bytes",
                );
            }
            Err(_) => {
                return fault_response(
                    StatusCode::REQUEST_TIMEOUT,
                    "body_timeout",
                    "body within 10 s",
                );
            }
        }
        match self.forwarder.forward(forward).await {
            Ok(answer) => self.stream(answer),
            Err(refusal) => refusal_response(refusal),
        }
    }

    fn stream(&self, answer: StartedAnswer) -> Response<ResponseBody> {
        let status =
            u16::try_from(answer.head.status).ok().and_then(|code| StatusCode::from_u16(code).ok());
        let content_type = HeaderValue::from_str(&answer.head.content_type);
        let (sender, receiver) = tokio::sync::mpsc::channel::<Result<Bytes, io::Error>>(16);
        self.context.spawn_traffic(copy_body(answer, sender));
        let parts = futures_util::stream::unfold(receiver, |mut receiver| async move {
            receiver.recv().await.map(|part| (part, receiver))
        });
        let body = BodyExt::boxed(StreamBody::new(parts.map(|part| part.map(Frame::data))));
        let mut response = Response::new(body);
        *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
        if let Ok(content_type) = content_type {
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        set_outcome(&mut response, Outcome::Answered);
        response
    }
}

impl HttpHandler for CallerApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(self.answer(request))
    }
}

async fn copy_body(
    answer: StartedAnswer,
    sender: tokio::sync::mpsc::Sender<Result<Bytes, io::Error>>,
) {
    let StartedAnswer { mut channel, guard, .. } = answer;
    let _in_progress = guard;
    let mut length = 0;
    loop {
        match channel.channel.receiver.receive().await {
            Ok(Payload::Body(body)) => {
                length += body.data.len() as u64;
                if sender.send(Ok(body.data)).await.is_err() {
                    return;
                }
            }
            Ok(Payload::End(end)) if end.complete && end.length == length => {
                channel.release();
                return;
            }
            _ => {
                let _ = sender.send(Err(io::ErrorKind::UnexpectedEof.into())).await;
                return;
            }
        }
    }
}

fn refusal_response(refusal: ForwardRefusal) -> Response<ResponseBody> {
    let status = match refusal.outcome {
        Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::GATEWAY_TIMEOUT,
    };
    let retry_after_ms = refusal.retry_after.as_millis() as u64;
    let body = json!({"outcome": refusal.outcome, "reason": refusal.reason, "retry_after_ms": retry_after_ms});
    let mut response = json_response(status, &body);
    let seconds = retry_after_ms.div_ceil(1_000);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    set_outcome(&mut response, refusal.outcome);
    response
}

fn set_outcome(response: &mut Response<ResponseBody>, outcome: Outcome) {
    let value = match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    };
    response.headers_mut().insert("x-outcome", HeaderValue::from_static(value));
}
