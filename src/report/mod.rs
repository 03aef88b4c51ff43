//! Reads what daemons published of how each policy did.

mod burn;
mod html;
mod report;

pub use {burn::*, html::*, report::*};
