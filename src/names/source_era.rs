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
    /// No known era: of offsets from daemons whose builds know of none.
    pub const UNKNOWN: Self = Self(0);
    /// The era of a source that has not named one so far.
    pub const FIRST: Self = Self(1);

    /// Returns the era that a source names by a number.
    pub fn named(number: u64) -> Self {
        Self(number.saturating_add(Self::FIRST.0))
    }

    /// Returns the era with this code.
    pub fn from_code(code: u64) -> Self {
        Self(code)
    }

    /// Returns the number of the era in messages between daemons.
    pub fn code(self) -> u64 {
        self.0
    }

    /// Returns true if the era is known.
    pub fn is_known(self) -> bool {
        !self.is_unknown()
    }

    /// Returns true if the era is not known.
    pub fn is_unknown(&self) -> bool {
        *self == Self::UNKNOWN
    }

    /// Returns how many eras have begun after an earlier one.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns true if the source has returned from a copy between an earlier era and this
    /// one. An unknown era shows nothing.
    pub fn follows_restore(self, earlier: Self) -> bool {
        earlier.is_known() && self > earlier
    }
}

impl fmt::Display for SourceEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::UNKNOWN => "unknown".fmt(f),
            Self::FIRST => "first".fmt(f),
            Self(code) => (code - Self::FIRST.0).fmt(f),
        }
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
