/// The use of an upstream's memory with a new request. Long prompts may fill the memory before the slots
/// are taken; the upstream then preempts some of its requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// The tokens that the memory holds; 0 if that is unknown, and no request then exceeds it.
    pub capacity: u64,
    /// The tokens that running requests hold.
    pub held: u64,
    /// The tokens that the new request adds.
    pub added: u64,
}

impl MemoryUse {
    /// Returns the tokens by which the new request exceeds the memory.
    pub fn excess(&self) -> u64 {
        match self.capacity {
            0 => 0,
            capacity => self
                .held
                .saturating_add(self.added)
                .saturating_sub(capacity),
        }
    }
}
