//! Reads what daemons published of how each policy did.

mod burn;
mod html;
mod policy_report;

pub use {burn::*, html::*, policy_report::*};
