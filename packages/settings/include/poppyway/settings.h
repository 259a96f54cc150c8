// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief What operators write: the daemon's settings file and the declarations, both YAML.
///
/// \detail Settings belong to one process and are read once at start. Declarations (pools, servers,
/// events, workspaces) are shared; they are checked here, stored by the replicated log as text, and
/// compiled into an immutable `Catalogue`. Every fault names file, line, column and, for an unknown
/// key, the nearest valid one. Pure functions; any thread.

#include "poppyway/settings/impl/catalogue.h"
#include "poppyway/settings/impl/daemon_settings.h"
#include "poppyway/settings/impl/declaration.h"
#include "poppyway/settings/impl/parsed_declarations.h"
#include "poppyway/settings/impl/yaml_reader.h"
