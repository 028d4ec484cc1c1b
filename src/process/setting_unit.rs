//! Parsers for quantities with units in settings files. Quantities are whole numbers; a space before the unit is
//! optional.

use std::time::Duration;

/// Parses a duration such as `250 ms`, `2 s` or `5 min`.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = split_unit(text)?;

    match unit {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "min" => Some(Duration::from_secs(number.checked_mul(60)?)),
        _ => None,
    }
}

/// Parses a size such as `768 KiB` or `16 MiB`, in bytes.
pub(crate) fn parse_size(text: &str) -> Option<u64> {
    let (number, unit) = split_unit(text)?;

    match unit {
        "B" => Some(number),
        "KiB" => number.checked_mul(1 << 10),
        "MiB" => number.checked_mul(1 << 20),
        _ => None,
    }
}

/// Parses a rate such as `50 /s`, in calls per second.
pub(crate) fn parse_rate(text: &str) -> Option<u32> {
    let (number, unit) = split_unit(text)?;
    (unit == "/s").then_some(number)?.try_into().ok()
}

/// Splits a quantity into its number and its unit.
fn split_unit(text: &str) -> Option<(u64, &str)> {
    let number_end = text.find(|it: char| !it.is_ascii_digit())?;
    let number = text[..number_end].parse().ok()?;
    Some((number, text[number_end..].trim()))
}
