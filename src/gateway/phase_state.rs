use {super::*, crate::policy::StopTimes};

/// Whether this daemon takes clients: from when it knows enough, until it stops.
impl Gateway {
    /// Becomes ready once a configuration and upstreams are known.
    pub fn check_ready(&self) {
        let known = self.table().is_some() && self.directory.read().revision() > 0;
        self.phase.send_if_modified(|phase| {
            let becomes = known && *phase == GatewayPhase::Starting;
            if becomes {
                log::info!(target: "gateway", "ready.");
                *phase = GatewayPhase::Ready;
            }
            becomes
        });
    }

    /// Returns whether new clients are taken.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == GatewayPhase::Ready
    }

    /// Begins a planned stop; returns its times.
    pub fn begin_stop(&self) -> StopTimes {
        let stop_ms = (self.settings.bounds.stop_s * 1_000.0) as u64;
        let began = (self.steady_ms(), StopTimes::new(stop_ms));
        let (_, times) = self.stop.get_or_init(|| began);
        self.phase.send_replace(GatewayPhase::Stopping);
        self.announce_early.notify_one();
        *times
    }

    /// Returns whether a request is taken whose client waits for that long, in
    /// milliseconds.
    pub fn accepts_request(&self, wait_ms: u64) -> bool {
        let now_ms = self.steady_ms();
        let stop = self.stop.get();
        stop.is_none_or(|(began_ms, times)| times.takes(now_ms.saturating_sub(*began_ms), wait_ms))
    }

    /// Returns whether this daemon will stop.
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() == GatewayPhase::Stopping
    }
}
