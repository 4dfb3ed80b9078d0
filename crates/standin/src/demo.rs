//! The demo: runs a whole fleet in one process under a mixed load, and during it distributes a model, switches the
//! preset, takes a data centre out of service and back, and replaces a model version.

use std::{
    io::IsTerminal,
    time::{Duration, Instant},
};

use base::DataCentreId;
use config::PresetName;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;

use crate::{
    caller::{CallerFleet, CallerOptions, team_loads},
    error::StandinError,
    fleet::{
        FleetOptions, FleetPlatform, StandinFleet,
        layout::{FleetLayout, LayoutOptions, LoopbackBlock, add_model, replace_version, set_out},
    },
    fleet_probe::wait_until_applied,
    observer::{Observation, OutWindow},
    platform::{catalog::WeightImage, weight_store::StoreOptions},
};

const MIB: usize = 1 << 20;
/// Model that the callers use.
const SERVED_MODEL: &str = "draft";
const SERVED_BYTES: usize = 4 * MIB;
/// Model that is published while the callers send requests.
const PUBLISHED_MODEL: &str = "survey";
const PUBLISHED_BYTES: usize = 64 * MIB;
const CHUNK_BYTES: usize = MIB / 2;
/// Bandwidth of every host's link and of the store's link, in Mbit/s.
const LINK_MBIT: u64 = 80;
/// Timeout for each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(40);
/// Time for which each state is held under load before the next change.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Time for which the data centre stays out of service.
const OUT_TIME: Duration = Duration::from_secs(6);
/// Maximum time, in seconds, in which a data centre still accepts new work after the change that takes it out of
/// service is published.
const MAX_NEW_WORK_AFTER_OUT_S: f64 = 3.0;

/// Options of the demo.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Random seed for arrival times, prompts and weights.
    pub seed: u64,
    /// Requests per second of all teams together.
    pub rate: f64,
    /// Prints only the JSON line, without the table.
    pub json: bool,
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self { seed: 1, rate: 60.0, json: false }
    }
}

/// Results of the demo as observed by the stand-ins and the callers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DemoReport {
    /// Number of hosts that had to load the published model.
    pub hosts: usize,
    /// Time from publication until all of these hosts served the model.
    pub time_to_all_s: f64,
    /// Lower bound of the transfer time: model size divided by the bandwidth of the slowest link.
    pub bound_s: f64,
    /// Bytes of the model that the store and the origin sent, as a multiple of the model size.
    pub origin_copies: f64,
    /// Maximum that one host sent to other hosts during the transfer, as a multiple of the model size.
    pub max_upload_copies: f64,
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests with a complete and correct response.
    pub answered: u64,
    /// Requests whose final outcome is "not run".
    pub not_run: u64,
    /// Requests whose final outcome is unknown.
    pub unknown: u64,
    /// Requests without an outcome, and confirmed requests that no upstream ran.
    pub lost: u64,
    /// Responses that do not match the request, and requests rejected as caller errors.
    pub wrong_answer: u64,
    /// Bookings that were run more than once.
    pub doubled: u64,
    /// Attempts with outcome "not run" that an upstream did run.
    pub untrue_not_run: u64,
    /// Responses cut off in progress although the upstream had not crashed.
    pub cut: u64,
    /// Time from the publication that takes a data centre out of service to the last new work in it.
    pub last_new_work_after_out_s: f64,
    /// Maximum time from a publication until every entry had applied it.
    pub config_in_force_s: f64,
}

impl DemoReport {
    /// Names of the report fields that violate a guarantee.
    #[must_use]
    pub fn broken_promises(&self) -> Vec<&'static str> {
        let must_be_zero = [
            ("doubled", self.doubled),
            ("untrue_not_run", self.untrue_not_run),
            ("wrong_answer", self.wrong_answer),
            ("lost", self.lost),
            ("cut", self.cut),
        ];
        let counted =
            must_be_zero.into_iter().filter(|(_, count)| *count > 0).map(|(name, _)| name);
        let late = self.last_new_work_after_out_s > MAX_NEW_WORK_AFTER_OUT_S;
        counted.chain(late.then_some("last_new_work_after_out_s")).collect()
    }

    /// Formats the report as a table for the terminal.
    #[must_use]
    pub fn table(&self) -> String {
        let rows = [
            (
                "model on all hosts",
                format!(
                    "{} hosts in {:.1} s (bound {:.1} s)",
                    self.hosts, self.time_to_all_s, self.bound_s
                ),
            ),
            (
                "copies sent",
                format!(
                    "{:.2} by store and origin, at most {:.2} by one host",
                    self.origin_copies, self.max_upload_copies
                ),
            ),
            (
                "requests",
                format!(
                    "{}: {} answered, {} not run, {} unknown",
                    self.requests, self.answered, self.not_run, self.unknown
                ),
            ),
            (
                "violated guarantees",
                format!(
                    "{} lost, {} wrong, {} run twice, {} wrongly \"not run\", {} cut off",
                    self.lost, self.wrong_answer, self.doubled, self.untrue_not_run, self.cut
                ),
            ),
            (
                "data centre out",
                format!("last new work after {:.2} s", self.last_new_work_after_out_s),
            ),
            (
                "configuration",
                format!("in force at every entry after {:.2} s", self.config_in_force_s),
            ),
        ];
        rows.iter().map(|(name, value)| format!("{name:<20}{value}\n")).collect()
    }
}

/// Runs the demo on a new Tokio runtime and prints the table and the JSON line; returns `true` if no guarantee was
/// violated.
///
/// # Errors
/// Fails if the fleet cannot be started or does not reach a required state within the step timeout.
///
/// # Panics
/// Panics if the runtime cannot be started.
pub fn exec(options: &DemoOptions) -> Result<bool, StandinError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a Tokio runtime can be started");
    let report = runtime.block_on(run(options))?;
    runtime.shutdown_background();
    if !options.json {
        print!("{}", report.table());
    }
    println!("{}", serde_json::to_string(&report).expect("a report serialises to JSON"));
    let broken = report.broken_promises();
    if !broken.is_empty() {
        eprintln!("violated guarantees: {}", broken.join(", "));
    }
    Ok(broken.is_empty())
}

/// Runs the demo on the current runtime and returns its report.
///
/// # Errors
/// Fails if the fleet cannot be started or does not reach a required state within the step timeout.
pub async fn run(options: &DemoOptions) -> Result<DemoReport, StandinError> {
    let progress = progress_bar(options);
    let mut demo = RunningDemo::start(options, &progress).await?;
    demo.publish_model().await?;
    demo.switch_preset().await?;
    let windows = demo.cycle_data_centre().await?;
    demo.replace_version().await?;
    progress.set_message("waiting for requests in progress");
    demo.callers.finish().await;
    progress.finish_and_clear();
    Ok(demo.into_report(windows))
}

fn progress_bar(options: &DemoOptions) -> ProgressBar {
    if options.json || !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let progress = ProgressBar::new_spinner();
    if let Ok(style) = ProgressStyle::with_template("{spinner} {elapsed_precise} {msg}") {
        progress.set_style(style);
    }
    progress.enable_steady_tick(Duration::from_millis(100));
    progress
}

/// Fleet, callers and results of a demo in progress.
struct RunningDemo<'a> {
    options: &'a DemoOptions,
    progress: &'a ProgressBar,
    fleet: StandinFleet,
    callers: CallerFleet,
    report: DemoReport,
}

impl<'a> RunningDemo<'a> {
    async fn start(
        options: &'a DemoOptions,
        progress: &'a ProgressBar,
    ) -> Result<Self, StandinError> {
        progress.set_message("starting 8 entries and 20 upstreams");
        let layout = FleetLayout::new(LayoutOptions::default(), LoopbackBlock::random());
        let link_rate = FleetOptions { link_mbit: LINK_MBIT, ..Default::default() };
        let store = StoreOptions {
            bytes_per_second: link_rate.link_bytes_per_second(),
            ..StoreOptions::default()
        };
        let fleet_options = FleetOptions { store, ..link_rate };
        let platform = FleetPlatform::start(layout, &fleet_options).await?;
        let image = platform.catalog.add(image(options.seed, SERVED_BYTES));
        platform.publish(|config| add_model(config, SERVED_MODEL, &image, [8, 16, 4]));
        let fleet = StandinFleet::start(platform, fleet_options).await?;
        let digest = image.digest.to_string();
        fleet.platform.wait_replicas(&digest, 8, STEP_TIMEOUT).await?;
        let callers = CallerFleet::start(CallerOptions {
            seed: options.seed,
            teams: team_loads(10, options.rate),
            entries: fleet.entry_addresses(),
            model: SERVED_MODEL.to_owned(),
            deadline: Duration::from_secs(8),
            office_share: 0.15,
            booking_share: 0.15,
        });
        tokio::time::sleep(HOLD_TIME).await;
        Ok(Self { options, progress, fleet, callers, report: DemoReport::default() })
    }

    async fn publish_model(&mut self) -> Result<(), StandinError> {
        self.progress.set_message("distributing a 64 MiB model to 16 hosts");
        let platform = &self.fleet.platform;
        let image = platform.catalog.add(image(self.options.seed + 1, PUBLISHED_BYTES));
        let hosts = platform.engines().count();
        let sent_before = platform.store.sent_bytes() + platform.origin.sent_bytes();
        let uploaded_before = self.fleet.network.uploaded();
        platform.publish(|config| {
            let replicas = u32::try_from(hosts).unwrap_or(u32::MAX);
            add_model(config, PUBLISHED_MODEL, &image, [replicas; 3]);
        });
        let digest = image.digest.to_string();
        let time_to_all = platform.wait_replicas(&digest, hosts, STEP_TIMEOUT).await?;
        let sent = platform.store.sent_bytes() + platform.origin.sent_bytes() - sent_before;
        let uploaded =
            self.fleet.network.uploaded().into_iter().map(|(host, bytes)| {
                bytes - uploaded_before.get(&host).copied().unwrap_or_default()
            });
        let copies = |bytes: u64| bytes as f64 / PUBLISHED_BYTES as f64;
        self.report.hosts = hosts;
        self.report.time_to_all_s = time_to_all.as_secs_f64();
        self.report.bound_s = PUBLISHED_BYTES as f64 / (LINK_MBIT as f64 * 1e6 / 8.0);
        self.report.origin_copies = copies(sent);
        self.report.max_upload_copies = copies(uploaded.max().unwrap_or_default());
        tokio::time::sleep(HOLD_TIME).await;
        Ok(())
    }

    async fn switch_preset(&mut self) -> Result<(), StandinError> {
        self.progress.set_message("switching the preset to peak");
        let platform = &self.fleet.platform;
        let digest = platform.config().models[0].versions[0].manifest.to_string();
        platform.publish(|config| config.preset = PresetName::Peak);
        platform.wait_replicas(&digest, platform.engines().count(), STEP_TIMEOUT).await?;
        tokio::time::sleep(HOLD_TIME).await;
        Ok(())
    }

    async fn cycle_data_centre(&mut self) -> Result<Vec<OutWindow>, StandinError> {
        let data_centre = self.fleet.platform.layout.options.data_centres[0].clone();
        self.progress.set_message(format!("taking {data_centre} out of service and back"));
        let out_at = self.set_out(&data_centre, true).await?;
        tokio::time::sleep(OUT_TIME).await;
        let back_at = self.set_out(&data_centre, false).await?;
        tokio::time::sleep(HOLD_TIME).await;
        Ok(vec![OutWindow { data_centre, out_at, back_at }])
    }

    async fn set_out(
        &mut self,
        data_centre: &DataCentreId,
        out: bool,
    ) -> Result<Instant, StandinError> {
        let at = self.fleet.platform.publish(|config| set_out(config, data_centre, out));
        let layout = &self.fleet.platform.layout;
        let in_force = wait_until_applied(layout, data_centre, out, at, STEP_TIMEOUT).await?;
        let longest = self.report.config_in_force_s.max(in_force.as_secs_f64());
        self.report.config_in_force_s = longest;
        Ok(at)
    }

    async fn replace_version(&mut self) -> Result<(), StandinError> {
        self.progress.set_message("replacing the version of the served model");
        let platform = &self.fleet.platform;
        let image = platform.catalog.add(image(self.options.seed + 2, SERVED_BYTES));
        platform.publish(|config| replace_version(config, SERVED_MODEL, "v2", &image));
        let digest = image.digest.to_string();
        platform.wait_replicas(&digest, platform.engines().count(), STEP_TIMEOUT).await?;
        tokio::time::sleep(HOLD_TIME).await;
        Ok(())
    }

    fn into_report(self, windows: Vec<OutWindow>) -> DemoReport {
        let observation = Observation {
            requests: self.callers.ledger().records(),
            work: self.fleet.platform.work(),
            windows,
            in_time_limit: Duration::from_secs(2),
        };
        let tally = observation.tally();
        self.fleet.stop();
        DemoReport {
            requests: tally.sent,
            answered: tally.answered,
            not_run: tally.not_run,
            unknown: tally.unknown,
            lost: tally.lost,
            wrong_answer: tally.wrong_answer + tally.faults,
            doubled: tally.doubled,
            untrue_not_run: tally.untrue_not_run,
            cut: tally.cut,
            last_new_work_after_out_s: tally.last_new_work_after_out_s,
            ..self.report
        }
    }
}

fn image(seed: u64, size: usize) -> WeightImage {
    WeightImage::generate(seed, size, CHUNK_BYTES)
}
