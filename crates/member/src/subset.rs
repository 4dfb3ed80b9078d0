//! Which agents an entry probes: few, the same on every computation, and spread evenly over the entries.

use std::collections::BTreeSet;

use base::{UpstreamId, rendezvous_weight};

use crate::groups::AgentGroup;

/// Agents of each group that an entry should know at least, so that retries have somewhere to go.
const MIN_OF_GROUP: usize = 4;

/// Chooses the agents that the entry `own` probes among `agents`, the upstreams that have a live agent.
///
/// Entries and agents are each put in the order of a hash. Each entry takes an arc of the agents, and the arcs of all
/// entries together cover every agent equally often, give or take one. One host that comes or goes shifts each arc by
/// a few places only. The result has at most `2 * subset` agents, whatever the size of the fleet.
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
    let members: Vec<Vec<&UpstreamId>> = groups
        .iter()
        .map(|group| group.upstreams.iter().filter(|id| agents.contains(*id)).collect())
        .collect();
    let total: usize = members.iter().map(Vec::len).sum();
    let floor = MIN_OF_GROUP.min((subset / groups.len().max(1)).max(1));
    let (position, count) = place_of(own, entries);
    let mut chosen = BTreeSet::new();
    for (group, mut members) in groups.iter().zip(members) {
        let share = subset * members.len() / total.max(1);
        let quota = share.max(floor).min(members.len());
        members.sort_by_cached_key(|id| (rendezvous_weight(group.name.as_bytes(), id), *id));
        // Fractions of an arc are kept, so that the arcs of all entries join without gaps.
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

/// Position of `own` among the entries in hash order, and their number. An entry that is not listed yet counts itself.
fn place_of(own: &str, entries: &[&str]) -> (usize, usize) {
    let place = |id: &str| (rendezvous_weight(b"entries", id), id.to_owned());
    let own_place = place(own);
    let before = entries.iter().filter(|id| place(id) < own_place).count();
    let listed = entries.contains(&own);
    (before, entries.len() + usize::from(!listed))
}
