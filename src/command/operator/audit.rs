//! The `audit` command, which shows the audit trail.

use std::process::ExitCode;

use mimosa_protocol::Result;
use serde_json::Value;

use crate::command::Command;
use crate::command::operator::client::AdminClient;
use crate::command::operator::options::Options;
use crate::command::operator::options::usage_error;
use crate::command::operator::render;
use crate::command::operator::run;

pub const COMMAND: Command = Command {
    name: "audit",
    description: "Shows who asked for what and how it ended, refusals included",
    usage: "[--after SEQUENCE] [--limit N]",
    details: "",
    examples: &["audit", "audit --after 120 --limit 20 --json"],
    run: |parser| run(&COMMAND, &["after", "limit"], parser, audit),
};

async fn audit(options: Options) -> Result<ExitCode> {
    let after = number_option(&options, "after", 0)?;
    let limit = number_option(&options, "limit", 100)?;
    let admin = AdminClient::new(COMMAND.name, &options)?;
    let path = format!("/v1/audit?after={after}&limit={limit}");
    let response = admin.get(&path).await?;
    options.print(&response, render_audit);
    Ok(ExitCode::SUCCESS)
}

fn number_option(options: &Options, name: &str, default: u64) -> Result<u64> {
    match options.value(name) {
        Some(text) => text.parse().map_err(|_| {
            usage_error(
                COMMAND.name,
                format!("--{name} {text} is not a whole number"),
            )
        }),
        None => Ok(default),
    }
}

fn render_audit(audit: &Value) -> String {
    let lines: Vec<String> = render::list(&audit["records"])
        .iter()
        .flat_map(render::audit_record)
        .collect();
    if lines.is_empty() {
        return "no record".to_owned();
    }
    lines.join("\n")
}
