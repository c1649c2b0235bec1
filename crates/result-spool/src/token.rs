//! Page tokens: which page of which result, for whom and until when, under a keyed hash. A token
//! costs the same to check whatever is wrong with it.

use crate::Micros;
use data_encoding::BASE64URL_NOPAD;

const BODY: usize = 8 + 8 + 4 + 8;
const MAC: usize = 16;
/// Characters of a token: no padding, so that it can stand in a field as it is.
pub const LENGTH: usize = (BODY + MAC).div_ceil(3) * 4 - 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    pub result: u64,
    /// The gateway's start: a result doesn't outlive it.
    pub epoch: Micros,
    pub page: u32,
    pub expires: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    #[error("the token can't be used: it is no token of this service, or of another client")]
    Forged,
    #[error("the token is too old")]
    Expired,
    #[error("the token is from before a restart; its result is gone")]
    Gone,
}

/// Keys of an operator: tokens are made with the current one and taken with the one before it too.
#[derive(Clone)]
pub struct Keys {
    current: [u8; 32],
    previous: [u8; 32],
}

impl Keys {
    /// From secrets of any length; without a previous one only the current is taken.
    pub fn new(current: &str, previous: Option<&str>) -> Self {
        let key =
            |secret: &str| blake3::derive_key("eideryard 2026 page tokens", secret.as_bytes());
        Keys {
            current: key(current),
            previous: key(previous.unwrap_or(current)),
        }
    }

    fn mac(key: &[u8; 32], body: &[u8], client: &str) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(key);
        hasher.update(body);
        hasher.update(client.as_bytes());
        // Only a part of it is in the token; the rest is left out of the comparison on both sides.
        let mut whole = [0; 32];
        whole[..MAC].copy_from_slice(&hasher.finalize().as_bytes()[..MAC]);
        whole.into()
    }

    /// For a client, by what only it knows: the id of its request and its tenant, say.
    pub fn write(&self, token: &Token, client: &str) -> String {
        let mut bytes = [0; BODY + MAC];
        bytes[..8].copy_from_slice(&token.result.to_le_bytes());
        bytes[8..16].copy_from_slice(&token.epoch.to_le_bytes());
        bytes[16..20].copy_from_slice(&token.page.to_le_bytes());
        bytes[20..BODY].copy_from_slice(&token.expires.to_le_bytes());
        let mac = Self::mac(&self.current, &bytes[..BODY], client);
        bytes[BODY..].copy_from_slice(&mac.as_bytes()[..MAC]);
        BASE64URL_NOPAD.encode(&bytes)
    }

    /// Both keys are tried and all of it is hashed, whatever comes.
    pub fn read(
        &self,
        text: &str,
        client: &str,
        epoch: Micros,
        now: Micros,
    ) -> Result<Token, TokenError> {
        let mut bytes = [0; BODY + MAC];
        // Something of the right length that is no token is checked like one.
        let mut padded = [b'A'; LENGTH];
        let known = text.len() == LENGTH;
        if known {
            padded.copy_from_slice(text.as_bytes());
        }
        let decoded = BASE64URL_NOPAD.decode_mut(&padded, &mut bytes).is_ok();
        let mut told = [0; 32];
        told[..MAC].copy_from_slice(&bytes[BODY..]);
        let told = blake3::Hash::from(told);
        // Hashes are compared in constant time.
        let by_current = Self::mac(&self.current, &bytes[..BODY], client) == told;
        let by_previous = Self::mac(&self.previous, &bytes[..BODY], client) == told;
        if !(known & decoded & (by_current | by_previous)) {
            return Err(TokenError::Forged);
        }
        let long = |at: usize| {
            bytes[at..]
                .first_chunk()
                .map_or(0, |bytes| u64::from_le_bytes(*bytes))
        };
        let page = bytes[16..]
            .first_chunk()
            .map_or(0, |bytes| u32::from_le_bytes(*bytes));
        let token = Token {
            result: long(0),
            epoch: long(8),
            page,
            expires: long(20),
        };
        match token {
            token if token.epoch != epoch => Err(TokenError::Gone),
            token if token.expires <= now => Err(TokenError::Expired),
            token => Ok(token),
        }
    }
}

#[cfg(test)]
mod tests;
