#pragma once

#include <boost/json/array.hpp>

#include "route/route.h"

namespace jujubecove::platform {

// Decodes the workspaces of a configuration into it. A malformed part is left
// out and reported in its list of faults, so that an error in one workspace
// does not end the service of the others:
// - A workspace without a usable name, or with the name of an earlier one, is
//   left out, and its keys are unknown.
// - An API key that can't be sent in a header field, or that an earlier
//   workspace holds, is left out.
// - A limit or an urgency that can't be used counts as absent.
// - Of a list of regions, the names that can be read bind. If there are none,
//   no region is allowed.
void DecodeWorkspaces(const boost::json::array& items, ServingConfig& config);

}  // namespace jujubecove::platform
