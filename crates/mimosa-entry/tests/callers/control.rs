//! A fake control instance that serves a configuration, freshness confirmations and scripted
//! answers of the ledger.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use mimosa_protocol::Configuration;
use mimosa_protocol::change::Delta;
use mimosa_protocol::message::ControlMessage;
use mimosa_protocol::message::EntryMessage;
use mimosa_protocol::message::LedgerAnswer;
use mimosa_protocol::message::LedgerFinish;
use mimosa_transport::frame;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A fake control instance. Dropping it stops the listener.
pub struct FakeControl {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    abort: AbortHandle,
}

struct State {
    configuration: Configuration,
    confirms: bool,
    ledger_answer: LedgerAnswer,
    finished: Vec<LedgerFinish>,
}

impl FakeControl {
    pub async fn start(configuration: Configuration) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = Arc::new(Mutex::new(State {
            configuration,
            confirms: true,
            ledger_answer: LedgerAnswer::Run,
            finished: Vec::new(),
        }));
        let shared = Arc::clone(&state);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&shared)));
            }
        });
        Self {
            address,
            state,
            abort: task.abort_handle(),
        }
    }

    /// Applies a change. The entry receives it after its next probe.
    pub fn change(&self, delta: &Delta) {
        assert!(self.state().configuration.apply(delta));
    }

    /// Sets whether it confirms that the configuration is current.
    pub fn set_confirms(&self, confirms: bool) {
        self.state().confirms = confirms;
    }

    /// Sets the ledger's answer to every intent from now on.
    pub fn set_ledger_answer(&self, answer: LedgerAnswer) {
        self.state().ledger_answer = answer;
    }

    /// The calls whose end was recorded, in order of arrival.
    pub fn finished(&self) -> Vec<LedgerFinish> {
        self.state().finished.clone()
    }

    pub fn configuration(&self) -> Configuration {
        self.state().configuration.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl Drop for FakeControl {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of this lock panics")
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>) {
    while let Ok(Some(message)) = frame::read::<EntryMessage>(&mut stream).await {
        let replies = replies_to(message, &mut lock(&state));
        for reply in replies {
            if frame::write(&mut stream, &reply).await.is_err() {
                return;
            }
        }
    }
}

fn replies_to(message: EntryMessage, state: &mut State) -> Vec<ControlMessage> {
    let snapshot = || ControlMessage::Snapshot(Box::new(state.configuration.clone()));
    let newest = state.configuration.revision;
    match message {
        EntryMessage::Hello { .. } => vec![ControlMessage::Entries(Vec::new()), snapshot()],
        EntryMessage::Listens { .. } => Vec::new(),
        EntryMessage::InForce { revision, probe } => {
            let update = (revision < newest).then(snapshot);
            let confirmation = ControlMessage::Current {
                revision: newest,
                probe,
            };
            update
                .into_iter()
                .chain(state.confirms.then_some(confirmation))
                .collect()
        }
        EntryMessage::LedgerBegin(begin) => {
            let answer = state.ledger_answer.clone();
            vec![ControlMessage::LedgerBegun {
                request: begin.request,
                answer,
            }]
        }
        EntryMessage::LedgerFinish(finish) => {
            let request = finish.request;
            state.finished.push(finish);
            vec![ControlMessage::LedgerFinished { request }]
        }
    }
}
