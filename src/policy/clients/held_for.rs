/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldFor {
    /// The body of a request, until the request is over.
    Request,
    /// A whole answer that is still read from its upstream.
    Reading,
    /// An answer that its client can take at any time.
    Client,
}
