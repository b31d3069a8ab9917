//! Formats responses as text.

use serde_json::Value;

/// Formats a value as a table cell.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(list) if list.iter().all(Value::is_string) => {
            list.iter().map(cell).collect::<Vec<_>>().join(",")
        }
        Value::Array(list) => list.iter().map(cell).collect::<Vec<_>>().join(" "),
        Value::Object(_) => value.to_string(),
        other => other.to_string(),
    }
}

/// Formats a header and rows as aligned columns.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |i: usize| {
        let cells = rows
            .iter()
            .filter_map(|r| r.get(i))
            .map(|c| c.chars().count());
        cells.chain([header[i].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let padded: Vec<String> = cells
            .zip(&widths)
            .map(|(c, w)| format!("{c:<w$}"))
            .collect();
        padded.join("  ").trim_end().to_owned()
    };
    let mut lines = vec![line(&mut header.iter().copied())];
    lines.extend(rows.iter().map(|r| line(&mut r.iter().map(String::as_str))));
    lines.join("\n")
}

/// Formats a Unix time in ms as UTC.
pub fn time(ms: &Value) -> String {
    let Some(ms) = ms.as_u64().filter(|ms| *ms > 0) else {
        return "-".into();
    };
    let (days, seconds) = (ms / 86_400_000, ms / 1000 % 86_400);
    // Converts days since 1970 to a date (Howard Hinnant, chrono-compatible low-level date algorithms).
    let z = days + 719_468;
    let (era, day) = (z / 146_097, z % 146_097);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day_of_year = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day_of_year + 2) / 153;
    let (d, m) = (
        day_of_year - (153 * month + 2) / 5 + 1,
        if month < 10 { month + 3 } else { month - 9 },
    );
    let y = year + era * 400 + u64::from(m <= 2);
    let (hours, minutes, seconds) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
    format!("{y:04}-{m:02}-{d:02} {hours:02}:{minutes:02}:{seconds:02}Z")
}

/// Formats differences, one line each: `+`, `-` or `~`, the path, and the values.
pub fn differences(differences: &Value) -> String {
    let format_one = |d: &Value| match (d.get("from"), d.get("to")) {
        (None, Some(to)) => format!("+ {}  {to}", cell(&d["path"])),
        (Some(from), None) => format!("- {}  {from}", cell(&d["path"])),
        _ => format!("~ {}  {} -> {}", cell(&d["path"]), d["from"], d["to"]),
    };
    differences
        .as_array()
        .into_iter()
        .flatten()
        .map(format_one)
        .collect::<Vec<_>>()
        .join("\n")
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn unix_times_are_formatted_as_utc_dates() {
        assert_eq!(time(&json!(951_782_400_000_u64)), "2000-02-29 00:00:00Z");
        assert_eq!(time(&json!(1_796_169_599_999_u64)), "2026-12-01 23:59:59Z");
        assert_eq!(time(&json!(0)), "-");
    }

    #[test]
    fn columns_are_as_wide_as_their_widest_cell() {
        let rows = [
            vec!["north".into(), "3".into()],
            vec!["x".into(), "12".into()],
        ];
        assert_eq!(
            table(&["TENANT", "REV"], &rows),
            "TENANT  REV\nnorth   3\nx       12"
        );
    }
}
