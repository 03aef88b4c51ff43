use {
    super::{CliError, block_on, finish, table_command::read_table},
    crate::{names::*, provider::PlatformHttp, report::*},
    pico_args::Arguments,
    std::{fs, net::SocketAddr, path::PathBuf},
};

/// Runs `report`.
pub fn report(mut args: Arguments) -> Result<(), CliError> {
    let platform: SocketAddr = args.value_from_str("--platform")?;
    let as_json = args.contains("--json");
    let html: Option<PathBuf> = args.opt_value_from_str("--html")?;
    finish(args)?;
    let report = block_on(async {
        let log = PlatformHttp::new(platform);
        let (table, _) = read_table(&log).await?;
        Ok(Report::read(&log, &table, now_ms()).await?)
    })?;
    if let Some(path) = html {
        fs::write(&path, to_html(&report))?;
        println!("wrote {}", path.display());
        return Ok(());
    }
    if as_json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        );
    } else {
        print!("{report}");
    }
    Ok(())
}
