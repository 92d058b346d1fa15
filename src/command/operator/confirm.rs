//! The `confirm` command, which applies a plan.

use std::process::ExitCode;

use mimosa_protocol::Result;
use serde_json::json;

use crate::command::Command;
use crate::command::operator::client::AdminClient;
use crate::command::operator::options::Options;
use crate::command::operator::options::usage_error;
use crate::command::operator::plan::order_number;
use crate::command::operator::render;
use crate::command::operator::run;

pub const COMMAND: Command = Command {
    name: "confirm",
    description: "Lets a plan take effect, if nothing else changed since it was made",
    usage: "[--number N] PLAN",
    details: "",
    examples: &["confirm 3", "confirm --number 12 3"],
    run: |parser| run(&COMMAND, &["number"], parser, confirm),
};

async fn confirm(options: Options) -> Result<ExitCode> {
    let [argument] = options.arguments.as_slice() else {
        return Err(usage_error(COMMAND.name, "expected one plan number"));
    };
    let plan: u64 = argument
        .parse()
        .map_err(|_| usage_error(COMMAND.name, format!("'{argument}' is not a plan number")))?;
    let number = order_number(COMMAND.name, &options)?;
    let admin = AdminClient::new(COMMAND.name, &options)?;
    eprintln!("order {number}; if the answer is lost, give it again with --number {number}");
    let path = format!("/v1/plans/{plan}/confirm");
    let order = json!({ "number": number });
    let response = admin.post(&path, &order).await?;
    options.print(&response, render::confirmation);
    Ok(ExitCode::SUCCESS)
}
