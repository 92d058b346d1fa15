//! Actions as lines of a readable trace.

use mimosa_consensus::Action;
use mimosa_consensus::Body;
use mimosa_consensus::Entry;
use mimosa_consensus::Payload;

/// The trace line of an action; `None` for messages, writes and timers.
pub fn describe_action(action: &Action) -> Option<String> {
    let line = match action {
        Action::Send(_) | Action::Persist(_) | Action::WakeAt(_) => return None,
        Action::Apply { entries } => {
            let entries: Vec<String> = entries.iter().map(describe_entry).collect();
            format!("applies {}", entries.join(", "))
        }
        Action::ApplySnapshot(snapshot) => {
            format!("restores the snapshot at {}", snapshot.meta.index)
        }
        Action::TakeSnapshot { index } => format!("takes a snapshot at {index}"),
        Action::Proposed { index, term, .. } => format!("proposes {index} in term {term}"),
        Action::ProposalRefused { reason, leader, .. } => {
            format!(
                "refuses a proposal: {reason:?}, leader {}",
                leader_or_unknown(leader.as_ref())
            )
        }
        Action::ReadReady { index, .. } => format!("answers a read at {index}"),
        Action::ReadRefused { leader, .. } => {
            format!(
                "refuses a read, leader {}",
                leader_or_unknown(leader.as_ref())
            )
        }
        Action::RoleChanged { role, term, leader } => {
            format!(
                "is {role:?} in term {term}, leader {}",
                leader_or_unknown(leader.as_ref())
            )
        }
        Action::MessageRefused { from, reason } => format!("drops a message of {from}: {reason:?}"),
    };
    Some(line)
}

fn leader_or_unknown(id: Option<&mimosa_consensus::ReplicaId>) -> String {
    id.map_or_else(|| "unknown".to_owned(), ToString::to_string)
}

fn describe_entry(entry: &Entry) -> String {
    let payload = match &entry.payload {
        Payload::Blank => "blank".to_owned(),
        Payload::Command(bytes) => format!("'{}'", String::from_utf8_lossy(bytes)),
        Payload::Membership(membership) => membership.to_string(),
    };
    format!("{}/{} {payload}", entry.index, entry.term)
}

/// The kind of a message, for counting.
pub fn message_kind(body: &Body) -> &'static str {
    match body {
        Body::PreVote(_) => "pre-vote",
        Body::PreVoteReply { .. } => "pre-vote reply",
        Body::Vote(_) => "vote",
        Body::VoteReply { .. } => "vote reply",
        Body::Append(append) if append.entries.is_empty() => "heartbeat",
        Body::Append(_) => "append",
        Body::AppendReply(_) => "append reply",
        Body::SnapshotChunk(_) => "snapshot chunk",
        Body::SnapshotReply { .. } => "snapshot reply",
        Body::ReadIndex { .. } => "read index",
        Body::ReadIndexReply { .. } => "read index reply",
        Body::TimeoutNow => "timeout now",
        Body::Join => "join",
    }
}
