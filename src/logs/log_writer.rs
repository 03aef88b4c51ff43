use {
    super::{LineBudget, LogLine},
    crate::names::now_ms,
    log::{Level, Log, Metadata, Record, SetLoggerError},
    parking_lot::Mutex,
    std::{
        io::Write,
        sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
        thread,
        time::Duration,
    },
};

/// How many lines may wait for a reader of standard output.
const MAX_WAITING: usize = 1_024;
/// About how much is written at a time, in bytes.
const MAX_WRITE_BYTES: usize = 32 * 1024;
/// The part that tells of dropped lines.
const OWN_PART: &str = "log";
/// How long is waited for the last lines to be written: a reader that has not
/// taken them by then is slow or gone.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// What the writing thread is given.
enum Command {
    /// A line to write.
    Line(String),
    /// To tell when all lines before it are written.
    Flush(SyncSender<()>),
}

/// Writes lines from a thread of its own: whoever logs never waits.
#[derive(Debug)]
pub struct LogWriter {
    budget: Mutex<LineBudget>,
    commands: SyncSender<Command>,
}

impl LogWriter {
    /// Starts writing to an output.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (commands, waiting) = sync_channel(MAX_WAITING);
        thread::spawn(move || write_lines(output, &waiting));
        Self {
            budget: Mutex::default(),
            commands,
        }
    }

    /// Makes this the process's log, on standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if a log was set up before.
    pub fn install() -> Result<(), SetLoggerError> {
        log::set_boxed_logger(Box::new(Self::start(std::io::stdout())))?;
        log::set_max_level(log::LevelFilter::Info);
        Ok(())
    }

    /// Writes a line, or drops and counts it.
    pub fn write(&self, level: Level, part: &str, message: impl FnOnce() -> String) {
        let now = now_ms();
        let mut budget = self.budget.lock();
        let decision = budget.take(part, level <= Level::Warn, now);
        for (part, lines) in decision.dropped {
            let message = format!("dropped. of={part} lines={lines}");
            self.send(&mut budget, now, Level::Warn, OWN_PART, message);
        }
        if decision.write {
            self.send(&mut budget, now, level, part, message());
        }
    }

    fn send(
        &self,
        budget: &mut LineBudget,
        time_ms: u64,
        level: Level,
        part: &str,
        message: String,
    ) {
        let line = LogLine {
            time_ms,
            level: level.to_string(),
            part: part.to_string(),
            message,
        };
        let Ok(text) = serde_json::to_string(&line) else {
            return;
        };
        if let Err(TrySendError::Full(_)) = self.commands.try_send(Command::Line(text)) {
            budget.record_dropped(part, 1);
        }
    }
}

impl Log for LogWriter {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        // Our parts have short names; libraries log by their module paths.
        metadata.level() <= Level::Info && !metadata.target().contains("::")
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            self.write(record.level(), record.target(), || {
                record.args().to_string()
            });
        }
    }

    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.commands.try_send(Command::Flush(done)).is_ok() {
            // In vain: the lines are lost with the process, as ones that nobody reads.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(mut output: impl Write, waiting: &Receiver<Command>) {
    while let Ok(first) = waiting.recv() {
        let mut text = String::new();
        let mut flushed = Vec::new();
        let mut next = Some(first);
        // What stands ready goes out in one write.
        while let Some(command) = next {
            match command {
                Command::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                Command::Flush(done) => flushed.push(done),
            }
            let has_room = text.len() < MAX_WRITE_BYTES;
            next = has_room.then(|| waiting.try_recv().ok()).flatten();
        }
        let written = output.write_all(text.as_bytes());
        if written.and_then(|()| output.flush()).is_err() {
            return;
        }
        for done in flushed {
            // One that no longer waits needs no word.
            let _ = done.try_send(());
        }
    }
}
