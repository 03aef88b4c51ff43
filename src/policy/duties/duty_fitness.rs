/// What decides whether a daemon should hold the duties that one has at a time.
#[derive(Clone, Copy, Debug)]
pub struct DutyFitness {
    /// Whether it will stop.
    pub is_stopping: bool,
    /// Whether it is a hub: it then hears the loads and the demand of all.
    pub is_hub: bool,
    /// Whether it reads the shared source.
    pub reads_source: bool,
}

impl DutyFitness {
    /// Returns whether a holder goes on. One that is no hub steps in while the source
    /// turns the hubs away, but knows the demand of its own failure domain only, and
    /// orders too few upstreams: once others read the source again, it is theirs.
    pub fn may_hold(self) -> bool {
        !self.is_stopping && (self.is_hub || self.reads_source)
    }
}
