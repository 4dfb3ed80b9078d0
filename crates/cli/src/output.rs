//! Exit statuses and error output shared by the commands.

use std::{error::Error, process::ExitCode};

/// Exit status when an operation failed or `wigeon demo` found a violated guarantee.
pub const STATUS_FAILED: u8 = 1;
/// Exit status when settings, a configuration or an argument is invalid.
pub const STATUS_INVALID: u8 = 2;

/// Prints an error and its chain of sources to standard error, and returns `status` as the exit code.
pub fn report_error(error: &dyn Error, status: u8) -> ExitCode {
    eprintln!("error: {error}");
    let mut source = error.source();
    while let Some(cause) = source {
        eprintln!("  caused by: {cause}");
        source = cause.source();
    }
    ExitCode::from(status)
}
