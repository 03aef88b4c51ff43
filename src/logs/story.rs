use {
    super::LogLine,
    std::{fmt::Write, io::BufRead},
};

/// Tells the story of one request from the logs of all daemons: each line that
/// names it, in the order of time, behind the name of its source.
///
/// Lines that are not log lines are passed over, as is what stands before the
/// first brace of a line (a collector's prefix).
///
/// # Errors
///
/// Returns the error of a source that can't be read.
pub fn tell_story(
    request: &str,
    sources: Vec<(String, Box<dyn BufRead>)>,
) -> std::io::Result<String> {
    let mut lines = Vec::new();
    for (name, source) in sources {
        for text in source.lines() {
            let text = text?;
            if let Some((prefix, line)) = parse(&text)
                && line.value("request") == Some(request)
            {
                lines.push((line, name.clone(), prefix));
            }
        }
    }
    lines.sort_by_key(|(line, _, _)| line.time_ms);
    let mut story = String::new();
    let first_ms = lines.first().map_or(0, |(line, _, _)| line.time_ms);
    for (line, name, prefix) in lines {
        let source = if prefix.is_empty() { &name } else { &prefix };
        let after_ms = line.time_ms - first_ms;
        let _ = writeln!(
            story,
            "+{after_ms} ms {source} {}: {}",
            line.part, line.message
        );
    }
    Ok(story)
}

fn parse(text: &str) -> Option<(String, LogLine)> {
    let brace = text.find('{')?;
    let line = serde_json::from_str(&text[brace..]).ok()?;
    Some((text[..brace].trim().to_string(), line))
}
