//! Settings and route files: errors are reported with their line.

use saddlepulley::{
    conf::{DEFAULT_GATEWAY_SETTINGS, GatewaySettings},
    gateway::RoutesFile,
};

const SETTINGS: &str = r#"
[node]
name = "n1"
zone = "a"

[listen]
clients = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"

[source]
kind = "file"
path = "routes.toml"
"#;

#[test]
fn minimal_settings_are_accepted() {
    let settings = GatewaySettings::parse("f", SETTINGS).unwrap();
    assert!(!settings.duties.usage);
    assert_eq!(settings.bounds.retry_ratio, 0.2);
}

#[test]
fn an_unknown_field_is_reported_with_its_line() {
    let text = SETTINGS.replace("zone = ", "zona = ");
    let error = GatewaySettings::parse("f", &text).unwrap_err().to_string();
    assert!(error.starts_with("f:4: "), "{error}");
    assert!(error.contains("zona"), "{error}");
}

#[test]
fn an_invalid_address_is_reported_with_its_line() {
    let text = SETTINGS.replace("127.0.0.1:2", "here");
    let error = GatewaySettings::parse("f", &text).unwrap_err().to_string();
    assert!(error.starts_with("f:8: "), "{error}");
}

#[test]
fn a_value_out_of_range_is_reported_with_its_line_and_the_expected_range() {
    let wrong = [
        ("[fleet]\nplanned_use = 0.0\n", "above 0 and at most 1"),
        ("[fleet]\nplanned_use = 1.5\n", "above 0 and at most 1"),
        ("[fleet]\nmax_use = 0.0\n", "above 0 and at most 1"),
        ("[fleet]\non_demand_base = -0.1\n", "0 or more"),
        ("[fleet]\nnext_loss_cover = -1.0\n", "0 or more"),
        ("[fleet]\nnow_decay_ms = 0.0\n", "above 0"),
        ("[bounds.quotas]\novershoot = -0.1\n", "0 or more"),
        ("[first_guess]\nstay_ms = 0.0\n", "above 0"),
        ("[bounds.quarantine]\nends = 0\n", "1 or more"),
        ("[mechanisms]\nhomes = 1\n", "a boolean"),
    ];
    for (table, expected) in wrong {
        let text = format!("{SETTINGS}{table}");
        let error = GatewaySettings::parse("f", &text).unwrap_err().to_string();
        assert!(error.starts_with("f:15: "), "{table}: {error}");
        assert!(error.contains(expected), "{table}: {error}");
    }
}

#[test]
fn an_invalid_route_is_reported_with_its_line() {
    let text = "[config]\nversion = 1\nservices = []\n[[config.routes]]\nname = \"r\"\nkind = \"sometimes\"\n";
    let error = RoutesFile::parse(text).unwrap_err().to_string();
    assert!(error.starts_with("line 6"), "{error}");
}

#[test]
fn the_commented_settings_are_the_defaults() {
    let settings = GatewaySettings::parse("f", DEFAULT_GATEWAY_SETTINGS).unwrap();
    let uncommented = DEFAULT_GATEWAY_SETTINGS
        .lines()
        .map(|line| match line.strip_prefix("# ") {
            Some(rest) if rest.contains(" = ") && !rest.contains('`') => rest,
            _ => line,
        });
    let uncommented: Vec<&str> = uncommented.collect();
    let same = GatewaySettings::parse("f", &uncommented.join("\n")).unwrap();
    assert_eq!(settings, same);
}

/// Without the box's memory and without a figure of its own, nothing is read ahead, as before.
#[test]
fn what_may_be_held_for_slow_readers_follows_from_the_memory() {
    let settings_with = |lines: &str| {
        let text = SETTINGS.replacen("[node]\n", &format!("[node]\n{lines}\n"), 1);
        GatewaySettings::parse("f", &text).unwrap()
    };
    assert_eq!(settings_with("").buffer_bytes(), None);
    let mut settings = settings_with("memory_mb = 256");
    assert_eq!(settings.buffer_bytes(), Some(32_000_000));
    settings.bounds.buffered_bytes = Some(1_000_000);
    assert_eq!(settings.buffer_bytes(), Some(1_000_000));
    settings.bounds.buffered_bytes = Some(0);
    assert_eq!(settings.buffer_bytes(), None);
    settings.bounds.buffered_bytes = None;
    settings.mechanisms.read_ahead = false;
    assert_eq!(settings.buffer_bytes(), None);
}

/// A platform restarts daemons by itself, so the slack of retry budgets is withheld there at first.
#[test]
fn the_window_of_retry_budgets_depends_on_the_source_unless_it_is_set() {
    let settings = GatewaySettings::parse("f", SETTINGS).unwrap();
    assert_eq!(settings.retry_window_ms(), 0);
    let platform = SETTINGS.replace(
        "kind = \"file\"\npath = \"routes.toml\"",
        "kind = \"platform\"\nstore = \"127.0.0.1:4\"",
    );
    let mut settings = GatewaySettings::parse("f", &platform).unwrap();
    assert_eq!(settings.retry_window_ms(), 10_000);
    settings.bounds.retry_window_s = Some(4.0);
    assert_eq!(settings.retry_window_ms(), 4_000);
}
