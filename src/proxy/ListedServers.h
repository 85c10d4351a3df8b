// Entries of backend servers as they travel between nodes.
#pragma once

#include "membership/ServerDirectory.h"
#include "wire/Messages.h"

namespace skylark {

ListedServer toListed(const ServerEntry& entry);
ServerEntry fromListed(const ListedServer& listed);

} // namespace skylark
