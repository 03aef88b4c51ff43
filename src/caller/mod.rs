//! HTTP servers for callers and operators, on `hyper`. Answers are streamed as server-sent
//! events.

mod auth;
mod caller_service;
mod openai;
mod operator_service;
mod problem;
mod reply;
mod server;
mod sse;

pub use {
    auth::*, caller_service::*, openai::*, operator_service::*, problem::*, reply::*, server::*,
    sse::*,
};
