//! Hash functions with the same result on every gateway, so that all gateways order engines in the
//! same way without communicating.

/// Mixes the bits of `value`: the finalizer of SplitMix64.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns a pseudo-random number in [0, 1) that depends on `value` only.
pub(crate) fn unit_interval(value: u64) -> f64 {
    (mix(value) >> 11) as f64 / (1u64 << 53) as f64
}
