// Converts server entries to and from the form in which nodes exchange them.
#pragma once

#include "membership/ServerDirectory.h"
#include "wire/Messages.h"

namespace skylark {

ListedServer toListed(const ServerEntry& entry);
ServerEntry fromListed(const ListedServer& listed);

} // namespace skylark
