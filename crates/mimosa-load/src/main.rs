//! Runs the measurement and prints its tables.

use std::time::Duration;
use std::time::Instant;

use miette::IntoDiagnostic;
use miette::Result;
use mimosa_load::load;
use mimosa_load::meter;
use mimosa_load::meter::Component;
use mimosa_load::report;
use mimosa_load::report::Comparison;
use mimosa_load::streams;
use mimosa_load::system;
use mimosa_load::system::Runtimes;
use mimosa_load::system::System;
use mimosa_load::system::Targets;

/// Time limit for the remaining tasks of each runtime to end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

fn main() -> Result<()> {
    let control = system::runtime(Component::Control, 1)?;
    let entry = system::runtime(Component::Entry, system::ENTRY_THREADS)?;
    let stand_in = system::runtime(Component::StandIn, system::OTHER_THREADS)?;
    let load = system::runtime(Component::Load, system::OTHER_THREADS)?;
    let runtimes = Runtimes {
        control: control.handle().clone(),
        entry: entry.handle().clone(),
        stand_in: stand_in.handle().clone(),
    };
    let result = load.block_on(load.spawn(measure(runtimes)));
    // The entry stops before the control instance that it depends on.
    for runtime in [load, entry, control, stand_in] {
        runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    }
    result.into_diagnostic()?
}

async fn measure(runtimes: Runtimes) -> Result<()> {
    let started = Instant::now();
    println!("{}", meter::machine_summary());
    println!(
        "Threads: entry {}, stand-in {other}, load generator {other}, control 1.",
        system::ENTRY_THREADS,
        other = system::OTHER_THREADS,
    );
    let system = System::start(runtimes).await?;
    tokio::try_join!(
        load::warm_up(&system.stream_warm_up),
        load::warm_up(&system.completion.via_entry),
        load::warm_up(&system.plain.via_entry),
    )?;
    // Memory is measured first: new allocations would reuse memory freed by earlier phases.
    let direct = streams::open_streams(&system.stream.direct).await?;
    let via_entry = streams::open_streams(&system.stream.via_entry).await?;
    report::print_streams(&direct, &via_entry);
    drop((direct, via_entry));
    compare("Completion, one token, not streamed", &system.completion)
        .await?
        .print();
    compare("Plain service", &system.plain).await?.print();
    println!("\nLasted {:.0} s.", started.elapsed().as_secs_f64());
    system.stop().await
}

async fn compare(name: &'static str, targets: &Targets) -> Result<Comparison> {
    let direct_max = load::max_throughput(&targets.direct).await?;
    let entry_max = load::max_throughput(&targets.via_entry).await?;
    let half_rate = entry_max.rate() / 2.0;
    Ok(Comparison {
        name,
        direct_single: load::single_connection(&targets.direct).await?,
        entry_single: load::single_connection(&targets.via_entry).await?,
        direct_max,
        entry_max,
        direct_half_load: load::open_loop(&targets.direct, half_rate, load::OPEN_LOOP_DURATION)
            .await?,
        entry_half_load: load::open_loop(&targets.via_entry, half_rate, load::OPEN_LOOP_DURATION)
            .await?,
    })
}
