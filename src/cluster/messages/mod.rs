//! Datagrams between daemons: how they are written, heard, and counted.

mod control_traffic;
mod datagram;
mod exchange;
mod extension;
mod packet;

pub use {control_traffic::*, datagram::*, exchange::*, extension::*, packet::*};
