/// The ids that one upstream has written in one stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamIds {
    /// The id of the first event, of a stream that began at the upstream.
    pub first: Option<u64>,
    /// By how much ids rose; the first step that differs from those before it, if they differ.
    pub step: Option<u64>,
    /// The steps differ.
    pub is_uneven: bool,
}

impl StreamIds {
    /// Records the id of a stream's first event.
    pub fn record_first(&mut self, id: u64) {
        self.first = Some(id);
    }

    /// Records by how much an id rose.
    pub fn record_step(&mut self, step: u64) {
        if *self.step.get_or_insert(step) != step && !self.is_uneven {
            self.step = Some(step);
            self.is_uneven = true;
        }
    }
}
