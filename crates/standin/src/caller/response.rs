//! Checks responses: token streams token by token, and confirmations of plain services.

use serde::Deserialize;

use crate::{
    ledger::AttemptResult,
    platform::token::{confirmation, token_text},
};

/// One line of a token stream.
#[derive(Deserialize)]
#[serde(untagged)]
enum StreamLine {
    Token { index: u64, token: String },
    Done { done: bool, count: u64, manifest: String },
    Error { error: ErrorBody },
}

/// Error body of an entry, which explains why there is no response.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ErrorBody {
    /// Outcome of the request: `not_run` or `unknown`.
    pub outcome: String,
    /// Machine-readable reason; empty if the entry gives none.
    #[serde(default)]
    pub reason: String,
    /// Delay before the next attempt in milliseconds; 0 if the entry gives none.
    #[serde(default)]
    pub retry_after_ms: u64,
}

/// Result of the check of a token stream.
#[derive(Debug)]
pub struct StreamCheck {
    /// Number of tokens received.
    pub tokens: u64,
    /// Result as the caller sees it.
    pub result: AttemptResult,
    /// Content of the error line, if the stream ended with one.
    pub error: Option<ErrorBody>,
    /// Manifest digest in the last line; `None` if the stream is incomplete.
    pub manifest: Option<String>,
}

impl ErrorBody {
    /// Converts the outcome to the result that the caller records.
    #[must_use]
    pub fn result(&self) -> AttemptResult {
        match self.outcome.as_str() {
            "not_run" => AttemptResult::NotRun,
            "unknown" => AttemptResult::Unknown,
            other => AttemptResult::Wrong(format!("outcome {other}")),
        }
    }
}

/// Checks the whole text of a token stream against the prompt.
#[must_use]
pub fn check_stream(prompt: &str, max_tokens: u64, text: &str) -> StreamCheck {
    let mut tokens = Vec::new();
    let mut lines = text.split_inclusive('\n');
    let failure = loop {
        let Some(line) = lines.next() else { break AttemptResult::Broken };
        if !line.ends_with('\n') {
            break AttemptResult::Broken;
        }
        match serde_json::from_str(line) {
            Ok(StreamLine::Token { index, token }) if index == tokens.len() as u64 => {
                tokens.push(token);
            }
            Ok(StreamLine::Token { index, .. }) => {
                break AttemptResult::Wrong(format!("index {index} after {} tokens", tokens.len()));
            }
            Ok(StreamLine::Error { error }) => {
                let result = error.result();
                let tokens = tokens.len() as u64;
                return StreamCheck { tokens, result, error: Some(error), manifest: None };
            }
            Ok(StreamLine::Done { done, count, manifest }) => {
                let result = check_tokens(prompt, max_tokens, &manifest, &tokens, done, count);
                let result =
                    if lines.next().is_some() { wrong("data after the last line") } else { result };
                let tokens = tokens.len() as u64;
                return StreamCheck { tokens, result, error: None, manifest: Some(manifest) };
            }
            Err(error) => break AttemptResult::Wrong(format!("line cannot be read: {error}")),
        }
    };
    StreamCheck { tokens: tokens.len() as u64, result: failure, error: None, manifest: None }
}

fn check_tokens(
    prompt: &str,
    max_tokens: u64,
    manifest: &str,
    tokens: &[String],
    done: bool,
    count: u64,
) -> AttemptResult {
    if !done || count != max_tokens || tokens.len() as u64 != max_tokens {
        return AttemptResult::Wrong(format!(
            "{} tokens, count {count}, expected {max_tokens}",
            tokens.len()
        ));
    }
    let mut indexed = (0..).zip(tokens);
    match indexed.find(|(index, token)| token_text(prompt, manifest, *index) != **token) {
        Some((index, token)) => AttemptResult::Wrong(format!("unexpected token {index}: {token}")),
        None => AttemptResult::Answered,
    }
}

/// Checks the response of a plain service to the request with this reference.
#[must_use]
pub fn check_confirmation(reference: &str, body: &[u8]) -> AttemptResult {
    #[derive(Deserialize)]
    struct Confirmation {
        reference: String,
        confirmation: String,
    }
    match serde_json::from_slice::<Confirmation>(body) {
        Ok(response)
            if response.reference == reference
                && response.confirmation == confirmation(reference) =>
        {
            AttemptResult::Answered
        }
        Ok(response) => AttemptResult::Wrong(format!("response for {}", response.reference)),
        Err(error) => AttemptResult::Wrong(format!("response cannot be read: {error}")),
    }
}

fn wrong(text: &str) -> AttemptResult {
    AttemptResult::Wrong(text.to_owned())
}
