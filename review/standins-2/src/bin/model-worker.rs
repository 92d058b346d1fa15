//! A model worker as a process of its own that can be killed: id, stage, address, slots, time of a prefill
//! in ms, events of a stream, pause between two events in ms.

use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_standins_2::record::Record;
use review_standins_2::worker;
use review_standins_2::worker::ModelWorker;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize| args[at].parse::<u64>().expect("a number");
    let stage = if args[1] == "prefill" {
        "prefill"
    } else {
        "decode"
    };
    let listener = TcpListener::bind(&args[2]).expect("the address is free");
    let mut model = ModelWorker::new(&args[0], stage, number(3) as usize, Record::to_parent());
    model.prefill_time = Duration::from_millis(number(4));
    model.events = number(5) as usize;
    model.gap = Duration::from_millis(number(6));
    worker::serve(
        listener,
        &args[0],
        Arc::new(move |request, writer| model.handle(request, writer)),
    );
    loop {
        thread::park();
    }
}
