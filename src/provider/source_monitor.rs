use {
    crate::{
        clock::{self, BootInstant},
        policy::SourceHealth,
    },
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{fmt::Display, time::Duration},
    tokio::sync::watch,
};

/// How much longer than its hold a read may take before another one is begun beside it.
const OVERDUE_AFTER: Duration = Duration::from_millis(400);

/// Watches all calls of a daemon to a shared source, so that none waits for an answer that
/// won't come while others are answered.
#[derive(Debug)]
pub struct SourceMonitor {
    started: BootInstant,
    silence: watch::Sender<SourceHealth>,
}

impl Default for SourceMonitor {
    fn default() -> Self {
        Self {
            started: BootInstant::now(),
            silence: watch::Sender::default(),
        }
    }
}

impl SourceMonitor {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Makes a call and notes whether the source answered.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub async fn call<T, E>(&self, call: impl Future<Output = Result<T, E>>) -> Result<T, E> {
        let began_ms = self.now_ms();
        // Nobody waits for this.
        self.silence.send_if_modified(|silence| {
            silence.record_call(began_ms);
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
        self.silence.send_if_modified(|silence| {
            let was_silent = silence.is_silent();
            silence.record_failure(began_ms);
            !was_silent
        });
    }

    fn record_answer(&self, now_ms: u64) {
        self.silence.send_if_modified(|silence| {
            let silent_ms = silence.record_answer(now_ms);
            if let Some(silent_ms) = silent_ms {
                log::info!(target: "store", "the source answers again. silent_ms={silent_ms}");
            }
            silent_ms.is_some()
        });
    }

    /// Begins a read that the source may hold until there is news, and returns its answer.
    /// One that began while the source was silent, or just before, may hang on after its
    /// return for as long as it is waited for, and what came meanwhile with it: further ones
    /// are begun beside it, one as soon as any call is answered again, and the first answer
    /// counts. The first read is waited for, however slow it is.
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
        let mut changes = self.silence.subscribe();
        let mut returns = changes.borrow_and_update().returns();
        let hold = match changes.borrow().is_silent() {
            true => Duration::ZERO,
            false => hold,
        };
        let mut reads = FuturesUnordered::new();
        let ordered = |is_first: bool, read: F| async move { (is_first, read.await) };
        reads.push(ordered(true, read(hold)));
        let mut overdue = Box::pin(clock::sleep(hold + OVERDUE_AFTER));
        let mut is_overdue = false;
        loop {
            let begins = tokio::select! {
                Some((is_first, answer)) = reads.next() => match answer {
                    Ok(news) => return Ok(news),
                    Err(e) if is_first => return Err(e),
                    Err(e) => {
                        log::info!(target: "store", "a further read failed. error=\"{e}\"");
                        false
                    }
                },
                // The sender lives as long as this watch.
                _ = changes.changed() => {
                    let before = std::mem::replace(&mut returns, changes.borrow().returns());
                    returns > before
                }
                () = &mut overdue, if !is_overdue => {
                    is_overdue = true;
                    true
                }
                () = self.until_probe() => true,
            };
            if begins {
                reads.push(ordered(false, read(Duration::ZERO)));
            }
        }
    }

    /// Waits until another call is to find out whether the source answers again.
    async fn until_probe(&self) {
        loop {
            let probe_in_ms = self.silence.borrow().probe_in_ms(self.now_ms());
            match probe_in_ms {
                None => std::future::pending().await,
                Some(0) => return,
                Some(ms) => clock::sleep(Duration::from_millis(ms)).await,
            }
        }
    }

    /// Pauses after a call that failed, at most until the source answers another one.
    pub async fn pause(&self, pause: Duration) {
        let mut changes = self.silence.subscribe();
        let returns = changes.borrow().returns();
        let is_back = changes.wait_for(|silence| silence.returns() > returns);
        // In vain: the pause is over.
        let _ = clock::timeout(pause, is_back).await;
    }
}
