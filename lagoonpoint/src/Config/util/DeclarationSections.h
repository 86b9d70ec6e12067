#pragma once

#include "lagoonpoint/src/Config/Declarations.h"
#include "lagoonpoint/src/Config/util/KeySpec.h"

namespace lagoonpoint::internal {

/// The keys of each section of a declarations file.
/// @{
const SectionSpec<FleetDecl> &fleetSection();
const SectionSpec<RegionDecl> &regionSection();
const SectionSpec<ZoneDecl> &zoneSection();
const SectionSpec<VmDecl> &vmSection();
const SectionSpec<LinkDecl> &linkSection();
const SectionSpec<ServiceDecl> &serviceSection();
const SectionSpec<RouteDecl> &routeSection();
const SectionSpec<TeamDecl> &teamSection();
const SectionSpec<KeyDecl> &keySection();
const SectionSpec<ProfileDecl> &profileSection();
const SectionSpec<BlockDecl> &blockSection();
/// @}

} // namespace lagoonpoint::internal
