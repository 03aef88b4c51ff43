/// What to do with an event whose fields are sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// It goes on to the client, after one that was held.
    Pass,
    /// It waits for the next one, which shows whether it belongs to the stream.
    Hold,
}
