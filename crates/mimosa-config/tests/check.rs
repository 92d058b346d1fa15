//! Parsing of settings files, and the reports of their faults.

use std::path::Path;

use googletest::prelude::*;
use miette::GraphicalReportHandler;
use miette::GraphicalTheme;
use mimosa_config::LimitSettings;
use mimosa_config::LogLevel;
use mimosa_config::Settings;
use mimosa_protocol::ByteSize;
use mimosa_protocol::Features;

const VALID: &str = r#"
[instance]
id = "entry-1"
data_centre = "north"
cluster = "orchid"

[log]
level = "warn"
targets = { mimosa_entry = "debug" }

[entry]
listen = "127.0.0.1:8080"
control = ["127.0.0.1:7301"]

[entry.limits]
body_time = "90s"
"#;

fn parse(text: &str) -> mimosa_protocol::Result<Settings> {
    Settings::parse(Path::new("entry.toml"), text)
}

fn report(text: &str) -> String {
    let e = parse(text).expect_err("the file has a fault");
    let mut out = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::none())
        .render_report(&mut out, &e)
        .expect("writing to a String cannot fail");
    out
}

#[googletest::test]
fn omitted_settings_take_their_defaults() {
    let settings = parse(VALID).unwrap();
    let entry = settings.entry.unwrap();
    expect_that!(
        entry.limits.body_time,
        eq(std::time::Duration::from_secs(90))
    );
    expect_that!(entry.limits.connections, eq(10_000));
    expect_that!(
        settings.log.targets,
        elements_are![eq(&("mimosa_entry".to_owned(), LogLevel::Debug))]
    );
    expect_that!(settings.control, none());
}

#[googletest::test]
fn every_fault_is_reported_with_its_position_and_help() {
    let text = r#"
[instance]
id = "Entry 1"
cluster = "orchid"

[entry]
lisen = "127.0.0.1:8080"
control = ["127.0.0.1"]

[entry.limits]
body_time = "soon"
connections = 0

[control]
data_folder = "data"
heartbeat = "0ms"
"#;
    insta::assert_snapshot!(report(text));
}

#[googletest::test]
fn a_syntax_error_is_reported() {
    insta::assert_snapshot!(report("[instance\nid = \"a\"\n"));
}

/// Guards against limits that are taken for other units than they are written in.
#[googletest::test]
fn limits_are_read_in_their_units() {
    let limits = |text: &str| parse(&format!("{VALID}[limits]\n{text}")).map(|each| each.limits);
    let platform = limits("memory = \"96MB\"\ndescriptors = 3075").unwrap();
    expect_that!(platform.memory, some(eq(ByteSize(96_000_000))));
    expect_that!(platform.descriptors, some(eq(3_075)));
    let account = limits("memory = \"64MiB\"\naccount = \"512KB\"").unwrap();
    expect_that!(account.memory, some(eq(ByteSize(64 << 20))));
    expect_that!(account.account, some(eq(ByteSize(512_000))));
    expect_that!(parse(VALID).unwrap().limits, eq(LimitSettings::default()));
}

/// Guards against limits under which a process could not serve, and against advice that does not help.
#[googletest::test]
fn impossible_limits_are_explained() {
    let text = format!(
        "{VALID}[limits]\nmemory = \"8MB\"\naccount = \"7MB\"\ndescriptors = 128\nfiles = 1\n"
    );
    insta::assert_snapshot!(report(&text));
    let text = format!("{VALID}[limits]\nmemory = \"96\"\ndescriptors = \"many\"\n");
    insta::assert_snapshot!(report(&text));
}

#[googletest::test]
fn features_are_disabled_unless_a_file_enables_them() {
    let settings = parse(VALID).unwrap();
    expect_that!(settings.features, eq(Features::default()));
    expect_that!(settings.platform.contracts, is_empty());

    let enabled = format!(
        "{VALID}\n[platform]\ncontracts = [\"pressure\"]\n[features]\nfair_shares = true\n"
    );
    let settings = parse(&enabled).unwrap();
    let fair_shares = Features {
        fair_shares: true,
        ..Features::default()
    };
    expect_that!(settings.features, eq(fair_shares));
    expect_that!(settings.platform.contracts, elements_are![eq("pressure")]);
}

/// A misspelt feature must not be disabled without a message.
#[googletest::test]
fn an_unknown_feature_is_a_fault() {
    let misspelt = format!("{VALID}\n[features]\nendpoint_speed = true\n");
    expect_that!(
        report(&misspelt),
        contains_substring("did you mean 'endpoint_speeds'?")
    );
}
