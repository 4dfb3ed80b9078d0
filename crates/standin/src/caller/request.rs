//! One request of a caller: its attempts, the retries between them and the check of the response.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base::TeamId;
use compact_str::{CompactString, format_compact};
use http_body_util::BodyExt;
use hyper::{Method, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::json;

use super::{
    AddressCache, CallerOptions,
    response::{ErrorBody, check_confirmation, check_stream},
};
use crate::{
    http_client::{HttpClient, HttpRequest},
    ledger::{AttemptRecord, AttemptResult, RequestKind, RequestRecord},
};

/// Delay after the deadline until an attempt without any response is recorded as `AttemptResult::Silent`.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum delay before a retry, also used if the response does not name a delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of attempts per request. More would only add load to an overloaded system.
const MAX_ATTEMPTS: usize = 8;

/// A request and what is needed to send it.
pub(super) struct RequestTask {
    kind: RequestKind,
    reference: String,
    max_tokens: u64,
    team: TeamId,
    model: String,
    deadline: Duration,
    addresses: Arc<AddressCache>,
    client: HttpClient,
}

/// Outcome of one attempt, and the delay before the next one.
struct AttemptOutcome {
    result: AttemptResult,
    reason: CompactString,
    tokens: u64,
    retry_after: Duration,
}

/// Request key of a booking, and the number of keys that were requested before it.
struct BookingKey {
    key: String,
    number: u32,
}

#[derive(Deserialize)]
struct KeyResponse {
    keys: Vec<String>,
}

impl AttemptOutcome {
    fn new(result: AttemptResult) -> Self {
        let reason = CompactString::default();
        Self { result, reason, tokens: 0, retry_after: MIN_RETRY_DELAY }
    }

    fn from_error(error: &ErrorBody) -> Self {
        Self {
            result: error.result(),
            reason: error.reason.as_str().into(),
            tokens: 0,
            retry_after: Duration::from_millis(error.retry_after_ms).max(MIN_RETRY_DELAY),
        }
    }
}

impl RequestTask {
    pub(super) fn new(
        kind: RequestKind,
        reference: String,
        max_tokens: u64,
        team: &TeamId,
        options: &CallerOptions,
        addresses: Arc<AddressCache>,
        client: HttpClient,
    ) -> Self {
        Self {
            kind,
            reference,
            max_tokens,
            team: team.clone(),
            model: options.model.clone(),
            deadline: options.deadline,
            addresses,
            client,
        }
    }

    pub(super) async fn execute(self) -> RequestRecord {
        let started_at = Instant::now();
        let deadline_at = started_at + self.deadline;
        let mut attempts: Vec<AttemptRecord> = Vec::new();
        let mut key: Option<BookingKey> = None;
        let mut keys_fetched = 0;
        while attempts.len() < MAX_ATTEMPTS && Instant::now() < deadline_at {
            let Some(address) = self.addresses.choose().await else {
                tokio::time::sleep(MIN_RETRY_DELAY).await;
                continue;
            };
            if self.kind == RequestKind::Booking && key.is_none() {
                key = self.fetch_key(address, keys_fetched).await;
                if key.is_none() {
                    self.addresses.remove(address);
                    tokio::time::sleep(MIN_RETRY_DELAY).await;
                    continue;
                }
                keys_fetched += 1;
            }
            let (attempt, outcome) = self.attempt(address, key.as_ref(), deadline_at).await;
            let result = outcome.result.clone();
            attempts.push(AttemptRecord {
                tokens: outcome.tokens,
                reason: outcome.reason.clone(),
                ..attempt
            });
            match result {
                AttemptResult::Answered
                | AttemptResult::Wrong(_)
                | AttemptResult::Fault(_)
                | AttemptResult::Silent => break,
                AttemptResult::NotRun => key = None,
                AttemptResult::Unknown if is_final(&outcome.reason) => break,
                AttemptResult::Unknown | AttemptResult::Broken => {}
                AttemptResult::NoAnswer => self.addresses.remove(address),
            }
            if Instant::now() + outcome.retry_after >= deadline_at {
                break;
            }
            tokio::time::sleep(outcome.retry_after).await;
        }
        RequestRecord {
            team: self.team,
            kind: self.kind,
            reference: self.reference.into(),
            started_at,
            duration: started_at.elapsed(),
            attempts,
        }
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        key: Option<&BookingKey>,
        deadline_at: Instant,
    ) -> (AttemptRecord, AttemptOutcome) {
        let number = key.map_or(0, |key| key.number);
        let attempt = format_compact!("{}#{number}", self.reference);
        let request = self.build_request(address, &attempt, key, deadline_at);
        let sent_at = Instant::now();
        let silent_at = deadline_at + SILENCE_TIMEOUT;
        let outcome = match tokio::time::timeout_at(silent_at.into(), self.send(request)).await {
            Ok(outcome) => outcome,
            Err(_) => AttemptOutcome::new(AttemptResult::Silent),
        };
        let record = AttemptRecord {
            attempt,
            sent_at,
            tokens: outcome.tokens,
            result: outcome.result.clone(),
            reason: outcome.reason.clone(),
        };
        (record, outcome)
    }

    fn build_request(
        &self,
        address: SocketAddr,
        attempt: &str,
        key: Option<&BookingKey>,
        deadline_at: Instant,
    ) -> HttpRequest {
        let (path, body) = match self.kind {
            RequestKind::Model | RequestKind::Poison => (
                format!("/v1/models/{}/generate", self.model),
                json!({"prompt": self.reference, "max_tokens": self.max_tokens}),
            ),
            RequestKind::Office => (
                "/v1/services/office/assignments".to_owned(),
                json!({"reference": self.reference, "attempt": attempt}),
            ),
            RequestKind::Booking => (
                "/v1/services/booking/bookings".to_owned(),
                json!({"reference": self.reference, "attempt": attempt}),
            ),
        };
        let remaining = deadline_at.saturating_duration_since(Instant::now());
        let request = HttpRequest::new(Method::POST, address, path)
            .with_header("x-team", &*self.team)
            .with_header("x-deadline-ms", remaining.as_millis().max(1).to_string())
            .with_header("content-type", "application/json")
            .with_body(body.to_string());
        match key {
            Some(key) => request.with_header("x-request-key", &*key.key),
            None => request,
        }
    }

    async fn send(&self, request: HttpRequest) -> AttemptOutcome {
        let Ok(response) = self.client.send_streaming(request).await else {
            return AttemptOutcome::new(AttemptResult::NoAnswer);
        };
        let status = response.status();
        let is_stream = matches!(self.kind, RequestKind::Model | RequestKind::Poison);
        let (text, is_complete) = read_text(response).await;
        if status == StatusCode::OK && is_stream {
            let check = check_stream(&self.reference, self.max_tokens, &text);
            let outcome = check.error.as_ref().map(AttemptOutcome::from_error);
            return AttemptOutcome {
                tokens: check.tokens,
                ..outcome.unwrap_or_else(|| AttemptOutcome::new(check.result))
            };
        }
        if !is_complete {
            return AttemptOutcome::new(AttemptResult::Broken);
        }
        if status == StatusCode::OK {
            return AttemptOutcome::new(check_confirmation(&self.reference, text.as_bytes()));
        }
        if status.is_client_error() {
            return AttemptOutcome {
                reason: text.into(),
                ..AttemptOutcome::new(AttemptResult::Fault(status.as_u16()))
            };
        }
        match serde_json::from_str::<ErrorBody>(&text) {
            Ok(error) => AttemptOutcome::from_error(&error),
            Err(_) => {
                AttemptOutcome::new(AttemptResult::Wrong(format!("status {status}, no outcome")))
            }
        }
    }

    async fn fetch_key(&self, address: SocketAddr, number: u32) -> Option<BookingKey> {
        let body = json!({"service": "booking", "team": self.team, "count": 1});
        let request = HttpRequest::new(Method::POST, address, "/v1/keys")
            .with_header("x-team", &*self.team)
            .with_header("content-type", "application/json")
            .with_body(body.to_string());
        let response = tokio::time::timeout(Duration::from_secs(1), self.client.send(request));
        let response = response.await.ok()?.ok()?;
        let keys = response.json::<KeyResponse>().ok()?.keys;
        keys.into_iter().next().map(|key| BookingKey { key, number })
    }
}

/// True if a retry with the same key cannot produce a different result.
fn is_final(reason: &str) -> bool {
    matches!(reason, "owner_gone" | "key_expired" | "answer_not_retained")
}

/// Reads the body as text. The flag is `false` if the connection failed before the end of the body.
async fn read_text(response: Response<Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let is_complete = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
        }
    };
    (String::from_utf8_lossy(&bytes).into_owned(), is_complete)
}
