//! printf formats of `$INT`, `$REAL` and `$STRING`: `%[-+ 0#][width][.precision]` and a conversion
//! character.

/// Maximum width and precision of a format.
const MAX_WIDTH: usize = 200;

struct Format<'f> {
    prefix: &'f str,
    left: bool,
    plus: bool,
    space: bool,
    zero: bool,
    width: usize,
    precision: Option<usize>,
    conversion: char,
    suffix: &'f str,
}

fn parse(format: &str) -> Option<Format<'_>> {
    let (prefix, rest) = format.split_once('%')?;
    let flags: usize = rest.bytes().take_while(|byte| b"-+ 0#".contains(byte)).count();
    let (flags, rest) = rest.split_at(flags);
    let digits = |text: &str| text.bytes().take_while(u8::is_ascii_digit).count();
    let (width, mut rest) = rest.split_at(digits(rest));
    let mut precision = None;
    if let Some(after_dot) = rest.strip_prefix('.') {
        let (number, remaining) = after_dot.split_at(digits(after_dot));
        precision = Some(if number.is_empty() {
            0
        } else {
            number.parse().ok()?
        });
        rest = remaining;
    }
    let rest = rest.trim_start_matches(['l', 'h']);
    let conversion = rest.chars().next()?;
    let suffix = &rest[conversion.len_utf8()..];
    let width = if width.is_empty() { 0 } else { width.parse().ok()? };
    let is_valid = width <= MAX_WIDTH
        && precision.is_none_or(|precision| precision <= MAX_WIDTH)
        && !suffix.contains('%');
    is_valid.then_some(Format {
        prefix,
        left: flags.contains('-'),
        plus: flags.contains('+'),
        space: flags.contains(' '),
        zero: flags.contains('0'),
        width,
        precision,
        conversion,
        suffix,
    })
}

impl Format<'_> {
    fn format_signed(&self, negative: bool, digits: String, zero: bool) -> String {
        let sign = match (negative, self.plus, self.space) {
            (true, ..) => "-",
            (_, true, _) => "+",
            (_, _, true) => " ",
            _ => "",
        };
        let padding = self.width.saturating_sub(sign.len() + digits.len());
        if self.left {
            self.with_affixes(format!("{sign}{digits}{}", " ".repeat(padding)))
        } else if zero {
            self.with_affixes(format!("{sign}{}{digits}", "0".repeat(padding)))
        } else {
            self.with_affixes(format!("{}{sign}{digits}", " ".repeat(padding)))
        }
    }

    fn with_affixes(&self, text: String) -> String {
        format!("{}{text}{}", self.prefix, self.suffix)
    }
}

/// Formats an integer; `None` if the format is not valid for integers.
pub fn format_int(format: &str, value: i64) -> Option<String> {
    let format = parse(format)?;
    let magnitude = value.unsigned_abs();
    let (negative, digits) = match format.conversion {
        'd' | 'i' => (value < 0, magnitude.to_string()),
        'u' => (false, (value as u64).to_string()),
        'x' => (false, format!("{value:x}")),
        'X' => (false, format!("{value:X}")),
        'o' => (false, format!("{value:o}")),
        _ => return format_real_with(&format, value as f64),
    };
    let min_digits = format.precision.unwrap_or(1);
    let digits = format!("{}{digits}", "0".repeat(min_digits.saturating_sub(digits.len())));
    Some(format.format_signed(negative, digits, format.zero && format.precision.is_none()))
}

/// Formats a real number; `None` if the format is not valid for reals.
pub fn format_real(format: &str, value: f64) -> Option<String> {
    format_real_with(&parse(format)?, value)
}

fn format_real_with(format: &Format<'_>, value: f64) -> Option<String> {
    let magnitude = value.abs();
    let precision = format.precision.unwrap_or(6);
    let digits = match format.conversion {
        'f' | 'F' => format!("{magnitude:.precision$}"),
        'e' | 'E' => format_exponent(magnitude, precision, format.conversion),
        'g' | 'G' => format_general(magnitude, precision.max(1), format.conversion),
        _ => return None,
    };
    Some(format.format_signed(value.is_sign_negative(), digits, format.zero))
}

fn format_exponent(magnitude: f64, precision: usize, conversion: char) -> String {
    let text = format!("{magnitude:.precision$e}");
    let (digits, power) = text.split_once('e').unwrap_or((&text, "0"));
    let power: i32 = power.parse().unwrap_or(0);
    let sign = if power < 0 { '-' } else { '+' };
    let conversion = if conversion.is_uppercase() { 'E' } else { 'e' };
    format!("{digits}{conversion}{sign}{:02}", power.abs())
}

fn format_general(magnitude: f64, precision: usize, conversion: char) -> String {
    let power = if magnitude > 0.0 {
        magnitude.log10().floor() as i64
    } else {
        0
    };
    let trim = |text: &str| {
        if text.contains('.') {
            text.trim_end_matches('0').trim_end_matches('.').to_owned()
        } else {
            text.to_owned()
        }
    };
    if power < -4 || power >= precision as i64 {
        let text = format_exponent(
            magnitude,
            precision - 1,
            if conversion == 'G' { 'E' } else { 'e' },
        );
        let at = text.find(['e', 'E']).unwrap_or(text.len());
        format!("{}{}", trim(&text[..at]), &text[at..])
    } else {
        let decimals = (precision as i64 - 1 - power).max(0) as usize;
        trim(&format!("{magnitude:.decimals$}"))
    }
}

/// Formats a string; `None` if the format is not valid for strings.
pub fn format_string(format: &str, value: &str) -> Option<String> {
    let format = parse(format)?;
    if format.conversion != 's' {
        return None;
    }
    let text: String = match format.precision {
        Some(max_chars) => value.chars().take(max_chars).collect(),
        None => value.to_owned(),
    };
    let padding = " ".repeat(format.width.saturating_sub(text.chars().count()));
    Some(format.with_affixes(if format.left {
        format!("{text}{padding}")
    } else {
        format!("{padding}{text}")
    }))
}

#[cfg(test)]
mod tests;
