//! State of the routing decisions, shared by the tasks of one entry.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base::ContentDigest;
use burn::{Objective, ObjectiveSet, ServiceMeter};
use config::{ObjectiveSetting, ObjectiveSettings};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route::{CrashTable, PrefixIndex, RetryBudget, UpstreamLoad, UpstreamReport, UpstreamTable};
use wire::{LoadReport, StatusResponse};

/// State machines of the routing decisions. Their operations are short, so that one lock is enough for all of them.
pub struct RouteState {
    /// Registered upstreams and their latest reports.
    pub upstreams: UpstreamTable,
    /// Upstreams that have prompt prefixes in their KV caches.
    pub prefixes: PrefixIndex,
    /// Retry budgets of the teams.
    pub budget: RetryBudget,
    /// Requests that crashed upstreams.
    pub crashes: CrashTable,
    /// Service-level counters.
    pub meter: ServiceMeter,
    /// Random number generator of the decisions.
    pub rng: ChaCha8Rng,
}

/// Routing state behind a lock.
pub struct SharedState(Mutex<RouteState>);

impl SharedState {
    /// Creates the initial state of an entry that starts at `now`.
    #[must_use]
    pub fn new(now: Instant, objectives: &ObjectiveSettings) -> Self {
        Self(Mutex::new(RouteState {
            upstreams: UpstreamTable::new(),
            prefixes: PrefixIndex::new(),
            budget: RetryBudget::default(),
            crashes: CrashTable::default(),
            meter: ServiceMeter::new(now, objective_set(objectives)),
            rng: ChaCha8Rng::from_rng(&mut rand::rng()),
        }))
    }

    /// Locks the state. The guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, RouteState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the objectives from the settings, with the defaults for those that are not set.
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

/// Converts a load report to the form of the routing decisions.
#[must_use]
pub fn to_upstream_load(load: &LoadReport) -> UpstreamLoad {
    let LoadReport { limit, in_use, queued, sequence } = *load;
    UpstreamLoad { limit, in_use, queued, sequence }
}

/// Converts a status response to the form of the routing decisions. Invalid manifests are left out.
#[must_use]
pub fn to_upstream_report(status: &StatusResponse) -> UpstreamReport {
    UpstreamReport {
        incarnation: status.incarnation,
        uptime: Duration::from_millis(status.uptime_ms),
        load: to_upstream_load(&status.load),
        ready: status
            .ready
            .iter()
            .filter_map(|ready| ContentDigest::from_slice(&ready.manifest).ok())
            .collect(),
        draining: status.draining,
        upstream_up: status.upstream_up,
    }
}
