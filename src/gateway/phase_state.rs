use {super::*, crate::policy::StopSchedule};

/// The phases of a daemon: it accepts clients once it knows a configuration and upstreams,
/// until it stops.
impl Gateway {
    /// Makes the daemon ready if it is starting and both a configuration and the upstreams are
    /// known.
    pub fn check_ready(&self) {
        let known = self.table().is_some() && self.directory.read().revision() > 0;
        self.phase.send_if_modified(|phase| {
            let becomes_ready = known && *phase == GatewayPhase::Starting;
            if becomes_ready {
                log::info!(target: "gateway", "ready.");
                *phase = GatewayPhase::Ready;
            }
            becomes_ready
        });
    }

    /// Returns whether new clients are accepted. A daemon that can serve none of their requests leaves
    /// them to others, such as daemons of a build that passes no requests on.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == GatewayPhase::Ready && !self.is_cut_off()
    }

    /// Begins a planned stop and returns its schedule. A repeated call returns the schedule of
    /// the first one.
    pub fn begin_stop(&self) -> StopSchedule {
        let stop_ms = (self.settings.bounds.stop_s * 1_000.0) as u64;
        let began = (self.steady_ms(), StopSchedule::new(stop_ms));
        let (_, times) = self.stop.get_or_init(|| began);
        self.phase.send_replace(GatewayPhase::Stopping);
        self.announce_early.notify_one();
        *times
    }

    /// Returns whether a request is accepted whose client waits up to `wait_ms` milliseconds
    /// for the answer. During a planned stop this depends on the time that is left.
    pub fn accepts_request(&self, wait_ms: u64) -> bool {
        let now_ms = self.steady_ms();
        let stop = self.stop.get();
        stop.is_none_or(|(began_ms, times)| {
            times.accepts(now_ms.saturating_sub(*began_ms), wait_ms)
        })
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() == GatewayPhase::Stopping
    }
}
