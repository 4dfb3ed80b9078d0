//! Runs `measure control` until the binary of the stand-ins exists.

use std::process::ExitCode;

use standin::measure::control;

fn main() -> ExitCode {
    control::exec(&control::cli().get_matches())
}
