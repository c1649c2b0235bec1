//! The encoder for responses. A response is an array of four values: the message type, the ID of
//! the request, the error or nil, and the result or nil. Writing to a vector cannot fail, so the
//! results of the `rmp` functions are ignored.

use rmp::encode;

use crate::RESPONSE;

fn write_head(out: &mut Vec<u8>, id: u32) {
    let _ = encode::write_array_len(out, 4);
    let _ = encode::write_uint(out, RESPONSE);
    let _ = encode::write_uint(out, id as u64);
}

fn write_fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    let _ = encode::write_map_len(out, fields.len() as u32);
    for (name, value) in fields {
        let _ = encode::write_str(out, name);
        let _ = encode::write_str(out, value);
    }
}

/// Writes the complete result of a request. The pages are concatenated.
pub fn write_result<'a>(out: &mut Vec<u8>, id: u32, pages: impl Iterator<Item = &'a [u8]> + Clone) {
    write_partial_result(out, id, pages, &[]);
}

/// Writes a part of a result. The fields tell the client how to get the next part.
pub fn write_partial_result<'a>(
    out: &mut Vec<u8>,
    id: u32,
    pages: impl Iterator<Item = &'a [u8]> + Clone,
    fields: &[(&str, &str)],
) {
    write_head(out, id);
    let _ = encode::write_nil(out);
    let _ = encode::write_array_len(out, 2);
    let _ = encode::write_bin_len(out, pages.clone().map(|page| page.len() as u32).sum());
    for page in pages {
        out.extend_from_slice(page);
    }
    write_fields(out, fields);
}

/// Writes an error response for a request that was refused or failed, with the error code and its
/// fields.
pub fn write_error(out: &mut Vec<u8>, id: u32, code: &str, fields: &[(&str, &str)]) {
    write_head(out, id);
    let _ = encode::write_array_len(out, 2);
    let _ = encode::write_str(out, code);
    write_fields(out, fields);
    let _ = encode::write_nil(out);
}

/// Writes the response to a health check.
pub fn write_health(out: &mut Vec<u8>, id: u32, is_healthy: bool) {
    write_head(out, id);
    let _ = encode::write_nil(out);
    let _ = encode::write_array_len(out, 2);
    let _ = encode::write_bool(out, is_healthy);
    write_fields(out, &[]);
}
