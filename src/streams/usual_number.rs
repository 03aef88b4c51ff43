/// What is known of a number that the sound streams of a service share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UsualNumber {
    /// Too few streams have been read.
    #[default]
    Unknown,
    /// All sound streams have this one.
    Always(u64),
    /// It differs between sound streams.
    Varies,
}
