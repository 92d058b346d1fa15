//! A transcript in which values that differ between runs are replaced by placeholders.

/// Recorded text and the placeholders for variable values.
#[derive(Default)]
pub struct Transcript {
    text: String,
    names: Vec<(String, String)>,
}

impl Transcript {
    /// Replaces a value by a placeholder with this name, in all of the text.
    pub fn name(&mut self, value: &str, name: &str) {
        self.names.push((value.to_owned(), format!("<{name}>")));
    }

    /// Appends text as lines.
    pub fn add(&mut self, text: &str) {
        self.text.push_str(text.trim_end());
        self.text.push('\n');
    }

    /// The text with placeholders.
    pub fn text(&self) -> String {
        let named = self
            .names
            .iter()
            .fold(self.text.clone(), |text, (value, name)| {
                text.replace(value, name)
            });
        replace_times(&replace_ids(&named))
    }
}

/// Replaces timestamps such as `2026-12-04 04:01:45.121 UTC` by `<time>`.
fn replace_times(text: &str) -> String {
    const LENGTH: usize = "2026-12-04 04:01:45.121 UTC".len();
    let mut rest = text;
    let mut out = String::new();
    while let Some(end) = rest.find(" UTC").map(|place| place + " UTC".len()) {
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
            let core = word.trim_end_matches(|c: char| !c.is_ascii_alphanumeric());
            let rest = &word[core.len()..];
            let hexadecimal = core.bytes().all(|byte| byte.is_ascii_hexdigit());
            if core.len() >= 32 && hexadecimal {
                format!("<id>{rest}")
            } else {
                word.to_owned()
            }
        })
        .collect()
}
