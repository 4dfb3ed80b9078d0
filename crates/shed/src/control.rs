//! Decides with which predicted time to the first event a request may be placed.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::ServiceId;

use crate::{
    ContentionTable, LoadForecast, ServiceUsage, ShedLimit, ShedOutcome, ShedRecord, ShedRequest,
    service::ServiceState,
};

/// Interval between forecasts from the agents' reports, which arrive every 100 ms.
const FORECAST_INTERVAL: Duration = Duration::from_millis(100);

/// Load shedding of one entry.
#[derive(Debug, Default)]
pub struct ShedControl {
    services: HashMap<ServiceId, ServiceState>,
    seed: u64,
}

impl ShedControl {
    /// Creates a control without services; [`ShedControl::set_contention`] adds them.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Like [`ShedControl::new`], with a seed that differs between entries, so that entries that see few requests of a
    /// team do not all treat its first request alike.
    #[must_use]
    pub fn with_seed(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Applies what is known of the services that are contended. The state of services whose ranks are unchanged is
    /// kept.
    pub fn set_contention(&mut self, contention: &ContentionTable, now: Instant) {
        let mut services = HashMap::new();
        for service in contention.services().filter(|service| contention.is_ranked(service)) {
            let Some(fresh) = ServiceState::new(contention, service, self.seed, now) else {
                continue;
            };
            let known = self.services.remove(service);
            let state = known.filter(|known| known.has_same_ranks(&fresh)).unwrap_or(fresh);
            services.insert(service.clone(), state);
        }
        self.services = services;
    }

    /// Longest predicted time to the first event with which the request may be placed; `None` if its service is not
    /// contended. It depends only on what was recorded before, however often it is called.
    #[must_use]
    pub fn delay_limit(&self, request: &ShedRequest, now: Instant) -> Option<Duration> {
        self.limit(request, now).map(|limit| limit.delay)
    }

    /// Like [`ShedControl::delay_limit`], with the rule that determines the limit.
    #[must_use]
    pub fn limit(&self, request: &ShedRequest, now: Instant) -> Option<ShedLimit> {
        self.services.get(&request.service).map(|state| state.limit(request, now))
    }

    /// Records the final outcome of a request. Must be called once for each request. Returns how the request was treated;
    /// `None` if its service is not contended.
    pub fn record(
        &mut self,
        request: &ShedRequest,
        outcome: ShedOutcome,
        now: Instant,
    ) -> Option<ShedRecord> {
        let state = self.services.get_mut(&request.service)?;
        Some(state.record(request, outcome, now))
    }

    /// Limit of the most urgent rank, for which a forecast is due; `None` if none is due or the service is not contended.
    #[must_use]
    pub fn due_forecast(&self, service: &str, now: Instant) -> Option<Duration> {
        let state = self.services.get(service)?;
        let is_due = state
            .forecast_at()
            .is_none_or(|at| now.saturating_duration_since(at) >= FORECAST_INTERVAL);
        is_due.then(|| state.top_limit())
    }

    /// Records a forecast from the agents' reports for the limit that [`ShedControl::due_forecast`] returned; `None` if
    /// there are no reports.
    pub fn record_forecast(&mut self, service: &str, forecast: Option<LoadForecast>, now: Instant) {
        if let Some(state) = self.services.get_mut(service) {
            state.record_forecast(forecast, now);
        }
    }

    /// True if requests on time are shed at the service.
    #[must_use]
    pub fn is_shedding(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(ServiceState::is_shedding)
    }

    /// State of all contended services for operators, sorted by service.
    #[must_use]
    pub fn usage(&self, now: Instant) -> Vec<ServiceUsage> {
        let mut usage: Vec<_> =
            self.services.iter().map(|(service, state)| state.usage(service, now)).collect();
        usage.sort_by(|left, right| left.service.cmp(&right.service));
        usage
    }
}
