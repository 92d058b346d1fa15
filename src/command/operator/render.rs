//! Renders responses of the admin API as text.

use serde_json::Value;

use crate::command::operator::intent::to_command_line;
use crate::command::operator::intent::unquoted;
use crate::command::operator::time::format_utc;

/// Renders a plan: its changes, their cost, how to undo it and, for a new key, the secret.
pub fn plan(plan: &Value) -> String {
    let mut lines = vec![format!(
        "plan {} at revision {}, order {} of {}",
        unquoted(&plan["plan"]),
        unquoted(&plan["revision"]),
        unquoted(&plan["number"]),
        unquoted(&plan["operator"])
    )];
    lines.push("changes".to_owned());
    lines.extend(list(&plan["changes"]).iter().flat_map(change));
    lines.push("cost".to_owned());
    lines.extend(cost(&plan["cost"]));
    lines.push(undo(&plan["undo"]));
    if let Some(secret) = plan["secret"].as_str() {
        lines.push(format!("the key, shown only now: {secret}"));
    }
    lines.push(format!(
        "nothing has changed yet; to go on: mimosaswitch confirm {}",
        unquoted(&plan["plan"])
    ));
    lines.join("\n")
}

/// Renders the confirmation of a plan: the new revision and where it is in force.
pub fn confirmation(confirmation: &Value) -> String {
    let mut lines = vec![format!(
        "plan {} accepted as revision {} on {}",
        unquoted(&confirmation["plan"]),
        unquoted(&confirmation["revision"]),
        time(&confirmation["at"])
    )];
    lines.extend(in_force(&confirmation["in_force"]));
    lines.join("\n")
}

/// Renders at which entries a revision is in force, and when withdrawn keys stop everywhere.
pub fn in_force(in_force: &Value) -> Vec<String> {
    vec![
        format!("in force at: {}", names(&in_force["at"])),
        format!("not yet at: {}", names(&in_force["not_yet"])),
        format!("not reachable: {}", names(&in_force["unreachable"])),
        format!(
            "withdrawn keys stop everywhere by {}, but for accounts that serve when cut off",
            time(&in_force["everywhere_by"])
        ),
    ]
}

/// Renders a change with its state before and after.
pub fn change(change: &Value) -> Vec<String> {
    vec![
        format!("  {}", unquoted(&change["what"])),
        format!("    before: {}", unquoted(&change["before"])),
        format!("    after:  {}", unquoted(&change["after"])),
    ]
}

/// Renders a record of the audit trail, followed by its changes.
pub fn audit_record(record: &Value) -> Vec<String> {
    let mut lines = vec![format!(
        "{} {} {} order {}: {}, {}",
        unquoted(&record["sequence"]),
        time(&record["at"]),
        unquoted(&record["operator"]),
        unquoted(&record["number"]),
        unquoted(&record["action"]),
        audit_result(&record["result"])
    )];
    lines.extend(list(&record["lines"]).iter().flat_map(change));
    lines
}

/// A comma-separated list of names, or a dash if it is empty.
pub fn names(value: &Value) -> String {
    let names: Vec<String> = list(value).iter().map(unquoted).collect();
    if names.is_empty() {
        return "-".to_owned();
    }
    names.join(", ")
}

/// A timestamp, given in microseconds since 1970, in UTC; a dash if there is none.
pub fn time(value: &Value) -> String {
    value.as_u64().map_or_else(|| "-".to_owned(), format_utc)
}

/// The elements of a JSON array; empty if the value is not an array.
pub fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn cost(cost: &Value) -> Vec<String> {
    let mut lines: Vec<String> = list(&cost["pools"]).iter().map(pool).collect();
    lines.push(format!(
        "  requests to finish: at most {}",
        unquoted(&cost["requests_to_finish_at_most"])
    ));
    lines.push(format!(
        "  keys that stop: {}",
        unquoted(&cost["keys_stopped"])
    ));
    lines.push(format!(
        "  not reachable now: {}",
        names(&cost["unreachable"])
    ));
    lines
}

fn pool(pool: &Value) -> String {
    let before_after = |name: &str| {
        format!(
            "{} -> {}",
            unquoted(&pool[format!("{name}_before")]),
            unquoted(&pool[format!("{name}_after")])
        )
    };
    format!(
        "  {} {}: endpoints {}, requests at once {}, blocks {}",
        unquoted(&pool["service"]),
        unquoted(&pool["role"]),
        before_after("endpoints"),
        before_after("concurrency"),
        before_after("blocks")
    )
}

fn undo(undo: &Value) -> String {
    match undo.get("by") {
        Some(intent) => format!("to undo: mimosaswitch plan {}", to_command_line(intent)),
        None => format!("cannot be undone: {}", unquoted(&undo["never"])),
    }
}

fn audit_result(result: &Value) -> String {
    let Some((kind, fields)) = result.as_object().and_then(|object| object.iter().next()) else {
        return unquoted(result);
    };
    match kind.as_str() {
        "refused" => format!("refused: {}", unquoted(&fields["reason"])),
        other => format!("{other} at revision {}", unquoted(&fields["revision"])),
    }
}
