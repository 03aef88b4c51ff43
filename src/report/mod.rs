//! Reports how each policy performed, from the scores that daemons publish.

mod burn;
mod html;
mod policy_report;

pub use {burn::*, html::*, policy_report::*};
