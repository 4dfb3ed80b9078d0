//! Stand-ins that a fleet uses: configuration service, weight stores and upstreams.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use config::{FleetConfig, HostList};

use super::{
    FleetOptions,
    layout::{FleetLayout, HostPlan},
};
use crate::{
    error::StandinError,
    http::lock,
    observer::UpstreamWork,
    platform::{
        catalog::WeightCatalog,
        config_service::ConfigService,
        engine::{EngineOptions, ModelEngine},
        service::{PlainService, ServiceOptions},
        weight_store::WeightStore,
        work::LoadGauge,
    },
};

/// Delay after which a change of the host list becomes visible.
const HOST_LIST_DELAY: Duration = Duration::from_secs(3);
/// Interval between checks while waiting for a condition.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Upstream that an agent manages.
#[derive(Debug)]
pub enum FleetUpstream {
    /// A model engine.
    Engine(ModelEngine),
    /// A plain service.
    Service(PlainService),
}

/// Stand-ins of a fleet, with the published configuration and host list.
pub struct FleetPlatform {
    /// Placement and addresses of all hosts.
    pub layout: FleetLayout,
    /// Weights that the store, the origin and the engines share.
    pub catalog: Arc<WeightCatalog>,
    /// Stand-in for the configuration service and the host list.
    pub config_service: ConfigService,
    /// Weight store; the first of the weight sources in the agents' settings.
    pub store: WeightStore,
    /// Origin of the weights; the second weight source.
    pub origin: WeightStore,
    /// Upstreams, in the order of the layout's agents.
    pub upstreams: Vec<FleetUpstream>,
    config: Mutex<FleetConfig>,
    hosts: Mutex<HostList>,
}

impl FleetUpstream {
    /// Current load and log of all runs.
    #[must_use]
    pub fn gauge(&self) -> &Arc<LoadGauge> {
        match self {
            Self::Engine(engine) => engine.gauge(),
            Self::Service(service) => service.gauge(),
        }
    }

    /// The model engine; `None` for a plain service.
    #[must_use]
    pub fn engine(&self) -> Option<&ModelEngine> {
        match self {
            Self::Engine(engine) => Some(engine),
            Self::Service(_) => None,
        }
    }
}

impl FleetPlatform {
    /// Starts all stand-ins at the addresses of the layout.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn start(layout: FleetLayout, options: &FleetOptions) -> Result<Self, StandinError> {
        let catalog = Arc::new(WeightCatalog::default());
        let block = layout.block;
        let config_service = ConfigService::start(block.platform(), HOST_LIST_DELAY).await?;
        let store = options.store.clone();
        let store = WeightStore::start(block.store(), Arc::clone(&catalog), store).await?;
        let origin = options.store.clone();
        let origin = WeightStore::start(block.origin(), Arc::clone(&catalog), origin).await?;
        let mut upstreams = Vec::new();
        for plan in &layout.agents {
            upstreams.push(start_upstream(plan, &layout, options, &catalog).await?);
        }
        let hosts = layout.host_list();
        config_service.set_hosts(&hosts);
        let config = Mutex::new(layout.config());
        let hosts = Mutex::new(hosts);
        Ok(Self { layout, catalog, config_service, store, origin, upstreams, config, hosts })
    }

    /// Changes the configuration and publishes it under the next revision; returns the time just before publication.
    pub fn publish(&self, change: impl FnOnce(&mut FleetConfig)) -> Instant {
        let mut config = lock(&self.config);
        change(&mut config);
        config.revision += 1;
        let published_at = Instant::now();
        self.config_service.publish(&config);
        published_at
    }

    /// Copy of the configuration that was published last.
    #[must_use]
    pub fn config(&self) -> FleetConfig {
        lock(&self.config).clone()
    }

    /// Changes the host list; readers see the change after the delay.
    pub fn change_hosts(&self, change: impl FnOnce(&mut HostList)) {
        let mut hosts = lock(&self.hosts);
        change(&mut hosts);
        hosts.version += 1;
        self.config_service.set_hosts(&hosts);
    }

    /// Model engines in the order of the layout.
    pub fn engines(&self) -> impl Iterator<Item = &ModelEngine> {
        self.upstreams.iter().filter_map(FleetUpstream::engine)
    }

    /// Number of engines that currently serve this manifest.
    #[must_use]
    pub fn replicas(&self, manifest: &str) -> usize {
        self.engines().filter(|engine| engine.loaded().iter().any(|held| held == manifest)).count()
    }

    /// Waits until at least `count` engines serve the manifest; returns the time waited.
    ///
    /// # Errors
    /// Fails if this takes longer than `limit`.
    pub async fn wait_replicas(
        &self,
        manifest: &str,
        count: usize,
        limit: Duration,
    ) -> Result<Duration, StandinError> {
        let what = format!("{count} replicas of {}", &manifest[..8]);
        wait_until(&what, limit, || self.replicas(manifest) >= count).await
    }

    /// Sets the concurrency limit of every upstream to its warm limit.
    pub fn set_warm(&self) {
        for upstream in &self.upstreams {
            upstream.gauge().set_warm();
        }
    }

    /// Work that each upstream ran, in the order of the layout.
    #[must_use]
    pub fn work(&self) -> Vec<UpstreamWork> {
        let hosts = self.layout.agents.iter().zip(&self.upstreams);
        hosts
            .map(|(plan, upstream)| UpstreamWork {
                data_centre: plan.data_centre.clone(),
                records: upstream.gauge().log().records(),
                over_limit_peak: upstream.gauge().over_limit_peak(),
                crashes: upstream.gauge().crashes(),
            })
            .collect()
    }
}

/// Polls `condition` until it is true; returns the time waited. `what` describes the condition in the error.
///
/// # Errors
/// Fails if `condition` is not true within `limit`.
pub async fn wait_until(
    what: &str,
    limit: Duration,
    condition: impl Fn() -> bool,
) -> Result<Duration, StandinError> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() >= limit {
            let what = what.to_owned();
            return Err(StandinError::NotReached { what, seconds: limit.as_secs() });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(start.elapsed())
}

async fn start_upstream(
    plan: &HostPlan,
    layout: &FleetLayout,
    options: &FleetOptions,
    catalog: &Arc<WeightCatalog>,
) -> Result<FleetUpstream, StandinError> {
    let (cold_limit, warm_limit) = (layout.options.cold_limit, layout.options.warm_limit);
    let address = plan.upstream_address;
    if plan.service.is_some() {
        let options = ServiceOptions { cold_limit, warm_limit, ..options.service.clone() };
        return Ok(FleetUpstream::Service(PlainService::start(address, options).await?));
    }
    let options = EngineOptions { cold_limit, warm_limit, ..options.engine.clone() };
    let engine = ModelEngine::start(address, Arc::clone(catalog), options).await?;
    Ok(FleetUpstream::Engine(engine))
}
