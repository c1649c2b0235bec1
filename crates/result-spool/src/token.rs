//! Page tokens: each names a page of a result, the client that may read it and the time until which
//! it is valid, signed with a keyed hash. Checking a token takes the same time whatever is wrong
//! with it.

use crate::Micros;
use data_encoding::BASE64URL_NOPAD;

const BODY_BYTES: usize = 8 + 8 + 4 + 8;
const MAC_BYTES: usize = 16;
/// Number of characters in a token, which has no padding, so that it can be used in a field
/// unescaped.
pub const TOKEN_LENGTH: usize = (BODY_BYTES + MAC_BYTES).div_ceil(3) * 4 - 1;

/// The content of a page token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The ID of the result.
    pub result: u64,
    /// Time at which the gateway that issued the token started; results don't outlive the gateway's
    /// process.
    pub epoch: Micros,
    /// Index of the page in the result, from 0.
    pub page: u32,
    /// Time from which the token is no longer valid.
    pub expires: Micros,
}

/// Why a token was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// Not a token, signed with another key, or issued to another client.
    #[error("the token can't be used: it is no token of this service, or of another client")]
    Forged,
    /// The token's time of expiry has passed.
    #[error("the token is too old")]
    Expired,
    /// Issued before the gateway was restarted, so the result no longer exists.
    #[error("the token is from before a restart; its result is gone")]
    Gone,
}

/// Signing keys set by the operator: tokens are signed with the current key, and accepted with the
/// previous one too, so that keys can be rotated.
#[derive(Clone)]
pub struct Keys {
    current: [u8; 32],
    previous: [u8; 32],
}

impl Keys {
    /// Derives the keys from secrets of any length. Without a previous secret only tokens signed
    /// with the current one are accepted.
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
        // A token contains only the first bytes of the hash; the rest is zeroed on both sides of
        // the comparison.
        let mut padded_mac = [0; 32];
        padded_mac[..MAC_BYTES].copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        padded_mac.into()
    }

    /// Creates a token for a client. `client` is text that only the client knows, such as the id of
    /// its request.
    pub fn write(&self, token: &Token, client: &str) -> String {
        let mut bytes = [0; BODY_BYTES + MAC_BYTES];
        bytes[..8].copy_from_slice(&token.result.to_le_bytes());
        bytes[8..16].copy_from_slice(&token.epoch.to_le_bytes());
        bytes[16..20].copy_from_slice(&token.page.to_le_bytes());
        bytes[20..BODY_BYTES].copy_from_slice(&token.expires.to_le_bytes());
        let mac = Self::mac(&self.current, &bytes[..BODY_BYTES], client);
        bytes[BODY_BYTES..].copy_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        BASE64URL_NOPAD.encode(&bytes)
    }

    /// Checks a token that a client has sent. Both keys are tried and the whole token is hashed
    /// whatever the text is, so that the time taken reveals nothing about the keys.
    ///
    /// # Errors
    ///
    /// Returns why the token is rejected.
    pub fn read(
        &self,
        text: &str,
        client: &str,
        epoch: Micros,
        now: Micros,
    ) -> Result<Token, TokenError> {
        let mut bytes = [0; BODY_BYTES + MAC_BYTES];
        // A text of the wrong length is replaced by one of the right length and checked like a
        // token.
        let mut padded = [b'A'; TOKEN_LENGTH];
        let has_valid_length = text.len() == TOKEN_LENGTH;
        if has_valid_length {
            padded.copy_from_slice(text.as_bytes());
        }
        let is_base64 = BASE64URL_NOPAD.decode_mut(&padded, &mut bytes).is_ok();
        let mut received_mac = [0; 32];
        received_mac[..MAC_BYTES].copy_from_slice(&bytes[BODY_BYTES..]);
        let received_mac = blake3::Hash::from(received_mac);
        // Hashes are compared in constant time.
        let matches_current =
            Self::mac(&self.current, &bytes[..BODY_BYTES], client) == received_mac;
        let matches_previous =
            Self::mac(&self.previous, &bytes[..BODY_BYTES], client) == received_mac;
        if !(has_valid_length & is_base64 & (matches_current | matches_previous)) {
            return Err(TokenError::Forged);
        }
        let u64_at = |at: usize| {
            bytes[at..]
                .first_chunk()
                .map_or(0, |bytes| u64::from_le_bytes(*bytes))
        };
        let page = bytes[16..]
            .first_chunk()
            .map_or(0, |bytes| u32::from_le_bytes(*bytes));
        let token = Token {
            result: u64_at(0),
            epoch: u64_at(8),
            page,
            expires: u64_at(20),
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
