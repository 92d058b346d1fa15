//! A transcript in which values that differ between runs are replaced by placeholders.

/// Recorded text and the placeholders for variable values.
#[derive(Default)]
pub struct Transcript {
    text: String,
    /// Values and their placeholders.
    placeholders: Vec<(String, String)>,
}

impl Transcript {
    /// Replaces a value by a placeholder with this name, in all of the text.
    pub fn add_placeholder(&mut self, value: &str, name: &str) {
        self.placeholders
            .push((value.to_owned(), format!("<{name}>")));
    }

    /// Appends text as lines.
    pub fn add(&mut self, text: &str) {
        self.text.push_str(text.trim_end());
        self.text.push('\n');
    }

    /// The text with placeholders.
    pub fn text(&self) -> String {
        let replaced = self
            .placeholders
            .iter()
            .fold(self.text.clone(), |text, (value, placeholder)| {
                text.replace(value, placeholder)
            });
        replace_times(&replace_ids(&replaced))
    }
}

/// Replaces timestamps such as `2026-12-04 04:01:45.121 UTC` by `<time>`.
fn replace_times(text: &str) -> String {
    const LENGTH: usize = "2026-12-04 04:01:45.121 UTC".len();
    let mut rest = text;
    let mut out = String::new();
    while let Some(end) = rest.find(" UTC").map(|start| start + " UTC".len()) {
        out.push_str(&rest[..end.saturating_sub(LENGTH)]);
        out.push_str("<time>");
        rest = &rest[end..];
    }
    out + rest
}

/// Replaces words of 32 or more hexadecimal digits by `<id>`.
fn replace_ids(text: &str) -> String {
    text.split_inclusive(|c: char| !c.is_ascii_alphanumeric() && c != '.' && c != ':')
        .map(|word| {
            let digits = word.trim_end_matches(|c: char| !c.is_ascii_alphanumeric());
            let rest = &word[digits.len()..];
            let is_hexadecimal = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
            if digits.len() >= 32 && is_hexadecimal {
                format!("<id>{rest}")
            } else {
                word.to_owned()
            }
        })
        .collect()
}
