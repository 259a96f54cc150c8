// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief The daemon's settings file and the declarations, both YAML files that operators write.
///
/// \detail Settings belong to one process and are read once at start. Declarations (pools, servers,
/// events, workspaces) are shared; they are checked here, stored as text by the replicated log,
/// and compiled into an immutable `Catalogue`. Every error of a file names file, line and column
/// and, for an unknown key, the nearest valid one. All functions may be called from any thread.

#include "poppyway/settings/impl/catalogue.h"
#include "poppyway/settings/impl/daemon_settings.h"
#include "poppyway/settings/impl/declaration.h"
#include "poppyway/settings/impl/parsed_declarations.h"
#include "poppyway/settings/impl/yaml_reader.h"
