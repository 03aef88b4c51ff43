//! The order in which the requests of a client account get its quota while the quota is short, that is
//! while the account asks for more than its rate. All units are used in any case; the order decides
//! which requests get them.

mod account_order;
mod lane;
mod lane_split;
mod order_refusal;
mod ordered_admission;
mod ordered_request;
mod turn;
mod turn_counts;

pub use {account_order::*, lane_split::*, order_refusal::*, ordered_request::*, turn_counts::*};
