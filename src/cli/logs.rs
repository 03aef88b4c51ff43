use {
    crate::conf::{LogFormat, LogSettings},
    std::{io, time::SystemTime},
};

/// Installs a logger that writes to standard error: time, level, the part of the daemon that logs,
/// and the message.
///
/// # Errors
///
/// Returns an error if a logger is already installed.
pub fn start_logs(s: &LogSettings) -> Result<(), log::SetLoggerError> {
    let format = s.format;
    fern::Dispatch::new()
        .level(s.level)
        // The targets of this crate are short names; libraries log under their module paths,
        // which contain `::`.
        .filter(|meta| !meta.target().contains("::"))
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            match format {
                LogFormat::Text => out.finish(format_args!(
                    "{time} {:5} {}: {message}",
                    record.level(),
                    record.target()
                )),
                LogFormat::Json => {
                    let line = serde_json::json!({
                        "time": time.to_string(),
                        "level": record.level().as_str(),
                        "part": record.target(),
                        "message": message.to_string(),
                    });
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(io::stderr())
        .apply()
}
