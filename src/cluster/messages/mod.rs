//! Datagrams between daemons: their encoding, the receive loop, and counters of sent traffic.

mod control_traffic;
mod datagram;
mod exchange;
mod extension;
mod packet;

pub use {control_traffic::*, datagram::*, exchange::*, extension::*, packet::*};
