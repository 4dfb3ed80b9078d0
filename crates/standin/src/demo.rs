//! The demo: a whole fleet in one process, a model transfer, a preset switch, a data centre that leaves and returns,
//! and a new version, under a mixed load.

use std::{
    io::IsTerminal,
    time::{Duration, Instant},
};

use base::DataCentreId;
use config::PresetName;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;

use crate::{
    caller::{CallerFleet, CallerOptions, team_plans},
    error::StandinError,
    fleet::{
        FleetOptions, FleetPlatform, StandinFleet,
        layout::{FleetLayout, LayoutOptions, LoopbackBlock, add_model, replace_version, set_out},
    },
    force_probe::time_in_force,
    observer::{Observation, OutWindow},
    platform::{catalog::WeightImage, weight_store::StoreOptions},
};

const MIB: usize = 1 << 20;
/// Model that serves the load.
const SERVED_MODEL: &str = "draft";
const SERVED_BYTES: usize = 4 * MIB;
/// Model that is published under load.
const PUBLISHED_MODEL: &str = "survey";
const PUBLISHED_BYTES: usize = 64 * MIB;
const CHUNK_BYTES: usize = MIB / 2;
/// Speed of every host's link and of the store's link, in Mbit/s.
const LINK_MBIT: u64 = 80;
/// Longest wait for each step.
const STEP_LIMIT: Duration = Duration::from_secs(40);
/// Time that each state is kept under load before the next change.
const STEP_TIME: Duration = Duration::from_secs(2);
/// Time that the data centre stays out.
const OUT_TIME: Duration = Duration::from_secs(6);
/// Longest time from publication to the last new work in a data centre that is out, in seconds.
const OUT_BOUND_S: f64 = 3.0;

/// What the demo does.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Seed of arrivals, prompts and weights.
    pub seed: u64,
    /// Requests a second of all teams.
    pub rate: f64,
    /// Only the line of JSON is printed.
    pub json: bool,
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self { seed: 1, rate: 60.0, json: false }
    }
}

/// What stand-ins and callers observed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DemoReport {
    /// Hosts that were to hold the published model.
    pub hosts: usize,
    /// Time from publication until all of them served it.
    pub time_to_all_s: f64,
    /// Size of the model divided by the rate of the narrowest link.
    pub bound_s: f64,
    /// Bytes that store and origin sent for it, in copies.
    pub origin_copies: f64,
    /// Most that one host sent to other hosts meanwhile, in copies.
    pub max_upload_copies: f64,
    /// Requests that callers started.
    pub requests: u64,
    /// Requests with the whole, correct answer.
    pub answered: u64,
    /// Requests finally told "not run".
    pub not_run: u64,
    /// Requests of unknown outcome.
    pub unknown: u64,
    /// Requests without any statement, and confirmed bookings that never ran.
    pub lost: u64,
    /// Answers that are not the answer to the request.
    pub wrong_answer: u64,
    /// Bookings that ran more than once.
    pub doubled: u64,
    /// Attempts told "not run" that ran.
    pub untrue_not_run: u64,
    /// Answers in progress that were cut off.
    pub cut: u64,
    /// Time from publication to the last new work in the data centre that is out.
    pub last_new_work_after_out_s: f64,
    /// Longest time from a publication until every entry acted on it.
    pub config_in_force_s: f64,
}

impl DemoReport {
    /// Promises that did not hold.
    #[must_use]
    pub fn broken_promises(&self) -> Vec<&'static str> {
        let zero = [
            ("doubled", self.doubled),
            ("untrue_not_run", self.untrue_not_run),
            ("wrong_answer", self.wrong_answer),
            ("lost", self.lost),
            ("cut", self.cut),
        ];
        let counted = zero.into_iter().filter(|(_, count)| *count > 0).map(|(name, _)| name);
        let late = self.last_new_work_after_out_s > OUT_BOUND_S;
        counted.chain(late.then_some("last_new_work_after_out_s")).collect()
    }

    /// Table for people.
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
                "broken promises",
                format!(
                    "{} lost, {} wrong, {} doubled, {} untrue \"not run\", {} cut",
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

/// Runs the demo on a runtime of its own and prints the table and the line of JSON; `true` if every promise held.
///
/// # Errors
/// Fails if the fleet cannot be started or does not reach a state that the demo needs.
///
/// # Panics
/// Panics if the operating system refuses threads.
pub fn exec(options: &DemoOptions) -> Result<bool, StandinError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the operating system provides threads");
    let report = runtime.block_on(run(options))?;
    runtime.shutdown_background();
    if !options.json {
        print!("{}", report.table());
    }
    println!("{}", serde_json::to_string(&report).expect("a report serialises to JSON"));
    let broken = report.broken_promises();
    if !broken.is_empty() {
        eprintln!("broken promises: {}", broken.join(", "));
    }
    Ok(broken.is_empty())
}

/// Runs the demo.
///
/// # Errors
/// Fails if the fleet cannot be started or does not reach a state that the demo needs.
pub async fn run(options: &DemoOptions) -> Result<DemoReport, StandinError> {
    let progress = progress_bar(options);
    let mut stage = DemoStage::start(options, &progress).await?;
    stage.publish_model().await?;
    stage.switch_preset().await?;
    let windows = stage.move_data_centre().await?;
    stage.replace_version().await?;
    progress.set_message("waiting for requests in progress");
    stage.callers.finish().await;
    progress.finish_and_clear();
    Ok(stage.into_report(windows))
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

/// A running demo.
struct DemoStage<'a> {
    options: &'a DemoOptions,
    progress: &'a ProgressBar,
    fleet: StandinFleet,
    callers: CallerFleet,
    report: DemoReport,
}

impl<'a> DemoStage<'a> {
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
        fleet.platform.wait_replicas(&digest, 8, STEP_LIMIT).await?;
        let callers = CallerFleet::start(CallerOptions {
            seed: options.seed,
            teams: team_plans(10, options.rate),
            entries: fleet.entry_addresses(),
            model: SERVED_MODEL.to_owned(),
            deadline: Duration::from_secs(8),
            office_share: 0.15,
            booking_share: 0.15,
        });
        tokio::time::sleep(STEP_TIME).await;
        Ok(Self { options, progress, fleet, callers, report: DemoReport::default() })
    }

    async fn publish_model(&mut self) -> Result<(), StandinError> {
        self.progress.set_message("distributing a model of 64 MiB to 16 hosts");
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
        let time_to_all = platform.wait_replicas(&digest, hosts, STEP_LIMIT).await?;
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
        tokio::time::sleep(STEP_TIME).await;
        Ok(())
    }

    async fn switch_preset(&mut self) -> Result<(), StandinError> {
        self.progress.set_message("switching the preset to peak");
        let platform = &self.fleet.platform;
        let digest = platform.config().models[0].versions[0].manifest.to_string();
        platform.publish(|config| config.preset = PresetName::Peak);
        platform.wait_replicas(&digest, platform.engines().count(), STEP_LIMIT).await?;
        tokio::time::sleep(STEP_TIME).await;
        Ok(())
    }

    async fn move_data_centre(&mut self) -> Result<Vec<OutWindow>, StandinError> {
        let data_centre = self.fleet.platform.layout.options.data_centres[0].clone();
        self.progress.set_message(format!("taking {data_centre} out and back"));
        let out_at = self.set_out(&data_centre, true).await?;
        tokio::time::sleep(OUT_TIME).await;
        let back_at = self.set_out(&data_centre, false).await?;
        tokio::time::sleep(STEP_TIME).await;
        Ok(vec![OutWindow { data_centre, out_at, back_at }])
    }

    async fn set_out(
        &mut self,
        data_centre: &DataCentreId,
        out: bool,
    ) -> Result<Instant, StandinError> {
        let at = self.fleet.platform.publish(|config| set_out(config, data_centre, out));
        let layout = &self.fleet.platform.layout;
        let in_force = time_in_force(layout, data_centre, out, at, STEP_LIMIT).await?;
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
        platform.wait_replicas(&digest, platform.engines().count(), STEP_LIMIT).await?;
        tokio::time::sleep(STEP_TIME).await;
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
