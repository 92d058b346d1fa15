//! Runs the command line and checks its output and exit codes.

use std::process::Command;
use std::process::Output;

use googletest::prelude::*;

/// All commands that have a `--help`.
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
/// Settings files of the examples.
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

/// The command line, its standard output and error, and its exit code.
fn transcript(args: &[&str]) -> String {
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
fn the_help_option_describes_each_command() {
    let overview = transcript(&["--help"]);
    let command_helps = COMMANDS
        .iter()
        .map(|command| transcript(&[command, "--help"]));
    let all: String = std::iter::once(overview).chain(command_helps).collect();
    insta::assert_snapshot!("help", all);
}

#[googletest::test]
fn the_version_option_prints_the_program_name_and_version() {
    expect_that!(
        transcript(&["--version"]),
        contains_substring("mimosaswitch 0.")
    );
}

#[googletest::test]
fn wrong_command_lines_exit_with_code_2_and_refer_to_help() {
    let lines = [
        transcript(&["serve"]),
        transcript(&["--nothing"]),
        transcript(&["entry"]),
        transcript(&["check", "a.toml", "b.toml"]),
        transcript(&["standin", "database"]),
        transcript(&["plan", "set-rate"]),
        transcript(&[
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
fn example_settings_files_are_valid() {
    for file in EXAMPLES {
        let output = run(&["check", file]);
        expect_that!(output.status.code(), some(eq(0)), "{file}");
    }
}

#[googletest::test]
fn a_missing_settings_file_exits_with_code_1_and_is_named() {
    expect_that!(
        transcript(&["check", "nowhere.toml"]),
        contains_substring("cannot read nowhere.toml")
    );
    expect_that!(run(&["check", "nowhere.toml"]).status.code(), some(eq(1)));
}

#[googletest::test]
fn two_generated_keys_differ_and_have_digests() {
    let key = || String::from_utf8(run(&["key"]).stdout).expect("text");
    let first = key();
    expect_that!(first, starts_with("key=mso-"));
    expect_that!(first.lines().nth(1), some(starts_with("key_digest=")));
    expect_that!(key(), not(eq(&first)));
}
