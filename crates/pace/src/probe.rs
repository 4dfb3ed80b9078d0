//! Requests to upstreams that have not been used for long, so that they can show that they are fast again.

use std::time::Duration;

use base::UpstreamId;
use rand::{Rng, RngExt};

/// Time without a response of an upstream to any entry after which it gets a request although others look faster. No
/// upstream may be unused for more than 10 s; the remaining 4 s are spread over the entries.
pub const PROBE_AFTER: Duration = Duration::from_secs(6);
/// Number of probes a second that all entries together send to an upstream that is due. Entries learn of a probe about a
/// second later, so that two or three of them probe together, and the probability that none has probed after 4 s is e^-8.
const PROBES_PER_SECOND: f64 = 2.0;
/// Longest time since the previous choice that a choice accounts for.
const MAX_CHOICE_INTERVAL: Duration = Duration::from_secs(1);

/// Upstream that may be probed.
#[derive(Clone, Debug)]
pub struct ProbeCandidate {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Time since the last known request or response; `None` if there never was one.
    pub idle: Option<Duration>,
}

/// Chooses the upstream that gets the next request although it would not be chosen by its speed; `None` for most
/// requests. Each of `entries` entries decides on its own, with a probability in proportion to the time `since` its
/// previous choice, so that the number of probes does not depend on the number of requests.
pub fn choose_probe<'a>(
    candidates: impl IntoIterator<Item = &'a ProbeCandidate>,
    since: Duration,
    entries: f64,
    rng: &mut impl Rng,
) -> Option<&'a UpstreamId> {
    let due: Vec<&ProbeCandidate> = candidates
        .into_iter()
        .filter(|candidate| candidate.idle.is_none_or(|idle| idle >= PROBE_AFTER))
        .collect();
    let rate = PROBES_PER_SECOND * due.len() as f64 / entries.max(1.0);
    let chance = (rate * since.min(MAX_CHOICE_INTERVAL).as_secs_f64()).min(1.0);
    if due.is_empty() || !rng.random_bool(chance) {
        return None;
    }
    let longest = due.into_iter().max_by_key(|due| due.idle.unwrap_or(Duration::MAX));
    longest.map(|due| &due.upstream)
}
