//! Runs the membership of a data centre with one entry, and the key lease of that entry, with a
//! manual clock. Prints when the entry may act as scheduler, and when it stops honouring keys.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use mimosa_membership::Action;
use mimosa_membership::Event;
use mimosa_membership::Identity;
use mimosa_membership::Membership;
use mimosa_membership::Role;
use mimosa_membership::Settings;
use mimosa_membership::freshness;
use mimosa_membership::freshness::Freshness;
use mimosa_membership::peers::ListedInstance;
use mimosa_protocol::Incarnation;
use mimosa_protocol::Revision;
use mimosa_protocol::Timestamp;

/// Simulated time per step.
const STEP: Duration = Duration::from_millis(100);
/// Number of steps: the example covers 8 s.
const STEPS: u32 = 80;
/// When the control instance stops answering.
const SILENT_FROM: Timestamp = Timestamp::from_secs(3);

fn main() -> Result<(), Box<dyn Error>> {
    let identity = Identity {
        instance: "entry-1".parse()?,
        incarnation: Incarnation(1),
    };
    let address: SocketAddr = "10.0.0.1:8081".parse()?;
    let listed = ListedInstance {
        address,
        leaving: false,
    };
    let list = BTreeMap::from([(identity.instance.clone(), listed)]);
    let mut membership = Membership::new(identity, "north".parse()?, Settings::default());
    let mut freshness = Freshness::new(freshness::Settings::default());
    freshness.revision_applied(Revision(1));
    let role = Role::Scheduler("verse".parse()?);
    let mut last_state = String::new();
    for step in 0..STEPS {
        let now = Timestamp::ZERO + STEP * step;
        membership.handle(now, Event::PlatformList(list.clone()));
        for action in membership.handle(now, Event::Tick) {
            if let Action::ViewInstalled(view) = action {
                println!("{now} view {} installed", view.epoch);
            }
        }
        if now < SILENT_FROM {
            freshness.revision_confirmed(now, Revision(1));
        }
        let acts = membership.may_act(now, &role).is_ok();
        let fresh = matches!(freshness.state(now), freshness::State::Fresh { .. });
        let state = format!("may schedule: {acts}, honours keys: {fresh}");
        if state != last_state {
            println!("{now} {state}");
            last_state = state;
        }
    }
    Ok(())
}
