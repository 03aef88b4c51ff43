//! The `saddlepulley` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    saddlepulley::cli::run(std::env::args_os().skip(1).collect())
}
