//! Decision state of the request path, shared by the tasks of one entry.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base::ContentDigest;
use burn::{Objective, ObjectiveSet, ServiceMeter};
use config::{ObjectiveSetting, ObjectiveSettings};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::{CrashTable, PrefixIndex, RetryBudget, UpstreamBoard, UpstreamLoad, UpstreamReport};
use wire::{LoadReport, StatusReply};

/// The state machines of the request path. Their steps are short, so one lock serves all of them.
pub struct RouteState {
    /// Upstreams and their reports.
    pub board: UpstreamBoard,
    /// Holders of prompt prefixes.
    pub prefixes: PrefixIndex,
    /// Retry budget.
    pub budget: RetryBudget,
    /// Requests that crashed upstreams.
    pub crashes: CrashTable,
    /// Service-level counters.
    pub meter: ServiceMeter,
    /// Random source of the decisions.
    pub rng: ChaCha8Rng,
}

/// The state behind its lock.
pub struct SharedState(Mutex<RouteState>);

impl SharedState {
    /// Creates the state of an entry that starts at `now`.
    #[must_use]
    pub fn new(now: Instant, objectives: &ObjectiveSettings) -> Self {
        Self(Mutex::new(RouteState {
            board: UpstreamBoard::new(),
            prefixes: PrefixIndex::new(),
            budget: RetryBudget::default(),
            crashes: CrashTable::default(),
            meter: ServiceMeter::new(now, objective_set(objectives)),
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
        }))
    }

    /// Locks the state. Never held across an await.
    pub fn lock(&self) -> MutexGuard<'_, RouteState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The default objectives, as far as the settings do not replace them.
fn objective_set(settings: &ObjectiveSettings) -> ObjectiveSet {
    let defaults = ObjectiveSet::default();
    let choose = |setting: Option<ObjectiveSetting>, default| {
        setting.map_or(default, |ObjectiveSetting { fraction, in_time_ms }| Objective {
            fraction,
            in_time_ms,
        })
    };
    ObjectiveSet {
        model: choose(settings.model, defaults.model),
        idempotent: choose(settings.idempotent, defaults.idempotent),
        keyed: choose(settings.keyed, defaults.keyed),
    }
}

/// Load as the decisions use it.
#[must_use]
pub fn load_of(load: &LoadReport) -> UpstreamLoad {
    UpstreamLoad { limit: load.limit, in_use: load.in_use, queued: load.queued }
}

/// Report as the decisions use it.
#[must_use]
pub fn report_of(status: &StatusReply) -> UpstreamReport {
    UpstreamReport {
        incarnation: status.incarnation,
        uptime: Duration::from_millis(status.uptime_ms),
        load: load_of(&status.load),
        ready: status
            .ready
            .iter()
            .filter_map(|ready| ContentDigest::from_slice(&ready.manifest).ok())
            .collect(),
        draining: status.draining,
        upstream_up: status.upstream_up,
    }
}
