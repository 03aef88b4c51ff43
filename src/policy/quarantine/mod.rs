//! Quarantine of requests, and of parts of prompts, that repeatedly crash the upstreams that run them.

mod bounds;
mod crash_table;
mod part_causes;
mod part_crash;
mod part_crash_table;
mod part_holds;
mod survival;
mod suspect;
mod whole_answers;

pub use {
    bounds::*,
    crash_table::*,
    part_crash::{AccountHash, KnownPartCrash},
    part_crash_table::*,
    survival::KnownSurvival,
};
use {
    part_crash::PartCrash, part_holds::PartHolds, survival::Survival, suspect::*,
    whole_answers::WholeAnswers,
};
