//! Guards against transfers that stall with a dead agent, draw many copies from the origin or stage wrong bytes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use pieces::{
    PieceList, PieceSet, PieceSource, PieceSwarm, SwarmOptions, SwarmPeer, SwitchPlan, SwitchView,
    TransferSet, TransferSlot, WeightsName,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const PIECES: u32 = 24;
const STEP: Duration = Duration::from_millis(10);

fn list(version: u64) -> Arc<PieceList> {
    let name = WeightsName { model: "m".into(), version };
    Arc::new(PieceList { name, digests: vec![[0; 32]; PIECES as usize] })
}

fn peer(index: u8) -> SwarmPeer {
    let region = ["east", "west"][usize::from(index % 2)];
    SwarmPeer {
        address: SocketAddr::from(([10, 0, 0, index], 7_700)),
        data_centre: region.into(),
        region: region.into(),
    }
}

/// A fleet whose fetches take one step from a peer; the origin delivers one piece a step. Dead agents answer nothing.
struct FleetSim {
    swarms: HashMap<SocketAddr, PieceSwarm>,
    dead: Vec<SocketAddr>,
    from_origin: u32,
    now: Instant,
    rng: ChaCha8Rng,
}

impl FleetSim {
    fn new(agents: u8, dead: &[u8]) -> Self {
        let now = Instant::now();
        let peers: Vec<SwarmPeer> = (1..=agents).map(peer).collect();
        let dead: Vec<SocketAddr> = dead.iter().map(|index| peer(*index).address).collect();
        let swarms = peers
            .iter()
            .filter(|own| !dead.contains(&own.address))
            .map(|own| {
                let others: Vec<SwarmPeer> =
                    peers.iter().filter(|other| *other != own).cloned().collect();
                let mut swarm = PieceSwarm::new(
                    list(1),
                    own.clone(),
                    PieceSet::new(),
                    SwarmOptions::default(),
                    now,
                );
                swarm.update_peers(&others, Some("east".into()));
                (own.address, swarm)
            })
            .collect();
        Self { swarms, dead, from_origin: 0, now, rng: ChaCha8Rng::seed_from_u64(3) }
    }

    /// Runs until every agent holds everything; returns the time that it took.
    fn run(&mut self, limit: Duration) -> Duration {
        let start = self.now;
        while self.swarms.values().any(|swarm| !swarm.is_complete()) {
            assert!(self.now.duration_since(start) < limit, "the transfer stalls");
            self.step();
        }
        self.now.duration_since(start)
    }

    fn step(&mut self) {
        self.now += STEP;
        let mut addresses: Vec<SocketAddr> = self.swarms.keys().copied().collect();
        addresses.sort_unstable();
        let mut origin_free = true;
        for address in &addresses {
            let held: HashMap<SocketAddr, PieceSet> =
                self.swarms.iter().map(|(peer, swarm)| (*peer, swarm.held().clone())).collect();
            let swarm = self.swarms.get_mut(address).expect("the address is from the map");
            for fetch in swarm.next_fetches(true, self.now, &mut self.rng) {
                let arrives = match fetch.source {
                    PieceSource::Origin if origin_free => {
                        origin_free = false;
                        self.from_origin += 1;
                        true
                    }
                    PieceSource::Origin => false,
                    PieceSource::Peer(source) => {
                        assert!(!self.dead.contains(&source));
                        held[&source].contains(fetch.index)
                    }
                };
                if arrives {
                    swarm.record_fetched(fetch.ticket);
                } else {
                    swarm.record_failed(fetch.ticket, true, self.now);
                }
            }
        }
        for from in &addresses {
            let held = self.swarms[from].held().clone();
            for to in addresses.iter().filter(|to| *to != from) {
                let swarm = self.swarms.get_mut(to).expect("the address is from the map");
                swarm.record_holding(*from, held.clone(), self.now);
            }
        }
    }
}

#[test]
fn one_copy_leaves_the_origin() {
    let mut sim = FleetSim::new(12, &[]);
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.from_origin, PIECES);
}

#[test]
fn dead_fetchers_are_replaced() {
    for dead in 1..=12 {
        let mut sim = FleetSim::new(12, &[dead]);
        sim.run(Duration::from_secs(6));
        assert!(sim.from_origin <= 2 * PIECES, "{} pieces from the origin", sim.from_origin);
    }
}

#[test]
fn transfer_ends_with_a_single_agent_alive() {
    let dead: Vec<u8> = (2..=12).collect();
    let mut sim = FleetSim::new(12, &dead);
    sim.run(Duration::from_secs(20));
    assert_eq!(sim.from_origin, PIECES);
}

#[test]
fn wrong_bytes_are_not_a_piece() {
    // SHA-256 of "abc" as FIPS 180 gives it.
    let digest = [
        0xba, 0x78, 0x16, 0xbf, 0x8f, 0x01, 0xcf, 0xea, 0x41, 0x41, 0x40, 0xde, 0x5d, 0xae, 0x22,
        0x23, 0xb0, 0x03, 0x61, 0xa3, 0x96, 0x17, 0x7a, 0x9c, 0xb4, 0x10, 0xff, 0x61, 0xf2, 0x00,
        0x15, 0xad,
    ];
    let name = WeightsName { model: "m".into(), version: 1 };
    let list = PieceList { name, digests: vec![digest] };
    assert!(list.verify(0, &Bytes::from_static(b"abc")));
    assert!(!list.verify(0, &Bytes::from_static(b"abd")));
    assert!(!list.verify(1, &Bytes::from_static(b"abc")), "there is no such piece");
}

fn slot(version: u64, held: u32, now: Instant) -> TransferSlot {
    let mut set = PieceSet::new();
    (0..held).for_each(|index| {
        set.insert(index);
    });
    let options = SwarmOptions::default();
    let swarm = PieceSwarm::new(list(version), peer(1), set.clone(), options, now);
    TransferSlot::new(swarm, set, Some(now), now)
}

/// The origin dies right after a third version was named: the second one, half there, must still be brought in.
#[test]
fn older_version_goes_on_beside_a_newer_one() {
    let now = Instant::now();
    let mut set = TransferSet::new();
    set.begin(slot(2, PIECES / 2, now), 1);
    set.begin(slot(3, 0, now), 1);
    assert_eq!(set.staging().map(|slot| slot.version()), Some(2));
    let due = now + Duration::from_secs(6);
    assert!(!set.skip_oldest(due, Duration::from_millis(42), now), "the newer is not in the fleet");
    set.settle(2);
    assert_eq!(set.staging().map(|slot| slot.version()), Some(3));
}

#[test]
fn older_version_that_has_hardly_begun_is_dropped() {
    let now = Instant::now();
    let mut set = TransferSet::new();
    set.begin(slot(2, 1, now), 1);
    set.begin(slot(3, 0, now), 1);
    assert_eq!(set.staging().map(|slot| slot.version()), Some(3));
}

#[test]
fn spoilt_piece_is_fetched_again() {
    let now = Instant::now();
    let mut slot = slot(2, PIECES, now);
    assert!(slot.is_staged());
    slot.record_spoilt(5);
    assert!(!slot.is_staged());
    assert!(!slot.swarm.is_complete());
}

#[test]
fn turns_are_spread_over_the_time_that_is_allowed() {
    let declared = Instant::now();
    let bound = Duration::from_secs(8);
    let plan = SwitchPlan::new(bound, Duration::from_secs(3));
    let start = |place, loaded| {
        let view = SwitchView { loaded, declared: 2, place, agents: 10 };
        plan.start(&view, Some(declared), declared)
    };
    assert!(start(0, 1) < start(5, 1) && start(5, 1) < start(9, 1));
    assert!(start(9, 1) < plan.last_start(declared));
    assert!(plan.last_start(declared) < declared + bound);
    assert_eq!(start(9, 0), declared, "an engine that serves nothing loads at once");
}
