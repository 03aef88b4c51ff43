/// The outcome of holding more bytes in a [`BufferBudget`](super::BufferBudget).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Added {
    /// Whether the bytes are held now. If not, the caller has to try again later or refuse them.
    pub is_held: bool,
    /// The ids of the answers that are cut off to make room. Nothing is held for them any more.
    pub shed: Vec<u64>,
}
