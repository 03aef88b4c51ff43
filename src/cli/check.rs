use {
    super::{CliError, finish},
    crate::{
        conf::{GatewaySettings, Settings},
        contracts::TableFile,
        gateway::RoutesFile,
    },
    pico_args::Arguments,
    std::path::PathBuf,
};

/// Runs `check`.
pub fn check(mut args: Arguments) -> Result<(), CliError> {
    let settings: Option<PathBuf> = args.opt_value_from_str("--settings")?;
    let table: Option<PathBuf> = args.opt_value_from_str("--table")?;
    let gateway: Option<PathBuf> = args.opt_value_from_str("--gateway")?;
    let routes: Option<PathBuf> = args.opt_value_from_str("--routes")?;
    finish(args)?;
    if [&settings, &table, &gateway, &routes]
        .iter()
        .all(|path| path.is_none())
    {
        return Err(CliError::Usage(
            "expected --settings, --table, --gateway or --routes".to_string(),
        ));
    }
    if let Some(path) = gateway {
        let settings = GatewaySettings::read(&path)?;
        println!("{}: good. node={}", path.display(), settings.node.name);
    }
    if let Some(path) = routes {
        let failed = |e| CliError::Failed(format!("{}: {e}", path.display()));
        let file = RoutesFile::read(&path).map_err(failed)?;
        println!(
            "{}: good. version={} routes={} upstreams={}",
            path.display(),
            file.config.version,
            file.config.routes.len(),
            file.upstreams.len()
        );
    }
    if let Some(path) = settings {
        let s = Settings::read(&path)?;
        println!("{}: good. box={}", path.display(), s.this_box.id);
    }
    if let Some(path) = table {
        let t = TableFile::read(&path)?;
        println!(
            "{}: good. accounts={} rows={}",
            path.display(),
            t.accounts.len(),
            t.rows.len()
        );
    }
    Ok(())
}
