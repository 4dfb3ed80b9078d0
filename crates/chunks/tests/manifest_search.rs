//! Guards against agents that request the manifest from an origin that is down many times a second: after a loss of all
//! power, 32 agents made 280 failed calls a second together.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use chunks::{ManifestSearch, ManifestSource, OriginGate, SwarmPeer, WeightsId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(5);
const LIMIT: Duration = Duration::from_secs(20);
const RETURN: Duration = Duration::from_secs(6);
const ORIGIN_TIME: Duration = Duration::from_millis(20);
const PEER_TIME: Duration = Duration::from_millis(10);
const DEAD_TIME: Duration = Duration::from_millis(400);
/// Timeout of the agent for a manifest from the origin.
const HANG_TIME: Duration = Duration::from_millis(400);

struct Agent {
    search: ManifestSearch,
    address: SocketAddr,
    call: Option<(Instant, ManifestSource, bool)>,
    found: bool,
    is_dead: bool,
}

#[derive(Default)]
struct Outcome {
    failed: Vec<Duration>,
    origin_reads: u32,
    done: Duration,
}

fn peer(index: u16) -> SwarmPeer {
    let region = format!("r{}", index % 3);
    let [high, low] = index.to_be_bytes();
    SwarmPeer {
        address: SocketAddr::from(([10, 0, high, low], 7_700)),
        data_centre: region.as_str().into(),
        region: region.as_str().into(),
    }
}

/// Runs the searches of a fleet; the origin responds from `returns_at` on.
fn run(agents: u16, returns_at: Duration, hangs: bool, dead: impl Fn(usize) -> bool) -> Outcome {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let weights = WeightsId { model: "m".into(), version: 3 };
    let mut fleet: Vec<Agent> = (0..agents)
        .map(|own| {
            let others: Vec<SwarmPeer> = (0..agents).filter(|at| *at != own).map(peer).collect();
            let gate = OriginGate::new();
            let mut search = ManifestSearch::new(weights.clone(), peer(own), gate, start);
            search.update_peers(&others, Some(&"r0".into()));
            let is_dead = dead(search.role().position as usize);
            Agent { search, address: peer(own).address, call: None, found: false, is_dead }
        })
        .collect();
    let mut outcome = Outcome::default();
    let mut now = start;
    while fleet.iter().any(|agent| !agent.found && !agent.is_dead) {
        now += STEP;
        let elapsed = now - start;
        assert!(elapsed < LIMIT, "not all agents have the manifest");
        let holders: Vec<SocketAddr> =
            fleet.iter().filter(|agent| agent.found).map(|agent| agent.address).collect();
        let failed: Vec<SocketAddr> =
            fleet.iter().filter(|agent| agent.is_dead).map(|agent| agent.address).collect();
        for agent in fleet.iter_mut().filter(|agent| !agent.found && !agent.is_dead) {
            if let Some((at, source, is_found)) = agent.call {
                if now < at {
                    continue;
                }
                agent.call = None;
                if is_found {
                    agent.search.record_found(source, now);
                    agent.found = true;
                    continue;
                }
                if source == ManifestSource::Origin {
                    outcome.failed.push(elapsed);
                }
                agent.search.record_failed(source, now, &mut rng);
            }
            let Some(source) = agent.search.next_source(now, &mut rng) else { continue };
            let (time, is_found) = match source {
                ManifestSource::Origin if elapsed >= returns_at => {
                    outcome.origin_reads += 1;
                    (ORIGIN_TIME, true)
                }
                ManifestSource::Origin => (if hangs { HANG_TIME } else { STEP }, false),
                ManifestSource::Peer(peer) if failed.contains(&peer) => (DEAD_TIME, false),
                ManifestSource::Peer(peer) => (PEER_TIME, holders.contains(&peer)),
            };
            agent.call = Some((now + time, source, is_found));
        }
    }
    outcome.done = now - start;
    outcome
}

#[test]
fn agents_make_few_calls_to_an_origin_that_is_down() {
    for agents in [1, 32, 76, 265] {
        for hangs in [false, true] {
            let outcome = run(agents, RETURN, hangs, |_| false);
            let in_second = |at: &Duration| {
                let end = *at + Duration::from_secs(1);
                outcome.failed.iter().filter(|other| *other >= at && **other < end).count()
            };
            let most = outcome.failed.iter().map(in_second).max().unwrap_or_default();
            assert!(most < 10, "{most} failed calls in a second, {agents} agents");
            let late = outcome.done - RETURN;
            assert!(late < Duration::from_millis(1_500), "{late:?}, {agents} agents");
        }
    }
}

/// The manifest must not delay the first chunk, which has to leave the origin within 0.2 s of the declaration.
#[test]
fn few_agents_read_the_manifest_from_the_origin() {
    for agents in [1, 32, 76, 265] {
        let outcome = run(agents, Duration::ZERO, false, |_| false);
        assert!(outcome.origin_reads <= 4, "{} reads, {agents} agents", outcome.origin_reads);
        assert!(outcome.done < Duration::from_millis(800), "{:?}", outcome.done);
    }
}

/// No agent waits for a parent that has failed, also if all agents that read from the origin have.
#[test]
fn failed_agents_are_replaced() {
    let outcome = run(76, Duration::ZERO, false, |position| position < 4);
    assert!(outcome.done < Duration::from_secs(4), "{:?}", outcome.done);
    let outcome = run(76, Duration::ZERO, false, |position| position % 3 == 1);
    assert!(outcome.done < Duration::from_secs(3), "{:?}", outcome.done);
}
