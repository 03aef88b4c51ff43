//! The spread of load over failure domains: a domain keeps the requests that it can serve in time, and
//! sends others to domains that have room. This covers demand that differs between domains or moves
//! from one to another, and the loss of all upstreams of a domain.

mod domain_offer;
mod domain_room;
mod domain_rooms;
mod domain_spread;
mod fading_sum;
mod in_time;
mod room_figures;
mod room_left;
mod sending_share;
mod sent_away;
mod spread_decision;
mod spread_request;

pub use {
    domain_offer::*, domain_room::*, domain_rooms::*, domain_spread::*, fading_sum::*, in_time::*,
    room_figures::*, room_left::*, sending_share::*, sent_away::*, spread_decision::*,
    spread_request::*,
};
