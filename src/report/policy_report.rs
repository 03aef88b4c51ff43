use {
    super::*,
    crate::{app::*, contracts::Table, names::*, provider::*},
    serde::Serialize,
    std::{
        collections::BTreeMap,
        fmt::{self, Write as _},
    },
};

/// The objective for scores whose row is no longer in the table.
const DEFAULT_OBJECTIVE: f64 = 0.95;

/// One row of the report: the score of a policy for a client account and a service in a
/// failure domain.
#[derive(Clone, Debug, Serialize)]
pub struct ReportRow {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// The policy, client account and service.
    #[serde(flatten)]
    pub key: ScoreKey,
    /// The score, summed over all pages.
    pub score: Score,
    /// The price of an answer on target, in millionths of a currency unit.
    pub cost_at_target: Option<f64>,
    /// The median time to the first token, in milliseconds.
    pub first_ms_p50: u64,
    /// The 95th percentile of the time to the first token, in milliseconds.
    pub first_ms_p95: u64,
    /// The burn rate of the error budget in each window.
    pub burn: Vec<Burn>,
}

/// A period for which a daemon published no scores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// The box of the daemon.
    pub by: BoxId,
    /// The number of missing pages.
    pub pages: u64,
    /// The approximate start, in Unix milliseconds: the end of the last page before the gap.
    pub from_ms: u64,
    /// The approximate end, in Unix milliseconds: the start of the first page after the gap.
    pub to_ms: u64,
}

/// The report on all policies.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The rows, ordered by failure domain, policy, client account and service.
    pub rows: Vec<ReportRow>,
    /// The gaps in the published scores.
    pub gaps: Vec<Gap>,
}

impl Report {
    /// Reads the pages from the log and computes the report. Records that are not pages are
    /// skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be read.
    pub async fn read(
        log: &dyn PlatformLog,
        table: &Table,
        now_ms: u64,
    ) -> Result<Self, PlatformError> {
        let mut pages = Vec::new();
        let mut from = 0;
        loop {
            let page = log.read(SCORES_STREAM, from, 0).await?;
            let Some(last) = page.records.last() else {
                break;
            };
            from = last.offset + 1;
            let parsed = page
                .records
                .iter()
                .filter_map(|r| serde_json::from_str(&r.data).ok());
            pages.extend(parsed);
            if from >= page.next {
                break;
            }
        }
        Ok(Self::of(&pages, table, now_ms))
    }

    /// Computes the report from pages.
    pub fn of(pages: &[ScorePage], table: &Table, now_ms: u64) -> Self {
        let mut scores: BTreeMap<(FailureDomain, ScoreKey), Score> = BTreeMap::new();
        for page in pages {
            for (key, score) in &page.scores {
                let at = (page.failure_domain.clone(), key.clone());
                scores.entry(at).or_default().add(score);
            }
        }
        let rows = scores
            .into_iter()
            .map(|((domain, key), score)| row_of(domain, key, score, pages, table, now_ms))
            .collect();
        Self {
            rows,
            gaps: gaps(pages),
        }
    }
}

fn row_of(
    failure_domain: FailureDomain,
    key: ScoreKey,
    score: Score,
    pages: &[ScorePage],
    table: &Table,
    now_ms: u64,
) -> ReportRow {
    let row = table.row(&key.account, &key.service, &failure_domain);
    let objective = row.map_or(DEFAULT_OBJECTIVE, |c| c.objective);
    let burn = WINDOWS
        .iter()
        .map(|(name, window_ms)| {
            let since = now_ms.saturating_sub(*window_ms);
            let mut sum = Score::default();
            for page in pages.iter().filter(|p| p.to_ms >= since) {
                if page.failure_domain != failure_domain {
                    continue;
                }
                let matching = page.scores.iter().filter(|(k, _)| *k == key);
                matching.for_each(|(_, s)| sum.add(s));
            }
            Burn::new(name, sum.requests, sum.on_target, objective)
        })
        .collect();
    ReportRow {
        cost_at_target: score.cost_at_target(),
        first_ms_p50: score.first_ms_at(0.5),
        first_ms_p95: score.first_ms_at(0.95),
        failure_domain,
        key,
        score,
        burn,
    }
}

/// Finds page numbers that are missing between two pages of one incarnation of a box.
fn gaps(pages: &[ScorePage]) -> Vec<Gap> {
    let mut by_incarnation: BTreeMap<(&BoxId, u64), Vec<&ScorePage>> = BTreeMap::new();
    for page in pages {
        let pages_of_incarnation = by_incarnation
            .entry((&page.by, page.incarnation))
            .or_default();
        pages_of_incarnation.push(page);
    }
    let mut gaps = Vec::new();
    for ((by, _), mut pages_of_incarnation) in by_incarnation {
        pages_of_incarnation.sort_by_key(|p| p.number);
        for pair in pages_of_incarnation.windows(2) {
            let missing = pair[1].number.saturating_sub(pair[0].number + 1);
            if missing > 0 {
                gaps.push(Gap {
                    by: by.clone(),
                    pages: missing,
                    from_ms: pair[0].to_ms,
                    to_ms: pair[1].from_ms,
                });
            }
        }
    }
    gaps
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:<20} {:<10} {:<12} {:>8} {:>9} {:>8} {:>10} {:>10} {:>7} {:>7}  burn",
            "domain",
            "policy",
            "account",
            "service",
            "requests",
            "on target",
            "not run",
            "cost/good",
            "recomputed",
            "p50 ms",
            "p95 ms"
        )?;
        for r in &self.rows {
            let cost = r
                .cost_at_target
                .map_or("-".to_string(), |c| format!("{c:.1}"));
            let mut burn = String::new();
            for b in &r.burn {
                let rate = b.rate.map_or("-".to_string(), |rate| format!("{rate:.2}"));
                write!(burn, " {}={rate}", b.window)?;
            }
            writeln!(
                f,
                "{:<10} {:<20} {:<10} {:<12} {:>8} {:>9} {:>8} {:>10} {:>10} {:>7} {:>7} {burn}",
                r.failure_domain.as_str(),
                r.key.policy.as_str(),
                r.key.account.as_str(),
                r.key.service.as_str(),
                r.score.requests,
                r.score.on_target,
                r.score.not_run,
                cost,
                r.score.recomputed_tokens,
                r.first_ms_p50,
                r.first_ms_p95
            )?;
        }
        for g in &self.gaps {
            writeln!(f, "gap: {} did not publish {} pages", g.by, g.pages)?;
        }
        Ok(())
    }
}
