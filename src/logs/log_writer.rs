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

/// Maximum number of lines that wait for the reader of standard output. Further lines are
/// dropped.
const MAX_WAITING: usize = 1_024;
/// Approximate maximum size of one write, in bytes.
const MAX_WRITE_BYTES: usize = 32 * 1024;
/// The part under which dropped lines are logged.
const OWN_PART: &str = "log";
/// Maximum time that a flush waits for the last lines to be written. A reader of standard
/// output that has not read them by then is slow or gone.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A command to the writer thread.
enum Command {
    /// Writes a line.
    Line(String),
    /// Sends a message once all lines before this command are written.
    Flush(SyncSender<()>),
}

/// Writes log lines in a thread of its own, so that logging never blocks.
#[derive(Debug)]
pub struct LogWriter {
    budget: Mutex<LineBudget>,
    commands: SyncSender<Command>,
}

impl LogWriter {
    /// Starts a writer thread for an output.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (commands, queue) = sync_channel(MAX_WAITING);
        thread::spawn(move || write_lines(output, &queue));
        Self {
            budget: Mutex::default(),
            commands,
        }
    }

    /// Installs a writer to standard output as the logger of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if a logger is installed already.
    pub fn install() -> Result<(), SetLoggerError> {
        log::set_boxed_logger(Box::new(Self::start(std::io::stdout())))?;
        log::set_max_level(log::LevelFilter::Info);
        Ok(())
    }

    /// Writes a line, or drops it and counts it as dropped. `message` is called only for a
    /// line that is written.
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
        // The daemon's parts have short names as targets; libraries log under their module
        // paths and are ignored.
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
            // On a timeout nobody reads the lines, so they may be lost with the process.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(mut output: impl Write, queue: &Receiver<Command>) {
    while let Ok(first) = queue.recv() {
        let mut text = String::new();
        let mut flushed = Vec::new();
        let mut next = Some(first);
        // Lines that are already queued are written together.
        while let Some(command) = next {
            match command {
                Command::Line(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                Command::Flush(done) => flushed.push(done),
            }
            let has_room = text.len() < MAX_WRITE_BYTES;
            next = has_room.then(|| queue.try_recv().ok()).flatten();
        }
        let written = output.write_all(text.as_bytes());
        if written.and_then(|()| output.flush()).is_err() {
            return;
        }
        for done in flushed {
            // Sending fails if the flush has timed out; then nobody needs the message.
            let _ = done.try_send(());
        }
    }
}
