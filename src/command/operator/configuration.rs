//! The `configuration` command, which shows the current configuration.

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
    name: "configuration",
    description: "Shows what is configured: accounts, keys, services, data centres, endpoints",
    usage: "",
    details: "",
    examples: &["configuration", "configuration --json"],
    run: |parser| run(&COMMAND, &[], parser, configuration),
};

/// Fields of the response and their titles, in the order of the output.
const SECTIONS: [(&str, &str); 5] = [
    ("accounts", "client accounts"),
    ("keys", "keys"),
    ("services", "services"),
    ("data_centres", "data centres"),
    ("endpoints", "endpoints"),
];

async fn configuration(options: Options) -> Result<ExitCode> {
    let admin = AdminClient::new(COMMAND.name, &options)?;
    let response = admin.get("/v1/configuration").await?;
    options.print(&response, render_configuration);
    Ok(ExitCode::SUCCESS)
}

fn render_configuration(configuration: &Value) -> String {
    let mut lines = vec![format!("revision {}", unquoted(&configuration["revision"]))];
    for (field, title) in SECTIONS {
        lines.push(title.to_owned());
        lines.extend(render::list(&configuration[field]).iter().map(render_item));
    }
    lines.join("\n")
}

fn render_item(item: &Value) -> String {
    let fields: Vec<String> = item
        .as_object()
        .into_iter()
        .flatten()
        .map(|(name, value)| format!("{name}={}", unquoted(value)))
        .collect();
    format!("  {}", fields.join(" "))
}
