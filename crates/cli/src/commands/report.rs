//! `wigeon report`: shows how fast the service-level error budgets are used.

use std::{net::SocketAddr, process::ExitCode};

use burn::BurnReport;
use clap::{Arg, ArgAction, ArgMatches, Command};
use snafu::{ResultExt, Snafu};

use super::status::admin_arg;
use crate::{
    admin_client::{AdminError, read_admin},
    output::{STATUS_FAILED, report_error},
};

/// Why the report cannot be shown.
#[derive(Debug, Snafu)]
enum ReportError {
    #[snafu(display("{source}"))]
    Read { source: AdminError },
    #[snafu(display("report of {address} cannot be read: {source}"))]
    Shape { address: SocketAddr, source: serde_json::Error },
}

/// The command line.
pub(super) fn cli() -> Command {
    Command::new("report")
        .about("Show service-level burn per team and kind of request over several windows")
        .arg(
            admin_arg()
                .action(ArgAction::Append)
                .help("Administration address of an entry; repeat to add entries up"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print one JSON object"))
}

/// Runs the command.
pub(super) fn exec(matches: &ArgMatches) -> ExitCode {
    let addresses = matches.get_many::<SocketAddr>("entry").into_iter().flatten();
    match addresses.map(|address| read_report(*address)).collect::<Result<Vec<_>, _>>() {
        Ok(reports) => {
            let report = BurnReport::merged(reports);
            if matches.get_flag("json") {
                println!("{}", serde_json::to_string(&report).unwrap_or_default());
            } else {
                print!("{report}");
            }
            ExitCode::SUCCESS
        }
        Err(error) => report_error(&error, STATUS_FAILED),
    }
}

fn read_report(address: SocketAddr) -> Result<BurnReport, ReportError> {
    let value = read_admin(address, "/admin/v1/report").context(ReadSnafu)?;
    serde_json::from_value(value).context(ShapeSnafu { address })
}
