use {
    super::PeerError,
    bytes::{Buf, BufMut, Bytes, BytesMut},
    serde::{Serialize, de::DeserializeOwned},
};

/// The version of the messages; it is part of the path that is called.
pub const PEER_VERSION: u32 = 1;

/// The largest message, in bytes.
pub const MAX_MESSAGE: usize = 8 * 1024 * 1024;

/// Bytes of the length before each message of a stream.
const LENGTH_BYTES: usize = 4;

/// Encodes a message.
///
/// # Errors
///
/// Returns [`PeerError::TooLarge`] or [`PeerError::Malformed`].
pub fn encode(message: &impl Serialize) -> Result<Bytes, PeerError> {
    let cfg = bincode::config::standard().with_limit::<MAX_MESSAGE>();
    let bytes = bincode::serde::encode_to_vec(message, cfg)
        .map_err(|e| PeerError::Malformed(e.to_string()))?;
    if bytes.len() > MAX_MESSAGE {
        return Err(PeerError::TooLarge(bytes.len()));
    }
    Ok(bytes.into())
}

/// Decodes a message. Lengths inside it can't make it take more than the bound.
///
/// # Errors
///
/// Returns [`PeerError::TooLarge`] or [`PeerError::Malformed`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    if bytes.len() > MAX_MESSAGE {
        return Err(PeerError::TooLarge(bytes.len()));
    }
    let cfg = bincode::config::standard().with_limit::<MAX_MESSAGE>();
    let (message, read) = bincode::serde::decode_from_slice(bytes, cfg)
        .map_err(|e| PeerError::Malformed(e.to_string()))?;
    if read != bytes.len() {
        return Err(PeerError::Malformed("bytes left over".to_string()));
    }
    Ok(message)
}

/// Encodes a message of a stream, with its length before it.
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

/// Takes the next whole message off a buffer.
///
/// # Errors
///
/// Returns [`PeerError::TooLarge`] before such a message is read.
pub fn next_frame(buf: &mut BytesMut) -> Result<Option<Bytes>, PeerError> {
    let Some(length) = buf.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_MESSAGE {
        return Err(PeerError::TooLarge(length));
    }
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    Ok(Some(buf.split_to(length).freeze()))
}
