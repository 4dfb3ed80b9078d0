//! One cell of the matrix: a small fleet under load, brought to a step at which a fault is injected.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::HostId;

use super::{
    fault::FaultKind,
    promise::{Promise, broken_promises},
    revision::RevisionMonitor,
    step::FaultStep,
};
use crate::{
    caller::{CallerFleet, CallerOptions, team_loads},
    error::StandinError,
    fleet::{
        FleetOptions, FleetPlatform, FleetUpstream, StandinFleet,
        layout::{FleetLayout, LayoutOptions, LoopbackBlock, add_model},
    },
    ledger::AttemptResult,
    observer::{Observation, OutWindow, ServeTally},
    platform::{catalog::WeightImage, engine::EngineOptions, service::ServiceOptions},
};

/// Id of the model that serves the load.
pub(super) const SERVED_MODEL: &str = "draft";
const CHUNK_BYTES: usize = 128 << 10;
const SERVED_BYTES: usize = 512 << 10;
const ENTRIES: u32 = 3;
/// Rate of every host's link in Mbit/s. The transfer of a model of 4 MiB takes about a second.
const LINK_MBIT: u64 = 40;
/// Requests per second of all teams together.
const REQUEST_RATE: f64 = 30.0;
const TEAMS: u32 = 4;
const REQUEST_DEADLINE: Duration = Duration::from_secs(6);
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Time under load before the step.
const STEADY_TIME: Duration = Duration::from_millis(700);
/// Delay between the first and the second injection.
const SECOND_FAULT_DELAY: Duration = Duration::from_millis(600);
/// Time under load after the last fault.
const RECOVERY_TIME: Duration = Duration::from_millis(2_500);
/// Maximum duration of a request that counts as in time.
const IN_TIME_LIMIT: Duration = Duration::from_secs(2);

/// Parameters of a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CellPlan {
    /// Step at which the fault is injected.
    pub step: FaultStep,
    /// Fault to inject.
    pub fault: FaultKind,
    /// Number of injections, 1 or 2.
    pub times: u32,
    /// Seed for arrivals and prompts.
    pub seed: u64,
    /// Number of the cell, from which its loopback addresses are derived.
    number: u16,
}

/// Result of a cell.
#[derive(Clone, Debug, Default)]
pub struct CellOutcome {
    /// Promises that were broken.
    pub broken: Vec<Promise>,
    /// Counts from the observations of the callers and stand-ins.
    pub tally: ServeTally,
    /// Seconds until the last publication was active everywhere.
    pub in_force_s: f64,
    /// Errors that prevented the cell from running as planned; empty if there were none.
    pub errors: Vec<String>,
    /// Descriptions of the requests that ended without a response, with an incorrect one or with a client error.
    pub failures: Vec<String>,
}

/// A running cell.
pub(super) struct CellFleet {
    pub(super) fleet: StandinFleet,
    pub(super) callers: CallerFleet,
    /// Hosts whose process was killed and is not restarted.
    pub(super) killed_hosts: Vec<HostId>,
    pub(super) errors: Vec<String>,
    pub(super) image_count: u64,
    pub(super) out_at: Option<Instant>,
    pub(super) back_at: Option<Instant>,
    /// Index of the agent that is being stopped gracefully, and the time at which its stop began.
    pub(super) drained_agent: Option<(usize, Instant)>,
    seed: u64,
}

impl CellPlan {
    /// Returns the plans of all cells.
    #[must_use]
    pub fn all(seed: u64) -> Vec<Self> {
        let mut plans = Vec::new();
        for fault in FaultKind::ALL {
            for step in FaultStep::ALL {
                for times in [1, 2] {
                    let number = u16::try_from(plans.len()).unwrap_or(u16::MAX);
                    plans.push(Self { step, fault, times, seed, number });
                }
            }
        }
        plans
    }
}

impl CellOutcome {
    /// Formats the outcome as one line of `key=value` pairs.
    #[must_use]
    pub fn describe(&self, plan: &CellPlan) -> String {
        let tally = &self.tally;
        format!(
            "fault={} step={} times={} broken={:?} sent={} answered={} not_run={} unknown={} cut={} lost={} \
             wrong={} doubled={} untrue={} over_limit={} in_force_s={:.2} errors={:?} failures={:?}",
            plan.fault.name(),
            plan.step.name(),
            plan.times,
            self.broken,
            tally.sent,
            tally.answered,
            tally.not_run,
            tally.unknown,
            tally.cut,
            tally.lost,
            tally.wrong_answer,
            tally.doubled,
            tally.untrue_not_run,
            tally.over_limit_peak,
            self.in_force_s,
            self.errors,
            self.failures,
        )
    }
}

/// Runs a cell. If the cell cannot be run, the outcome holds only the error.
pub async fn run_cell(plan: &CellPlan) -> CellOutcome {
    match try_run(plan).await {
        Ok(outcome) => outcome,
        Err(error) => CellOutcome { errors: vec![error.to_string()], ..CellOutcome::default() },
    }
}

async fn try_run(plan: &CellPlan) -> Result<CellOutcome, StandinError> {
    let mut cell = CellFleet::start(plan).await?;
    let monitor = RevisionMonitor::start(&cell.fleet);
    if plan.step != FaultStep::Start {
        cell.wait_ready().await?;
        tokio::time::sleep(STEADY_TIME).await;
    }
    plan.step.enter(&mut cell).await;
    for (round, target_agent) in (0..plan.times).zip(plan.step.target_agents()) {
        if round > 0 {
            tokio::time::sleep(SECOND_FAULT_DELAY).await;
        }
        plan.fault.inject(&mut cell, target_agent, round).await;
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    cell.restore_data_centre();
    cell.callers.finish().await;
    let published = cell.fleet.platform.publish(|config| config.teams[0].share += 1);
    let revision = cell.fleet.platform.config().revision;
    let ended_hosts = cell.ended_hosts();
    let in_force = monitor.wait_in_force(revision, published, &ended_hosts).await;
    let reverts = monitor.stop();
    let observation = cell.observe();
    let tally = observation.tally();
    let broken = broken_promises(&cell, &observation, &tally, reverts, in_force);
    cell.fleet.stop();
    Ok(CellOutcome {
        broken,
        tally,
        in_force_s: in_force.as_secs_f64(),
        errors: cell.errors,
        failures: describe_failures(&observation),
    })
}

impl CellFleet {
    async fn start(plan: &CellPlan) -> Result<Self, StandinError> {
        let options = LayoutOptions {
            entries: ENTRIES,
            models: 4,
            bookings: 3,
            offices: 1,
            teams: TEAMS,
            cold_limit: 3,
            warm_limit: 12,
            ..LayoutOptions::default()
        };
        let layout = FleetLayout::new(options, LoopbackBlock::from_number(plan.number));
        let options = FleetOptions {
            engine: EngineOptions {
                token_time: Duration::from_millis(8),
                load_time: Duration::from_millis(100),
                restart_time: Duration::from_millis(600),
                ..EngineOptions::default()
            },
            service: ServiceOptions {
                request_time: Duration::from_millis(60),
                restart_time: Duration::from_millis(600),
                ..ServiceOptions::default()
            },
            link_mbit: LINK_MBIT,
            dedicated_threads: true,
            ..FleetOptions::default()
        };
        let platform = FleetPlatform::start(layout, &options).await?;
        let image =
            platform.catalog.add(WeightImage::generate(plan.seed, SERVED_BYTES, CHUNK_BYTES));
        platform.publish(|config| add_model(config, SERVED_MODEL, &image, [4; 3]));
        let fleet = StandinFleet::start(platform, options).await?;
        let (office_share, booking_share) = plan.step.load_shares();
        let callers = CallerFleet::start(CallerOptions {
            seed: plan.seed,
            teams: team_loads(TEAMS, REQUEST_RATE),
            entries: fleet.entry_addresses(),
            model: SERVED_MODEL.to_owned(),
            deadline: REQUEST_DEADLINE,
            office_share,
            booking_share,
        });
        Ok(Self {
            fleet,
            callers,
            killed_hosts: Vec::new(),
            errors: Vec::new(),
            image_count: 0,
            out_at: None,
            back_at: None,
            drained_agent: None,
            seed: plan.seed,
        })
    }

    async fn wait_ready(&self) -> Result<(), StandinError> {
        let platform = &self.fleet.platform;
        let digest = platform.config().models[0].versions[0].manifest.to_string();
        platform.wait_replicas(&digest, 4, START_TIMEOUT).await.map(drop)
    }

    /// Generates weights that differ from all earlier ones.
    pub(super) fn image(&mut self, size: usize) -> Arc<WeightImage> {
        self.image_count += 1;
        let seed = self.seed.wrapping_mul(1_000).wrapping_add(self.image_count);
        self.fleet.platform.catalog.add(WeightImage::generate(seed, size, CHUNK_BYTES))
    }

    pub(super) fn crash_upstream(&self, index: usize) {
        match &self.fleet.platform.upstreams[index] {
            FleetUpstream::Engine(engine) => engine.crash(),
            FleetUpstream::Service(service) => service.crash(),
        }
    }

    pub(super) fn set_cold(&self, index: usize) {
        match &self.fleet.platform.upstreams[index] {
            FleetUpstream::Engine(engine) => engine.set_cold(),
            FleetUpstream::Service(service) => service.gauge().set_cold(),
        }
    }

    pub(super) fn entry_index(&self, round: u32) -> usize {
        round as usize % self.fleet.platform.layout.entries.len()
    }

    pub(super) fn entry_id(&self, round: u32) -> HostId {
        self.fleet.platform.layout.entries[self.entry_index(round)].id.clone()
    }

    /// Starts the graceful stop of an agent, whose host is listed as leaving.
    pub(super) fn start_drain(&mut self, index: usize) {
        let host = self.fleet.agent_plan(index).id;
        self.fleet.platform.change_hosts(|list| {
            for record in list.hosts.iter_mut().filter(|record| record.id == host) {
                record.state = config::HostState::Leaving;
            }
        });
        self.drained_agent = Some((index, Instant::now()));
        tokio::spawn(self.fleet.take_agent(index).map_or_else(
            || Box::pin(async {}) as futures_util::future::BoxFuture<'static, ()>,
            |node| Box::pin(node.drain()),
        ));
    }

    /// Hosts whose process has ended and is not restarted, including the drained one.
    fn ended_hosts(&self) -> Vec<HostId> {
        let drained_agent = self.drained_agent.map(|(index, _)| self.fleet.agent_plan(index).id);
        self.killed_hosts.iter().cloned().chain(drained_agent).collect()
    }

    fn observe(&self) -> Observation {
        let window = self.out_at.zip(self.back_at).map(|(out_at, back_at)| OutWindow {
            data_centre: self.out_data_centre(),
            out_at,
            back_at,
        });
        Observation {
            requests: self.callers.ledger().records(),
            work: self.fleet.platform.work(),
            windows: window.into_iter().collect(),
            in_time_limit: IN_TIME_LIMIT,
        }
    }
}

fn describe_failures(observation: &Observation) -> Vec<String> {
    let failed = observation.requests.iter().filter(|request| {
        matches!(
            request.verdict(),
            AttemptResult::NoAnswer
                | AttemptResult::Silent
                | AttemptResult::Wrong(_)
                | AttemptResult::Fault(_)
        )
    });
    failed
        .map(|request| {
            let attempts = request.attempts.iter().map(|attempt| {
                let after = attempt.sent_at.saturating_duration_since(request.started_at);
                format!("{:?} {} at {} ms", attempt.result, attempt.reason, after.as_millis())
            });
            let attempts = attempts.collect::<Vec<_>>().join(", ");
            format!("{:?} {}: {attempts}", request.kind, request.reference)
        })
        .collect()
}
