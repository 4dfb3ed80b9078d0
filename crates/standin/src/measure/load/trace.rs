//! Request traces, read from a file or generated from a load profile.

use std::{fs, io, path::Path, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// One request of a trace.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// Arrival time in milliseconds from the start of the trace.
    pub at_ms: f64,
    /// Number of tokens of the prompt.
    pub prompt: u32,
    /// Number of tokens of the response.
    pub answer: u32,
    /// Target for the time to the first event, in milliseconds.
    pub target_ms: f64,
    /// Value of the request if its first event is on time. A late request has a quarter of this value.
    pub worth: f64,
}

impl TraceRequest {
    /// Arrival time from the start of the trace.
    #[must_use]
    pub fn at(&self) -> Duration {
        Duration::from_secs_f64(self.at_ms.max(0.0) / 1_000.0)
    }

    /// Target for the time to the first event.
    #[must_use]
    pub fn target(&self) -> Duration {
        Duration::from_secs_f64(self.target_ms.max(0.0) / 1_000.0)
    }
}

/// Error of [`read_trace`].
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The file cannot be read.
    #[snafu(display("cannot read {path}: {source}"))]
    Unreadable {
        /// Path of the trace file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A line is not a valid request.
    #[snafu(display("{path}, line {number}: {source}"))]
    BadLine {
        /// Path of the trace file.
        path: String,
        /// Line number, starting at 1.
        number: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// Reads a trace with one JSON object per line. Empty lines are skipped, and the requests are sorted by arrival time.
///
/// # Errors
/// Fails if the file cannot be read or a line is not a valid request.
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

/// Load profile of a usual day: start of each step in seconds, and the fraction of the full rate from then on. Traffic
/// rises while engines that start empty receive their weights.
const RATE_STEPS: [(f64, f64); 4] = [(0.0, 0.55), (6.0, 0.7), (7.5, 0.85), (9.0, 1.0)];
/// Kinds of requests: share, mean prompt tokens, mean response tokens, value.
const REQUEST_KINDS: [(f64, f64, f64, f64); 3] =
    [(0.4, 1_290.0, 126.0, 2.4), (0.28, 787.0, 126.0, 2.1), (0.32, 607.0, 70.0, 1.4)];
/// Maximum size of a prompt or response, as a multiple of the mean.
const MAX_SIZE_FACTOR: f64 = 3.0;
const TARGET_MS: f64 = 400.0;

/// Generates a trace with exponentially distributed sizes and inter-arrival times.
#[must_use]
pub fn generate_trace(per_second: f64, seconds: f64, seed: u64) -> Vec<TraceRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut exponential = move || -> (f64, f64) {
        let unit: f64 = random.random();
        (-(1.0 - unit).ln(), random.random())
    };
    let mut requests = Vec::new();
    let mut at = 0.0;
    while at < seconds {
        let fraction = RATE_STEPS
            .iter()
            .rev()
            .find(|(from, _)| *from <= at)
            .map_or(1.0, |(_, fraction)| *fraction);
        at += exponential().0 / (per_second * fraction).max(0.001);
        let mut remaining = exponential().1;
        let kind = REQUEST_KINDS.iter().find(|(share, ..)| {
            remaining -= share;
            remaining < 0.0
        });
        let (_, prompt, answer, worth) = kind.unwrap_or(&REQUEST_KINDS[0]);
        let prompt = (prompt * exponential().0.min(MAX_SIZE_FACTOR)).max(1.0);
        let answer = (answer * exponential().0.min(MAX_SIZE_FACTOR)).max(1.0);
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
