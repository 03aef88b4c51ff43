/// Of the slack of a budget for repeated sends, how much is used.
const SLACK_USE: f64 = 0.75;
/// By how many standard deviations the sum of draws stays below the slack: it is
/// exceeded once in a thousand times at most.
const DEVIATIONS: f64 = 3.0;

/// Returns one daemon's share of the slack of a budget for repeated sends. Less than a
/// whole repeat is a chance of one.
///
/// Daemons that have a whole repeat or more share it evenly. Where there are more daemons
/// than repeats, what they get by chance may add up to more than is expected; the shares
/// leave room for that.
pub fn slack_share(slack: f64, daemons: usize) -> f64 {
    let daemons = daemons.max(1) as f64;
    let even = slack * SLACK_USE / daemons;
    match even >= 1.0 {
        true => even,
        false => (drawn_sum(slack) / daemons).min(1.0),
    }
}

/// Returns the expected sum of draws that stays below the slack. The deviation of a sum of
/// rare draws is the root of what is expected.
fn drawn_sum(slack: f64) -> f64 {
    let root = ((DEVIATIONS * DEVIATIONS + 4.0 * slack).sqrt() - DEVIATIONS) / 2.0;
    root * root
}
