//! Versions of a service on which its requests run during and after a rollout.

use mimosa_protocol::ServiceVersion;
use mimosa_rollout::RolloutPhase;
use mimosa_rollout::RolloutView;

/// Whether endpoints of a version get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionUse {
    /// They get it.
    Allowed,
    /// They get it only with a permit of the leader.
    WithPermit,
    /// They do not get it.
    Excluded,
}

/// Whether endpoints of `version` get a new request.
pub fn version_use(rollout: &RolloutView, version: Option<&ServiceVersion>) -> VersionUse {
    if rollout.allows(version) {
        VersionUse::Allowed
    } else if rollout.phase == RolloutPhase::Testing && version == Some(&rollout.to) {
        VersionUse::WithPermit
    } else {
        VersionUse::Excluded
    }
}

/// Whether endpoints of `version` get the rest of a stream that began on `began_on`. In
/// [`RolloutPhase::Moving`], this includes streams of the replaced versions: they are not new requests,
/// and would otherwise be cut.
pub fn version_use_of_stream(
    rollout: &RolloutView,
    version: Option<&ServiceVersion>,
    began_on: Option<&ServiceVersion>,
) -> VersionUse {
    let is_replaced = version.is_some_and(|version| rollout.from.contains(version));
    if version != began_on {
        VersionUse::Excluded
    } else if rollout.phase == RolloutPhase::Moving && is_replaced {
        VersionUse::Allowed
    } else {
        version_use(rollout, version)
    }
}
