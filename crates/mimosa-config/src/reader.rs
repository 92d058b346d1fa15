//! Reads tables field by field and collects all faults with their positions.

use std::fmt::Display;
use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;

use miette::NamedSource;
use mimosa_protocol::error::SettingsFault;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::value::DurationText;

/// The faults of one settings file.
pub(crate) struct Faults {
    name: String,
    text: String,
    pub(crate) list: Vec<SettingsFault>,
}

impl Faults {
    pub(crate) fn new(name: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
            list: Vec::new(),
        }
    }

    pub(crate) fn add(
        &mut self,
        span: Range<usize>,
        reason: impl Display,
        help: impl Into<String>,
    ) {
        self.list.push(SettingsFault {
            reason: reason.to_string(),
            source_code: NamedSource::new(&self.name, self.text.clone()),
            span: span.into(),
            label: "here".to_owned(),
            help: help.into(),
        });
    }
}

/// Reads one table. Every requested field counts as known; [`Self::report_unknown_fields`] reports
/// the others.
pub(crate) struct TableReader<'a, 'i> {
    name: &'static str,
    table: &'a DeTable<'i>,
    span: Range<usize>,
    known: Vec<&'static str>,
}

impl<'a, 'i> TableReader<'a, 'i> {
    pub(crate) fn new(name: &'static str, table: &'a DeTable<'i>, span: Range<usize>) -> Self {
        Self {
            name,
            table,
            span,
            known: Vec::new(),
        }
    }

    fn field(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        self.known.push(key);
        self.table.get(key)
    }

    /// Returns a reader for a subtable, if it exists.
    pub(crate) fn table(
        &mut self,
        key: &'static str,
        faults: &mut Faults,
    ) -> Option<TableReader<'a, 'i>> {
        let value = self.field(key)?;
        match value.get_ref() {
            DeValue::Table(table) => Some(TableReader::new(key, table, value.span())),
            other => {
                let reason = format!("'{key}' is {}, not a table", type_description(other));
                faults.add(value.span(), reason, format!("write it as [{key}]"));
                None
            }
        }
    }

    /// Returns a reader for each table of an array of tables.
    pub(crate) fn tables(
        &mut self,
        key: &'static str,
        faults: &mut Faults,
    ) -> Vec<TableReader<'a, 'i>> {
        let items = self.array_items(key, || format!("write [[{key}]]"), faults);
        let mut readers = Vec::new();
        for item in items {
            match item.get_ref() {
                DeValue::Table(table) => readers.push(TableReader::new(key, table, item.span())),
                other => {
                    let reason = format!(
                        "an item of '{key}' is {}, not a table",
                        type_description(other)
                    );
                    faults.add(item.span(), reason, format!("write each as [[{key}]]"));
                }
            }
        }
        readers
    }

    /// Returns the items of an array; empty if the field is missing or is not an array.
    fn array_items(
        &mut self,
        key: &'static str,
        help: impl FnOnce() -> String,
        faults: &mut Faults,
    ) -> &'a [Spanned<DeValue<'i>>] {
        let Some(value) = self.field(key) else {
            return &[];
        };
        match value.get_ref() {
            DeValue::Array(items) => items,
            _ => {
                faults.add(value.span(), format!("'{key}' is not an array"), help());
                &[]
            }
        }
    }

    /// Returns names and parsed values of a table of strings.
    pub(crate) fn string_table<T: FromStr>(
        &mut self,
        key: &'static str,
        faults: &mut Faults,
    ) -> Vec<(String, T)>
    where
        T::Err: Display,
    {
        let Some(value) = self.field(key) else {
            return Vec::new();
        };
        let DeValue::Table(table) = value.get_ref() else {
            faults.add(
                value.span(),
                format!("'{key}' is not a table"),
                format!("write {key} = {{ name = \"value\" }}"),
            );
            return Vec::new();
        };
        table
            .iter()
            .filter_map(|(name, value)| {
                Some((name.get_ref().to_string(), parse(key, value, faults)?))
            })
            .collect()
    }

    /// Returns the parsed value of a field; `None` if the field is missing or invalid.
    pub(crate) fn optional<T: FromStr>(
        &mut self,
        key: &'static str,
        faults: &mut Faults,
    ) -> Option<T>
    where
        T::Err: Display,
    {
        let value = self.field(key)?;
        parse(key, value, faults)
    }

    /// Returns the parsed value of a field; `default` if the field is missing or invalid.
    pub(crate) fn or<T: FromStr>(&mut self, key: &'static str, default: T, faults: &mut Faults) -> T
    where
        T::Err: Display,
    {
        self.optional(key, faults).unwrap_or(default)
    }

    /// Returns the parsed value of a mandatory field; reports a fault if it is missing.
    pub(crate) fn required<T: FromStr>(
        &mut self,
        key: &'static str,
        faults: &mut Faults,
    ) -> Option<T>
    where
        T::Err: Display,
    {
        if !self.table.contains_key(key) {
            let reason = format!("'{key}' is missing in [{}]", self.name);
            faults.add(
                self.span.clone(),
                reason,
                format!("add a line '{key} = ...'"),
            );
        }
        self.optional(key, faults)
    }

    /// Returns the duration in a field; `default` if the field is missing or invalid.
    pub(crate) fn duration(
        &mut self,
        key: &'static str,
        default: Duration,
        faults: &mut Faults,
    ) -> Duration {
        self.or(key, DurationText(default), faults).0
    }

    /// Returns the valid items of an array.
    pub(crate) fn list<T: FromStr>(&mut self, key: &'static str, faults: &mut Faults) -> Vec<T>
    where
        T::Err: Display,
    {
        self.array_items(key, || format!("write {key} = [\"...\"]"), faults)
            .iter()
            .filter_map(|item| parse(key, item, faults))
            .collect()
    }

    /// Returns the byte range of a field, or of the table if the field is missing.
    pub(crate) fn span(&self, key: &str) -> Range<usize> {
        self.table.get(key).map_or(self.span.clone(), Spanned::span)
    }

    /// Reports the fields that were not requested before.
    pub(crate) fn report_unknown_fields(self, faults: &mut Faults) {
        for (key, _) in self.table {
            let name = key.get_ref().as_ref();
            if !self.known.contains(&name) {
                let reason = format!("[{}] has no field '{name}'", self.name);
                faults.add(key.span(), reason, suggestion(name, &self.known));
            }
        }
    }
}

fn parse<T: FromStr>(key: &str, value: &Spanned<DeValue<'_>>, faults: &mut Faults) -> Option<T>
where
    T::Err: Display,
{
    let text = match value.get_ref() {
        DeValue::String(text) => text.to_string(),
        DeValue::Integer(number) => number.to_string().replace('_', ""),
        DeValue::Boolean(flag) => flag.to_string(),
        other => {
            let reason = format!("'{key}' is {}", type_description(other));
            faults.add(
                value.span(),
                reason,
                "write a string, an integer or a boolean",
            );
            return None;
        }
    };
    match text.parse() {
        Ok(parsed) => Some(parsed),
        Err(e) => {
            faults.add(
                value.span(),
                format!("'{key}' cannot be '{text}'"),
                e.to_string(),
            );
            None
        }
    }
}

fn type_description(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "an integer",
        DeValue::Float(_) => "a float",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date-time",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
    }
}

fn suggestion(name: &str, known: &[&'static str]) -> String {
    let similar = known.iter().find(|known| {
        known.starts_with(name) || name.starts_with(*known) || differ_by_one_edit(name, known)
    });
    match similar {
        Some(known) => format!("did you mean '{known}'?"),
        None => format!("known fields: {}", known.join(", ")),
    }
}

/// Whether replacing, inserting or deleting one byte turns one name into the other.
fn differ_by_one_edit(left: &str, right: &str) -> bool {
    let common = left
        .bytes()
        .zip(right.bytes())
        .take_while(|(l, r)| l == r)
        .count();
    let (left, right) = (&left.as_bytes()[common..], &right.as_bytes()[common..]);
    left.get(1..) == right.get(1..) || left.get(1..) == Some(right) || Some(left) == right.get(1..)
}
