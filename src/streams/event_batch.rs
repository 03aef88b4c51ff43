use {super::StreamFault, bytes::Bytes};

/// What a piece of a stream brings for the client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// Complete events and comments, unchanged.
    pub bytes: Bytes,
    /// The id of the last event in `bytes`.
    pub last_id: Option<u64>,
    /// Why the bytes that follow `bytes` belong to no run. Nothing may be read after them.
    pub fault: Option<StreamFault>,
}
