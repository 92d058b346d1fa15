//! Intents in command-line syntax, such as `set-rate account=wisla rate=4000 burst=20000`.

use std::fs;
use std::path::PathBuf;

use mimosa_protocol::Error;
use mimosa_protocol::Result;
use serde_json::Map;
use serde_json::Value;

use crate::command::operator::options::usage_error;

/// Help text: the intents with their fields; those in brackets are optional.
pub const INTENTS_HELP: &str = "\
Intents:
  put-account account= rate= burst= [weight=1] [services=a,b] [serve_when_cut_off=false]
  remove-account account=
  set-rate account= rate= burst=
  create-key key= account= [digest=]
  withdraw-key key=
  put-service service= kind=model|plain [open=false] [first_token_target_ms=1300]
              [token_gap_target_ms=44] [max_queue_time_ms=10000]
  remove-service service=
  put-data-centre data_centre= [link_rate=10000000000]
  take-out-data-centre data_centre=
  return-data-centre data_centre=
  put-endpoint endpoint= service= data_centre= address=IP:PORT role=prefill|decode|plain
               [capacity.concurrency=20] [capacity.blocks=80] [capacity.tokens_per_block=4096]
               [capacity.prefill_rate=20000] [capacity.token_gap_us=20000]
               [capacity.bytes_per_token=100000] [capacity.prefill_life_ms=800]
               [checks_fencing=false]
  drain-endpoint endpoint=
  return-endpoint endpoint=
  remove-endpoint endpoint=
  set-role endpoint= role=
  load-model endpoint= model= version=
  start-rollout service= to= duration_ms=
  cancel-rollout service=
Rates are tokens a second, bursts are tokens, link rates are bytes a second.

";

/// Fields whose values are strings even if they look like numbers.
const TEXT_FIELDS: [&str; 11] = [
    "account",
    "key",
    "digest",
    "service",
    "kind",
    "data_centre",
    "endpoint",
    "address",
    "role",
    "model",
    "version",
];

/// Converts an intent from command-line syntax to JSON.
///
/// # Errors
///
/// [`Error::Usage`] if there is no intent or an argument is not of the form `field=value`.
pub fn from_arguments(command: &str, arguments: &[String]) -> Result<Value> {
    let Some((kind, pairs)) = arguments.split_first() else {
        return Err(usage_error(
            command,
            "expected an intent, such as 'set-rate'",
        ));
    };
    let mut fields = Map::new();
    for pair in pairs {
        let (path, value) = pair
            .split_once('=')
            .ok_or_else(|| usage_error(command, format!("'{pair}' is no field=value")))?;
        insert_field(&mut fields, path, value);
    }
    let mut intent = Map::new();
    intent.insert(kind.replace('-', "_"), Value::Object(fields));
    Ok(Value::Object(intent))
}

/// Reads an intent in JSON from a file.
///
/// # Errors
///
/// [`Error::File`] if it cannot be read, [`Error::BadMessage`] if it is not valid JSON.
pub fn from_file(path: &str) -> Result<Value> {
    let path = PathBuf::from(path);
    let text = fs::read_to_string(&path).map_err(|source| Error::File {
        action: "read",
        path: path.clone(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|e| Error::BadMessage {
        reason: format!("{}: {e}", path.display()),
    })
}

/// Formats an intent in JSON in command-line syntax.
pub fn to_command_line(intent: &Value) -> String {
    let Some((kind, fields)) = intent.as_object().and_then(|object| object.iter().next()) else {
        return String::new();
    };
    let mut arguments = vec![kind.replace('_', "-")];
    push_fields(&mut arguments, "", fields);
    arguments.join(" ")
}

/// Appends fields as `field=value`, those of nested objects as `outer.inner=value`. Leaves out
/// `null` and empty lists.
fn push_fields(arguments: &mut Vec<String>, prefix: &str, fields: &Value) {
    let Some(fields) = fields.as_object() else {
        return;
    };
    for (name, value) in fields {
        match value {
            Value::Object(_) => push_fields(arguments, &format!("{prefix}{name}."), value),
            Value::Null => {}
            Value::Array(list) if list.is_empty() => {}
            Value::Array(list) => {
                let list: Vec<String> = list.iter().map(unquoted).collect();
                arguments.push(format!("{prefix}{name}={}", list.join(",")));
            }
            other => arguments.push(format!("{prefix}{name}={}", unquoted(other))),
        }
    }
}

/// A JSON value as text, strings without quotes and `null` as `-`.
pub fn unquoted(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Inserts a field; a path such as `outer.inner` creates a nested object.
fn insert_field(fields: &mut Map<String, Value>, path: &str, value: &str) {
    match path.split_once('.') {
        Some((head, rest)) => {
            let inner = fields
                .entry(head)
                .or_insert_with(|| Value::Object(Map::new()));
            if let Value::Object(inner) = inner {
                insert_field(inner, rest, value);
            }
        }
        None => {
            fields.insert(path.to_owned(), parse_value(path, value));
        }
    }
}

/// The JSON value of a field: a list for `services`, a string for [`TEXT_FIELDS`], otherwise JSON or,
/// if it is not valid JSON, a string.
fn parse_value(field: &str, value: &str) -> Value {
    if field == "services" {
        let names = value.split(',').filter(|name| !name.is_empty());
        return names.map(|name| Value::String(name.to_owned())).collect();
    }
    let text = || Value::String(value.to_owned());
    if TEXT_FIELDS.contains(&field) {
        return text();
    }
    serde_json::from_str(value).unwrap_or_else(|_| text())
}
