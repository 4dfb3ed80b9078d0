//! Requests over time, from a file or drawn from a shape.

use std::{fs, io, path::Path, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// One request of a trace.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// Time of its arrival in milliseconds.
    pub at_ms: f64,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer.
    pub answer: u32,
    /// Time within which the first event is on time, in milliseconds.
    pub target_ms: f64,
    /// What a request on time is worth; a late one is worth a quarter of it.
    pub worth: f64,
}

impl TraceRequest {
    /// Time of its arrival.
    #[must_use]
    pub fn at(&self) -> Duration {
        Duration::from_secs_f64(self.at_ms.max(0.0) / 1_000.0)
    }

    /// Time within which the first event is on time.
    #[must_use]
    pub fn target(&self) -> Duration {
        Duration::from_secs_f64(self.target_ms.max(0.0) / 1_000.0)
    }
}

/// Why a trace cannot be used.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The file cannot be read.
    #[snafu(display("cannot read {path}: {source}"))]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// A line is no request.
    #[snafu(display("{path}, line {number}: {source}"))]
    BadLine {
        /// The file.
        path: String,
        /// Number of the line, from 1.
        number: usize,
        /// What the parser said.
        source: serde_json::Error,
    },
}

/// Reads a trace with one JSON object a line.
///
/// # Errors
/// Fails if the file cannot be read or a line is no request.
pub fn read_trace(path: &Path) -> Result<Vec<TraceRequest>, TraceError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).context(UnreadableSnafu { path: name.clone() })?;
    let mut requests = Vec::new();
    for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        let request = serde_json::from_str(line)
            .context(BadLineSnafu { path: name.clone(), number: index + 1 })?;
        requests.push(request);
    }
    requests.sort_by(|left: &TraceRequest, right| left.at_ms.total_cmp(&right.at_ms));
    Ok(requests)
}

/// Load of the steps of a usual day: part of the full rate from each second on. Traffic rises while engines that start
/// empty receive their weights.
const STEPS: [(f64, f64); 4] = [(0.0, 0.55), (6.0, 0.7), (7.5, 0.85), (9.0, 1.0)];
/// Three kinds of requests: share, prompt, answer, worth.
const KINDS: [(f64, f64, f64, f64); 3] =
    [(0.4, 1_290.0, 126.0, 2.4), (0.28, 787.0, 126.0, 2.1), (0.32, 607.0, 70.0, 1.4)];
/// Largest size in means.
const MAX_SIZE: f64 = 3.0;
const TARGET_MS: f64 = 400.0;

/// Draws requests with exponential sizes and pauses.
#[must_use]
pub fn draw_trace(per_second: f64, seconds: f64, seed: u64) -> Vec<TraceRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut exponential = move || -> (f64, f64) {
        let unit: f64 = random.random();
        (-(1.0 - unit).ln(), random.random())
    };
    let mut requests = Vec::new();
    let mut at = 0.0;
    while at < seconds {
        let part = STEPS.iter().rev().find(|(from, _)| *from <= at).map_or(1.0, |(_, part)| *part);
        at += exponential().0 / (per_second * part).max(0.001);
        let mut drawn = exponential().1;
        let kind = KINDS.iter().find(|(share, ..)| {
            drawn -= share;
            drawn < 0.0
        });
        let (_, prompt, answer, worth) = kind.unwrap_or(&KINDS[0]);
        let prompt = (prompt * exponential().0.min(MAX_SIZE)).max(1.0);
        let answer = (answer * exponential().0.min(MAX_SIZE)).max(1.0);
        requests.push(TraceRequest {
            at_ms: at * 1_000.0,
            prompt: prompt as u32,
            answer: answer as u32,
            target_ms: TARGET_MS,
            worth: *worth,
        });
    }
    requests
}
