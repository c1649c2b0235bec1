//! Messages of a gateway as bytes. Each is an array of four: the kind, the request's number, the
//! error or nil, the result or nil. Writing to a vector cannot fail, so the encoder's results are
//! dropped.

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

/// Writes the result of a request, in the pages that it came in.
pub fn write_result<'a>(out: &mut Vec<u8>, id: u32, pages: impl Iterator<Item = &'a [u8]> + Clone) {
    write_partial_result(out, id, pages, &[]);
}

/// Writes a part of a result, with fields that say how it goes on.
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

/// Writes that a request was refused or failed: the error's word and its fields.
pub fn write_error(out: &mut Vec<u8>, id: u32, word: &str, fields: &[(&str, &str)]) {
    write_head(out, id);
    let _ = encode::write_array_len(out, 2);
    let _ = encode::write_str(out, word);
    write_fields(out, fields);
    let _ = encode::write_nil(out);
}

/// Writes the answer to a question after the gateway's health.
pub fn write_health(out: &mut Vec<u8>, id: u32, is_well: bool) {
    write_head(out, id);
    let _ = encode::write_nil(out);
    let _ = encode::write_array_len(out, 2);
    let _ = encode::write_bool(out, is_well);
    write_fields(out, &[]);
}
