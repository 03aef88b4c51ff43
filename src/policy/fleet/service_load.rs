/// What a daemon knows of a service's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLoad {
    /// The load as a number of fully busy usual upstreams.
    pub busy: f64,
    /// True if there is any demand.
    pub is_offered: bool,
    /// False while the speed of the upstreams is not known, so that `busy` is too low.
    pub is_measured: bool,
}
