use {
    super::{CliError, finish},
    crate::{conf::Settings, contracts::TableFile},
    pico_args::Arguments,
    std::path::PathBuf,
};

/// Runs `check`.
pub fn check(mut args: Arguments) -> Result<(), CliError> {
    let settings: Option<PathBuf> = args.opt_value_from_str("--settings")?;
    let table: Option<PathBuf> = args.opt_value_from_str("--table")?;
    finish(args)?;
    if settings.is_none() && table.is_none() {
        return Err(CliError::Usage(
            "expected --settings or --table".to_string(),
        ));
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
