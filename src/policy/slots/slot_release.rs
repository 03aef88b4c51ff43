/// How a request ended that had a slot of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRelease {
    /// The upstream took the request.
    Taken,
    /// The upstream rejected it for want of room.
    Rejected,
    /// The request was not sent, or it is not known whether the upstream took it.
    Unknown,
}
