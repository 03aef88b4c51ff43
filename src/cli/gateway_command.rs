use {
    super::{CliError, finish},
    crate::{
        conf::{DEFAULT_GATEWAY_SETTINGS, GatewaySettings, SourceSettings},
        gateway::{Gateway, GatewayProcess, HeaderNames, follow_file},
        logs::LogWriter,
        platform::{attach_platform, platform_headers},
    },
    pico_args::Arguments,
    std::{path::PathBuf, sync::Arc},
    tokio::signal::unix::{SignalKind, signal},
};

/// Names the settings file where the command line doesn't.
const SETTINGS_VARIABLE: &str = "SADDLEPULLEY_NODE_FILE";

/// Runs `gateway`.
pub fn gateway(mut args: Arguments) -> Result<(), CliError> {
    if args.contains("--default-settings") {
        print!("{DEFAULT_GATEWAY_SETTINGS}");
        return Ok(());
    }
    let path: Option<PathBuf> = args.opt_value_from_str("--settings")?;
    finish(args)?;
    let from_variable = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let path = path.or_else(from_variable).ok_or_else(|| {
        CliError::Usage(format!("expected --settings FILE or {SETTINGS_VARIABLE}"))
    })?;
    let settings = GatewaySettings::read(&path)?;
    LogWriter::install().map_err(|e| CliError::Failed(e.to_string()))?;
    // One machine has a fraction of one core: more threads would only wait.
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(run_gateway(settings))
}

async fn run_gateway(settings: GatewaySettings) -> Result<(), CliError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let source = settings.source.clone();
    let names = match source {
        SourceSettings::File { .. } => HeaderNames::default(),
        SourceSettings::Platform { .. } => platform_headers(),
    };
    let state = Arc::new(Gateway::new(settings, names, rand::random()));
    let mut process = GatewayProcess::start(state).await?;
    match source {
        SourceSettings::File { path } => {
            let gateway = process.gateway().clone();
            process.spawn(follow_file(path, gateway));
        }
        SourceSettings::Platform { store, cloud } => {
            attach_platform(&mut process, store, cloud);
        }
    }
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            // Nothing in the settings changes while a daemon runs.
            _ = hangup.recv() => log::info!(target: "gateway", "hangup: settings are read at the next start"),
        }
    }
    process.stop().await;
    log::logger().flush();
    Ok(())
}
