use {
    super::PeerError,
    bytes::{Buf, BufMut, Bytes, BytesMut},
    serde::{Serialize, de::DeserializeOwned},
};

/// Version of the peer protocol, part of the path of each call.
///
/// Daemons of different versions don't decode each other's messages: the call is answered
/// with status 404.
pub const PEER_VERSION: u32 = 1;

/// Upper limit of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Size of the length prefix of each message in a stream, in bytes.
const LENGTH_BYTES: usize = 4;

/// Encodes a message without a length prefix.
///
/// # Errors
///
/// Returns [`PeerError::TooLarge`] for a message over [`MAX_MESSAGE_BYTES`] and
/// [`PeerError::Malformed`] for one that can't be encoded.
pub fn encode(message: &impl Serialize) -> Result<Bytes, PeerError> {
    let cfg = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let bytes = bincode::serde::encode_to_vec(message, cfg)
        .map_err(|e| PeerError::Malformed(e.to_string()))?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(PeerError::TooLarge(bytes.len()));
    }
    Ok(bytes.into())
}

/// Decodes a message.
///
/// The decoder is limited to [`MAX_MESSAGE_BYTES`], so that forged lengths inside the message
/// can't make it allocate more.
///
/// # Errors
///
/// Returns [`PeerError::TooLarge`] for a message over [`MAX_MESSAGE_BYTES`] and
/// [`PeerError::Malformed`] for one that can't be decoded or has trailing bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(PeerError::TooLarge(bytes.len()));
    }
    let cfg = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, read) = bincode::serde::decode_from_slice(bytes, cfg)
        .map_err(|e| PeerError::Malformed(e.to_string()))?;
    if read != bytes.len() {
        return Err(PeerError::Malformed("trailing bytes".to_string()));
    }
    Ok(message)
}

/// Encodes a message of a stream, with its length as a big-endian prefix.
///
/// # Errors
///
/// Returns the error of [`encode`].
pub fn encode_framed(message: &impl Serialize) -> Result<Bytes, PeerError> {
    let bytes = encode(message)?;
    let mut framed = BytesMut::with_capacity(LENGTH_BYTES + bytes.len());
    framed.put_u32(bytes.len() as u32);
    framed.put(bytes);
    Ok(framed.freeze())
}

/// Removes the next complete message from a buffer; returns none while the message is
/// incomplete.
///
/// # Errors
///
/// Returns [`PeerError::TooLarge`] as soon as the length prefix exceeds
/// [`MAX_MESSAGE_BYTES`], before the message itself is buffered.
pub fn next_frame(buf: &mut BytesMut) -> Result<Option<Bytes>, PeerError> {
    let Some(length) = buf.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(PeerError::TooLarge(length));
    }
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    Ok(Some(buf.split_to(length).freeze()))
}
