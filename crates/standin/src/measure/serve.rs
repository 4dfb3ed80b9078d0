//! `measure serve`: serves a mixed load at production size while the fleet changes, and compares the fleet with a
//! naive forwarder.

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
    caller::{CallerFleet, CallerOptions, team_loads},
    error::StandinError,
    fleet::{
        FleetOptions, FleetPlatform, StandinFleet,
        layout::{FleetLayout, LayoutOptions, LoopbackBlock, add_model},
        wait_until,
    },
    http_client::{HttpClient, HttpRequest},
    measure::plan::{ServePlan, ServeSubject},
    naive::NaiveForwarder,
    observer::{Observation, ServeTally},
    platform::{catalog::WeightImage, engine::EngineOptions},
};

const MODEL: &str = "draft";
const MODEL_BYTES: usize = 2 << 20;
const CHUNK_BYTES: usize = 256 << 10;
/// Interval between two tokens on an idle engine.
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
/// Deadline of a request, for all its attempts together.
const REQUEST_DEADLINE: Duration = Duration::from_secs(8);
/// Maximum duration of a request that counts as in time. A response of 40 tokens takes 0.8 s on a busy engine.
const IN_TIME_LIMIT: Duration = Duration::from_secs(2);
/// Timeout for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of requests on each path when the overhead is measured.
const OVERHEAD_REQUESTS: usize = 200;

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct ServeOptions {
    /// Changes to the fleet during the run.
    pub plan: ServePlan,
    /// Seed for arrivals, prompts and weights.
    pub seed: u64,
    /// Requests per second of all teams together.
    pub rate: f64,
}

/// Result of a run with either the fleet or the naive forwarder.
#[derive(Clone, Debug, Serialize)]
pub struct ServeResult {
    /// Counts of the observer.
    #[serde(flatten)]
    pub tally: ServeTally,
    /// Median latency added to a request to a plain service, in milliseconds.
    pub overhead_p50_ms: f64,
}

/// Report of a measurement, with the results of both runs.
#[derive(Clone, Debug, Serialize)]
pub struct ServeReport {
    /// Name of the plan.
    pub plan: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Requests per second of all teams together.
    pub rate: f64,
    /// Maximum number of upstreams that the plan's poison requests may crash.
    pub allowed_crashes: u32,
    /// Result of the fleet.
    #[serde(flatten)]
    pub system: ServeResult,
    /// Result of the naive forwarder.
    pub naive: ServeResult,
}

impl ServeReport {
    /// True if the fleet violated none of the guarantees that apply to all plans.
    #[must_use]
    pub fn passed(&self) -> bool {
        const MAX_NEW_WORK_AFTER_OUT_S: f64 = 3.0;
        let tally = &self.system.tally;
        let violations = tally.doubled
            + tally.untrue_not_run
            + tally.wrong_answer
            + tally.lost
            + tally.cut
            + tally.faults
            + u64::from(tally.over_limit_peak);
        let crashes_bounded = tally.upstream_crashes <= self.allowed_crashes;
        violations == 0
            && crashes_bounded
            && tally.last_new_work_after_out_s <= MAX_NEW_WORK_AFTER_OUT_S
    }
}

/// Defines the command line of `measure serve`.
#[must_use]
pub fn cli() -> Command {
    let plans = ServePlan::ALL.map(ServePlan::name);
    Command::new("serve")
        .about(
            "Serves a mixed load while the fleet changes, and compares it with a naive forwarder",
        )
        .arg(Arg::new("plan").long("plan").required(true).value_parser(plans))
        .arg(Arg::new("seed").long("seed").default_value("1").value_parser(value_parser!(u64)))
        .arg(
            Arg::new("rate")
                .long("rate")
                .help("Requests per second of all teams together; by default the rate of the plan")
                .value_parser(value_parser!(f64)),
        )
}

/// Runs the measurement and prints the report. The exit status is 1 if a guarantee was violated and 2 if the
/// measurement could not be run.
#[must_use]
pub fn exec(matches: &ArgMatches) -> ExitCode {
    match measure(matches) {
        Ok(report) => {
            println!("{}", serde_json::to_string(&report).expect("a report serialises to JSON"));
            ExitCode::from(u8::from(!report.passed()))
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

/// Runs the plan with the fleet and then with the naive forwarder.
///
/// # Errors
/// Fails if the fleet or the forwarder cannot be started or does not become ready in time.
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
    let overhead_p50_ms = measure_overhead(&fleet.platform, entries[0]).await?;
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
    let overhead_p50_ms = measure_overhead(&platform, entries[0]).await?;
    let subject = ServeSubject::Naive(&forwarder);
    let tally = serve(options, &platform, &subject, entries).await?;
    Ok(ServeResult { tally, overhead_p50_ms })
}

fn fleet_options() -> FleetOptions {
    let engine = EngineOptions { token_time: TOKEN_INTERVAL, ..EngineOptions::default() };
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
    platform.wait_replicas(&image.digest.to_string(), engines, READY_TIMEOUT).await.map(drop)
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
    let windows = options.plan.run_events(platform, subject, &callers).await?;
    callers.finish().await;
    let observation = Observation {
        requests: callers.ledger().records(),
        work: platform.work(),
        windows,
        in_time_limit: IN_TIME_LIMIT,
    };
    Ok(observation.tally())
}

/// Sends load until every engine has reached its warm limit. These requests are not counted.
///
/// For the naive forwarder the engines are set to warm directly: it would crash cold engines with this load, and it has
/// no concurrency limit that has to grow.
async fn warm_up(
    options: &ServeOptions,
    platform: &FleetPlatform,
    subject: &ServeSubject<'_>,
    entries: &[SocketAddr],
) -> Result<(), StandinError> {
    if subject.is_naive() {
        platform.set_warm();
        return Ok(());
    }
    let warm_up_options = ServeOptions { seed: options.seed + 1_000_000, ..options.clone() };
    let callers =
        CallerFleet::start(caller_options(&warm_up_options, entries.to_vec(), options.rate));
    let warm_limit = platform.layout.options.warm_limit;
    let is_warm = || platform.engines().all(|engine| engine.gauge().current_limit() >= warm_limit);
    let waited = wait_until("warm engines", READY_TIMEOUT, is_warm).await;
    callers.finish().await;
    waited.map(drop)
}

fn caller_options(options: &ServeOptions, entries: Vec<SocketAddr>, rate: f64) -> CallerOptions {
    CallerOptions {
        seed: options.seed,
        teams: team_loads(10, rate),
        entries,
        model: MODEL.to_owned(),
        deadline: REQUEST_DEADLINE,
        office_share: 0.15,
        booking_share: 0.15,
    }
}

/// Median latency of a request through `entry` minus that of a direct request, in milliseconds.
async fn measure_overhead(
    platform: &FleetPlatform,
    entry: SocketAddr,
) -> Result<f64, StandinError> {
    let office =
        platform.layout.agents.iter().find(|plan| plan.service.as_deref() == Some("office"));
    let office = office.map(|plan| plan.upstream_address).ok_or_else(|| {
        StandinError::NotReached { what: "an office upstream".to_owned(), seconds: 0 }
    })?;
    let client = HttpClient::new();
    let direct_request = HttpRequest::new(Method::GET, office, "/runs");
    let proxied_request = HttpRequest::new(Method::GET, entry, "/v1/services/office/runs")
        .with_header("x-team", "team-01");
    let start = Instant::now();
    while !is_request_ok(&client, &proxied_request).await {
        if start.elapsed() > READY_TIMEOUT {
            let what = "a response through an entry".to_owned();
            return Err(StandinError::NotReached { what, seconds: READY_TIMEOUT.as_secs() });
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut direct = Vec::with_capacity(OVERHEAD_REQUESTS);
    let mut proxied = Vec::with_capacity(OVERHEAD_REQUESTS);
    for _ in 0..OVERHEAD_REQUESTS {
        direct.push(request_time(&client, &direct_request).await);
        proxied.push(request_time(&client, &proxied_request).await);
    }
    Ok((median(proxied).as_secs_f64() - median(direct).as_secs_f64()) * 1e3)
}

async fn is_request_ok(client: &HttpClient, request: &HttpRequest) -> bool {
    client.send(request.clone()).await.is_ok_and(|response| response.status == StatusCode::OK)
}

async fn request_time(client: &HttpClient, request: &HttpRequest) -> Duration {
    let start = Instant::now();
    let _ = client.send(request.clone()).await;
    start.elapsed()
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}
