use {super::Report, std::fmt::Write as _};

/// Width of a bar in pixels.
const BAR_WIDTH: f64 = 260.0;

const STYLE: &str = "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}\
td,th{padding:.3em .7em;border-bottom:1px solid #ccc;text-align:right}\
td.n,th.n{text-align:left}rect{fill:#4477aa}rect.bad{fill:#cc6677}.gap{color:#aa3333}";

/// Formats a report as a single HTML page without external resources.
pub fn to_html(report: &Report) -> String {
    let mut page = String::new();
    let head = "<!doctype html><meta charset=utf-8><title>saddlepulley report</title>";
    let _ = write!(
        page,
        "{head}<style>{STYLE}</style><h1>How each policy did</h1>"
    );
    page.push_str("<table><tr><th class=n>failure domain<th class=n>policy<th class=n>account\
<th class=n>service<th>requests<th>on target<th>not run<th>may have run<th>cost per answer on target\
<th>tokens recomputed<th>p50 ms<th>p95 ms<th>burn 5m<th>1h<th>6h<th class=n>on target");
    for r in &report.rows {
        let cost = r
            .cost_at_target
            .map_or("-".to_string(), |c| format!("{c:.1}"));
        let _ = write!(
            page,
            "<tr><td class=n>{}<td class=n>{}<td class=n>{}<td class=n>{}<td>{}<td>{}<td>{}<td>{}\
             <td>{cost}<td>{}<td>{}<td>{}",
            r.failure_domain,
            r.key.policy,
            r.key.account,
            r.key.service,
            r.score.requests,
            r.score.on_target,
            r.score.not_run,
            r.score.may_have_run,
            r.score.recomputed_tokens,
            r.first_ms_p50,
            r.first_ms_p95
        );
        for b in &r.burn {
            let rate = b.rate.map_or("-".to_string(), |rate| format!("{rate:.2}"));
            let _ = write!(page, "<td>{rate}");
        }
        let _ = write!(
            page,
            "<td class=n>{}",
            bar(r.score.on_target, r.score.requests)
        );
    }
    page.push_str("</table>");
    for g in &report.gaps {
        let _ = write!(
            page,
            "<p class=gap>gap: {} did not publish {} pages",
            g.by, g.pages
        );
    }
    page.push('\n');
    page
}

/// Draws a bar that shows `part` as a share of `total`.
fn bar(part: u64, total: u64) -> String {
    let good = if total == 0 {
        0.0
    } else {
        part as f64 / total as f64
    } * BAR_WIDTH;
    format!(
        "<svg width={BAR_WIDTH} height=12><rect class=bad width={BAR_WIDTH} height=12 />\
         <rect width={good:.1} height=12 /></svg>"
    )
}
