//! Which boxes hold copies of a request, and how it goes on from one.

mod holder;
mod neighbours;
mod splice;

pub use {holder::*, neighbours::*, splice::*};
