use {
    crate::conf::{LogFormat, LogSettings},
    std::{io, time::SystemTime},
};

/// Sends logs to standard error: a time, a level, the part's name and a short sentence.
///
/// # Errors
///
/// Returns an error if logs were set up before.
pub fn start_logs(s: &LogSettings) -> Result<(), log::SetLoggerError> {
    let format = s.format;
    fern::Dispatch::new()
        .level(s.level)
        // Our parts have short names; libraries log by their module paths.
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
