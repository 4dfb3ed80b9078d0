//! Assignments, which tell the agents of a service which weights to load and where to fetch them.

use std::time::{Duration, Instant};

use fleet::FleetView;
use wire::{AgentContact, BriefReply, DatedVersion};

/// Version assumed to be loaded if none was ever declared: the users number versions from 1.
const FIRST_VERSION: u64 = 1;

/// Maximum number of earlier declarations in an assignment. An engine that has missed more may be idle for longer than
/// necessary after a restart of its agent.
const MAX_EARLIER: usize = 4;

/// Builds the assignment for the agents of a service; `None` if the service serves no model.
pub(crate) fn make_assignment(view: &FleetView, service: &str, now: Instant) -> Option<BriefReply> {
    let record = view.service(service)?;
    let engine = record.engine.as_ref()?;
    let model = engine.models.first()?.model.clone();
    let state = view.weights.get(&model);
    let origin = view.services().find_map(|service| service.origin.as_ref());
    let mut agents: Vec<AgentContact> = view
        .upstreams()
        .filter(|(upstream, _)| upstream.service == service)
        .map(|(upstream, _)| AgentContact {
            ip: upstream.address.ip().to_string(),
            data_centre: upstream.data_centre.to_string(),
        })
        .collect();
    agents.sort_unstable_by(|left, right| left.ip.cmp(&right.ip));
    agents.dedup_by(|left, right| left.ip == right.ip);
    let declared_at = state.and_then(fleet::WeightsState::declared_at);
    let age = |at| millis(now.saturating_duration_since(at));
    let earlier = state.into_iter().flat_map(|state| state.earlier(MAX_EARLIER));
    let mut assignment = BriefReply {
        digest: 0,
        revision: view.revision,
        model: model.to_string(),
        version: state.and_then(fleet::WeightsState::declared).unwrap_or(FIRST_VERSION),
        declared_ms: declared_at.map(age),
        pieces: engine.chunks,
        piece_bytes: engine.chunk_bytes,
        origin: origin.map(|origin| origin.address.to_string()).unwrap_or_default(),
        origin_data_centre: origin.map(|origin| origin.data_centre.to_string()).unwrap_or_default(),
        agents,
        earlier: earlier.map(|(version, at)| DatedVersion { version, age_ms: age(at) }).collect(),
        verified: None,
        layers: engine.layers,
    };
    assignment.digest = digest(&assignment);
    Some(assignment)
}

/// Combined digest of all assignments. A change tells the agents to request their assignment again.
pub(crate) fn assignment_digest(view: &FleetView, now: Instant) -> u64 {
    let mut services: Vec<_> = view.services().map(|service| service.service.clone()).collect();
    services.sort_unstable();
    services
        .iter()
        .filter_map(|service| make_assignment(view, service, now))
        .fold(0, |sum, assignment| sum ^ assignment.digest)
}

/// Digest of an assignment without the fields that change while its content stays the same.
fn digest(assignment: &BriefReply) -> u64 {
    let content = BriefReply {
        digest: 0,
        revision: 0,
        declared_ms: None,
        earlier: Vec::new(),
        ..assignment.clone()
    };
    base::rendezvous_weight(b"brief", &format!("{content:?}"))
}

/// Duration in whole milliseconds, as used in messages.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
