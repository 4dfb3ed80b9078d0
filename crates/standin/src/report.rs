//! `wigeon-standin report`: draws what the logs of a run say about load and weights over time.

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

const STATUS_FAILED: u8 = 1;
const STATUS_INVALID: u8 = 2;
/// Width of one column of the counts in seconds.
const BIN_S: f64 = 0.5;
const SIZE: (u32, u32) = (1_200, 720);

/// Why a report cannot be drawn.
#[derive(Debug, Snafu)]
pub enum ReportError {
    /// A log cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The logs hold nothing to draw.
    #[snafu(display("no line of the logs tells of a request or of weights"))]
    Empty,
    /// The file cannot be drawn.
    #[snafu(display("cannot draw {}: {reason}", path.display()))]
    Drawing {
        /// The file.
        path: PathBuf,
        /// What the library said.
        reason: String,
    },
}

/// Counts in one bin of time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunBin {
    /// Requests that were answered with the first event in time.
    pub on_time: u32,
    /// Requests that were answered later.
    pub late: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Requests that ended otherwise.
    pub failed: u32,
    /// Engines that hold weights at the end of the bin.
    pub engines: u32,
}

/// A run by time, from its first line on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunSeries {
    /// One bin for each half second.
    pub bins: Vec<RunBin>,
}

impl RunSeries {
    /// Counts what the logs say. `target_ms` separates first events that are in time from late ones.
    #[must_use]
    pub fn new<'a>(logs: impl Iterator<Item = &'a str>, target_ms: i64) -> Self {
        let mut events: Vec<(f64, HashMap<&str, &str>)> = logs
            .flat_map(str::lines)
            .filter(|line| line.contains("event="))
            .filter_map(|line| Some((seconds_of(line)?, fields_of(line))))
            .collect();
        events.sort_by(|left, right| left.0.total_cmp(&right.0));
        let Some(start) = events.first().map(|(at, _)| *at) else { return Self::default() };
        let mut series = Self::default();
        let mut loaded: HashSet<&str> = HashSet::new();
        for (at, fields) in &events {
            let index = ((at - start) / BIN_S) as usize;
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

    /// True if no request ended and no engine got weights.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bins.iter().all(|bin| *bin == RunBin::default())
    }
}

/// Distance between the predicted and the real time to the first event, over requests that were sent once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ForecastError {
    /// Requests.
    pub requests: usize,
    /// Mean of prediction less reality, in milliseconds.
    pub bias_ms: f64,
    /// Mean distance, in milliseconds.
    pub error_ms: f64,
}

impl ForecastError {
    /// Compares what the logs say.
    #[must_use]
    pub fn new<'a>(logs: impl Iterator<Item = &'a str>) -> Self {
        let distances: Vec<f64> = logs
            .flat_map(str::lines)
            .filter(|line| line.contains("event=request_ended"))
            .map(fields_of)
            .filter(|fields| fields.get("sends") == Some(&"0"))
            .filter_map(|fields| {
                let number = |name| fields.get(name)?.parse::<f64>().ok();
                let (predicted, real) = (number("predicted_ms")?, number("first_ms")?);
                (predicted > 0.0 && real > 0.0).then_some(predicted - real)
            })
            .collect();
        Self::with_distances(&distances)
    }

    /// Means of distances in milliseconds; 0 if there are none.
    #[must_use]
    pub fn with_distances(distances: &[f64]) -> Self {
        let count = distances.len().max(1) as f64;
        Self {
            requests: distances.len(),
            bias_ms: distances.iter().sum::<f64>() / count,
            error_ms: distances.iter().map(|distance| distance.abs()).sum::<f64>() / count,
        }
    }
}

/// Time of a line in seconds, from its first word that is one in RFC 3339.
fn seconds_of(line: &str) -> Option<f64> {
    let time =
        line.split_whitespace().find_map(|word| OffsetDateTime::parse(word, &Rfc3339).ok())?;
    Some(time.unix_timestamp_nanos() as f64 / 1e9)
}

fn fields_of(line: &str) -> HashMap<&str, &str> {
    line.split_whitespace().filter_map(|word| word.split_once('=')).collect()
}

/// The command line.
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
                .help("Logs of one or more processes"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .default_value("report.svg")
                .value_parser(value_parser!(PathBuf))
                .help("File to draw"),
        )
        .arg(
            Arg::new("target-ms")
                .long("target-ms")
                .value_name("MS")
                .default_value("400")
                .value_parser(value_parser!(i64).range(1..))
                .help("Time within which a first event is in time"),
        )
}

/// Runs the command.
#[must_use]
pub fn exec(matches: &ArgMatches) -> ExitCode {
    let logs: Vec<&Path> =
        matches.get_many::<PathBuf>("log").into_iter().flatten().map(PathBuf::as_path).collect();
    let out = matches.get_one::<PathBuf>("out").expect("it has a default");
    let target = *matches.get_one::<i64>("target-ms").expect("it has a default");
    match draw_report(&logs, out, target) {
        Ok(forecast) => {
            println!("{}", serde_json::to_string(&forecast).unwrap_or_default());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            let is_invalid = matches!(error, ReportError::Unreadable { .. });
            ExitCode::from(if is_invalid { STATUS_INVALID } else { STATUS_FAILED })
        }
    }
}

/// Draws the report of a run, and compares its predictions with what happened.
///
/// # Errors
/// Fails if a log cannot be read, nothing is in them, or the file cannot be written.
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

/// Name, colour and counts of one kind of end.
type CountKind = (&'static str, RGBColor, fn(&RunBin) -> u32);

fn draw_series(series: &RunSeries, out: &Path) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(out, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE.1 * 2 / 3);
    let end = series.bins.len() as f64 * BIN_S;
    let total = |bin: &RunBin| bin.on_time + bin.late + bin.refused + bin.failed;
    let most = series.bins.iter().map(total).max().unwrap_or(1).max(1);
    let mut chart = ChartBuilder::on(&upper)
        .margin(10)
        .caption("requests by their end, per second", ("sans-serif", 18))
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end, 0.0..f64::from(most) / BIN_S * 1.05)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    // Each kind stands on the ones before it.
    let kinds: [CountKind; 4] = [
        ("in time", RGBColor(70, 140, 70), |bin| bin.on_time),
        ("late", RGBColor(230, 180, 60), |bin| bin.late),
        ("refused", RGBColor(120, 140, 180), |bin| bin.refused),
        ("failed", RGBColor(190, 60, 60), |bin| bin.failed),
    ];
    let mut floors = vec![0.0; series.bins.len()];
    for (name, color, count) in kinds {
        let bars: Vec<_> = (0..)
            .zip(series.bins.iter().zip(&mut floors))
            .map(|(index, (bin, floor)): (u32, _)| {
                let from = f64::from(index) * BIN_S;
                let top = *floor + f64::from(count(bin)) / BIN_S;
                let bar = Rectangle::new([(from, *floor), (from + BIN_S, top)], color.filled());
                *floor = top;
                bar
            })
            .collect();
        chart
            .draw_series(bars)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    let most = series.bins.iter().map(|bin| bin.engines).max().unwrap_or(1).max(1);
    let mut chart = ChartBuilder::on(&lower)
        .margin(10)
        .caption("engines with weights", ("sans-serif", 18))
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end, 0.0..f64::from(most) * 1.1)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    let points = (0..)
        .zip(&series.bins)
        .map(|(index, bin): (u32, _)| (f64::from(index) * BIN_S, f64::from(bin.engines)));
    chart.draw_series(LineSeries::new(points, &BLUE))?;
    area.present()?;
    Ok(())
}
