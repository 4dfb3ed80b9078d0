//! Guards against transfers that stall because of a failed agent, fetch many copies from the origin or stage corrupt
//! bytes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use chunks::{
    ChunkManifest, ChunkSet, ChunkSource, ChunkSwarm, FetchFailure, LoadPosition, LoadSchedule,
    OriginGate, OriginRole, SwarmOptions, SwarmPeer, TransferSet, WeightsId, WeightsTransfer,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const CHUNKS: u32 = 24;
const STEP: Duration = Duration::from_millis(10);

fn manifest(version: u64) -> Arc<ChunkManifest> {
    let name = WeightsId { model: "m".into(), version };
    Arc::new(ChunkManifest { name, digests: vec![[0; 32]; CHUNKS as usize] })
}

fn agent(index: u8) -> SwarmPeer {
    let region = ["east", "west"][usize::from(index % 2)];
    SwarmPeer {
        address: SocketAddr::from(([10, 0, 0, index], 7_700)),
        data_centre: region.into(),
        region: region.into(),
    }
}

/// Simulates a fleet in steps. A fetch from another agent takes one step, and the origin sends one chunk per step. Dead
/// agents do not respond.
struct FleetSim {
    swarms: HashMap<SocketAddr, ChunkSwarm>,
    dead: Vec<SocketAddr>,
    origin_fetches: u32,
    now: Instant,
    rng: ChaCha8Rng,
}

impl FleetSim {
    fn new(agents: u8, dead: &[u8]) -> Self {
        let now = Instant::now();
        let peers: Vec<SwarmPeer> = (1..=agents).map(agent).collect();
        let dead: Vec<SocketAddr> = dead.iter().map(|index| agent(*index).address).collect();
        let swarms = peers
            .iter()
            .filter(|own| !dead.contains(&own.address))
            .map(|own| {
                let others: Vec<SwarmPeer> =
                    peers.iter().filter(|other| *other != own).cloned().collect();
                let mut swarm = ChunkSwarm::new(
                    manifest(1),
                    own.clone(),
                    ChunkSet::new(),
                    SwarmOptions::default(),
                    now,
                );
                swarm.update_peers(&others, Some("east".into()), now);
                (own.address, swarm)
            })
            .collect();
        Self { swarms, dead, origin_fetches: 0, now, rng: ChaCha8Rng::seed_from_u64(3) }
    }

    /// Runs until every live agent holds all chunks; returns the simulated time that this took.
    fn run(&mut self, limit: Duration) -> Duration {
        let start = self.now;
        while self.swarms.values().any(|swarm| !swarm.is_complete()) {
            assert!(self.now.duration_since(start) < limit, "the transfer stalled");
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
            let held: HashMap<SocketAddr, ChunkSet> =
                self.swarms.iter().map(|(agent, swarm)| (*agent, swarm.held().clone())).collect();
            let swarm = self.swarms.get_mut(address).expect("the address is from the map");
            for fetch in swarm.next_fetches(true, self.now, &mut self.rng) {
                let arrives = match fetch.source {
                    ChunkSource::Origin if origin_free => {
                        origin_free = false;
                        self.origin_fetches += 1;
                        true
                    }
                    ChunkSource::Origin => false,
                    ChunkSource::Peer(source) => {
                        assert!(!self.dead.contains(&source));
                        held[&source].contains(fetch.index)
                    }
                };
                if arrives {
                    swarm.record_fetched(fetch.id, self.now);
                } else {
                    swarm.record_failed(fetch.id, FetchFailure::Busy, self.now, &mut self.rng);
                }
            }
        }
        for from in &addresses {
            let held = self.swarms[from].held().clone();
            for to in addresses.iter().filter(|to| *to != from) {
                let swarm = self.swarms.get_mut(to).expect("the address is from the map");
                swarm.record_peer_chunks(*from, held.clone(), self.now);
            }
        }
    }
}

#[test]
fn origin_sends_each_chunk_once() {
    let mut sim = FleetSim::new(12, &[]);
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.origin_fetches, CHUNKS);
}

#[test]
fn agents_that_do_not_respond_are_replaced() {
    for dead in 1..=12 {
        let mut sim = FleetSim::new(12, &[dead]);
        sim.run(Duration::from_secs(6));
        assert!(
            sim.origin_fetches <= 2 * CHUNKS,
            "{} chunks fetched from the origin",
            sim.origin_fetches
        );
    }
}

#[test]
fn transfer_completes_with_a_single_live_agent() {
    let dead: Vec<u8> = (2..=12).collect();
    let mut sim = FleetSim::new(12, &dead);
    sim.run(Duration::from_secs(20));
    assert_eq!(sim.origin_fetches, CHUNKS);
}

#[test]
fn verification_rejects_wrong_bytes() {
    // SHA-256 of "abc", from FIPS 180.
    let digest = [
        0xba, 0x78, 0x16, 0xbf, 0x8f, 0x01, 0xcf, 0xea, 0x41, 0x41, 0x40, 0xde, 0x5d, 0xae, 0x22,
        0x23, 0xb0, 0x03, 0x61, 0xa3, 0x96, 0x17, 0x7a, 0x9c, 0xb4, 0x10, 0xff, 0x61, 0xf2, 0x00,
        0x15, 0xad,
    ];
    let name = WeightsId { model: "m".into(), version: 1 };
    let manifest = ChunkManifest { name, digests: vec![digest] };
    assert!(manifest.verify(0, &Bytes::from_static(b"abc")));
    assert!(!manifest.verify(0, &Bytes::from_static(b"abd")));
    assert!(!manifest.verify(1, &Bytes::from_static(b"abc")), "there is no such chunk");
}

fn transfer(version: u64, held: u32, now: Instant) -> WeightsTransfer {
    let mut set = ChunkSet::new();
    (0..held).for_each(|index| {
        set.insert(index);
    });
    let options = SwarmOptions::default();
    let swarm = ChunkSwarm::new(manifest(version), agent(1), set.clone(), options, now);
    WeightsTransfer::new(swarm, set, Some(now), now)
}

/// The origin fails right after version 3 is declared. The transfer of version 2, of which half has arrived, must
/// continue.
#[test]
fn older_version_continues_while_a_newer_one_has_not_arrived() {
    let now = Instant::now();
    let mut set = TransferSet::new();
    set.begin(transfer(2, CHUNKS / 2, now), 1);
    set.begin(transfer(3, 0, now), 1);
    assert_eq!(set.staging().map(|transfer| transfer.version()), Some(2));
    let deadline = now + Duration::from_secs(6);
    assert!(
        !set.skip_oldest(true, deadline, Duration::from_millis(42), now),
        "the fleet does not hold the newer version yet"
    );
    set.prune(2);
    assert_eq!(set.staging().map(|transfer| transfer.version()), Some(3));
}

#[test]
fn older_version_that_has_barely_started_is_dropped() {
    let now = Instant::now();
    let mut set = TransferSet::new();
    set.begin(transfer(2, 1, now), 1);
    set.begin(transfer(3, 0, now), 1);
    assert_eq!(set.staging().map(|transfer| transfer.version()), Some(3));
}

#[test]
fn corrupt_chunk_is_fetched_again() {
    let now = Instant::now();
    let mut transfer = transfer(2, CHUNKS, now);
    assert!(transfer.is_staged());
    transfer.record_corrupt(5, now);
    assert!(!transfer.is_staged());
    assert!(!transfer.swarm.is_complete());
}

#[test]
fn loads_are_spread_over_the_allowed_time() {
    let declared = Instant::now();
    let bound = Duration::from_secs(8);
    let schedule = LoadSchedule::new(bound, Duration::from_secs(3));
    let start = |position, loaded| {
        let load_position = LoadPosition { loaded, declared: 2, position, agents: 10 };
        schedule.start(&load_position, Some(declared), declared)
    };
    assert!(start(0, 1) < start(5, 1) && start(5, 1) < start(9, 1));
    assert!(start(9, 1) < schedule.latest_start(declared));
    assert!(schedule.latest_start(declared) < declared + bound);
    assert_eq!(start(9, 0), declared, "an engine that serves no version loads at once");
}

/// An engine loaded superseded weights one second before the newer ones were staged, and loaded again.
#[test]
fn superseded_weights_are_not_loaded_right_before_the_newer_ones() {
    let now = Instant::now();
    let chunk_time = Duration::from_millis(42);
    let passed = now - Duration::from_secs(1);
    let set = |held| {
        let mut set = TransferSet::new();
        set.begin(transfer(2, CHUNKS, now), 1);
        let mut newer = transfer(3, held, now);
        newer.swarm.update_peers(&[agent(2)], None, now);
        let mut all = ChunkSet::new();
        (0..CHUNKS).for_each(|index| {
            all.insert(index);
        });
        newer.swarm.record_peer_chunks(agent(2).address, all, now);
        set.begin(newer, 1);
        set
    };
    assert!(set(CHUNKS - 4).skip_oldest(true, passed, chunk_time, now));
    let slow = chunk_time * 10;
    assert!(!set(0).skip_oldest(true, passed, slow, now), "the newer version takes 15 s");
    assert!(!set(0).skip_oldest(false, passed, chunk_time, now), "1.5 s of service are gained");
}

/// The manifest of the newer version takes a tenth of a second, and a load of the older one 1.2 s.
#[test]
fn staged_weights_wait_for_the_manifest_of_newer_ones() {
    let now = Instant::now();
    let chunk_time = Duration::from_millis(42);
    let mut set = TransferSet::new();
    set.begin(transfer(2, CHUNKS, now), 1);
    let wanted = WeightsId { model: "m".into(), version: 3 };
    let deadline = now + Duration::from_secs(6);
    assert!(set.awaits_newer(&wanted, CHUNKS, deadline, chunk_time, now));
    assert!(!set.awaits_newer(&wanted, CHUNKS, now, chunk_time, now), "it would be too late");
    let own = set.newest().expect("there is one").swarm.name().clone();
    assert!(!set.awaits_newer(&own, CHUNKS, deadline, chunk_time, now));
}

/// Staged chunks were given up although the engine could still accept the order to load them.
#[test]
fn weights_with_an_unsettled_order_are_given_up() {
    let now = Instant::now();
    let chunk_time = Duration::from_millis(42);
    let mut set = TransferSet::new();
    set.begin(transfer(2, CHUNKS, now), 1);
    let ordered = set.newest().expect("there is one").swarm.name().clone();
    set.hold_staging(&ordered);
    set.begin(transfer(3, CHUNKS / 2, now), 1);
    set.begin(transfer(4, CHUNKS, now), 1);
    set.prune(1);
    assert!(!set.skip_oldest(true, now, chunk_time, now));
    assert_eq!(set.drop_superseded(chunk_time, now), None);
    assert_eq!(set.staging().map(|transfer| transfer.version()), Some(2));
    set.release_staging(&ordered);
    assert_eq!(set.staging().map(|transfer| transfer.version()), Some(4));
}

/// A set with half of version 2, of which agent 3 holds the rest, and none of version 3, which agent 2 has announced
/// completely. The origin does not respond.
fn overlapping_transfers(now: Instant) -> TransferSet {
    let mut gate = OriginGate::new();
    gate.record_failed(&OriginRole::default(), now, &mut ChaCha8Rng::seed_from_u64(1));
    let mut set = TransferSet::new();
    for (version, held, holder) in [(2, CHUNKS / 2, 3), (3, 0, 2)] {
        let mut transfer = transfer(version, held, now);
        transfer.swarm.set_gate(gate);
        transfer.swarm.update_peers(&[agent(2), agent(3)], None, now);
        let mut all = ChunkSet::new();
        (0..CHUNKS).for_each(|index| {
            all.insert(index);
        });
        transfer.swarm.record_peer_chunks(agent(holder).address, all, now);
        set.begin(transfer, 1);
    }
    set
}

/// Chunks counted as held by the fleet after their holders had left, so that the older version was given up although the
/// newer one could not be had.
#[test]
fn older_version_is_given_up_for_chunks_of_agents_that_have_left() {
    let now = Instant::now();
    let (chunk_time, passed) = (Duration::from_millis(42), now - Duration::from_secs(1));
    let mut set = overlapping_transfers(now);
    assert!(set.skip_oldest(true, passed, chunk_time, now), "the fleet holds the newer version");

    let mut set = overlapping_transfers(now);
    for transfer in set.iter_mut() {
        transfer.swarm.update_peers(&[agent(3)], None, now);
    }
    assert!(!set.skip_oldest(true, passed, chunk_time, now));
    assert_eq!(set.newest_remaining(chunk_time, now), None);
    assert_eq!(set.drop_superseded(chunk_time, now), None);
}

/// The same for agents that have restarted and lost their buffered chunks.
#[test]
fn older_version_is_given_up_for_chunks_that_their_holder_has_lost() {
    let now = Instant::now();
    let (chunk_time, passed) = (Duration::from_millis(42), now - Duration::from_secs(1));
    let mut set = overlapping_transfers(now);
    let newer = set.iter_mut().last().expect("there are two");
    newer.swarm.record_peer_chunks(agent(2).address, ChunkSet::new(), now);
    assert!(!set.skip_oldest(true, passed, chunk_time, now));
    assert_eq!(set.drop_superseded(chunk_time, now), None);
}

/// The same for agents that do not respond but are still known: the last fetch of a chunk has failed.
#[test]
fn older_version_is_given_up_for_chunks_that_could_not_be_fetched() {
    let now = Instant::now();
    let (chunk_time, passed) = (Duration::from_millis(42), now - Duration::from_secs(1));
    let mut set = overlapping_transfers(now);
    let newer = set.iter_mut().last().expect("there are two");
    let later = now + Duration::from_secs(2);
    let rng = &mut ChaCha8Rng::seed_from_u64(1);
    let fetch = newer.swarm.next_fetches(true, later, rng).pop().expect("there is a holder");
    assert_eq!(fetch.source, ChunkSource::Peer(agent(2).address));
    newer.swarm.record_failed(fetch.id, FetchFailure::Failed, later, rng);
    assert!(!set.skip_oldest(true, passed, chunk_time, later));
}
