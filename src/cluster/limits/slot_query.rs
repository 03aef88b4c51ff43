use {
    crate::policy::SlotRelease,
    bincode::{Decode, Encode},
};

/// A daemon's query for a slot of an upstream that bears few rejections. It is sent to the daemon that
/// gives out the slots of that upstream.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct SlotQuery {
    /// The incarnation of the daemon that sends the query.
    pub incarnation: u64,
    /// The number of the query, unique within the incarnation.
    pub id: u64,
    /// The upstream's id.
    pub upstream: String,
    /// The upstream's bound on rejections per second, as the sender knows it.
    pub bound: u32,
    /// How long the slot is needed at most, in milliseconds.
    pub max_ms: u32,
}

/// The answer to a [`SlotQuery`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct SlotAnswer {
    /// The incarnation of the daemon that sent the query.
    pub incarnation: u64,
    /// The number of the query.
    pub id: u64,
    /// The incarnation of the daemon that gives out the slot, within which slots are numbered.
    pub issuer: u64,
    /// The number of the slot; none if no slot is free.
    pub slot: Option<u64>,
}

/// Slots that a daemon no longer needs. Repeated releases change nothing.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct SlotReleases {
    /// The released slots.
    pub slots: Vec<ReleasedSlot>,
}

/// A slot that is no longer needed.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ReleasedSlot {
    /// The incarnation of the daemon that gave out the slot.
    pub issuer: u64,
    /// The upstream's id.
    pub upstream: String,
    /// The number of the slot.
    pub slot: u64,
    /// How its request ended; see [`ReleasedSlot::release`].
    pub outcome: u8,
}

const TAKEN: u8 = 0;
const REJECTED: u8 = 1;
const UNKNOWN: u8 = 2;

impl ReleasedSlot {
    /// Returns the encoded form of how a request ended.
    pub fn outcome_of(release: SlotRelease) -> u8 {
        match release {
            SlotRelease::Taken => TAKEN,
            SlotRelease::Rejected => REJECTED,
            SlotRelease::Unknown => UNKNOWN,
        }
    }

    /// Returns how the slot's request ended.
    pub fn release(&self) -> SlotRelease {
        match self.outcome {
            TAKEN => SlotRelease::Taken,
            REJECTED => SlotRelease::Rejected,
            _ => SlotRelease::Unknown,
        }
    }
}
