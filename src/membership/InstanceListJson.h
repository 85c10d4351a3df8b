// Reads the instance list of a zone as the platform publishes it under "skylarkbay/instances/<zone>".
//
// {"instances": [{"id", "incarnation", "peer": "host:port", "service", "zone", "region", "leaving": bool}]},
// with an optional "revision", which must not exceed the one that the platform gave with the value.
// Duplicate ids, unknown keys, a zone other than the key's and values of a wrong type are errors: the whole list is
// then rejected and the earlier one stays in use.
#pragma once

#include "membership/MembershipView.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace skylark {

// Reads one entry of a list. Throws an Error that names the faulty field and the values it allows.
InstanceRecord instanceRecordFromJson(const nlohmann::json& record);
nlohmann::json instanceRecordToJson(const InstanceRecord& record);

// Throws an Error that names the faulty field and the values it allows.
ZoneInstanceList instanceListFromJson(const ZoneName& zone, Revision revision, std::string_view text);
std::string instanceListToJson(const ZoneInstanceList& list);

} // namespace skylark
