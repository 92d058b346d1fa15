//! The `standin` command, which runs a fake engine or plain service.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use mimosa_protocol::Error;
use mimosa_protocol::Tokens;
use mimosa_standin::Engine;
use mimosa_standin::EngineSettings;
use mimosa_standin::Plain;
use mimosa_standin::plain::Behaviour;

use super::Command;
use super::usage_error;
use crate::runtime;

pub const COMMAND: Command = Command {
    name: "standin",
    description: "Runs a small fake engine or plain service, to try things out",
    usage: "engine|plain [--listen IP:PORT] [--model NAME] [--output TOKENS] [--gap-ms MS] [--delay-ms MS]",
    details: "",
    examples: &[
        "standin engine --model verse --output 64 --gap-ms 20",
        "standin plain",
    ],
    run,
};

struct Options {
    kind: String,
    listen: SocketAddr,
    engine: EngineSettings,
    plain: Behaviour,
}

fn run(mut args: Parser) -> miette::Result<ExitCode> {
    match parse_args(&mut args)? {
        Some(options) => runtime::run(serve(options)),
        None => Ok(ExitCode::SUCCESS),
    }
}

fn parse_args(args: &mut Parser) -> Result<Option<Options>, Error> {
    let invalid = |e: lexopt::Error| usage_error(COMMAND.name, e.to_string());
    let mut options = Options {
        kind: String::new(),
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        engine: EngineSettings::default(),
        plain: Behaviour::default(),
    };
    while let Some(arg) = args.next().map_err(invalid)? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => {
                print!("{}", COMMAND.help());
                return Ok(None);
            }
            Arg::Long("listen") => {
                options.listen = args.value().and_then(|v| v.parse()).map_err(invalid)?;
            }
            Arg::Long("model") => {
                options.engine.model = args.value().and_then(|v| v.string()).map_err(invalid)?;
            }
            Arg::Long("output") => {
                let tokens = args.value().and_then(|v| v.parse()).map_err(invalid)?;
                options.engine.output = Tokens(tokens);
            }
            Arg::Long("gap-ms") => {
                let millis = args.value().and_then(|v| v.parse()).map_err(invalid)?;
                options.engine.token_gap = Duration::from_millis(millis);
            }
            Arg::Long("delay-ms") => {
                let millis = args.value().and_then(|v| v.parse()).map_err(invalid)?;
                options.plain.delay = Duration::from_millis(millis);
            }
            Arg::Value(kind) if options.kind.is_empty() => {
                options.kind = kind.string().map_err(invalid)?;
            }
            other => return Err(usage_error(COMMAND.name, other.unexpected().to_string())),
        }
    }
    match options.kind.as_str() {
        "engine" | "plain" => Ok(Some(options)),
        _ => Err(usage_error(COMMAND.name, "say 'engine' or 'plain'")),
    }
}

async fn serve(options: Options) -> miette::Result<ExitCode> {
    if options.kind == "engine" {
        let engine = Engine::start(options.listen, options.engine).await?;
        println!("engine={}", engine.address());
        runtime::shutdown_signal().await?;
    } else {
        let plain = Plain::start(options.listen).await?;
        plain.set_behaviour(options.plain);
        println!("plain={}", plain.address());
        runtime::shutdown_signal().await?;
    }
    Ok(ExitCode::SUCCESS)
}
