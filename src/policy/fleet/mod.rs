//! Fleet planning: how many upstreams a service needs, and of which price class.

mod demand;
mod demand_trend;
mod domain_order;
mod domain_supply;
mod fleet_need;
mod fleet_view;
mod known_fleet;
mod lower_delays;
mod mean_capacity;
mod need_plan;
mod need_planner;
mod order_book;
mod plan;
mod plan_reason;
mod plan_search;
mod policy;
mod service_load;

use plan_search::{PlanSearch, left_after};
pub use {
    demand::*, demand_trend::*, domain_order::*, domain_supply::*, fleet_need::*, fleet_view::*,
    known_fleet::*, lower_delays::*, mean_capacity::*, need_plan::*, need_planner::*,
    order_book::*, plan::*, plan_reason::*, policy::*, service_load::*,
};
