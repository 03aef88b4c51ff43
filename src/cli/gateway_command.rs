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
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Environment variable with the path of the settings file, used without `--settings`.
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
    // A box has a fraction of one processor core: more threads would only wait for it.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Handlers are installed before anything else: without one, SIGHUP ends the process.
    let signals = {
        let _context = runtime.enter();
        Signals::install()?
    };
    let settings = GatewaySettings::read(&path)?;
    LogWriter::install().map_err(|e| CliError::Failed(e.to_string()))?;
    runtime.block_on(run_gateway(settings, signals))
}

/// The signals that a daemon handles.
struct Signals {
    term: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> std::io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT, which start a planned stop.
    async fn wait_for_stop(mut self) {
        loop {
            tokio::select! {
                _ = self.term.recv() => return,
                _ = self.interrupt.recv() => return,
                // Settings are not reloaded while a daemon runs.
                _ = self.hangup.recv() => log::info!(target: "gateway", "SIGHUP ignored. settings are read only at the start"),
            }
        }
    }
}

async fn run_gateway(settings: GatewaySettings, signals: Signals) -> Result<(), CliError> {
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
            gateway.begin_without_version_records();
            process.spawn(follow_file(path, gateway));
        }
        SourceSettings::Platform { store, cloud } => {
            attach_platform(&mut process, store, cloud);
        }
    }
    signals.wait_for_stop().await;
    process.stop().await;
    log::logger().flush();
    Ok(())
}
