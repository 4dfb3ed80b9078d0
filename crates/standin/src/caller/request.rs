//! One request of a caller: attempts, resends and the check of the answer.

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
    AddressBook, CallerOptions,
    answer::{ErrorBody, check_confirmation, check_stream},
};
use crate::{
    http_client::{HttpCall, HttpClient},
    ledger::{AttemptRecord, RequestKind, RequestRecord, Told},
};

/// Time after the deadline until an attempt without any answer counts as silent.
const SILENCE: Duration = Duration::from_secs(2);
/// Shortest delay before a resend, when the answer names none.
const RESEND_DELAY: Duration = Duration::from_millis(50);
/// Attempts of one request; more would only add load to an overloaded system.
const MAX_ATTEMPTS: usize = 8;

/// A request that is about to be sent.
pub(super) struct RequestRun {
    kind: RequestKind,
    reference: String,
    max_tokens: u64,
    team: TeamId,
    model: String,
    deadline: Duration,
    book: Arc<AddressBook>,
    client: HttpClient,
}

/// Outcome of one attempt, and when the next makes sense.
struct AttemptEnd {
    told: Told,
    reason: CompactString,
    tokens: u64,
    retry_after: Duration,
}

/// Key of a booking and the number of keys drawn before it.
struct BookingKey {
    key: String,
    number: u32,
}

#[derive(Deserialize)]
struct KeyAnswer {
    keys: Vec<String>,
}

impl AttemptEnd {
    fn new(told: Told) -> Self {
        let reason = CompactString::default();
        Self { told, reason, tokens: 0, retry_after: RESEND_DELAY }
    }

    fn from_error(error: &ErrorBody) -> Self {
        Self {
            told: error.told(),
            reason: error.reason.as_str().into(),
            tokens: 0,
            retry_after: Duration::from_millis(error.retry_after_ms).max(RESEND_DELAY),
        }
    }
}

impl RequestRun {
    pub(super) fn new(
        kind: RequestKind,
        reference: String,
        max_tokens: u64,
        team: &TeamId,
        options: &CallerOptions,
        book: Arc<AddressBook>,
        client: HttpClient,
    ) -> Self {
        Self {
            kind,
            reference,
            max_tokens,
            team: team.clone(),
            model: options.model.clone(),
            deadline: options.deadline,
            book,
            client,
        }
    }

    pub(super) async fn execute(self) -> RequestRecord {
        let started_at = Instant::now();
        let end_at = started_at + self.deadline;
        let mut attempts: Vec<AttemptRecord> = Vec::new();
        let mut key: Option<BookingKey> = None;
        let mut keys_drawn = 0;
        while attempts.len() < MAX_ATTEMPTS && Instant::now() < end_at {
            let Some(address) = self.book.choose().await else {
                tokio::time::sleep(RESEND_DELAY).await;
                continue;
            };
            if self.kind == RequestKind::Booking && key.is_none() {
                key = self.draw_key(address, keys_drawn).await;
                if key.is_none() {
                    self.book.remove(address);
                    tokio::time::sleep(RESEND_DELAY).await;
                    continue;
                }
                keys_drawn += 1;
            }
            let (attempt, end) = self.attempt(address, key.as_ref(), end_at).await;
            let told = end.told.clone();
            attempts.push(AttemptRecord {
                tokens: end.tokens,
                reason: end.reason.clone(),
                ..attempt
            });
            match told {
                Told::Answered | Told::Wrong(_) | Told::Fault(_) | Told::Silent => break,
                Told::NotRun => key = None,
                Told::Unknown if is_final(&end.reason) => break,
                Told::Unknown | Told::Broken => {}
                Told::NoAnswer => self.book.remove(address),
            }
            if Instant::now() + end.retry_after >= end_at {
                break;
            }
            tokio::time::sleep(end.retry_after).await;
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
        end_at: Instant,
    ) -> (AttemptRecord, AttemptEnd) {
        let number = key.map_or(0, |key| key.number);
        let attempt = format_compact!("{}#{number}", self.reference);
        let call = self.call(address, &attempt, key, end_at);
        let sent_at = Instant::now();
        let limit = end_at + SILENCE;
        let end = match tokio::time::timeout_at(limit.into(), self.send(call)).await {
            Ok(end) => end,
            Err(_) => AttemptEnd::new(Told::Silent),
        };
        let record = AttemptRecord {
            attempt,
            sent_at,
            tokens: end.tokens,
            told: end.told.clone(),
            reason: end.reason.clone(),
        };
        (record, end)
    }

    fn call(
        &self,
        address: SocketAddr,
        attempt: &str,
        key: Option<&BookingKey>,
        end_at: Instant,
    ) -> HttpCall {
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
        let left = end_at.saturating_duration_since(Instant::now());
        let call = HttpCall::new(Method::POST, address, path)
            .with_header("x-team", &*self.team)
            .with_header("x-deadline-ms", left.as_millis().max(1).to_string())
            .with_header("content-type", "application/json")
            .with_body(body.to_string());
        match key {
            Some(key) => call.with_header("x-request-key", &*key.key),
            None => call,
        }
    }

    async fn send(&self, call: HttpCall) -> AttemptEnd {
        let Ok(response) = self.client.open(call).await else {
            return AttemptEnd::new(Told::NoAnswer);
        };
        let status = response.status();
        let streams = matches!(self.kind, RequestKind::Model | RequestKind::Poison);
        let (text, whole) = read_text(response).await;
        if status == StatusCode::OK && streams {
            let check = check_stream(&self.reference, self.max_tokens, &text);
            let end = check.error.as_ref().map(AttemptEnd::from_error);
            return AttemptEnd {
                tokens: check.tokens,
                ..end.unwrap_or_else(|| AttemptEnd::new(check.told))
            };
        }
        if !whole {
            return AttemptEnd::new(Told::Broken);
        }
        if status == StatusCode::OK {
            return AttemptEnd::new(check_confirmation(&self.reference, text.as_bytes()));
        }
        if status.is_client_error() {
            return AttemptEnd {
                reason: text.into(),
                ..AttemptEnd::new(Told::Fault(status.as_u16()))
            };
        }
        match serde_json::from_str::<ErrorBody>(&text) {
            Ok(error) => AttemptEnd::from_error(&error),
            Err(_) => AttemptEnd::new(Told::Wrong(format!("status {status} without an outcome"))),
        }
    }

    async fn draw_key(&self, address: SocketAddr, number: u32) -> Option<BookingKey> {
        let body = json!({"service": "booking", "team": self.team, "count": 1});
        let call = HttpCall::new(Method::POST, address, "/v1/keys")
            .with_header("x-team", &*self.team)
            .with_header("content-type", "application/json")
            .with_body(body.to_string());
        let answer = tokio::time::timeout(Duration::from_secs(1), self.client.send(call));
        let answer = answer.await.ok()?.ok()?;
        let keys = answer.json::<KeyAnswer>().ok()?.keys;
        keys.into_iter().next().map(|key| BookingKey { key, number })
    }
}

/// True if a resend of the same key cannot bring another answer.
fn is_final(reason: &str) -> bool {
    matches!(reason, "owner_gone" | "key_expired" | "answer_not_retained")
}

/// Reads the body as text; `false` if it broke off.
async fn read_text(response: Response<Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let whole = loop {
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
    (String::from_utf8_lossy(&bytes).into_owned(), whole)
}
