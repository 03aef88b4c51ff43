//! Tests of the decisions: pure, without processes, clocks or sockets.

mod admission;
mod box_facts;
mod claim_exploration;
mod files;
mod lease;
mod placement;
mod reclaim;
mod splice;
mod table_fold;
