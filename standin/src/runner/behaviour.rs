use std::time::Duration;

/// How long [`Behaviour::PauseStream`] pauses.
pub const STREAM_PAUSE: Duration = Duration::from_millis(2_500);

/// How a runner handles its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs requests and answers them.
    Serve,
    /// Refuses requests without running them, marked `x-not-started`.
    Refuse,
    /// Runs requests, and closes the connection without an answer.
    LoseAnswer,
    /// Runs requests, and closes the connection halfway through the event with this number.
    CutStream(u64),
    /// Runs requests, and pauses for [`STREAM_PAUSE`] before the event with this number.
    PauseStream(u64),
    /// Runs requests. One whose body begins with "crash" crashes the runner soon after its
    /// start, together with all requests that run there. The runner restarts later.
    CrashOnRequest,
    /// Runs requests, and reads their prompts one after another before it answers.
    ReadPrompts,
    /// Accepts requests and never answers.
    Hang,
    /// Runs requests and answers with status 500.
    Fail,
    /// Runs requests and answers with status 503, without the mark `x-not-started`.
    BareUnavailable,
    /// Runs requests, and signs the answers for another attempt.
    WrongAttempt,
}
