//! Command line that runs a stand-in or the load generator as a separate process.

use {
    pico_args::Arguments,
    saddlepulley_standin::{
        engine::{Engine, EngineConfig},
        http::ServerHandle,
        load::{LoadReport, Workload, run as run_load},
        plain::{Plain, PlainConfig},
        platform::Platform,
    },
    std::{error::Error, net::SocketAddr, process::ExitCode},
};

const HELP: &str = "\
saddlepulley-standin: stand-ins for what saddlepulley meets

  saddlepulley-standin platform --listen 127.0.0.1:7900
  saddlepulley-standin engine   --listen 127.0.0.1:8001 --name e1 [--slots 16] [--step-ms 10]
  saddlepulley-standin plain    --listen 127.0.0.1:8101 --name p1 [--work-ms 5] [--checks-fence]
  saddlepulley-standin load     --workload workloads/austin.toml --at 127.0.0.1:7001,127.0.0.1:7002

`load` prints a report as JSON. Each of the others runs until it is stopped, and takes orders to misbehave at /control/faults.
";

#[tokio::main]
async fn main() -> ExitCode {
    match run(Arguments::from_env()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("saddlepulley-standin: {e}");
            ExitCode::from(2)
        }
    }
}

async fn run(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let command = args.subcommand()?;
    let running = match command.as_deref() {
        Some("platform") => Platform::start(listen(&mut args)?).await?,
        Some("engine") => engine(&mut args).await?,
        Some("plain") => plain(&mut args).await?,
        Some("load") => return load(&mut args).await,
        _ => return Err(HELP.into()),
    };
    println!("listening on {}", running.addr());
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn listen(args: &mut Arguments) -> Result<SocketAddr, pico_args::Error> {
    args.value_from_str("--listen")
}

async fn engine(args: &mut Arguments) -> Result<ServerHandle, Box<dyn Error>> {
    let addr = listen(args)?;
    let default = EngineConfig::default();
    let cfg = EngineConfig {
        name: args.value_from_str("--name")?,
        slots: args.opt_value_from_str("--slots")?.unwrap_or(default.slots),
        step_ms: args
            .opt_value_from_str("--step-ms")?
            .unwrap_or(default.step_ms),
        ..default
    };
    Ok(Engine::start(addr, cfg).await?)
}

async fn load(args: &mut Arguments) -> Result<(), Box<dyn Error>> {
    let path: String = args.value_from_str("--workload")?;
    let at: String = args.value_from_str("--at")?;
    let boxes: Result<Vec<SocketAddr>, _> = at.split(',').map(str::parse).collect();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let workload: Workload = toml::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let samples = run_load(&workload, &boxes?).await;
    println!(
        "{}",
        serde_json::to_string_pretty(&LoadReport::from_samples(&samples))?
    );
    Ok(())
}

async fn plain(args: &mut Arguments) -> Result<ServerHandle, Box<dyn Error>> {
    let addr = listen(args)?;
    let cfg = PlainConfig {
        name: args.value_from_str("--name")?,
        work_ms: args.opt_value_from_str("--work-ms")?.unwrap_or(5),
        checks_fence: args.contains("--checks-fence"),
    };
    Ok(Plain::start(addr, cfg).await?)
}
