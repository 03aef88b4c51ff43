use {
    super::{CliError, block_on, finish, start_logs},
    crate::{app::Daemon, conf::*},
    pico_args::Arguments,
    std::path::PathBuf,
    tokio::signal::unix::{SignalKind, signal},
};

/// Runs `serve`.
pub fn serve(mut args: Arguments) -> Result<(), CliError> {
    if args.contains("--default-settings") {
        print!("{DEFAULT_SETTINGS}");
        return Ok(());
    }
    let path: PathBuf = args.value_from_str("--settings")?;
    finish(args)?;
    let settings = Settings::read(&path)?;
    start_logs(&settings.logs).map_err(|e| CliError::Failed(e.to_string()))?;
    block_on(run_daemon(settings))
}

async fn run_daemon(settings: Settings) -> Result<(), CliError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(settings).await?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}
