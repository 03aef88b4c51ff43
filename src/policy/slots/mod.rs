//! Upstreams that bear few rejections: the bound that they name, and slots by which daemons share what
//! such an upstream can take.

mod named_bound;
mod rejection_bound;
mod rejection_bounds;
mod slot_limiter;
mod slot_release;
mod slot_table;

pub use {
    named_bound::*, rejection_bound::*, rejection_bounds::*, slot_limiter::*, slot_release::*,
    slot_table::*,
};
