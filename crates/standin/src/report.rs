//! `wigeon-standin report`: charts requests and loaded engines over time from the logs of a run.

use std::{
    collections::{HashMap, HashSet},
    error::Error,
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use plotters::prelude::*;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// Exit status if the report cannot be drawn.
const EXIT_FAILED: u8 = 1;
/// Exit status if a log cannot be read.
const EXIT_INVALID: u8 = 2;
/// Width of one time bin, in seconds.
const BIN_SECONDS: f64 = 0.5;
/// Width and height of the chart, in pixels.
const IMAGE_SIZE: (u32, u32) = (1_200, 720);

/// Error of drawing a report.
#[derive(Debug, Snafu)]
pub enum ReportError {
    /// A log file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Unreadable {
        /// Path of the log file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The logs contain no events to draw.
    #[snafu(display("the logs contain no request or weight events"))]
    Empty,
    /// The chart cannot be drawn or written.
    #[snafu(display("cannot draw {}: {reason}", path.display()))]
    Drawing {
        /// Path of the output file.
        path: PathBuf,
        /// Error message of the drawing library.
        reason: String,
    },
}

/// Counts in one time bin.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunBin {
    /// Answered requests whose first event arrived within the target time.
    pub on_time: u32,
    /// Answered requests whose first event arrived later.
    pub late: u32,
    /// Requests that were refused, by an entry or with status 503.
    pub refused: u32,
    /// Requests that ended in any other way.
    pub failed: u32,
    /// Engines with loaded weights at the end of the bin.
    pub engines: u32,
}

/// Counts of a run over time, starting at its first log event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunSeries {
    /// Consecutive bins of half a second each.
    pub bins: Vec<RunBin>,
}

impl RunSeries {
    /// Counts the events of the logs. A request is late if its first event takes more than `target_ms` milliseconds.
    #[must_use]
    pub fn new<'a>(logs: impl Iterator<Item = &'a str>, target_ms: i64) -> Self {
        let mut events: Vec<(f64, HashMap<&str, &str>)> = logs
            .flat_map(str::lines)
            .filter(|line| line.contains("event="))
            .filter_map(|line| Some((parse_timestamp(line)?, parse_fields(line))))
            .collect();
        events.sort_by(|left, right| left.0.total_cmp(&right.0));
        let Some(start) = events.first().map(|(at, _)| *at) else { return Self::default() };
        let mut series = Self::default();
        let mut loaded: HashSet<&str> = HashSet::new();
        for (at, fields) in &events {
            let index = ((at - start) / BIN_SECONDS) as usize;
            let engines = loaded.len() as u32;
            while series.bins.len() <= index {
                series.bins.push(RunBin { engines, ..RunBin::default() });
            }
            let bin = &mut series.bins[index];
            let address = fields.get("address").copied().unwrap_or_default();
            match fields.get("event").copied() {
                Some("request_ended") => {
                    let first = fields.get("first_ms").and_then(|first| first.parse::<i64>().ok());
                    let status = fields.get("status").copied();
                    match (fields.get("result").copied(), status) {
                        (Some("answered"), _) if first.unwrap_or(-1) > target_ms => bin.late += 1,
                        (Some("answered"), _) => bin.on_time += 1,
                        (_, Some("503")) => bin.refused += 1,
                        _ => bin.failed += 1,
                    }
                }
                Some("refused") => bin.refused += 1,
                Some("engine_weights")
                    if fields.get("loaded").is_some_and(|loaded| *loaded != "[]") =>
                {
                    loaded.insert(address);
                }
                Some("engine_weights" | "engine_restarted" | "engine_lost") => {
                    loaded.remove(address);
                }
                _ => {}
            }
            bin.engines = loaded.len() as u32;
        }
        series
    }

    /// True if no request ended and no engine loaded weights.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bins.iter().all(|bin| *bin == RunBin::default())
    }
}

/// Error of the predicted time to the first event, over requests whose first attempt succeeded (`sends=0` in the
/// log).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ForecastError {
    /// Number of requests.
    pub requests: usize,
    /// Mean of the predicted minus the measured time, in milliseconds.
    pub bias_ms: f64,
    /// Mean absolute difference, in milliseconds.
    pub error_ms: f64,
}

impl ForecastError {
    /// Compares the predicted with the measured times of the logs.
    #[must_use]
    pub fn new<'a>(logs: impl Iterator<Item = &'a str>) -> Self {
        let differences: Vec<f64> = logs
            .flat_map(str::lines)
            .filter(|line| line.contains("event=request_ended"))
            .map(parse_fields)
            .filter(|fields| fields.get("sends") == Some(&"0"))
            .filter_map(|fields| {
                let number = |name| fields.get(name)?.parse::<f64>().ok();
                let (predicted, real) = (number("predicted_ms")?, number("first_ms")?);
                (predicted > 0.0 && real > 0.0).then_some(predicted - real)
            })
            .collect();
        Self::from_differences(&differences)
    }

    /// Computes the means of differences in milliseconds; both are 0 if there are none.
    #[must_use]
    pub fn from_differences(differences: &[f64]) -> Self {
        let count = differences.len().max(1) as f64;
        Self {
            requests: differences.len(),
            bias_ms: differences.iter().sum::<f64>() / count,
            error_ms: differences.iter().map(|difference| difference.abs()).sum::<f64>() / count,
        }
    }
}

/// Unix time of a log line in seconds, from its first word that is an RFC 3339 timestamp.
fn parse_timestamp(line: &str) -> Option<f64> {
    let time =
        line.split_whitespace().find_map(|word| OffsetDateTime::parse(word, &Rfc3339).ok())?;
    Some(time.unix_timestamp_nanos() as f64 / 1e9)
}

fn parse_fields(line: &str) -> HashMap<&str, &str> {
    line.split_whitespace().filter_map(|word| word.split_once('=')).collect()
}

/// Command line of the subcommand.
#[must_use]
pub fn cli() -> Command {
    Command::new("report")
        .about("Draws requests and engines over time from the logs of a run, as SVG")
        .arg(
            Arg::new("log")
                .value_name("LOG")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of one or more processes"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .default_value("report.svg")
                .value_parser(value_parser!(PathBuf))
                .help("SVG file to write"),
        )
        .arg(
            Arg::new("target-ms")
                .long("target-ms")
                .value_name("MS")
                .default_value("400")
                .value_parser(value_parser!(i64).range(1..))
                .help("Maximum time to the first event of a request that counts as in time"),
        )
}

/// Runs the subcommand and returns its exit code.
#[must_use]
pub fn exec(matches: &ArgMatches) -> ExitCode {
    let logs: Vec<&Path> =
        matches.get_many::<PathBuf>("log").into_iter().flatten().map(PathBuf::as_path).collect();
    let out = matches.get_one::<PathBuf>("out").expect("the argument has a default");
    let target = *matches.get_one::<i64>("target-ms").expect("the argument has a default");
    match draw_report(&logs, out, target) {
        Ok(forecast) => {
            println!("{}", serde_json::to_string(&forecast).unwrap_or_default());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            let is_invalid = matches!(error, ReportError::Unreadable { .. });
            ExitCode::from(if is_invalid { EXIT_INVALID } else { EXIT_FAILED })
        }
    }
}

/// Draws the report of a run as SVG and returns the error of its latency predictions.
///
/// # Errors
/// Fails if a log cannot be read, the logs contain no events, or the chart cannot be written.
pub fn draw_report(
    logs: &[&Path],
    out: &Path,
    target_ms: i64,
) -> Result<ForecastError, ReportError> {
    let texts: Result<Vec<String>, ReportError> = logs
        .iter()
        .map(|path| fs::read_to_string(path).context(UnreadableSnafu { path: *path }))
        .collect();
    let texts = texts?;
    let series = RunSeries::new(texts.iter().map(String::as_str), target_ms);
    if series.is_empty() {
        return Err(ReportError::Empty);
    }
    draw_series(&series, out).map_err(|error| ReportError::Drawing {
        path: out.to_path_buf(),
        reason: error.to_string(),
    })?;
    Ok(ForecastError::new(texts.iter().map(String::as_str)))
}

/// Label, colour and counts of one request outcome.
type OutcomeSeries = (&'static str, RGBColor, fn(&RunBin) -> u32);

fn draw_series(series: &RunSeries, out: &Path) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(out, IMAGE_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(IMAGE_SIZE.1 * 2 / 3);
    let end = series.bins.len() as f64 * BIN_SECONDS;
    let total = |bin: &RunBin| bin.on_time + bin.late + bin.refused + bin.failed;
    let max_count = series.bins.iter().map(total).max().unwrap_or(1).max(1);
    let mut chart = ChartBuilder::on(&upper)
        .margin(10)
        .caption("requests by outcome, per second", ("sans-serif", 18))
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end, 0.0..f64::from(max_count) / BIN_SECONDS * 1.05)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    // The bars of an outcome are stacked on those of the previous outcomes.
    let outcomes: [OutcomeSeries; 4] = [
        ("in time", RGBColor(70, 140, 70), |bin| bin.on_time),
        ("late", RGBColor(230, 180, 60), |bin| bin.late),
        ("refused", RGBColor(120, 140, 180), |bin| bin.refused),
        ("failed", RGBColor(190, 60, 60), |bin| bin.failed),
    ];
    let mut baselines = vec![0.0; series.bins.len()];
    for (name, color, count) in outcomes {
        let bars: Vec<_> = (0..)
            .zip(series.bins.iter().zip(&mut baselines))
            .map(|(index, (bin, baseline)): (u32, _)| {
                let from = f64::from(index) * BIN_SECONDS;
                let top = *baseline + f64::from(count(bin)) / BIN_SECONDS;
                let bar =
                    Rectangle::new([(from, *baseline), (from + BIN_SECONDS, top)], color.filled());
                *baseline = top;
                bar
            })
            .collect();
        chart
            .draw_series(bars)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    let max_count = series.bins.iter().map(|bin| bin.engines).max().unwrap_or(1).max(1);
    let mut chart = ChartBuilder::on(&lower)
        .margin(10)
        .caption("engines with weights", ("sans-serif", 18))
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end, 0.0..f64::from(max_count) * 1.1)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    let points = (0..)
        .zip(&series.bins)
        .map(|(index, bin): (u32, _)| (f64::from(index) * BIN_SECONDS, f64::from(bin.engines)));
    chart.draw_series(LineSeries::new(points, &BLUE))?;
    area.present()?;
    Ok(())
}
