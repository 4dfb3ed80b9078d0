//! What a request needs from an upstream, and the result of the choice.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{ServiceId, UpstreamId};
use fleet::{RegionPolicy, UpstreamRecord, WeightsLimits, WeightsVersion};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{
    refusal::{PlacementRefusal, RefusalCause},
    upstream::{AgentReport, UpstreamState, WeightsEvidence},
};

/// Properties of a request that determine the choice of its upstream.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that the request is for.
    pub service: &'a ServiceId,
    /// Number of prompt tokens; 0 for services without engines.
    pub prompt_tokens: u32,
    /// Regions that may serve the request.
    pub regions: &'a RegionPolicy,
    /// Upstreams that were already tried for this request.
    pub tried: &'a [UpstreamId],
    /// Limits for the use of outdated weights; `None` if any version may serve the request.
    pub weights: Option<WeightsLimits<'a>>,
    /// Time left until the first event is late; `None` if it is already late.
    pub time_to_target: Option<Duration>,
    /// Longest predicted time to the first event, for a prompt of mean size, of an engine at which the request may be
    /// placed. It applies in addition to the rule for `time_to_target`; `None` if only that applies. Services without
    /// engines have no such prediction and ignore it.
    pub delay_limit: Option<Duration>,
    /// Time left until the caller must have the complete response; `None` if it is not limited. Only the placement by
    /// learned capacity uses it.
    pub time_to_deadline: Option<Duration>,
    /// True for a request that was already accepted and is resumed at another upstream. It is never refused because of
    /// load.
    pub is_resumed: bool,
    /// True if a refusal by the upstream would end the request, because it may be sent to no further one. It is then
    /// placed only at upstreams that are expected to begin it, unless it is resumed and has nothing to lose.
    pub is_last_attempt: bool,
}

impl PlacementRequest<'_> {
    /// Time for which requests may still begin to run at the upstream; `None` if its weights are not outdated.
    pub(crate) fn time_left(&self, state: &UpstreamState, now: Instant) -> Option<Duration> {
        self.weights?.time_left(state.version(now)?, now)
    }
}

/// Load of an upstream as this entry knows it.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UpstreamLoad {
    /// Last report of the upstream's agent; `None` if there is none or it is stale.
    pub report: Option<AgentReport>,
    /// Version of the weights that requests may run on; `None` if there is none or the upstream serves no model.
    #[serde(default)]
    pub version: Option<WeightsVersion>,
    /// Requests that this entry has in flight at the upstream.
    pub in_flight: u32,
    /// Time until the upstream is no longer cold.
    pub cold_for: Duration,
    /// True if the upstream is ejected because of recent failures.
    #[serde(rename = "suspended")]
    pub ejected: bool,
    /// Requests per second that the upstream takes from all entries together; `None` if it has stated no limit.
    pub rate_limit: Option<f64>,
    /// Requests that this entry sent to the upstream in the last 4 s, the period in which a limit is judged.
    pub recent_sends: u32,
    /// True if a response stated that the upstream is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Time for which the upstream wants no requests from this entry.
    #[serde(default)]
    pub wait_time: Duration,
}

/// Result of [`LoadBalancer::choose`].
#[derive(Clone, Debug)]
pub enum Placement {
    /// Send the request to this upstream.
    Upstream {
        /// Address and properties of the upstream.
        record: Arc<UpstreamRecord>,
        /// Predicted time until the response, or until the first event of a stream.
        delay: Duration,
        /// Version of the weights that an agent has verified at the upstream, which the upstream must still have when the
        /// request arrives; `None` if it serves no model.
        expected_version: Option<WeightsVersion>,
        /// On what `expected_version` rests; `None` if the upstream serves no model.
        evidence: Option<WeightsEvidence>,
        /// Time at which the request must be cancelled if the upstream has not begun to run it, because the weights are
        /// then outdated; `None` if no newer version is declared.
        cancel_at: Option<Instant>,
        /// True if the upstream is expected to begin the request: it is not about to load other weights, and at an engine
        /// that resumes a stream, a slot is free. Nothing that still works may be given up for an upstream for which this is
        /// false.
        is_certain: bool,
    },
    /// Refuse the request.
    Refused(PlacementRefusal),
}

impl Placement {
    pub(crate) fn refuse(cause: RefusalCause, rng: &mut impl Rng) -> Self {
        Self::Refused(PlacementRefusal::new(cause, rng))
    }
}
