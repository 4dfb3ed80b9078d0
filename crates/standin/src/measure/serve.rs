//! `measure serve`: serves a mixed load at today's sizes while the fleet changes, beside the naive version.

use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};

use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::{Method, StatusCode};
use serde::Serialize;

use crate::{
    caller::{CallerFleet, CallerOptions, team_plans},
    error::StandinError,
    fleet::{
        FleetOptions, FleetPlatform, StandinFleet,
        layout::{FleetLayout, LayoutOptions, LoopbackBlock, add_model},
        wait_until,
    },
    http_client::{HttpCall, HttpClient},
    measure::plan::{ServePlan, ServeSubject},
    naive::NaiveForwarder,
    observer::{Observation, ServeTally},
    platform::{catalog::WeightImage, engine::EngineOptions},
};

const MODEL: &str = "draft";
const MODEL_BYTES: usize = 2 << 20;
const CHUNK_BYTES: usize = 256 << 10;
/// Time between two tokens on an idle engine.
const TOKEN_TIME: Duration = Duration::from_millis(10);
/// Time a caller spends on one request.
const DEADLINE: Duration = Duration::from_secs(8);
/// Longest duration that counts as in time; an answer of 40 tokens on a busy engine takes 0.8 s.
const IN_TIME_LIMIT: Duration = Duration::from_secs(2);
/// Longest wait for the fleet to be ready.
const READY_LIMIT: Duration = Duration::from_secs(15);
/// Calls on each path for the overhead.
const OVERHEAD_CALLS: usize = 200;

/// What is measured.
#[derive(Clone, Debug)]
pub struct ServeOptions {
    /// Events of the run.
    pub plan: ServePlan,
    /// Seed of arrivals, prompts and weights.
    pub seed: u64,
    /// Requests a second of all teams.
    pub rate: f64,
}

/// Result of one version.
#[derive(Clone, Debug, Serialize)]
pub struct ServeResult {
    /// What the observer found.
    #[serde(flatten)]
    pub tally: ServeTally,
    /// Latency that the path adds to a call of a plain service.
    pub overhead_p50_ms: f64,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct ServeReport {
    /// Name of the plan.
    pub plan: &'static str,
    /// Seed.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// Upstreams that the requests of the plan may crash.
    pub allowed_crashes: u32,
    /// The system.
    #[serde(flatten)]
    pub system: ServeResult,
    /// The naive version.
    pub naive: ServeResult,
}

impl ServeReport {
    /// True if every promise held that holds in all plans.
    #[must_use]
    pub fn holds(&self) -> bool {
        const OUT_BOUND_S: f64 = 3.0;
        let tally = &self.system.tally;
        let broken = tally.doubled
            + tally.untrue_not_run
            + tally.wrong_answer
            + tally.lost
            + tally.cut
            + tally.faults
            + u64::from(tally.over_limit_peak);
        let crashes_bounded = tally.upstream_crashes <= self.allowed_crashes;
        broken == 0 && crashes_bounded && tally.last_new_work_after_out_s <= OUT_BOUND_S
    }
}

/// Command line.
#[must_use]
pub fn cli() -> Command {
    let plans = ServePlan::ALL.map(ServePlan::name);
    Command::new("serve")
        .about("Serves a mixed load while the fleet changes, beside a naive forwarder")
        .arg(Arg::new("plan").long("plan").required(true).value_parser(plans))
        .arg(Arg::new("seed").long("seed").default_value("1").value_parser(value_parser!(u64)))
        .arg(
            Arg::new("rate")
                .long("rate")
                .help("Requests a second of all teams")
                .value_parser(value_parser!(f64)),
        )
}

/// Runs the measurement and prints the report; the exit status is 1 if a promise broke.
#[must_use]
pub fn exec(matches: &ArgMatches) -> ExitCode {
    match measure(matches) {
        Ok(report) => {
            println!("{}", serde_json::to_string(&report).expect("a report serialises to JSON"));
            ExitCode::from(u8::from(!report.holds()))
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(2)
        }
    }
}

fn measure(matches: &ArgMatches) -> Result<ServeReport, StandinError> {
    let plan: ServePlan = matches.get_one::<String>("plan").expect("plan is required").parse()?;
    let options = ServeOptions {
        plan,
        seed: matches.get_one("seed").copied().unwrap_or(1),
        rate: matches.get_one("rate").copied().unwrap_or_else(|| plan.default_rate()),
    };
    if !(options.rate > 0.0 && options.rate.is_finite()) {
        return Err(StandinError::Option {
            option: "rate",
            value: options.rate.to_string(),
            allowed: "a number above 0",
        });
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the operating system provides threads");
    let report = runtime.block_on(run(&options));
    runtime.shutdown_background();
    report
}

/// Runs the plan with the system, then with the naive version.
///
/// # Errors
/// Fails if the fleet cannot be started.
pub async fn run(options: &ServeOptions) -> Result<ServeReport, StandinError> {
    let system = run_system(options).await?;
    let naive = run_naive(options).await?;
    let ServeOptions { plan, seed, rate } = *options;
    let allowed_crashes = plan.allowed_crashes();
    Ok(ServeReport { plan: plan.name(), seed, rate, allowed_crashes, system, naive })
}

async fn run_system(options: &ServeOptions) -> Result<ServeResult, StandinError> {
    let fleet_options = fleet_options();
    let (platform, image) = start_platform(options, &fleet_options).await?;
    let fleet = StandinFleet::start(platform, fleet_options).await?;
    wait_loaded(&fleet.platform, &image).await?;
    let entries = fleet.entry_addresses();
    let overhead_p50_ms = overhead(&fleet.platform, entries[0]).await?;
    let subject = ServeSubject::Fleet(&fleet);
    let tally = serve(options, &fleet.platform, &subject, entries).await?;
    fleet.stop();
    Ok(ServeResult { tally, overhead_p50_ms })
}

async fn run_naive(options: &ServeOptions) -> Result<ServeResult, StandinError> {
    let (platform, image) = start_platform(options, &fleet_options()).await?;
    let forwarder = NaiveForwarder::start(&platform, MODEL, Arc::clone(&image)).await?;
    wait_loaded(&platform, &image).await?;
    let entries = vec![forwarder.address()];
    let overhead_p50_ms = overhead(&platform, entries[0]).await?;
    let subject = ServeSubject::Naive(&forwarder);
    let tally = serve(options, &platform, &subject, entries).await?;
    Ok(ServeResult { tally, overhead_p50_ms })
}

fn fleet_options() -> FleetOptions {
    let engine = EngineOptions { token_time: TOKEN_TIME, ..EngineOptions::default() };
    FleetOptions { engine, ..FleetOptions::default() }
}

async fn start_platform(
    options: &ServeOptions,
    fleet_options: &FleetOptions,
) -> Result<(FleetPlatform, Arc<WeightImage>), StandinError> {
    let layout = FleetLayout::new(LayoutOptions::default(), LoopbackBlock::random());
    let replicas = layout.options.models;
    let platform = FleetPlatform::start(layout, fleet_options).await?;
    let image = WeightImage::generate(options.seed, MODEL_BYTES, CHUNK_BYTES);
    let image = platform.catalog.add(image);
    platform.publish(|config| add_model(config, MODEL, &image, [replicas; 3]));
    Ok((platform, image))
}

async fn wait_loaded(platform: &FleetPlatform, image: &WeightImage) -> Result<(), StandinError> {
    let engines = platform.engines().count();
    platform.wait_replicas(&image.digest.to_string(), engines, READY_LIMIT).await.map(drop)
}

async fn serve(
    options: &ServeOptions,
    platform: &FleetPlatform,
    subject: &ServeSubject<'_>,
    entries: Vec<SocketAddr>,
) -> Result<ServeTally, StandinError> {
    if options.plan.starts_warm() {
        warm_up(options, platform, subject, &entries).await?;
    }
    let callers = CallerFleet::start(caller_options(options, entries, options.rate));
    let windows = options.plan.carry_out(platform, subject, &callers).await?;
    callers.finish().await;
    let observation = Observation {
        requests: callers.ledger().records(),
        work: platform.work(),
        windows,
        in_time_limit: IN_TIME_LIMIT,
    };
    Ok(observation.tally())
}

/// Sends load until every engine bears its warm limit; the requests are not counted.
///
/// The naive version would crash cold engines with this load, and it knows no limit that has to grow.
async fn warm_up(
    options: &ServeOptions,
    platform: &FleetPlatform,
    subject: &ServeSubject<'_>,
    entries: &[SocketAddr],
) -> Result<(), StandinError> {
    if subject.is_naive() {
        platform.turn_warm();
        return Ok(());
    }
    let warm_seed = ServeOptions { seed: options.seed + 1_000_000, ..options.clone() };
    let callers = CallerFleet::start(caller_options(&warm_seed, entries.to_vec(), options.rate));
    let warm_limit = platform.layout.options.warm_limit;
    let is_warm = || platform.engines().all(|engine| engine.gauge().bears() >= warm_limit);
    let waited = wait_until("warm engines", READY_LIMIT, is_warm).await;
    callers.finish().await;
    waited.map(drop)
}

fn caller_options(options: &ServeOptions, entries: Vec<SocketAddr>, rate: f64) -> CallerOptions {
    CallerOptions {
        seed: options.seed,
        teams: team_plans(10, rate),
        entries,
        model: MODEL.to_owned(),
        deadline: DEADLINE,
        office_share: 0.15,
        booking_share: 0.15,
    }
}

/// Median latency of a call through `entry` minus that of a direct call, in milliseconds.
async fn overhead(platform: &FleetPlatform, entry: SocketAddr) -> Result<f64, StandinError> {
    let office =
        platform.layout.agents.iter().find(|plan| plan.service.as_deref() == Some("office"));
    let office = office.map(|plan| plan.upstream_address).ok_or_else(|| {
        StandinError::NotReached { what: "an office service".to_owned(), seconds: 0 }
    })?;
    let client = HttpClient::new();
    let direct_call = HttpCall::new(Method::GET, office, "/runs");
    let path_call = HttpCall::new(Method::GET, entry, "/v1/services/office/runs")
        .with_header("x-team", "team-01");
    let start = Instant::now();
    while !call_works(&client, &path_call).await {
        if start.elapsed() > READY_LIMIT {
            let what = "an answer through an entry".to_owned();
            return Err(StandinError::NotReached { what, seconds: READY_LIMIT.as_secs() });
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut direct = Vec::with_capacity(OVERHEAD_CALLS);
    let mut path = Vec::with_capacity(OVERHEAD_CALLS);
    for _ in 0..OVERHEAD_CALLS {
        direct.push(call_time(&client, &direct_call).await);
        path.push(call_time(&client, &path_call).await);
    }
    Ok((median(path).as_secs_f64() - median(direct).as_secs_f64()) * 1e3)
}

async fn call_works(client: &HttpClient, call: &HttpCall) -> bool {
    client.send(call.clone()).await.is_ok_and(|answer| answer.status == StatusCode::OK)
}

async fn call_time(client: &HttpClient, call: &HttpCall) -> Duration {
    let start = Instant::now();
    let _ = client.send(call.clone()).await;
    start.elapsed()
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}
