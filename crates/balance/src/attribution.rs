//! Attributes crashes of upstreams to the prompt parts of the requests that were in flight.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use base::PromptPartId;

/// Crashes less than this apart count as one, because a common cause, such as a power loss, may have ended several
/// upstreams. Entries notice the same moment with different delays.
const SAME_CAUSE_WINDOW: Duration = Duration::from_millis(150);
/// Number of crashes with different causes from which a part is a culprit. Two may be a coincidence: a request that is
/// sent again after a crash may be hit by another one.
const MIN_CRASHES: usize = 3;

/// Number of crashes within [`SAME_CAUSE_WINDOW`] from which they are a loss of many upstreams, with most parts in flight.
/// It counts, but does not make one part more likely to blame than another.
const MASS_LOSS: usize = 4;

/// A crash, and the parts of each request in flight that have not been found harmless since.
#[derive(Clone, Debug)]
pub(crate) struct SuspectCrash {
    pub(crate) at: Instant,
    pub(crate) requests: Vec<BTreeSet<PromptPartId>>,
}

/// Parts to which crashes are attributed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Culprit {
    /// A request may not run if it has all of these parts. They are several if each crash happened with a request that
    /// had all of them, so that the one to blame is not known.
    pub(crate) parts: BTreeSet<PromptPartId>,
    /// Indices of the crashes.
    pub(crate) crashes: Vec<usize>,
}

/// Finds the parts that explain most crashes. A part that was in flight only at crashes which another part explains as
/// well, and at fewer of them, is not to blame.
pub(crate) fn find_culprits(crashes: &[SuspectCrash]) -> Vec<Culprit> {
    let mut crashes_of: BTreeMap<&PromptPartId, Vec<usize>> = BTreeMap::new();
    for (index, crash) in crashes.iter().enumerate() {
        for part in crash.requests.iter().flatten().collect::<BTreeSet<_>>() {
            crashes_of.entry(part).or_default().push(index);
        }
    }
    let is_mass_loss: Vec<_> =
        crashes.iter().map(|crash| count_around(crashes, crash.at) >= MASS_LOSS).collect();
    let without_losses = |indices: &[usize]| {
        let single: Vec<_> =
            indices.iter().copied().filter(|index| !is_mass_loss[*index]).collect();
        if single.is_empty() { indices.to_vec() } else { single }
    };
    let mut culprits = Vec::new();
    loop {
        crashes_of.retain(|_, indices| count_causes(crashes, indices) >= MIN_CRASHES);
        let rank = |indices: &[usize]| {
            let single = without_losses(indices);
            (count_causes(crashes, &single), single.len())
        };
        let Some(highest) = crashes_of.values().map(|indices| rank(indices)).max() else { break };
        let mut groups: BTreeMap<Vec<usize>, BTreeSet<PromptPartId>> = BTreeMap::new();
        for (part, indices) in crashes_of.iter().filter(|(_, indices)| rank(indices) == highest) {
            groups.entry(without_losses(indices)).or_default().insert((*part).clone());
        }
        let is_culprit = |part: &PromptPartId| groups.values().any(|parts| parts.contains(part));
        let explained = crashes_of.iter().filter(|(part, _)| is_culprit(part));
        let explained: BTreeSet<_> = explained.flat_map(|(_, indices)| indices.clone()).collect();
        for indices in crashes_of.values_mut() {
            indices.retain(|index| !explained.contains(index));
        }
        for (indices, parts) in groups {
            culprits.extend(split_group(crashes, indices, parts));
        }
    }
    culprits
}

/// Number of crashes within [`SAME_CAUSE_WINDOW`] before or after `at`.
fn count_around(crashes: &[SuspectCrash], at: Instant) -> usize {
    let distance = |other: Instant| {
        at.saturating_duration_since(other).max(other.saturating_duration_since(at))
    };
    crashes.iter().filter(|crash| distance(crash.at) < SAME_CAUSE_WINDOW).count()
}

/// Number of the crashes that happened at least [`SAME_CAUSE_WINDOW`] after the one counted before.
fn count_causes(crashes: &[SuspectCrash], indices: &[usize]) -> usize {
    let mut times: Vec<_> = indices.iter().map(|index| crashes[*index].at).collect();
    times.sort_unstable();
    let mut last: Option<Instant> = None;
    let mut causes = 0;
    for at in times {
        if last.is_none_or(|last| at.saturating_duration_since(last) >= SAME_CAUSE_WINDOW) {
            causes += 1;
            last = Some(at);
        }
    }
    causes
}

/// Makes one culprit of parts that explain the same crashes if one request had all of them each time; otherwise one of
/// each part.
fn split_group(
    crashes: &[SuspectCrash],
    indices: Vec<usize>,
    parts: BTreeSet<PromptPartId>,
) -> Vec<Culprit> {
    let is_shared = indices
        .iter()
        .all(|index| crashes[*index].requests.iter().any(|request| request.is_superset(&parts)));
    if is_shared {
        return vec![Culprit { parts, crashes: indices }];
    }
    let single = |part| Culprit { parts: BTreeSet::from([part]), crashes: indices.clone() };
    parts.into_iter().map(single).collect()
}
