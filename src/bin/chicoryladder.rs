//! The command line for operators and callers.

use std::process::ExitCode;

fn main() -> ExitCode {
    chicoryladder::commands::run()
}
