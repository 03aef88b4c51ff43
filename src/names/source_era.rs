use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The era of a shared source. It rises each time the source returns from an older copy of
/// itself: what was written since the copy is gone, and its offsets are given out again. The
/// same offset in two eras is not the same record, so offsets order only within an era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SourceEra(u64);

impl SourceEra {
    /// The era of a source that names none, and of daemons whose builds know of none.
    pub const UNNAMED: Self = Self(0);

    /// Creates the era with a number.
    pub fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the era; 0 if it has no name.
    pub fn number(self) -> u64 {
        self.0
    }

    /// Returns true if the era has a name.
    pub fn is_named(self) -> bool {
        self != Self::UNNAMED
    }

    /// Returns true if the era has no name.
    pub fn is_unnamed(&self) -> bool {
        !self.is_named()
    }

    /// Returns how many eras have begun after an earlier one.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns true if the source has returned from a copy between an earlier era and this
    /// one. An unnamed era tells nothing: the source may only have begun to name its eras.
    pub fn follows_restore(self, earlier: Self) -> bool {
        earlier.is_named() && self > earlier
    }
}

impl fmt::Display for SourceEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A position in a topic of a shared source. A position of a later era is later, whatever the
/// offsets are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SourcePosition {
    /// The era in which the offset counts.
    pub era: SourceEra,
    /// The offset of the next record.
    pub offset: u64,
}
