//! Deterministic choice of the agents that an entry probes: a bounded subset, such that all agents are probed by about
//! the same number of entries.

use std::collections::BTreeSet;

use base::{UpstreamId, rendezvous_weight};

use crate::groups::AgentGroup;

/// Minimum number of agents per group in a subset, so that a retry has another upstream to go to.
const MIN_PER_GROUP: usize = 4;

/// Chooses which of `agents` the entry `own` probes. `agents` are the upstreams whose agent is in the host list.
///
/// Entries and the agents of each group are ordered by hash. Each entry takes a contiguous arc of the agents, and the
/// arcs of all entries cover every agent equally often, to within one. Adding or removing one host shifts each arc by
/// only a few positions. The result has at most `2 * subset` agents, regardless of the size of the fleet.
#[must_use]
pub fn choose_subset(
    own: &str,
    entries: &[&str],
    agents: &BTreeSet<UpstreamId>,
    groups: &[AgentGroup],
    subset: usize,
) -> BTreeSet<UpstreamId> {
    if agents.len() <= subset {
        return agents.clone();
    }
    let available: Vec<Vec<&UpstreamId>> = groups
        .iter()
        .map(|group| group.upstreams.iter().filter(|id| agents.contains(*id)).collect())
        .collect();
    let total: usize = available.iter().map(Vec::len).sum();
    let min_quota = MIN_PER_GROUP.min((subset / groups.len().max(1)).max(1));
    let (position, count) = entry_position(own, entries);
    let mut chosen = BTreeSet::new();
    for (group, mut members) in groups.iter().zip(available) {
        let share = subset * members.len() / total.max(1);
        let quota = share.max(min_quota).min(members.len());
        members.sort_by_cached_key(|id| (rendezvous_weight(group.name.as_bytes(), id), *id));
        // Multiplying before dividing keeps fractions of a step, so that the arcs of all entries join without gaps.
        let start = position * members.len() / count;
        for step in 0..quota {
            chosen.insert(members[(start + step) % members.len()].clone());
        }
        if chosen.len() >= 2 * subset {
            break;
        }
    }
    chosen
}

/// Returns the position of `own` among the entries in hash order, and the number of entries. An entry that is not
/// listed yet counts itself.
fn entry_position(own: &str, entries: &[&str]) -> (usize, usize) {
    let sort_key = |id: &str| (rendezvous_weight(b"entries", id), id.to_owned());
    let own_key = sort_key(own);
    let position = entries.iter().filter(|id| sort_key(id) < own_key).count();
    let is_listed = entries.contains(&own);
    (position, entries.len() + usize::from(!is_listed))
}
