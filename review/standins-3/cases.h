#pragma once

#include "record.h"

#include <string>

namespace review {

/// How a case ended; the exit code of its script.
enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2
};

/// \param trouble whether the disruption takes place.
using Case = Verdict (*)(Record& record, const std::string& folder, bool trouble);

/// Clients leave while a server of the service that they ask is down.
Verdict leaveAfterCrash(Record& record, const std::string& folder, bool trouble);

/// Clients close their connections while their orders wait for a server.
Verdict giveUp(Record& record, const std::string& folder, bool trouble);

/// The operator raises the limit of bodies while clients keep their connections.
Verdict keptConnectionLimit(Record& record, const std::string& folder, bool trouble);

/// The operator raises the limit of bodies to that of the page's example.
Verdict longBodies(Record& record, const std::string& folder, bool trouble);

/// The operator sends a configuration with a part of weight 0 for a service that it does not name.
Verdict unknownPart(Record& record, const std::string& folder, bool trouble);

/// Heartbeats of the server's earlier start arrive after the server has said that it drains.
Verdict lateBeats(Record& record, const std::string& folder, bool trouble);

} // namespace review
