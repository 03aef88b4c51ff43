/// What a runner does with its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs them.
    Serve,
    /// Refuses them before their start.
    Refuse,
    /// Runs them, and closes the connection without an answer.
    LoseAnswer,
    /// Runs them, and closes the connection inside the event with this number.
    CutStream(u64),
    /// Runs them; one whose body begins with "crash" ends the runner soon after it began
    /// to run, and with it all that runs beside it. The runner is back a little later.
    CrashOnRequest,
    /// Runs them, and says nothing any more.
    Hang,
    /// Runs them, and answers that it failed.
    Fail,
    /// Runs them, and answers 503 without saying that it did not.
    BareUnavailable,
    /// Runs them, and answers in the name of another request.
    WrongAttempt,
}
