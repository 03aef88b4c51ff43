use http::response::Parts;

/// Marks the head of an answer whose body ends with the upstream's connection, as it has neither a length nor
/// chunks. When the upstream crashes, such an answer may look whole. A daemon that relays an answer
/// passes the mark on, since the body arrives in chunks then.
#[derive(Clone, Copy, Debug)]
pub struct EndsWithConnection;

/// Returns whether the body of an upstream's answer ends with the upstream's connection.
pub fn ends_with_connection(head: &Parts) -> bool {
    head.extensions.get::<EndsWithConnection>().is_some()
}
