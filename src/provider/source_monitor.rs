use {
    crate::{
        clock::{self, BootInstant},
        policy::SourceHealth,
    },
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{fmt::Display, time::Duration},
    tokio::sync::watch,
};

/// How long after the end of its hold time a read may remain unanswered before a second read
/// starts beside it.
const OVERDUE_AFTER: Duration = Duration::from_millis(400);

/// Monitors all calls of a daemon to a shared source, so that no call waits for a lost answer
/// while the source answers others.
#[derive(Debug)]
pub struct SourceMonitor {
    started: BootInstant,
    health: watch::Sender<SourceHealth>,
}

impl Default for SourceMonitor {
    fn default() -> Self {
        Self {
            started: BootInstant::now(),
            health: watch::Sender::default(),
        }
    }
}

impl SourceMonitor {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Makes a call and records if the source answered it.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn call<T, E>(&self, call: impl Future<Output = Result<T, E>>) -> Result<T, E> {
        let began_ms = self.now_ms();
        // The start of a call concerns no subscriber.
        self.health.send_if_modified(|health| {
            health.record_call(began_ms);
            false
        });
        let answer = call.await;
        let now_ms = self.now_ms();
        match &answer {
            Ok(_) => self.record_answer(now_ms),
            Err(_) => self.record_failure(began_ms),
        }
        answer
    }

    fn record_failure(&self, began_ms: u64) {
        self.health.send_if_modified(|health| {
            let was_silent = health.is_silent();
            health.record_failure(began_ms);
            !was_silent
        });
    }

    fn record_answer(&self, now_ms: u64) {
        self.health.send_if_modified(|health| {
            let silent_ms = health.record_answer(now_ms);
            if let Some(silent_ms) = silent_ms {
                log::info!(target: "store", "source answers again. silent_ms={silent_ms}");
            }
            silent_ms.is_some()
        });
    }

    /// Makes a long poll: a read that the source may hold for up to `hold` until there are
    /// changes. Returns the first answer.
    ///
    /// A read that began while the source was silent, or just before, may hang even after the
    /// source has recovered, and delay the changes since. So further reads, which the source does
    /// not hold, are started beside it: as soon as any call is answered again, when the first
    /// read is overdue, and at each probe of a silent source. The first read is never cancelled
    /// for being slow.
    ///
    /// # Errors
    ///
    /// Returns the error of the first read.
    pub async fn long_poll<T, E, F>(
        &self,
        hold: Duration,
        mut read: impl FnMut(Duration) -> F,
    ) -> Result<T, E>
    where
        E: Display,
        F: Future<Output = Result<T, E>>,
    {
        let mut changes = self.health.subscribe();
        let mut recoveries = changes.borrow_and_update().recoveries();
        let hold = match changes.borrow().is_silent() {
            true => Duration::ZERO,
            false => hold,
        };
        let mut reads = FuturesUnordered::new();
        let tagged = |is_first: bool, read: F| async move { (is_first, read.await) };
        reads.push(tagged(true, read(hold)));
        let mut overdue = Box::pin(clock::sleep(hold + OVERDUE_AFTER));
        let mut is_overdue = false;
        loop {
            let starts_read = tokio::select! {
                Some((is_first, answer)) = reads.next() => match answer {
                    Ok(reply) => return Ok(reply),
                    Err(e) if is_first => return Err(e),
                    Err(e) => {
                        log::info!(target: "store", "additional read of the source failed. error=\"{e}\"");
                        false
                    }
                },
                // Never fails, as the sender lives as long as this monitor.
                _ = changes.changed() => {
                    let before = std::mem::replace(&mut recoveries, changes.borrow().recoveries());
                    recoveries > before
                }
                () = &mut overdue, if !is_overdue => {
                    is_overdue = true;
                    true
                }
                () = self.until_probe_is_due() => true,
            };
            if starts_read {
                reads.push(tagged(false, read(Duration::ZERO)));
            }
        }
    }

    /// Waits until the next probe of a silent source is due; never returns while the source
    /// answers.
    async fn until_probe_is_due(&self) {
        loop {
            let probe_in_ms = self.health.borrow().probe_in_ms(self.now_ms());
            match probe_in_ms {
                None => std::future::pending().await,
                Some(0) => return,
                Some(ms) => clock::sleep(Duration::from_millis(ms)).await,
            }
        }
    }

    /// Waits for `pause` after a failed call, but at most until the source answers again.
    pub async fn pause(&self, pause: Duration) {
        let mut changes = self.health.subscribe();
        let recoveries = changes.borrow().recoveries();
        let recovered = changes.wait_for(|health| health.recoveries() > recoveries);
        // A timeout means that the pause has ended.
        let _ = clock::timeout(pause, recovered).await;
    }
}
