//! Reads and validates callers' requests.

use std::time::{Duration, Instant};

use base::{ContentDigest, ModelId, ServiceId, TeamId};
use burn::RequestKind;
use bytes::Bytes;
use config::FleetConfig;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{HeaderMap, Method, StatusCode, body::Incoming};
use once::{KeySigner, RequestKey};
use route::Fingerprint;
use serde_json::{Map, Value};
use tokio::time::timeout;

/// Timeout for reading the complete body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Maximum deadline; longer ones are shortened to it. It is well below the default drain timeout, so that a planned
/// stop can wait for every request.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
const DEFAULT_PRIORITY: u32 = 4;
const MAX_PRIORITY: u32 = 9;

/// Error in a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct CallerError {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Stable name of the error, for programs.
    pub error: &'static str,
    /// Description of what is expected, for people.
    pub detail: &'static str,
}

impl CallerError {
    /// Creates an error with status 400.
    #[must_use]
    pub fn new(error: &'static str, detail: &'static str) -> Self {
        Self { status: StatusCode::BAD_REQUEST, error, detail }
    }

    /// Creates an error with status 404.
    #[must_use]
    pub fn not_found(error: &'static str, detail: &'static str) -> Self {
        Self { status: StatusCode::NOT_FOUND, error, detail }
    }
}

/// Work that a request asks for.
#[derive(Clone, Debug)]
pub enum CallerWork {
    /// Generation by a model.
    Model {
        /// Id of the model or adapter.
        model: ModelId,
        /// Fields of the caller's JSON.
        fields: Map<String, Value>,
    },
    /// Request to a plain service.
    Service {
        /// Id of the service.
        service: ServiceId,
        /// HTTP method for the upstream.
        method: Method,
        /// Path and query for the upstream.
        path: String,
        /// Key and its signed text; `None` for an idempotent request.
        key: Option<(RequestKey, String)>,
    },
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Team.
    pub team: TeamId,
    /// Priority; higher goes first.
    pub priority: u32,
    /// Time at which the request arrived.
    pub started: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Work that the request asks for.
    pub work: CallerWork,
    /// Body of the request as received.
    pub body: Bytes,
    /// Fingerprint of the content, by which requests that crash upstreams are recognised.
    pub fingerprint: Fingerprint,
}

impl CallerRequest {
    /// Returns the kind for the service-level counters.
    #[must_use]
    pub fn kind(&self) -> RequestKind {
        match &self.work {
            CallerWork::Model { .. } => RequestKind::Model,
            CallerWork::Service { key: Some(_), .. } => RequestKind::Keyed,
            CallerWork::Service { key: None, .. } => RequestKind::Idempotent,
        }
    }

    /// Returns the time from `now` to the deadline; zero after the deadline.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the prompt of a model request, or an empty string for a service.
    #[must_use]
    pub fn prompt(&self) -> &str {
        match &self.work {
            CallerWork::Model { fields, .. } => {
                fields.get("prompt").and_then(Value::as_str).unwrap_or_default()
            }
            CallerWork::Service { .. } => "",
        }
    }
}

/// Values of the request headers.
#[derive(Clone, Copy, Debug)]
pub struct CallerHeaders<'a> {
    /// Team.
    pub team: &'a str,
    /// Priority.
    pub priority: u32,
    /// Time until the caller stops waiting, at most 10 min.
    pub deadline: Duration,
    /// Signed text of the request key; `None` if the header is absent or empty.
    pub key: Option<&'a str>,
}

impl<'a> CallerHeaders<'a> {
    /// Reads and validates the headers.
    ///
    /// # Errors
    /// Fails if the team is missing or not registered, or a number is malformed or out of range.
    pub fn read(headers: &'a HeaderMap, config: &FleetConfig) -> Result<Self, CallerError> {
        let text = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or_default());
        let team = text("x-team")
            .ok_or_else(|| CallerError::new("team_required", "header x-team is required"))?;
        check_team(team, config)?;
        let priority = match text("x-priority") {
            None => DEFAULT_PRIORITY,
            Some(text) => {
                text.parse().ok().filter(|priority| *priority <= MAX_PRIORITY).ok_or_else(|| {
                    CallerError::new(
                        "bad_priority",
                        "header x-priority has to be a number from 0 to 9",
                    )
                })?
            }
        };
        let deadline = match text("x-deadline-ms") {
            None => DEFAULT_DEADLINE,
            Some(text) => text.parse().map(Duration::from_millis).map_err(|_| {
                CallerError::new(
                    "bad_deadline",
                    "header x-deadline-ms has to be a number of milliseconds",
                )
            })?,
        };
        let key = text("x-request-key").filter(|key| !key.is_empty());
        Ok(Self { team, priority, deadline: deadline.min(MAX_DEADLINE), key })
    }
}

/// Checks that a team is registered.
///
/// # Errors
/// Fails if the team is not registered.
pub fn check_team(team: &str, config: &FleetConfig) -> Result<(), CallerError> {
    let is_known = config.team(team).is_some();
    is_known.then_some(()).ok_or(CallerError::new("unknown_team", "the team is not registered"))
}

/// Reads a complete body of at most `max_bytes`.
///
/// # Errors
/// Fails if the body is larger, does not arrive within 10 s, or ends early.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, CallerError> {
    let limited = Limited::new(body, max_bytes);
    match timeout(BODY_TIMEOUT, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(CallerError {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            error: "body_too_large",
            detail: "the body exceeds max_body_bytes of the entry",
        }),
        Ok(Err(_)) => Err(CallerError::new("body_incomplete", "the body ended early")),
        Err(_) => Err(CallerError {
            status: StatusCode::REQUEST_TIMEOUT,
            error: "body_timeout",
            detail: "the body has to arrive within 10 s",
        }),
    }
}

/// Validates a request to a model.
///
/// # Errors
/// Fails if the model is not registered or the body is not a JSON object with a prompt.
pub fn check_model_request(
    model: &str,
    body: &[u8],
    config: &FleetConfig,
) -> Result<CallerWork, CallerError> {
    let is_known =
        config.model(model).is_some() || config.adapters.iter().any(|adapter| adapter.id == model);
    if !is_known {
        return Err(CallerError::not_found("unknown_model", "the model is not registered"));
    }
    let fields = match serde_json::from_slice(body) {
        Ok(Value::Object(fields)) if fields.get("prompt").is_some_and(Value::is_string) => fields,
        _ => {
            let detail = "the body has to be a JSON object with a string `prompt`";
            return Err(CallerError::new("bad_body", detail));
        }
    };
    Ok(CallerWork::Model { model: model.into(), fields })
}

/// Validates a request to a plain service.
///
/// # Errors
/// Fails if the service is not registered, or the key is required and missing or not valid for this service.
pub fn check_service_request(
    service: &str,
    method: Method,
    path: String,
    key: Option<&str>,
    config: &FleetConfig,
    signer: &KeySigner,
) -> Result<CallerWork, CallerError> {
    let Some(record) = config.service(service) else {
        return Err(CallerError::not_found("unknown_service", "the service is not registered"));
    };
    let safe = method == Method::GET || method == Method::HEAD;
    let key = match key.filter(|_| !safe) {
        Some(text) => {
            let key = signer.verify(text).map_err(|_| {
                CallerError::new("bad_key", "header x-request-key is not a key from POST /v1/keys")
            })?;
            if key.service() != service {
                return Err(CallerError::new("bad_key", "the key is for another service"));
            }
            Some((key, text.to_owned()))
        }
        None if safe || record.idempotent => None,
        None => {
            let detail = "requests to this service need a key from POST /v1/keys in x-request-key";
            return Err(CallerError::new("key_required", detail));
        }
    };
    Ok(CallerWork::Service { service: service.into(), method, path, key })
}

/// Returns the fingerprint of the target and body of a request. The key is not part of it, so that the same content
/// has the same fingerprint with a new key.
#[must_use]
pub fn fingerprint(work: &CallerWork, body: &[u8]) -> Fingerprint {
    let target = match work {
        CallerWork::Model { model, .. } => format!("model\n{model}\n"),
        CallerWork::Service { service, method, path, .. } => {
            format!("service\n{service}\n{method}\n{path}\n")
        }
    };
    let mut content = target.into_bytes();
    content.extend_from_slice(body);
    ContentDigest::of(&content)
}
