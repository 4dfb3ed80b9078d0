//! The read-only administration API.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};

use crate::http::{HttpHandler, ResponseBody, error_response, json_response};

/// Data that an entry or agent exposes through the administration API.
pub trait AdminSource: Send + Sync {
    /// True if the process can serve requests; returned by `/admin/v1/ready`.
    fn is_ready(&self) -> bool;

    /// Current state for operators; returned by `/admin/v1/status`.
    fn status(&self) -> Value;

    /// Burn rates of the service-level objectives; `None` on agents, which do not track them.
    fn report(&self) -> Option<Value> {
        None
    }
}

/// HTTP handler of the administration API; accepts GET only.
pub struct AdminApi {
    source: Arc<dyn AdminSource>,
}

impl AdminApi {
    /// Creates a handler that serves the state of `source`.
    #[must_use]
    pub fn new(source: Arc<dyn AdminSource>) -> Arc<Self> {
        Arc::new(Self { source })
    }

    fn respond(&self, method: &Method, path: &str) -> Response<ResponseBody> {
        if method != Method::GET {
            let detail = "the administration API is read-only";
            return error_response(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", detail);
        }
        match path {
            "/admin/v1/health" => json_response(StatusCode::OK, &json!({"healthy": true})),
            "/admin/v1/ready" => {
                let ready = self.source.is_ready();
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                json_response(status, &json!({"ready": ready}))
            }
            "/admin/v1/status" => json_response(StatusCode::OK, &self.source.status()),
            "/admin/v1/report" => match self.source.report() {
                Some(report) => json_response(StatusCode::OK, &report),
                None => {
                    error_response(StatusCode::NOT_FOUND, "no_report", "only entries have a report")
                }
            },
            _ => error_response(
                StatusCode::NOT_FOUND,
                "not_found",
                "unknown path; docs/OPERATORS.md lists the paths",
            ),
        }
    }
}

impl HttpHandler for AdminApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async move { self.respond(request.method(), request.uri().path()) })
    }
}
