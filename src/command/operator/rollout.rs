//! The `rollout` command, which plans rollouts and shows how they are going.

use std::process::ExitCode;

use mimosa_protocol::Result;
use serde_json::Value;
use serde_json::json;

use crate::command::Command;
use crate::command::operator::client::AdminClient;
use crate::command::operator::intent::unquoted;
use crate::command::operator::options::Options;
use crate::command::operator::options::usage_error;
use crate::command::operator::plan::order_number;
use crate::command::operator::render;
use crate::command::operator::run;

pub const COMMAND: Command = Command {
    name: "rollout",
    description: "Plans to move a service to another version, or to roll that back; shows rollouts",
    usage: "start service=S to=V duration=D | status [service=S] | cancel service=S",
    details: "A start and a cancel are plans: 'confirm' lets them take effect. D is a number of seconds,\n\
              or has a unit, such as 90s, 500ms or 10m.\n\n",
    examples: &[
        "rollout start service=verse to=v2 duration=90s",
        "rollout status service=verse --json",
        "rollout cancel service=verse",
    ],
    run: |parser| run(&COMMAND, &["number"], parser, rollout),
};

async fn rollout(options: Options) -> Result<ExitCode> {
    let (action, fields) = match options.arguments.split_first() {
        Some((action, fields)) => (action.as_str(), fields),
        None => {
            return Err(usage_error(
                COMMAND.name,
                "expected start, status or cancel",
            ));
        }
    };
    match action {
        "start" => {
            let [service, to, duration] = read_fields(fields, ["service", "to", "duration"])?;
            let duration_ms = parse_duration_ms(required("duration", duration)?)?;
            let intent = json!({ "start_rollout": {
                "service": required("service", service)?,
                "to": required("to", to)?,
                "duration_ms": duration_ms,
            }});
            plan(&options, &intent).await
        }
        "cancel" => {
            let [service] = read_fields(fields, ["service"])?;
            let intent = json!({ "cancel_rollout": { "service": required("service", service)? } });
            plan(&options, &intent).await
        }
        "status" => {
            let [service] = read_fields(fields, ["service"])?;
            status(&options, service).await
        }
        other => Err(usage_error(
            COMMAND.name,
            format!("'{other}' is not start, status or cancel"),
        )),
    }
}

async fn plan(options: &Options, intent: &Value) -> Result<ExitCode> {
    let number = order_number(COMMAND.name, options)?;
    let admin = AdminClient::new(COMMAND.name, options)?;
    eprintln!("order {number}; if the answer is lost, give it again with --number {number}");
    let body = json!({ "number": number, "intent": intent });
    let response = admin.post("/v1/plans", &body).await?;
    options.print(&response, render::plan);
    Ok(ExitCode::SUCCESS)
}

async fn status(options: &Options, service: Option<&str>) -> Result<ExitCode> {
    let admin = AdminClient::new(COMMAND.name, options)?;
    let response = admin.get("/v1/rollouts").await?;
    let rollouts = render::list(&response).iter();
    let selected =
        rollouts.filter(|rollout| service.is_none_or(|service| rollout["service"] == service));
    let selected = Value::Array(selected.cloned().collect());
    options.print(&selected, render_rollouts);
    Ok(ExitCode::SUCCESS)
}

/// The values of the fields `names` in arguments of the form `field=value`.
fn read_fields<'a, const N: usize>(
    arguments: &'a [String],
    names: [&str; N],
) -> Result<[Option<&'a str>; N]> {
    let mut values = [None; N];
    for argument in arguments {
        let field = argument.split_once('=');
        let index = field.and_then(|(name, _)| names.iter().position(|known| *known == name));
        match (field, index) {
            (Some((_, value)), Some(index)) => values[index] = Some(value),
            _ => {
                let reason = format!("'{argument}' is none of the fields {}", names.join(", "));
                return Err(usage_error(COMMAND.name, reason));
            }
        }
    }
    Ok(values)
}

fn required<'a>(name: &str, value: Option<&'a str>) -> Result<&'a str> {
    value.ok_or_else(|| usage_error(COMMAND.name, format!("{name}= is missing")))
}

fn parse_duration_ms(text: &str) -> Result<u64> {
    let units = [
        ("ms", 1.0),
        ("s", 1_000.0),
        ("m", 60_000.0),
        ("h", 3_600_000.0),
    ];
    let with_unit = units
        .iter()
        .find_map(|(unit, ms)| Some((text.strip_suffix(unit)?, *ms)));
    let (number, ms) = with_unit.unwrap_or((text, 1_000.0));
    let number: Option<f64> = number.parse().ok();
    number
        .filter(|number| number.is_finite() && *number > 0.0)
        .map(|number| (number * ms).round() as u64)
        .ok_or_else(|| usage_error(COMMAND.name, format!("'{text}' is no duration")))
}

fn render_rollouts(rollouts: &Value) -> String {
    let lines: Vec<String> = render::list(rollouts).iter().map(render_rollout).collect();
    if lines.is_empty() {
        return "no rollout".to_owned();
    }
    lines.join("\n")
}

fn render_rollout(rollout: &Value) -> String {
    format!(
        "{} to {}: {} since {} ({}); started {}, {} ms",
        unquoted(&rollout["service"]),
        unquoted(&rollout["to"]),
        unquoted(&rollout["phase"]),
        render::time(&rollout["changed"]),
        unquoted(&rollout["reason"]),
        render::time(&rollout["started"]),
        unquoted(&rollout["duration_ms"]),
    )
}
