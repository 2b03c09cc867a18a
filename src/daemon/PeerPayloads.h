/// JSON texts of the protocol messages that entry daemons exchange at a low
/// rate; they travel in `peer::Opaque`.
#pragma once

#include "ownership/OwnershipTypes.h"
#include "peer/PeerMessages.h"
#include "settings/SettingsStore.h"

namespace lacewing::daemon {

/// Kinds of `peer::Opaque`.
inline constexpr const char* kOwnershipKind = "ownership";
inline constexpr const char* kSettingsKind = "settings";

peer::Opaque
Pack(const ownership::PeerMessage& aMessage);
peer::Opaque
Pack(const settings::PeerMessage& aMessage);

/// Errors of both: `BadInput` with what is wrong in the text.
Result<ownership::PeerMessage>
UnpackOwnership(const std::string& aText);
Result<settings::PeerMessage>
UnpackSettings(const std::string& aText);

} // namespace lacewing::daemon
