//! A caller's request, read and checked.

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

/// Time for the whole body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Longer deadlines are cut to this, well under the default wait of a planned stop for stuck requests.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
const DEFAULT_PRIORITY: u32 = 4;
const MAX_PRIORITY: u32 = 9;

/// A fault of the caller.
#[derive(Clone, Copy, Debug)]
pub struct CallerError {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable name of the fault.
    pub error: &'static str,
    /// What is expected.
    pub detail: &'static str,
}

impl CallerError {
    /// Creates a fault with status 400.
    #[must_use]
    pub fn new(error: &'static str, detail: &'static str) -> Self {
        Self { status: StatusCode::BAD_REQUEST, error, detail }
    }

    /// Creates a fault with status 404.
    #[must_use]
    pub fn not_found(error: &'static str, detail: &'static str) -> Self {
        Self { status: StatusCode::NOT_FOUND, error, detail }
    }
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum CallerWork {
    /// Generation by a model.
    Model {
        /// Model or adapter.
        model: ModelId,
        /// Fields of the caller's JSON.
        fields: Map<String, Value>,
    },
    /// Call of a plain service.
    Service {
        /// Service.
        service: ServiceId,
        /// HTTP method.
        method: Method,
        /// Path and query towards the upstream.
        path: String,
        /// Key and its signed text; none for an idempotent call.
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
    /// When the request arrived.
    pub started: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// What it asks for.
    pub work: CallerWork,
    /// Body.
    pub body: Bytes,
    /// Fingerprint of the content.
    pub fingerprint: Fingerprint,
}

impl CallerRequest {
    /// Kind for the service-level counters.
    #[must_use]
    pub fn kind(&self) -> RequestKind {
        match &self.work {
            CallerWork::Model { .. } => RequestKind::Model,
            CallerWork::Service { key: Some(_), .. } => RequestKind::Keyed,
            CallerWork::Service { key: None, .. } => RequestKind::Idempotent,
        }
    }

    /// Time left at `now`.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Prompt of a model request; empty if there is none.
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

/// Fields of the request headers.
#[derive(Clone, Copy, Debug)]
pub struct CallerHeaders<'a> {
    /// Team.
    pub team: &'a str,
    /// Priority.
    pub priority: u32,
    /// Time until the caller stops waiting.
    pub deadline: Duration,
    /// Text of the request key.
    pub key: Option<&'a str>,
}

impl<'a> CallerHeaders<'a> {
    /// Reads and checks the headers.
    ///
    /// # Errors
    /// Fails if the team is absent or not registered, or a number is malformed.
    pub fn read(headers: &'a HeaderMap, config: &FleetConfig) -> Result<Self, CallerError> {
        let text = |name: &str| headers.get(name).map(|value| value.to_str().unwrap_or_default());
        let team = text("x-team")
            .ok_or_else(|| CallerError::new("team_required", "header x-team names a team"))?;
        check_team(team, config)?;
        let priority = match text("x-priority") {
            None => DEFAULT_PRIORITY,
            Some(text) => {
                text.parse().ok().filter(|priority| *priority <= MAX_PRIORITY).ok_or_else(|| {
                    CallerError::new("bad_priority", "header x-priority is a number from 0 to 9")
                })?
            }
        };
        let deadline = match text("x-deadline-ms") {
            None => DEFAULT_DEADLINE,
            Some(text) => text.parse().map(Duration::from_millis).map_err(|_| {
                CallerError::new("bad_deadline", "header x-deadline-ms is a number of milliseconds")
            })?,
        };
        let key = text("x-request-key").filter(|key| !key.is_empty());
        Ok(Self { team, priority, deadline: deadline.min(MAX_DEADLINE), key })
    }
}

/// Checks that a team is registered.
///
/// # Errors
/// Fails if it is not.
pub fn check_team(team: &str, config: &FleetConfig) -> Result<(), CallerError> {
    let known = config.team(team).is_some();
    known.then_some(()).ok_or(CallerError::new("unknown_team", "the team is not registered"))
}

/// Reads a whole body of at most `max_bytes`.
///
/// # Errors
/// Fails if the body is larger, takes too long or breaks off.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, CallerError> {
    let limited = Limited::new(body, max_bytes);
    match timeout(BODY_TIMEOUT, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(CallerError {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            error: "body_too_large",
            detail: "the body exceeds max_body_bytes of the entry",
        }),
        Ok(Err(_)) => Err(CallerError::new("body_incomplete", "the body broke off")),
        Err(_) => Err(CallerError {
            status: StatusCode::REQUEST_TIMEOUT,
            error: "body_timeout",
            detail: "the body has to arrive within 10 s",
        }),
    }
}

/// Checks a request for a model.
///
/// # Errors
/// Fails if the model is not registered or the body is no JSON object with a prompt.
pub fn model_work(
    model: &str,
    body: &[u8],
    config: &FleetConfig,
) -> Result<CallerWork, CallerError> {
    let known =
        config.model(model).is_some() || config.adapters.iter().any(|adapter| adapter.id == model);
    if !known {
        return Err(CallerError::not_found("unknown_model", "the model is not registered"));
    }
    let fields = match serde_json::from_slice(body) {
        Ok(Value::Object(fields)) if fields.get("prompt").is_some_and(Value::is_string) => fields,
        _ => {
            let detail = "the body is a JSON object with a string `prompt`";
            return Err(CallerError::new("bad_body", detail));
        }
    };
    Ok(CallerWork::Model { model: model.into(), fields })
}

/// Checks a call of a plain service.
///
/// # Errors
/// Fails if the service is not registered, or the key is required and absent, or it is not valid for this service.
pub fn service_work(
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
                CallerError::new("bad_key", "x-request-key is no key of POST /v1/keys")
            })?;
            if key.service() != service {
                return Err(CallerError::new("bad_key", "the key is for another service"));
            }
            Some((key, text.to_owned()))
        }
        None if safe || record.idempotent => None,
        None => {
            let detail = "calls of this service need a key of POST /v1/keys in x-request-key";
            return Err(CallerError::new("key_required", detail));
        }
    };
    Ok(CallerWork::Service { service: service.into(), method, path, key })
}

/// Fingerprint of what a request asks for and of its body. The key is not part of it: a caller that draws a new key
/// sends the same content.
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
