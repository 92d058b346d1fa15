//! Commands as a user types them, and what the user sees.

use std::process::Command;
use std::process::Output;

use googletest::prelude::*;

/// Commands with a `--help` of their own.
const COMMANDS: [&str; 13] = [
    "demo",
    "entry",
    "gateway",
    "control",
    "check",
    "key",
    "standin",
    "plan",
    "confirm",
    "plans",
    "status",
    "audit",
    "configuration",
];
/// Settings files that are shipped as examples.
const EXAMPLES: [&str; 6] = [
    "examples/kembang-tekan/entry.toml",
    "examples/kembang-tekan/control.toml",
    "examples/wisla/entry.toml",
    "examples/wisla/control.toml",
    "examples/routing/gateway.toml",
    "examples/routing/control.toml",
];

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mimosaswitch"))
        .args(args)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .env_remove("MIMOSASWITCH_ADMIN")
        .env_remove("MIMOSASWITCH_OPERATOR_KEY")
        .env("NO_COLOR", "1")
        .env("COLUMNS", "100")
        .output()
        .expect("the binary runs")
}

/// What a user sees, with the exit code.
fn seen(args: &[&str]) -> String {
    let output = run(args);
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    let code = output.status.code().unwrap_or(-1);
    format!(
        "$ mimosaswitch {}\n{stdout}{stderr}[exit code {code}]\n",
        args.join(" ")
    )
}

#[googletest::test]
fn each_command_tells_what_it_does() {
    let overview = seen(&["--help"]);
    let helps = COMMANDS.iter().map(|command| seen(&[command, "--help"]));
    let all: String = std::iter::once(overview).chain(helps).collect();
    insta::assert_snapshot!("help", all);
}

#[googletest::test]
fn the_version_is_told() {
    expect_that!(seen(&["--version"]), contains_substring("mimosaswitch 0."));
}

#[googletest::test]
fn wrong_command_lines_end_with_code_2_and_a_way_out() {
    let lines = [
        seen(&["serve"]),
        seen(&["--nothing"]),
        seen(&["entry"]),
        seen(&["check", "a.toml", "b.toml"]),
        seen(&["standin", "database"]),
        seen(&["plan", "set-rate"]),
        seen(&[
            "plan",
            "--admin",
            "http://127.0.0.1:1",
            "set-rate",
            "account",
        ]),
    ];
    insta::assert_snapshot!("wrong_command_lines", lines.concat());
}

#[googletest::test]
fn shipped_examples_are_valid() {
    for file in EXAMPLES {
        let output = run(&["check", file]);
        expect_that!(output.status.code(), some(eq(0)), "{file}");
    }
}

#[googletest::test]
fn a_missing_file_is_named() {
    expect_that!(
        seen(&["check", "nowhere.toml"]),
        contains_substring("cannot read nowhere.toml")
    );
    expect_that!(run(&["check", "nowhere.toml"]).status.code(), some(eq(1)));
}

#[googletest::test]
fn keys_differ_and_show_their_digest() {
    let key = || String::from_utf8(run(&["key"]).stdout).expect("text");
    let first = key();
    expect_that!(first, starts_with("key=mso-"));
    expect_that!(first.lines().nth(1), some(starts_with("key_digest=")));
    expect_that!(key(), not(eq(&first)));
}
