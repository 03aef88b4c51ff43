/// Share of a retry budget's slack that the daemons use.
const SLACK_USE: f64 = 0.75;
/// Number of standard deviations by which the expected sum of random draws stays below the
/// slack, so that the sum exceeds the slack at most once in a thousand times.
const DEVIATIONS: f64 = 3.0;

/// Returns one daemon's share of the slack of a retry budget, in retries. A share of less
/// than one retry is the probability of a retry.
///
/// If an even split gives each daemon at least one retry, the shares are even. If there are
/// more daemons than retries, the random draws may add up to more than their expected sum;
/// the shares leave a margin for that.
pub fn slack_share(slack: f64, daemons: usize) -> f64 {
    let daemons = daemons.max(1) as f64;
    let even = slack * SLACK_USE / daemons;
    match even >= 1.0 {
        true => even,
        false => (expected_draws(slack) / daemons).min(1.0),
    }
}

/// Returns the expected sum of draws that leaves a margin of [`DEVIATIONS`] standard
/// deviations below the slack. The standard deviation of a sum of rare draws is the square
/// root of the expected sum.
fn expected_draws(slack: f64) -> f64 {
    let root = ((DEVIATIONS * DEVIATIONS + 4.0 * slack).sqrt() - DEVIATIONS) / 2.0;
    root * root
}
