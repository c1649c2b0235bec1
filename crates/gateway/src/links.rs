//! What links among gateways carry, for programs that stand in for a gateway at the other end of one.

#![warn(missing_docs)]

pub use crate::sharing::{classes_print, Said};
