use {
    super::{CliError, finish},
    crate::logs::{LogSource, request_history},
    pico_args::Arguments,
    std::{
        fs::File,
        io::{BufReader, stdin},
        path::PathBuf,
    },
};

/// Runs `explain`.
pub fn explain(mut args: Arguments) -> Result<(), CliError> {
    let request: String = args.free_from_str()?;
    let mut files: Vec<PathBuf> = Vec::new();
    while let Some(file) = args.opt_free_from_str()? {
        files.push(file);
    }
    finish(args)?;
    let history = request_history(&request, log_sources(&files)?)?;
    if history.is_empty() {
        return Err(CliError::Failed(format!("no line names request {request}")));
    }
    print!("{history}");
    Ok(())
}

/// Opens log files, or standard input if no file is given.
pub fn log_sources(files: &[PathBuf]) -> Result<Vec<LogSource>, CliError> {
    if files.is_empty() {
        return Ok(vec![("-".into(), Box::new(BufReader::new(stdin())))]);
    }
    let mut sources: Vec<LogSource> = Vec::new();
    for path in files {
        let name = path.display().to_string();
        let file = File::open(path).map_err(|e| CliError::Failed(format!("{name}: {e}")))?;
        sources.push((name, Box::new(BufReader::new(file))));
    }
    Ok(sources)
}
