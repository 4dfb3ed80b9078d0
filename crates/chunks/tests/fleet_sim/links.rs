//! Shares the links of the hosts, the regions and the origin between streams, approximately max-min fair.

use std::collections::HashMap;

use super::{FleetSim, OriginState, STEP};

/// Number of rounds in which bandwidth that some streams cannot use is given to others.
const ROUNDS: usize = 4;

#[derive(Clone, Copy, Eq, Hash, PartialEq)]
enum Link {
    Down(usize),
    Up(usize),
    Regions(usize, usize),
    Origin,
}

impl FleetSim {
    /// Moves the bytes of one step; returns the number of bytes that the origin has sent.
    pub(super) fn share_links(&mut self, state: OriginState) -> f64 {
        let per_step = |mbit: f64| mbit * 1e6 / 8.0 * STEP.as_secs_f64();
        let options = &self.options;
        let origin_sends = !matches!(state, OriginState::Resets | OriginState::Hangs);
        let mut routes = Vec::new();
        for (id, stream) in &self.streams {
            if stream.is_hung || stream.starts > self.now || stream.from.is_none() && !origin_sends
            {
                continue;
            }
            let mut links = vec![Link::Down(stream.to)];
            match stream.from {
                None => links.push(Link::Origin),
                Some(from) => {
                    links.push(Link::Up(from));
                    let regions = (from % options.regions, stream.to % options.regions);
                    if regions.0 != regions.1 {
                        links.push(Link::Regions(regions.0, regions.1));
                    }
                }
            }
            routes.push((*id, links));
        }
        let mut free: HashMap<Link, f64> = HashMap::new();
        let mut from_origin = 0.0;
        for _ in 0..ROUNDS {
            let mut users: HashMap<Link, f64> = HashMap::new();
            for link in routes.iter().flat_map(|(_, links)| links) {
                *users.entry(*link).or_default() += 1.0;
                free.entry(*link).or_insert_with(|| match link {
                    Link::Down(_) | Link::Up(_) => per_step(options.link_mbit),
                    Link::Regions(..) => per_step(options.region_mbit),
                    Link::Origin => per_step(options.origin_mbit),
                });
            }
            let shares: HashMap<Link, f64> =
                users.iter().map(|(link, count)| (*link, free[link] / count)).collect();
            routes.retain(|(id, links)| {
                let share = links.iter().map(|link| shares[link]).fold(f64::INFINITY, f64::min);
                let stream = self.streams.get_mut(id).expect("the id is from the map");
                let moved = share.min(stream.left);
                stream.left -= moved;
                for link in links {
                    *free.get_mut(link).expect("all links are in the map") -= moved;
                }
                if stream.from.is_none() {
                    from_origin += moved;
                    *self.origin_bytes.entry(stream.weights.version).or_default() += moved;
                }
                stream.left > 0.5
            });
        }
        from_origin
    }
}
