use {
    super::{
        CliError, check, demo, explain, gateway_command, help, report_command, rollout_command,
        serve, status, table_command,
    },
    crate::cluster::{DATAGRAM_VERSION, OLDEST_DATAGRAM_VERSION},
    pico_args::Arguments,
    std::{ffi::OsString, process::ExitCode},
};

/// Runs the command that the arguments name and returns the exit code.
pub fn run(args: Vec<OsString>) -> ExitCode {
    match dispatch(Arguments::from_vec(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("saddlepulley: {e}");
            e.exit_code()
        }
    }
}

fn dispatch(mut args: Arguments) -> Result<(), CliError> {
    let wants_help = args.contains(["-h", "--help"]);
    if args.contains(["-V", "--version"]) {
        println!("{}", version());
        return finish(args);
    }
    let command = args.subcommand()?;
    let Some((text, run)) = command.as_deref().and_then(find) else {
        if wants_help || command.is_none() {
            print!("{}", help::HELP);
            return Ok(());
        }
        let name = command.unwrap_or_default();
        return Err(CliError::Usage(format!(
            "no command `{name}`; try `saddlepulley --help`"
        )));
    };
    if wants_help {
        print!("{text}");
        return Ok(());
    }
    run(args)
}

/// Returns the version of this build, the version of the messages that its daemons send, and the
/// oldest message version that they accept from other daemons.
fn version() -> String {
    format!(
        "saddlepulley {}, messages {DATAGRAM_VERSION}, speaks with daemons from messages \
         {OLDEST_DATAGRAM_VERSION} on",
        env!("CARGO_PKG_VERSION")
    )
}

type Command = fn(Arguments) -> Result<(), CliError>;

fn find(name: &str) -> Option<(&'static str, Command)> {
    let found: (&'static str, Command) = match name {
        "serve" => (help::SERVE, serve::serve),
        "gateway" => (help::GATEWAY, gateway_command::gateway),
        "explain" => (help::EXPLAIN, explain::explain),
        "rollout" => (help::ROLLOUT, rollout_command::rollout),
        "check" => (help::CHECK, check::check),
        "table" => (help::TABLE, table_command::table),
        "status" => (help::STATUS, status::status),
        "report" => (help::REPORT, report_command::report),
        "drain" => (help::DRAIN, status::drain),
        "demo" => (help::DEMO, demo::demo),
        _ => return None,
    };
    Some(found)
}

/// Runs a future to completion on a multi-threaded runtime.
///
/// # Errors
///
/// Returns the error of the future, or an error if the runtime can't be started.
pub fn block_on<T>(f: impl Future<Output = Result<T, CliError>>) -> Result<T, CliError> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(f)
}

/// Refuses arguments that the command did not use.
///
/// # Errors
///
/// Returns [`CliError::Usage`] with the unused arguments.
pub fn finish(args: Arguments) -> Result<(), CliError> {
    let rest = args.finish();
    if rest.is_empty() {
        return Ok(());
    }
    Err(CliError::Usage(format!("unknown arguments: {rest:?}")))
}
