//! Admission of requests: limits by table row, fair queueing between client
//! accounts, adaptive concurrency limits, and the queue for room at upstreams.

mod admission_queue;
mod assured_shares;
mod concurrency;
mod room;
mod room_forecast;
mod room_join;
mod room_lane;
mod room_outcome;
mod room_queue;
mod room_refusal;
mod room_view;
mod share_claim;
mod upstream_backlogs;
mod waiting_request;

pub use {
    admission_queue::*, assured_shares::*, concurrency::*, room::*, room_forecast::*, room_join::*,
    room_lane::*, room_outcome::*, room_queue::*, room_refusal::*, room_view::*, share_claim::*,
    upstream_backlogs::*, waiting_request::*,
};
