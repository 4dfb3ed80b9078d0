//! One cell of the matrix: a small fleet, a load, a step and a fault.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::HostId;

use super::{
    fault::FaultKind,
    promise::{Promise, broken_promises},
    revision::RevisionWatch,
    step::FaultStep,
};
use crate::{
    caller::{CallerFleet, CallerOptions, team_plans},
    error::StandinError,
    fleet::{
        FleetOptions, FleetPlatform, FleetUpstream, StandinFleet,
        layout::{FleetLayout, LayoutOptions, LoopbackBlock, add_model},
    },
    ledger::Told,
    observer::{Observation, OutWindow, ServeTally},
    platform::{catalog::WeightImage, engine::EngineOptions, service::ServiceOptions},
};

/// Model that serves the load.
pub(super) const SERVED_MODEL: &str = "draft";
const CHUNK_BYTES: usize = 128 << 10;
const SERVED_BYTES: usize = 512 << 10;
const ENTRIES: u32 = 3;
/// Speed of every host's link in Mbit/s; a model of 4 MiB takes about a second.
const LINK_MBIT: u64 = 40;
/// Requests a second of all teams.
const REQUEST_RATE: f64 = 30.0;
const TEAMS: u32 = 4;
const REQUEST_DEADLINE: Duration = Duration::from_secs(6);
const START_LIMIT: Duration = Duration::from_secs(15);
/// Time under load before the step.
const QUIET_TIME: Duration = Duration::from_millis(700);
/// Time between the first and the second fault.
const SECOND_FAULT_DELAY: Duration = Duration::from_millis(600);
/// Time under load after the last fault.
const RECOVERY_TIME: Duration = Duration::from_millis(2_500);
/// Longest duration that counts as in time.
const IN_TIME: Duration = Duration::from_secs(2);

/// What a cell does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CellPlan {
    /// The step.
    pub step: FaultStep,
    /// The fault.
    pub fault: FaultKind,
    /// How often the fault is injected.
    pub times: u32,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Number of the cell, which gives it addresses of its own.
    number: u16,
}

/// Result of a cell.
#[derive(Clone, Debug, Default)]
pub struct CellOutcome {
    /// Promises that did not hold.
    pub broken: Vec<Promise>,
    /// What callers and stand-ins observed.
    pub tally: ServeTally,
    /// Time until the last publication was in force everywhere, in seconds.
    pub in_force_s: f64,
    /// Why the cell could not be carried out; empty if it could.
    pub errors: Vec<String>,
    /// Attempts of requests that ended without a statement or with a wrong one.
    pub failures: Vec<String>,
}

/// A running cell.
pub(super) struct CellFleet {
    pub(super) fleet: StandinFleet,
    pub(super) callers: CallerFleet,
    /// Hosts that are gone for good.
    pub(super) dead: Vec<HostId>,
    pub(super) errors: Vec<String>,
    pub(super) images: u64,
    pub(super) out_at: Option<Instant>,
    pub(super) back_at: Option<Instant>,
    pub(super) drained: Option<(usize, Instant)>,
    seed: u64,
}

impl CellPlan {
    /// All cells.
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
    /// One line of figures.
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

/// Runs a cell; a cell that cannot be carried out has errors and no verdict.
pub async fn run_cell(plan: &CellPlan) -> CellOutcome {
    match try_run(plan).await {
        Ok(outcome) => outcome,
        Err(error) => CellOutcome { errors: vec![error.to_string()], ..CellOutcome::default() },
    }
}

async fn try_run(plan: &CellPlan) -> Result<CellOutcome, StandinError> {
    let mut cell = CellFleet::start(plan).await?;
    let watch = RevisionWatch::start(&cell.fleet);
    if plan.step != FaultStep::Start {
        cell.wait_ready().await?;
        tokio::time::sleep(QUIET_TIME).await;
    }
    plan.step.begin(&mut cell).await;
    for (round, victim) in (0..plan.times).zip(plan.step.victims()) {
        if round > 0 {
            tokio::time::sleep(SECOND_FAULT_DELAY).await;
        }
        plan.fault.inject(&mut cell, victim, round).await;
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    cell.bring_back();
    cell.callers.finish().await;
    let published = cell.fleet.platform.publish(|config| config.teams[0].share += 1);
    let revision = cell.fleet.platform.config().revision;
    let gone = cell.gone();
    let in_force = watch.wait_in_force(revision, published, &gone).await;
    let reverts = watch.stop();
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
        let layout = FleetLayout::new(options, LoopbackBlock::numbered(plan.number));
        let options = FleetOptions {
            engine: EngineOptions {
                token_time: Duration::from_millis(8),
                load_time: Duration::from_millis(100),
                restart_time: Duration::from_millis(600),
                ..EngineOptions::default()
            },
            service: ServiceOptions {
                call_time: Duration::from_millis(60),
                restart_time: Duration::from_millis(600),
                ..ServiceOptions::default()
            },
            link_mbit: LINK_MBIT,
            own_threads: true,
            ..FleetOptions::default()
        };
        let platform = FleetPlatform::start(layout, &options).await?;
        let image =
            platform.catalog.add(WeightImage::generate(plan.seed, SERVED_BYTES, CHUNK_BYTES));
        platform.publish(|config| add_model(config, SERVED_MODEL, &image, [4; 3]));
        let fleet = StandinFleet::start(platform, options).await?;
        let (office_share, booking_share) = plan.step.shares();
        let callers = CallerFleet::start(CallerOptions {
            seed: plan.seed,
            teams: team_plans(TEAMS, REQUEST_RATE),
            entries: fleet.entry_addresses(),
            model: SERVED_MODEL.to_owned(),
            deadline: REQUEST_DEADLINE,
            office_share,
            booking_share,
        });
        Ok(Self {
            fleet,
            callers,
            dead: Vec::new(),
            errors: Vec::new(),
            images: 0,
            out_at: None,
            back_at: None,
            drained: None,
            seed: plan.seed,
        })
    }

    async fn wait_ready(&self) -> Result<(), StandinError> {
        let platform = &self.fleet.platform;
        let digest = platform.config().models[0].versions[0].manifest.to_string();
        platform.wait_replicas(&digest, 4, START_LIMIT).await.map(drop)
    }

    /// Weights that no earlier call returned.
    pub(super) fn image(&mut self, size: usize) -> Arc<WeightImage> {
        self.images += 1;
        let seed = self.seed.wrapping_mul(1_000).wrapping_add(self.images);
        self.fleet.platform.catalog.add(WeightImage::generate(seed, size, CHUNK_BYTES))
    }

    pub(super) fn crash_upstream(&self, index: usize) {
        match &self.fleet.platform.upstreams[index] {
            FleetUpstream::Engine(engine) => engine.crash(),
            FleetUpstream::Service(service) => service.crash(),
        }
    }

    pub(super) fn turn_cold(&self, index: usize) {
        match &self.fleet.platform.upstreams[index] {
            FleetUpstream::Engine(engine) => engine.turn_cold(),
            FleetUpstream::Service(service) => service.gauge().turn_cold(),
        }
    }

    pub(super) fn entry_index(&self, round: u32) -> usize {
        round as usize % self.fleet.platform.layout.entries.len()
    }

    pub(super) fn entry_id(&self, round: u32) -> HostId {
        self.fleet.platform.layout.entries[self.entry_index(round)].id.clone()
    }

    /// Starts a graceful stop; the host list says that the host leaves.
    pub(super) fn start_drain(&mut self, index: usize) {
        let host = self.fleet.agent_plan(index).id;
        self.fleet.platform.change_hosts(|list| {
            for record in list.hosts.iter_mut().filter(|record| record.id == host) {
                record.state = config::HostState::Leaving;
            }
        });
        self.drained = Some((index, Instant::now()));
        tokio::spawn(self.fleet.take_agent(index).map_or_else(
            || Box::pin(async {}) as futures_util::future::BoxFuture<'static, ()>,
            |node| Box::pin(node.drain()),
        ));
    }

    /// Hosts whose process is gone for good.
    fn gone(&self) -> Vec<HostId> {
        let drained = self.drained.map(|(index, _)| self.fleet.agent_plan(index).id);
        self.dead.iter().cloned().chain(drained).collect()
    }

    fn observe(&self) -> Observation {
        let window = self.out_at.zip(self.back_at).map(|(out_at, back_at)| OutWindow {
            data_centre: self.moved_data_centre(),
            out_at,
            back_at,
        });
        Observation {
            requests: self.callers.ledger().records(),
            work: self.fleet.platform.work(),
            windows: window.into_iter().collect(),
            in_time_limit: IN_TIME,
        }
    }
}

fn describe_failures(observation: &Observation) -> Vec<String> {
    let failed = observation.requests.iter().filter(|request| {
        matches!(request.verdict(), Told::NoAnswer | Told::Silent | Told::Wrong(_) | Told::Fault(_))
    });
    failed
        .map(|request| {
            let attempts = request.attempts.iter().map(|attempt| {
                let after = attempt.sent_at.saturating_duration_since(request.started_at);
                format!("{:?} {} at {} ms", attempt.told, attempt.reason, after.as_millis())
            });
            let attempts = attempts.collect::<Vec<_>>().join(", ");
            format!("{:?} {}: {attempts}", request.kind, request.reference)
        })
        .collect()
}
