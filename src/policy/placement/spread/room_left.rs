/// The room of a failure domain for a service, by the newest figures of its hubs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomLeft {
    /// The work that the domain can take, in milliseconds of an upstream of usual speed.
    pub work_ms: f64,
    /// The least time to the first event at an upstream there, in milliseconds, for a request whose
    /// prompt is empty.
    pub best_ms: f64,
    /// The age of the newest figure, in milliseconds.
    pub age_ms: u64,
    /// The age at which that figure lapses, in milliseconds.
    pub lapse_ms: u64,
    /// The number of the domain's hubs whose figures count.
    pub hubs: usize,
}

impl RoomLeft {
    /// Returns the work, reduced in proportion to the age of the newest figure.
    pub fn aged_ms(&self) -> f64 {
        let age = self.age_ms as f64 / self.lapse_ms.max(1) as f64;
        self.work_ms * (1.0 - age).max(0.0)
    }
}
