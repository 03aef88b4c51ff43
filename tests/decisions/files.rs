//! A wrong settings or table file is reported with the line and the key or field at fault.

use saddlepulley::{conf::*, contracts::*};

fn settings_error(from: &str, to: &str) -> String {
    let text = DEFAULT_SETTINGS
        .replace("# plain = false", "plain = true")
        .replacen(from, to, 1);
    match Settings::parse("s.toml", &text) {
        Ok(_) => "good".to_string(),
        Err(e) => e.to_string(),
    }
}

#[test]
fn default_settings_parse_without_error() {
    assert_eq!(settings_error("", ""), "good");
}

/// Fails if a value that the settings file shows in a comment differs from the default in code.
#[test]
fn commented_defaults_equal_the_defaults_in_code() {
    let as_shipped = DEFAULT_SETTINGS.replace("# plain = false", "plain = true");
    let mut uncommented = String::new();
    for line in as_shipped.lines() {
        let optional = ["tls_", "peers_advertised", "token_sha256"];
        match line.strip_prefix("# ") {
            Some(rest) if rest.contains(" = ") && !optional.iter().any(|o| rest.starts_with(o)) => {
                uncommented += rest
            }
            _ => uncommented += line,
        }
        uncommented.push('\n');
    }
    let as_shipped = Settings::parse("short", &as_shipped).unwrap();
    let uncommented = Settings::parse("long", &uncommented).unwrap();
    assert_eq!(as_shipped, uncommented);
}

#[test]
fn wrong_settings_are_reported_with_line_and_key() {
    insta::assert_snapshot!(settings_error("failure_domain =", "failure_domian ="), @"s.toml:8: unknown field `failure_domian`, expected `id` or `failure_domain`");
    insta::assert_snapshot!(settings_error("\"127.0.0.1:7001\"", "\"localhost:7001\""), @"s.toml:12: invalid socket address syntax");
    insta::assert_snapshot!(settings_error("# heartbeat_ms = 500", "heartbeat_ms = 5000"), @"s.toml:33: `silence_ms`: expected at least twice heartbeat_ms");
    insta::assert_snapshot!(settings_error("# key_window_s = 3600", "key_window_s = 90000"), @"s.toml:44: `key_window_s`: expected less than log_retention_s, less twice clock_skew_s");
    insta::assert_snapshot!(settings_error("plain = true", "plain = false"), @"s.toml:26: `[peers]`: expected tls_cert, tls_key and tls_ca, or plain = true");
}

const TABLE: &str = "[[account]]\nname = \"acme\"\ntoken_sha256 = []\n\n[[row]]\naccount = \"acme\"\nservice = \"assistant\"\nfailure_domain = \"txc-a\"\nweight = 2\n";

fn table_error(from: &str, to: &str) -> String {
    match TableFile::parse("t.toml", &TABLE.replacen(from, to, 1)) {
        Ok(_) => "good".to_string(),
        Err(e) => e.to_string(),
    }
}

#[test]
fn wrong_tables_are_reported_with_line_and_field() {
    insta::assert_snapshot!(table_error("weight = 2", "weight = 0"), @"t.toml:9: acme/assistant/txc-a: field `weight`: expected 1 to 1000, found 0");
    insta::assert_snapshot!(table_error("weight = 2", "wieght = 2"), @"t.toml:9: unknown field `wieght`, expected one of `account`, `service`, `failure_domain`, `weight`, `rate`, `concurrency`, `tokens_per_s`, `first_token_ms`, `between_tokens_ms`, `objective`, `policies`, `class`, `retry_budget`, `repeatable`, `priority`");
    insta::assert_snapshot!(table_error("weight = 2", "policies = { fastest = 1 }"), @"t.toml:9: acme/assistant/txc-a: field `policies`: expected one of [\"naive\", \"cheapest-on-target\", \"keep-work\"], found `fastest`");
    insta::assert_snapshot!(table_error("account = \"acme\"", "account = \"acmee\""), @"t.toml:6: acmee/assistant/txc-a: field `account`: expected an account of the table, found `acmee`");
    insta::assert_snapshot!(table_error("weight = 2", "weight = 2\n[[row]]\naccount = \"acme\"\nservice = \"assistant\"\nfailure_domain = \"txc-a\""), @"t.toml:10: acme/assistant/txc-a: duplicate entry in the table");
    insta::assert_snapshot!(table_error("token_sha256 = []", "token_sha256 = [\"xyz\"]"), @"t.toml:3: account:acme: field `token_sha256`: expected 64 hexadecimal digits");
}
