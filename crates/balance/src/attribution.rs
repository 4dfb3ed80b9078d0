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

/// Maximum number of sets of parts that are compared for the same crashes; if there are more, each part is blamed on its
/// own. It bounds the time that many different parts can take.
const MAX_SETS: usize = 128;

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
    /// Indices of the crashes that tell the parts from others.
    pub(crate) crashes: Vec<usize>,
    /// Indices of all crashes with a request that had all of the parts, and that no other parts explain better.
    pub(crate) evidence: Vec<usize>,
    /// Number of these crashes, where those of a mass loss count only if they have different causes.
    pub(crate) weight: usize,
    /// True if other parts explain as many crashes, so that these may be harmless.
    pub(crate) is_ambiguous: bool,
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
    let last_loss = last_mass_loss(crashes, &is_mass_loss);
    let without_last_loss = |indices: &[usize]| -> Vec<usize> {
        indices.iter().copied().filter(|index| !last_loss.contains(index)).collect()
    };
    let mut culprits = Vec::new();
    let mut explained_before = BTreeSet::new();
    loop {
        crashes_of
            .retain(|_, indices| count_causes(crashes, &without_last_loss(indices)) >= MIN_CRASHES);
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
        let sets: Vec<_> = groups
            .into_iter()
            .flat_map(|(indices, parts)| {
                let sets = largest_sets(crashes, &indices, parts);
                sets.into_iter().map(move |parts| (indices.clone(), parts))
            })
            .collect();
        let is_ambiguous = sets.len() > 1;
        for (indices, parts) in sets {
            let has_parts = |index: &usize| {
                !explained_before.contains(index)
                    && crashes[*index].requests.iter().any(|request| request.is_superset(&parts))
            };
            let evidence: Vec<_> = (0..crashes.len()).filter(has_parts).collect();
            let single = evidence.iter().filter(|index| !is_mass_loss[**index]).count();
            let weight = count_causes(crashes, &without_last_loss(&evidence)).max(single);
            culprits.push(Culprit { parts, crashes: indices, evidence, weight, is_ambiguous });
        }
        explained_before.extend(explained);
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

/// Crashes of the mass loss that ended the last upstreams, if no crash followed it. No request was left running that
/// could clear its parts, so the loss counts only once another crash has happened after upstreams came back.
fn last_mass_loss(crashes: &[SuspectCrash], is_mass_loss: &[bool]) -> BTreeSet<usize> {
    let mut latest_first: Vec<usize> = (0..crashes.len()).collect();
    latest_first.sort_by_key(|index| std::cmp::Reverse(crashes[*index].at));
    let mut last_loss = BTreeSet::new();
    let mut begin: Option<Instant> = None;
    for index in latest_first {
        let at = crashes[index].at;
        let is_same_loss =
            begin.is_none_or(|begin| begin.saturating_duration_since(at) < SAME_CAUSE_WINDOW);
        if !is_mass_loss[index] || !is_same_loss {
            break;
        }
        last_loss.insert(index);
        begin = Some(at);
    }
    last_loss
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

/// Finds the largest sets of parts that one request had at each crash. Each may be to blame as a whole. Refusing its parts
/// on their own would refuse more requests than the crashes give reason for, such as all that share the start of the
/// prompt.
fn largest_sets(
    crashes: &[SuspectCrash],
    indices: &[usize],
    parts: BTreeSet<PromptPartId>,
) -> BTreeSet<BTreeSet<PromptPartId>> {
    let mut sets = BTreeSet::from([parts.clone()]);
    for index in indices {
        let requests = &crashes[*index].requests;
        let common = |set: &BTreeSet<PromptPartId>, request: &BTreeSet<PromptPartId>| {
            set.intersection(request).cloned().collect::<BTreeSet<_>>()
        };
        let remaining: BTreeSet<_> = sets
            .iter()
            .flat_map(|set| requests.iter().map(move |request| common(set, request)))
            .filter(|set| !set.is_empty())
            .collect();
        if remaining.len() > MAX_SETS {
            return parts.into_iter().map(|part| BTreeSet::from([part])).collect();
        }
        let is_largest = |set: &&BTreeSet<PromptPartId>| {
            !remaining.iter().any(|other| other.len() > set.len() && other.is_superset(set))
        };
        sets = remaining.iter().filter(is_largest).cloned().collect();
    }
    sets
}
