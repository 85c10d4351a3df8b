// The platform's instance list of a zone, as stored under skylarkbay/instances/<zone>.
//
// The text is {"instances": [{"id", "incarnation", "peer", "service", "zone", "region", "leaving"}]}. A
// list with a faulty record, a repeated id or a record of another zone is refused as a whole with an
// Error, so that one bad list cannot remove instances. Unknown keys are ignored: the platform may add some.
#pragma once

#include "membership/MembershipView.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace skylark {

constexpr std::string_view manifestKey = "skylarkbay/manifest";
constexpr std::string_view sectionPrefix = "skylarkbay/sections/";
constexpr std::string_view instancePrefix = "skylarkbay/instances/";

// The zone of a key under instancePrefix; an empty name for any other key.
ZoneName zoneOfKey(std::string_view key);

ZoneInstanceList instanceListFromJson(const ZoneName& zone, Revision revision, std::string_view text);
std::string instanceListToJson(const ZoneInstanceList& list);

InstanceRecord instanceRecordFromJson(const nlohmann::json& record);
nlohmann::json instanceRecordToJson(const InstanceRecord& record);

} // namespace skylark
