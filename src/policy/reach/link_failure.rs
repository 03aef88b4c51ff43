/// How an attempt to open a connection failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFailure {
    /// The other end, or the network, rejected the connection.
    #[default]
    Refused,
    /// Nothing answered within the timeout.
    TimedOut,
}
