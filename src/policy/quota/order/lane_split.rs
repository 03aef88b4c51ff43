/// The number of priorities that requests have.
pub const PRIORITIES: usize = 10;
/// The lane of plain calls; the lane of a priority is the priority plus one.
pub const PLAIN_LANE: usize = 0;
/// The number of lanes of an account.
pub const LANES: usize = PRIORITIES + 1;

/// Share of the rate that plain calls get before all priorities. They cost so little that other
/// requests would hardly gain by it.
const PLAIN_SHARE: f64 = 0.2;
/// Share of the rate that each priority is assured of, so that none starves while more urgent ones ask
/// for all of it. No priority is assured of a larger part of its demand than all of them get together.
const ASSURED_SHARE: f64 = 0.1;

/// Splits a rate among lanes by their demand, all in units per second: plain calls first, up to a
/// share, then an assured share for each priority, then the rest in the order of priority. No
/// priority gets a larger part of its demand than a more urgent one.
pub fn split_rate(rate: f64, demand: &[f64; LANES]) -> [f64; LANES] {
    let ranks = PLAIN_LANE + 1..LANES;
    let asked: f64 = demand[ranks.clone()].iter().sum();
    let mut parts = [0.0; LANES];
    parts[PLAIN_LANE] = demand[PLAIN_LANE].min((rate * PLAIN_SHARE).max(rate - asked));
    let for_ranks = rate - parts[PLAIN_LANE];
    if asked <= for_ranks {
        // The rate covers all demand; the surplus is for requests that arrive next.
        for lane in ranks {
            parts[lane] = demand[lane] * for_ranks / asked.max(f64::MIN_POSITIVE);
        }
        return parts;
    }
    let mut rest = for_ranks;
    for lane in ranks.clone() {
        parts[lane] = (rate * ASSURED_SHARE).min(demand[lane] * for_ranks / asked);
        rest -= parts[lane];
    }
    for lane in ranks.clone() {
        let more = (demand[lane] - parts[lane]).min(rest);
        parts[lane] += more;
        rest -= more;
    }
    level_out(&mut parts, demand);
    parts
}

/// Joins neighbouring priorities into pools that get the same part of their demand, until no less
/// urgent priority gets a larger part of its demand than a more urgent one.
fn level_out(parts: &mut [f64; LANES], demand: &[f64; LANES]) {
    let mut pools: Vec<(f64, f64, Vec<usize>)> = Vec::new();
    for lane in (PLAIN_LANE + 1..LANES).filter(|lane| demand[*lane] > 0.0) {
        let mut pool = (parts[lane], demand[lane], vec![lane]);
        while let Some(before) = pools.pop_if(|p| p.0 * pool.1 < pool.0 * p.1) {
            let lanes = before.2.into_iter().chain(pool.2).collect();
            pool = (before.0 + pool.0, before.1 + pool.1, lanes);
        }
        pools.push(pool);
    }
    for (part, asked, lanes) in pools {
        for lane in lanes {
            parts[lane] = demand[lane] * part / asked;
        }
    }
}
