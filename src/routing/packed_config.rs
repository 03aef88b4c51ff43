use {
    super::RoutingConfig,
    bytes::Bytes,
    displaydoc::Display,
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    serde::{Serialize, de::DeserializeOwned},
    std::io::{self, Read, Write},
};

/// The most that is unpacked, in bytes: what is larger is a fault of the one who sent
/// it.
const MAX_UNPACKED: usize = 64 * 1024 * 1024;

/// How something could not be packed or unpacked.
#[derive(Debug, Display, thiserror::Error)]
pub enum PackError {
    /// can't be compressed or decompressed: {0}
    Compress(#[from] io::Error),
    /// can't be encoded: {0}
    Encode(#[from] bincode::error::EncodeError),
    /// not understood: {0}
    Decode(#[from] bincode::error::DecodeError),
}

/// Packs what is told to other daemons: their links are small, and most of a large
/// configuration or directory is the same again in each item.
///
/// # Errors
///
/// Returns what can't be encoded.
pub fn pack(told: &impl Serialize) -> Result<Bytes, PackError> {
    let plain = bincode::serde::encode_to_vec(told, bincode::config::standard())?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain)?;
    Ok(encoder.finish()?.into())
}

/// Unpacks what another daemon told.
///
/// # Errors
///
/// Returns what is wrong with the bytes.
pub fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, PackError> {
    let mut plain = Vec::new();
    DeflateDecoder::new(packed)
        .take(MAX_UNPACKED as u64)
        .read_to_end(&mut plain)?;
    // Bytes that claim to be longer than they are would end the process.
    let bounded = bincode::config::standard().with_limit::<MAX_UNPACKED>();
    let (told, _) = bincode::serde::decode_from_slice(&plain, bounded)?;
    Ok(told)
}

/// Packs a configuration.
///
/// # Errors
///
/// Returns what can't be encoded.
pub fn pack_config(config: &RoutingConfig) -> Result<Bytes, PackError> {
    pack(config)
}

/// Unpacks a configuration.
///
/// # Errors
///
/// Returns what is wrong with the bytes.
pub fn unpack_config(packed: &[u8]) -> Result<RoutingConfig, PackError> {
    unpack(packed)
}
