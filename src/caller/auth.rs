use {
    crate::{contracts::Table, names::*},
    http::{HeaderMap, header::AUTHORIZATION},
    sha2::{Digest, Sha256},
    subtle::ConstantTimeEq,
};

/// Returns the client account to which a request's bearer token belongs.
pub fn account_of(table: &Table, headers: &HeaderMap) -> Option<ClientAccount> {
    let hash = bearer_hash(headers)?;
    let mut found = None;
    // Every account is compared, so that the response time does not reveal which one matches.
    for account in table.accounts() {
        for known in &account.token_sha256 {
            if is_same(known, &hash) {
                found = Some(account.name.clone());
            }
        }
    }
    found
}

/// Returns whether a request carries the operators' bearer token. An empty hash in the
/// settings matches no token.
pub fn is_operator(token_sha256: &str, headers: &HeaderMap) -> bool {
    bearer_hash(headers)
        .is_some_and(|hash| !token_sha256.is_empty() && is_same(token_sha256, &hash))
}

/// Returns the SHA-256 hash of a token in hexadecimal, the form in which tables and settings
/// store it.
pub fn token_hash(token: &str) -> String {
    hex::encode(Sha256::digest(token))
}

fn bearer_hash(headers: &HeaderMap) -> Option<[u8; 32]> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ")?;
    Some(Sha256::digest(token).into())
}

fn is_same(known_hex: &str, hash: &[u8; 32]) -> bool {
    let mut known = [0; 32];
    let decoded = hex::decode_to_slice(known_hex, &mut known).is_ok();
    decoded & bool::from(known.ct_eq(hash))
}
