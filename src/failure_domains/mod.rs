//! The state of the failure domains as this box sees them.

mod domain_view;

pub use domain_view::*;
