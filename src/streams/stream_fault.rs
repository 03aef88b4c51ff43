use displaydoc::Display;

/// Why bytes of an upstream are no part of the stream that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, thiserror::Error)]
pub enum StreamFault {
    /// the answer is no event stream
    NotAStream,
    /// an event has no id
    NoId,
    /// an event has no data
    NoData,
    /// the id of an event is no number
    BadId,
    /// an event has a second id
    SecondId,
    /// a line is no field of an event
    BadLine,
    /// the id {id} does not rise above {last}
    NotRising {
        /// The id of the event.
        id: u64,
        /// The id of the event before it.
        last: u64,
    },
    /// the id {id} stands where {due} is due
    NotDue {
        /// The id of the event.
        id: u64,
        /// The id that the service's other streams have there.
        due: u64,
    },
    /// the stream falls back after the id {id}
    FallsBack {
        /// The id of the event that lies ahead.
        id: u64,
    },
}

impl StreamFault {
    /// Returns the name of the fault for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NotAStream => "not-a-stream",
            Self::NoId => "no-id",
            Self::NoData => "no-data",
            Self::BadId => "bad-id",
            Self::SecondId => "second-id",
            Self::BadLine => "bad-line",
            Self::NotRising { .. } => "not-rising",
            Self::NotDue { .. } => "not-due",
            Self::FallsBack { .. } => "falls-back",
        }
    }
}
