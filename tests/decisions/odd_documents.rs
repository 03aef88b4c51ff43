//! Documents that another writer, or a broken one, may leave where a daemon reads.

use serde_json::Value;

/// Deeper than a recursive decoder has stack for.
const DEPTH: usize = 100_000;
const LONG_TEXT: usize = 100_000;

/// Values for a field that are of another type, or beyond any sound limit.
const ODD_VALUES: [&str; 24] = [
    "18446744073709551615",
    "18446744073709551616",
    "9223372036854775807",
    "-9223372036854775808",
    "4294967295",
    "4294967296",
    "-1",
    "0",
    "256",
    "1e308",
    "-1e308",
    "1e999",
    "NaN",
    "1.5",
    "1e-400",
    "null",
    "true",
    "\"\"",
    "\"10.0.0.9:70000\"",
    "\"10.0.0.9:0\"",
    "\"10.0.0.9:-1\"",
    "\"\\u0000\\n\\u202e\"",
    "[]",
    "{}",
];

/// Returns odd variants of a sound JSON document: each field replaced by each odd value, left out, or given
/// twice; the document cut off, nested, or not JSON at all.
pub fn odd_documents(sound: &str) -> Vec<Vec<u8>> {
    let mut odd: Vec<Vec<u8>> = [
        "", "{", "}", "null", "[]", "\"\"", "-1", "1e999", "no json", "\u{7}",
    ]
    .map(|text| text.as_bytes().to_vec())
    .to_vec();
    odd.push(vec![0xff; 600]);
    odd.push(vec![0; 600]);
    odd.push("[".repeat(DEPTH).into_bytes());
    odd.push("{\"a\":".repeat(DEPTH).into_bytes());
    odd.push(format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH)).into_bytes());
    odd.extend([1, 3, sound.len() / 2].map(|at| sound.as_bytes()[..at.min(sound.len())].to_vec()));
    let parsed: Value = serde_json::from_str(sound).expect("a sound document");
    let mut pointers = Vec::new();
    collect_pointers(&parsed, String::new(), &mut pointers);
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let long = format!("\"{}\"", "x".repeat(LONG_TEXT));
    for pointer in pointers {
        for value in ODD_VALUES.into_iter().chain([nested.as_str(), &long]) {
            odd.push(with_value(&parsed, &pointer, value));
        }
        if let Some((parent, name)) = pointer.rsplit_once('/') {
            odd.extend(without_or_twice(&parsed, parent, name));
        }
    }
    odd
}

fn collect_pointers(value: &Value, at: String, pointers: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                collect_pointers(field, format!("{at}/{name}"), pointers);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                collect_pointers(item, format!("{at}/{index}"), pointers);
            }
        }
        _ => {}
    }
    if !at.is_empty() {
        pointers.push(at);
    }
}

/// Returns the document with the text of a value that `Value` itself can't hold.
fn with_value(document: &Value, pointer: &str, value: &str) -> Vec<u8> {
    const MARK: &str = "\"placeholder of the value\"";
    let mut document = document.clone();
    *document.pointer_mut(pointer).expect("a known field") =
        serde_json::from_str(MARK).expect("a text");
    document.to_string().replacen(MARK, value, 1).into_bytes()
}

fn without_or_twice(document: &Value, parent: &str, name: &str) -> Vec<Vec<u8>> {
    let mut without = document.clone();
    let Some(Value::Object(fields)) = without.pointer_mut(parent) else {
        return Vec::new();
    };
    let Some(field) = fields.remove(name) else {
        return Vec::new();
    };
    let twice = with_value(
        document,
        &format!("{parent}/{name}"),
        &format!("{field},\"{name}\":{field}"),
    );
    vec![without.to_string().into_bytes(), twice]
}
