// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
