//! Notices between the agents of a simulated fleet.

use std::time::Instant;

use chunks::{ChunkSet, WeightsId};

use super::{Event, FleetSim, LOCAL_DELAY, NOTICE_INTERVAL, QUERY_INTERVAL, REMOTE_DELAY};

impl FleetSim {
    pub(super) fn notify(
        &mut self,
        from: usize,
        to: usize,
        weights: &WeightsId,
        held: ChunkSet,
        wanted: bool,
    ) {
        let is_local = self.agents[from].peer.region == self.agents[to].peer.region;
        let delay = if is_local { LOCAL_DELAY } else { REMOTE_DELAY };
        let event = Event::Notice { to, from, weights: weights.clone(), held, wanted };
        if !self.agents[to].is_dead {
            self.events.push((self.now + delay, event));
        }
    }

    pub(super) fn send_notices(&mut self, index: usize) {
        let now = self.now;
        let agent = &mut self.agents[index];
        let has_passed = |at: Option<Instant>, span| at.is_none_or(|at| now - at >= span);
        let may_query = has_passed(agent.last_query, QUERY_INTERVAL);
        let may_announce = has_passed(agent.last_notice, NOTICE_INTERVAL);
        let mut notices = Vec::new();
        for transfer in agent.transfers.iter_mut() {
            let swarm = &mut transfer.swarm;
            let is_query = may_query && !swarm.is_complete();
            if is_query || agent.unannounced && (may_announce || swarm.is_complete()) {
                let targets = swarm.notice_targets(is_query, &mut self.rng);
                notices.push((swarm.name().clone(), swarm.held().clone(), is_query, targets));
            }
        }
        if !notices.is_empty() {
            agent.unannounced = false;
            agent.last_notice = Some(now);
        } else if agent.unannounced {
            agent.next_step =
                agent.next_step.min(agent.last_notice.map_or(now, |at| at + NOTICE_INTERVAL));
        }
        if may_query {
            agent.last_query = Some(now);
        }
        for (weights, held, wanted, targets) in notices {
            for target in targets {
                let to = self.indices[&target];
                self.notify(index, to, &weights, held.clone(), wanted);
            }
        }
    }
}
