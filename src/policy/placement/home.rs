use crate::policy::home_rank;

/// Number of steps per doubling to which time factors are rounded, so that hubs with slightly different
/// estimates agree on most homes.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// Returns the index of the home of a chain of prompt parts: the upstream that all daemons prefer for
/// it. Each upstream is given by its index, the hash of its name and its time factor. Daemons that know
/// the same upstreams agree on the home.
///
/// An upstream is the home of chains in proportion to its speed (weighted rendezvous hashing), since it
/// reads the new parts of all prompts of its chains. If an upstream becomes slower, only its own chains
/// move. If all upstreams are equally fast, the highest [`home_rank`] decides alone.
pub fn choose_home(
    chain: u64,
    upstreams: impl Iterator<Item = (usize, u64, f64)> + Clone,
) -> Option<usize> {
    let ranked = upstreams.map(|(index, hash, factor)| (index, home_rank(chain, hash), factor));
    let home = match ranked.clone().all(|(.., factor)| factor == 1.0) {
        true => ranked.max_by_key(|(_, rank, _)| *rank),
        false => ranked.min_by(|(_, a, a_factor), (_, b, b_factor)| {
            let order = distance(*a, *a_factor).total_cmp(&distance(*b, *b_factor));
            order.then(b.cmp(a))
        }),
    };
    home.map(|(index, ..)| index)
}

/// Returns the distance of an upstream to a chain, exponentially distributed with the rounded factor as
/// its mean. The upstream with the smallest distance is the home.
fn distance(rank: u64, factor: f64) -> f64 {
    let steps = (factor.log2() * STEPS_PER_DOUBLING).round();
    let share = (rank as f64 + 1.0) / (u64::MAX as f64 + 1.0);
    -share.ln() * (steps / STEPS_PER_DOUBLING).exp2()
}
