use {
    super::RoutingConfig,
    bytes::Bytes,
    displaydoc::Display,
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    serde::{Serialize, de::DeserializeOwned},
    std::io::{self, Read, Write},
};

/// Maximum size of unpacked data, in bytes. Larger data is a fault of the sender.
const MAX_UNPACKED_BYTES: usize = 64 * 1024 * 1024;

/// A failure to pack or unpack data for other daemons.
#[derive(Debug, Display, thiserror::Error)]
pub enum PackError {
    /// compression or decompression failed: {0}
    Compress(#[from] io::Error),
    /// encoding failed: {0}
    Encode(#[from] bincode::error::EncodeError),
    /// decoding failed: {0}
    Decode(#[from] bincode::error::DecodeError),
}

/// Encodes and compresses a value for other daemons. The links between daemons have little
/// bandwidth, and most of a large configuration or directory repeats in each item.
///
/// # Errors
///
/// Returns an error if the value can't be encoded or compressed.
pub fn pack(value: &impl Serialize) -> Result<Bytes, PackError> {
    let plain = bincode::serde::encode_to_vec(value, bincode::config::standard())?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses and decodes a value that another daemon packed.
///
/// # Errors
///
/// Returns an error if the bytes can't be decompressed or decoded.
pub fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, PackError> {
    let mut plain = Vec::new();
    DeflateDecoder::new(packed)
        .take(MAX_UNPACKED_BYTES as u64)
        .read_to_end(&mut plain)?;
    // Without the limit, a false length in the bytes leads to an allocation that ends the
    // process.
    let bounded = bincode::config::standard().with_limit::<MAX_UNPACKED_BYTES>();
    let (value, _) = bincode::serde::decode_from_slice(&plain, bounded)?;
    Ok(value)
}

/// Packs a routing configuration.
///
/// # Errors
///
/// Returns an error if the configuration can't be encoded or compressed.
pub fn pack_config(config: &RoutingConfig) -> Result<Bytes, PackError> {
    pack(config)
}

/// Unpacks a routing configuration.
///
/// # Errors
///
/// Returns an error if the bytes can't be decompressed or decoded.
pub fn unpack_config(packed: &[u8]) -> Result<RoutingConfig, PackError> {
    unpack(packed)
}
