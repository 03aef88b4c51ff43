use {
    super::{CliError, explain::log_sources, finish},
    crate::logs::{LogLine, SourcedLine, format_history, read_lines},
    pico_args::Arguments,
    serde_json::{Map, Value, json},
    std::{collections::BTreeMap, path::PathBuf},
};

/// The part under which daemons log rollouts.
const ROLLOUT_PART: &str = "rollout";
/// Start of the message that the leader of a rollout logs at each step.
const STEP_PREFIX: &str = "step.";

/// Runs `rollout`.
pub fn rollout(mut args: Arguments) -> Result<(), CliError> {
    let verb = args.subcommand()?;
    let as_json = args.contains("--json");
    match verb.as_deref() {
        Some("status") => status(args, as_json),
        Some("explain") => explain(args, as_json),
        _ => Err(CliError::Usage(
            "expected `rollout status` or `rollout explain SERVICE`".into(),
        )),
    }
}

/// Prints the newest step of each service's rollout.
fn status(args: Arguments, as_json: bool) -> Result<(), CliError> {
    let mut newest: BTreeMap<String, SourcedLine> = BTreeMap::new();
    for step in steps(args, |_| true)? {
        let service = step.line.value("service").unwrap_or_default().to_string();
        newest.insert(service, step);
    }
    let newest: Vec<SourcedLine> = newest.into_values().collect();
    print_lines(&newest, as_json)
}

/// Prints each step of a service's rollouts, with the figures that decided on it.
fn explain(mut args: Arguments, as_json: bool) -> Result<(), CliError> {
    let service: String = args.free_from_str()?;
    let lines = steps(args, |line| line.value("service") == Some(&service))?;
    print_lines(&lines, as_json)
}

fn steps(
    mut args: Arguments,
    is_wanted: impl Fn(&LogLine) -> bool,
) -> Result<Vec<SourcedLine>, CliError> {
    let mut files: Vec<PathBuf> = Vec::new();
    while let Some(file) = args.opt_free_from_str()? {
        files.push(file);
    }
    finish(args)?;
    let is_step = |line: &LogLine| {
        line.part == ROLLOUT_PART && line.message.starts_with(STEP_PREFIX) && is_wanted(line)
    };
    Ok(read_lines(log_sources(&files)?, is_step)?)
}

fn print_lines(lines: &[SourcedLine], as_json: bool) -> Result<(), CliError> {
    if lines.is_empty() {
        return Err(CliError::Failed(
            "no log line reports a rollout step".into(),
        ));
    }
    match as_json {
        true => println!("{}", Value::from_iter(lines.iter().map(step_as_json))),
        false => print!("{}", format_history(lines)),
    }
    Ok(())
}

fn step_as_json(logged: &SourcedLine) -> Value {
    let fields = logged.line.message.split_whitespace();
    let fields = fields.filter_map(|field| field.split_once('='));
    let mut step: Map<String, Value> = fields
        .map(|(name, value)| {
            let number = value.parse::<f64>().map(Value::from);
            (name.to_string(), number.unwrap_or_else(|_| json!(value)))
        })
        .collect();
    step.insert("time_ms".into(), json!(logged.line.time_ms));
    step.insert("source".into(), json!(logged.source));
    Value::Object(step)
}
