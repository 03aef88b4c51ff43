/// The facts that decide whether a daemon should hold the duties, which one daemon holds
/// at a time.
#[derive(Clone, Copy, Debug)]
pub struct DutyFitness {
    /// The daemon is stopping.
    pub is_stopping: bool,
    /// The daemon is a hub and so receives the loads and the demand of all daemons.
    pub is_hub: bool,
    /// The daemon reads the shared source.
    pub reads_source: bool,
}

impl DutyFitness {
    /// Returns true if the daemon may hold the duties. A daemon that is not a hub does so
    /// only while it reads the source because the source refuses the hubs: it knows only
    /// the demand of its own failure domain and orders too few upstreams, so it leaves
    /// the duties to others once they read the source again.
    pub fn may_hold(self) -> bool {
        !self.is_stopping && (self.is_hub || self.reads_source)
    }
}
