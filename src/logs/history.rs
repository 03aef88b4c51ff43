use {
    super::LogLine,
    std::{fmt::Write, io::BufRead},
};

/// A source of log lines, with its name.
pub type LogSource = (String, Box<dyn BufRead>);

/// A log line with the source that wrote it.
#[derive(Clone, Debug)]
pub struct SourcedLine {
    /// The line.
    pub line: LogLine,
    /// The prefix that a log collector put before the line, or else the name of the source.
    pub source: String,
}

/// Reads all lines of the sources for which `is_wanted` returns true, ordered by time.
///
/// Lines that are not log lines are skipped. Text before the first brace of a line is taken as
/// the prefix of a log collector.
///
/// # Errors
///
/// Returns the error of a source that can't be read.
pub fn read_lines(
    sources: Vec<LogSource>,
    is_wanted: impl Fn(&LogLine) -> bool,
) -> std::io::Result<Vec<SourcedLine>> {
    let mut lines = Vec::new();
    for (name, source) in sources {
        for text in source.lines() {
            let Some((prefix, line)) = parse(&text?) else {
                continue;
            };
            if is_wanted(&line) {
                let source = if prefix.is_empty() {
                    name.clone()
                } else {
                    prefix
                };
                lines.push(SourcedLine { line, source });
            }
        }
    }
    lines.sort_by_key(|sourced| sourced.line.time_ms);
    Ok(lines)
}

/// Returns the history of one request from the logs of all daemons: each line that names the
/// request, ordered by time and preceded by its source.
///
/// # Errors
///
/// Returns the error of a source that can't be read.
pub fn request_history(request: &str, sources: Vec<LogSource>) -> std::io::Result<String> {
    let names_request = |line: &LogLine| line.value("request") == Some(request);
    Ok(format_history(&read_lines(sources, names_request)?))
}

/// Formats lines with the time since the first one.
pub fn format_history(lines: &[SourcedLine]) -> String {
    let mut history = String::new();
    let first_ms = lines.first().map_or(0, |sourced| sourced.line.time_ms);
    for SourcedLine { line, source } in lines {
        let after_ms = line.time_ms - first_ms;
        let _ = writeln!(
            history,
            "+{after_ms} ms {source} {}: {}",
            line.part, line.message
        );
    }
    history
}

fn parse(text: &str) -> Option<(String, LogLine)> {
    let brace = text.find('{')?;
    let line = serde_json::from_str(&text[brace..]).ok()?;
    Some((text[..brace].trim().to_string(), line))
}
