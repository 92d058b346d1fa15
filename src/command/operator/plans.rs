//! The `plans` command, which lists the pending plans.

use std::process::ExitCode;

use mimosa_protocol::Result;
use serde_json::Value;

use crate::command::Command;
use crate::command::operator::client::AdminClient;
use crate::command::operator::intent::to_command_line;
use crate::command::operator::intent::unquoted;
use crate::command::operator::options::Options;
use crate::command::operator::render;
use crate::command::operator::run;

pub const COMMAND: Command = Command {
    name: "plans",
    description: "Lists the plans that wait for a confirm",
    usage: "",
    details: "",
    examples: &["plans", "plans --json"],
    run: |parser| run(&COMMAND, &[], parser, plans),
};

async fn plans(options: Options) -> Result<ExitCode> {
    let admin = AdminClient::new(COMMAND.name, &options)?;
    let response = admin.get("/v1/plans").await?;
    options.print(&response, render_plans);
    Ok(ExitCode::SUCCESS)
}

fn render_plans(plans: &Value) -> String {
    let lines: Vec<String> = render::list(plans).iter().map(render_plan).collect();
    if lines.is_empty() {
        return "no plan waits for a confirm".to_owned();
    }
    lines.join("\n")
}

fn render_plan(plan: &Value) -> String {
    format!(
        "{} by {} on {} at revision {}: {}",
        unquoted(&plan["plan"]),
        unquoted(&plan["operator"]),
        render::time(&plan["at"]),
        unquoted(&plan["revision"]),
        to_command_line(&plan["intent"])
    )
}
