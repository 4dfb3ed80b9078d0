//! `wigeon report`: shows how fast error budgets are consumed.

use std::{net::SocketAddr, process::ExitCode};

use burn::BurnReport;
use clap::{Arg, ArgAction, ArgMatches, Command};
use snafu::{ResultExt, Snafu};

use super::status::admin_arg;
use crate::{
    admin_client::{AdminError, read_admin},
    output::{STATUS_FAILED, report_error},
};

#[derive(Debug, Snafu)]
enum ReportError {
    #[snafu(display("{source}"))]
    Read { source: AdminError },
    #[snafu(display("report from {address} has an unexpected format: {source}"))]
    Decode { address: SocketAddr, source: serde_json::Error },
}

pub(super) fn cli() -> Command {
    Command::new("report")
        .about(
            "Show error budget burn rates per team and kind of request over several time windows",
        )
        .arg(admin_arg().action(ArgAction::Append).help(
            "Administration address (admin_listen) of an entry; repeat to sum several entries",
        ))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as one JSON object"),
        )
}

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
    serde_json::from_value(value).context(DecodeSnafu { address })
}
