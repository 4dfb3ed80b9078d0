//! Checks of answers, token by token.

use serde::Deserialize;

use crate::{
    ledger::Told,
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

/// Why there is no answer.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ErrorBody {
    /// Outcome.
    pub outcome: String,
    /// Reason.
    #[serde(default)]
    pub reason: String,
    /// When a new attempt makes sense.
    #[serde(default)]
    pub retry_after_ms: u64,
}

/// What a token stream says.
#[derive(Debug)]
pub struct StreamCheck {
    /// Tokens received.
    pub tokens: u64,
    /// What the caller was told.
    pub told: Told,
    /// The error line, if there was one.
    pub error: Option<ErrorBody>,
    /// Manifest that the last line names.
    pub manifest: Option<String>,
}

impl ErrorBody {
    /// What the outcome tells the caller.
    #[must_use]
    pub fn told(&self) -> Told {
        match self.outcome.as_str() {
            "not_run" => Told::NotRun,
            "unknown" => Told::Unknown,
            other => Told::Wrong(format!("outcome {other}")),
        }
    }
}

/// Checks the whole text of a token stream against the prompt.
#[must_use]
pub fn check_stream(prompt: &str, max_tokens: u64, text: &str) -> StreamCheck {
    let mut tokens = Vec::new();
    let mut lines = text.split_inclusive('\n');
    let ending = loop {
        let Some(line) = lines.next() else { break Told::Broken };
        if !line.ends_with('\n') {
            break Told::Broken;
        }
        match serde_json::from_str(line) {
            Ok(StreamLine::Token { index, token }) if index == tokens.len() as u64 => {
                tokens.push(token);
            }
            Ok(StreamLine::Token { index, .. }) => {
                break Told::Wrong(format!("index {index} after {} tokens", tokens.len()));
            }
            Ok(StreamLine::Error { error }) => {
                let told = error.told();
                let tokens = tokens.len() as u64;
                return StreamCheck { tokens, told, error: Some(error), manifest: None };
            }
            Ok(StreamLine::Done { done, count, manifest }) => {
                let told = check_tokens(prompt, max_tokens, &manifest, &tokens, done, count);
                let told = if lines.next().is_some() { wrong("text after the end") } else { told };
                let tokens = tokens.len() as u64;
                return StreamCheck { tokens, told, error: None, manifest: Some(manifest) };
            }
            Err(error) => break Told::Wrong(format!("line cannot be read: {error}")),
        }
    };
    StreamCheck { tokens: tokens.len() as u64, told: ending, error: None, manifest: None }
}

fn check_tokens(
    prompt: &str,
    max_tokens: u64,
    manifest: &str,
    tokens: &[String],
    done: bool,
    count: u64,
) -> Told {
    if !done || count != max_tokens || tokens.len() as u64 != max_tokens {
        return Told::Wrong(format!("{} tokens, count {count}, asked {max_tokens}", tokens.len()));
    }
    let mut indexed = (0..).zip(tokens);
    match indexed.find(|(index, token)| token_text(prompt, manifest, *index) != **token) {
        Some((index, token)) => Told::Wrong(format!("token {index} is {token}")),
        None => Told::Answered,
    }
}

/// Checks the answer of a plain service.
#[must_use]
pub fn check_confirmation(reference: &str, body: &[u8]) -> Told {
    #[derive(Deserialize)]
    struct Confirmation {
        reference: String,
        confirmation: String,
    }
    match serde_json::from_slice::<Confirmation>(body) {
        Ok(answer)
            if answer.reference == reference && answer.confirmation == confirmation(reference) =>
        {
            Told::Answered
        }
        Ok(answer) => Told::Wrong(format!("answer for {}", answer.reference)),
        Err(error) => Told::Wrong(format!("answer cannot be read: {error}")),
    }
}

fn wrong(text: &str) -> Told {
    Told::Wrong(text.to_owned())
}
