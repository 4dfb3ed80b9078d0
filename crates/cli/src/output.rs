//! Exit statuses and error output shared by the commands.

use std::{error::Error, process::ExitCode};

/// Exit status of a promise that did not hold or an operation that failed.
pub const STATUS_FAILED: u8 = 1;
/// Exit status of a wrong setting, configuration or argument.
pub const STATUS_INVALID: u8 = 2;

/// Prints an error with its sources and returns the exit status.
pub fn report_error(error: &dyn Error, status: u8) -> ExitCode {
    eprintln!("error: {error}");
    let mut source = error.source();
    while let Some(cause) = source {
        eprintln!("  caused by: {cause}");
        source = cause.source();
    }
    ExitCode::from(status)
}
