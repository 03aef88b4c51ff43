use {crate::names::SourceEra, parking_lot::Mutex};

/// Tracks the era of a shared source by the answers to all calls of a daemon.
#[derive(Debug, Default)]
pub struct EraTracker {
    newest: Mutex<SourceEra>,
}

impl EraTracker {
    /// Records the era that a successful answer names, and returns it. An answer without one is
    /// of the newest known era.
    pub fn record(&self, named: Option<SourceEra>) -> SourceEra {
        let mut newest = self.newest.lock();
        let era = named.unwrap_or(newest.max(SourceEra::FIRST));
        if era > *newest {
            let before = std::mem::replace(&mut *newest, era);
            match era.follows_restore(before) {
                true => {
                    log::warn!(target: "store", "source returned from an older copy. era={era} before={before}");
                }
                false => log::info!(target: "store", "source answers. era={era}"),
            }
        }
        era
    }

    /// Returns the newest known era.
    pub fn newest(&self) -> SourceEra {
        *self.newest.lock()
    }
}
