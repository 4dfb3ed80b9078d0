//! What an entry tells the agents of a service.

use std::time::{Duration, Instant};

use fleet::FleetView;
use wire::{AgentContact, BriefReply};

/// Version that engines hold if none was ever declared, by the users' statement that versions start at 1.
const FIRST_VERSION: u64 = 1;

/// Brief for the agents of a service; `None` if the service serves no model.
pub(crate) fn make_brief(view: &FleetView, service: &str, now: Instant) -> Option<BriefReply> {
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
    let mut brief = BriefReply {
        digest: 0,
        revision: view.revision,
        model: model.to_string(),
        version: state.and_then(fleet::WeightsState::declared).unwrap_or(FIRST_VERSION),
        declared_ms: declared_at.map(|at| millis(now.saturating_duration_since(at))),
        pieces: engine.pieces,
        piece_bytes: engine.piece_bytes,
        origin: origin.map(|origin| origin.address.to_string()).unwrap_or_default(),
        origin_data_centre: origin.map(|origin| origin.data_centre.to_string()).unwrap_or_default(),
        agents,
    };
    brief.digest = digest(&brief);
    Some(brief)
}

/// Digest of all briefs, by which agents see that they should ask again.
pub(crate) fn brief_digest(view: &FleetView, now: Instant) -> u64 {
    let mut services: Vec<_> = view.services().map(|service| service.service.clone()).collect();
    services.sort_unstable();
    services
        .iter()
        .filter_map(|service| make_brief(view, service, now))
        .fold(0, |sum, brief| sum ^ brief.digest)
}

/// Leaves out what changes without a change of the content.
fn digest(brief: &BriefReply) -> u64 {
    let content = BriefReply { digest: 0, revision: 0, declared_ms: None, ..brief.clone() };
    base::rendezvous_weight(b"brief", &format!("{content:?}"))
}

/// Whole milliseconds of a span, as messages carry them.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
