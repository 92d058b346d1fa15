//! The `status` command, which shows the state of the control instances and entries.

use std::process::ExitCode;

use mimosa_protocol::Result;
use serde_json::Value;

use crate::command::Command;
use crate::command::operator::client::AdminClient;
use crate::command::operator::intent::unquoted;
use crate::command::operator::options::Options;
use crate::command::operator::render;
use crate::command::operator::run;

pub const COMMAND: Command = Command {
    name: "status",
    description: "Shows how the system stands and where the newest revision is in force",
    usage: "",
    details: "",
    examples: &["status", "status --json"],
    run: |parser| run(&COMMAND, &[], parser, status),
};

async fn status(options: Options) -> Result<ExitCode> {
    let admin = AdminClient::new(COMMAND.name, &options)?;
    let response = admin.get("/v1/status").await?;
    options.print(&response, render_status);
    Ok(ExitCode::SUCCESS)
}

fn render_status(status: &Value) -> String {
    let current = match status["current"].as_bool() {
        Some(true) => "current",
        _ => "NOT CURRENT: no quorum of control instances answers it",
    };
    let replica = &status["replica"];
    let mut lines = vec![
        format!(
            "{} of {}: {current}",
            unquoted(&status["instance"]),
            unquoted(&status["cluster"])
        ),
        format!(
            "revision {}, log index {}",
            unquoted(&status["revision"]),
            unquoted(&status["applied"])
        ),
        format!(
            "role {}, {}, leader {}, term {}, voters {}, learners {}",
            unquoted(&replica["role"]),
            vote_text(replica),
            unquoted(&replica["leader"]),
            unquoted(&replica["term"]),
            render::names(&replica["voters"]),
            render::names(&replica["learners"])
        ),
    ];
    if let Some(fault) = replica["fault"].as_str() {
        lines.push(format!("WRITES STOPPED: {fault}"));
    }
    lines.extend(render::in_force(&status["in_force"]));
    lines.extend(render::list(&status["entries"]).iter().map(render_entry));
    lines.push(format!(
        "plans waiting {}, audit records {}, calls remembered {}, of which running {}",
        unquoted(&status["pending_plans"]),
        unquoted(&status["audit_last"]),
        unquoted(&status["ledger_calls"]),
        unquoted(&status["ledger_running"])
    ));
    lines.join("\n")
}

fn vote_text(replica: &Value) -> &'static str {
    match replica["votes"].as_bool() {
        Some(true) => "with a vote",
        _ => "WITHOUT A VOTE YET",
    }
}

fn render_entry(entry: &Value) -> String {
    let connected = match entry["connected"].as_bool() {
        Some(true) => "connected",
        _ => "not connected",
    };
    format!(
        "  {} in {}: {connected}, revision {}, heard {} ms ago",
        unquoted(&entry["instance"]),
        unquoted(&entry["data_centre"]),
        unquoted(&entry["revision"]),
        unquoted(&entry["heard_ms_ago"])
    )
}
