//! The `plan` command, which shows what an intent would change.

use std::process::ExitCode;

use mimosa_protocol::Result;
use serde_json::json;

use crate::command::Command;
use crate::command::operator::client::AdminClient;
use crate::command::operator::intent;
use crate::command::operator::options::Options;
use crate::command::operator::options::usage_error;
use crate::command::operator::render;
use crate::command::operator::run;
use crate::command::operator::time;

pub const COMMAND: Command = Command {
    name: "plan",
    description: "Shows what a change would do; nothing changes before it is confirmed",
    usage: "[--number N] INTENT [FIELD=VALUE...] | --file FILE",
    details: intent::INTENTS_HELP,
    examples: &[
        "plan put-account account=wisla rate=4000 burst=20000",
        "plan create-key key=wisla-1 account=wisla",
        "plan take-out-data-centre data_centre=west",
        "plan --file intent.json",
    ],
    run: |parser| run(&COMMAND, &["number", "file"], parser, plan),
};

async fn plan(options: Options) -> Result<ExitCode> {
    let number = order_number(COMMAND.name, &options)?;
    let intent = match options.value("file") {
        Some(path) if options.arguments.is_empty() => intent::from_file(path)?,
        Some(_) => {
            return Err(usage_error(COMMAND.name, "give either an intent or --file"));
        }
        None => intent::from_arguments(COMMAND.name, &options.arguments)?,
    };
    let admin = AdminClient::new(COMMAND.name, &options)?;
    eprintln!("order {number}; if the answer is lost, give it again with --number {number}");
    let body = json!({ "number": number, "intent": intent });
    let response = admin.post("/v1/plans", &body).await?;
    options.print(&response, render::plan);
    Ok(ExitCode::SUCCESS)
}

/// The order number: from `--number`, or the current time, which increases from order to order.
///
/// # Errors
///
/// [`Error::Usage`](mimosa_protocol::Error::Usage) if `--number` is not a whole number.
pub fn order_number(command: &str, options: &Options) -> Result<u64> {
    match options.value("number") {
        Some(text) => text
            .parse()
            .map_err(|_| usage_error(command, format!("--number {text} is not a whole number"))),
        None => Ok(time::unix_micros()),
    }
}
