//! Runs `measure weights` until the binary of the stand-ins exists.

use std::process::ExitCode;

use standin::measure::weights;

fn main() -> ExitCode {
    weights::exec(&weights::cli().get_matches())
}
