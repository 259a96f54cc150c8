// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace poppyway::test {

/// Creates a temporary folder, which the destructor removes with its contents.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "poppyway-XXXXXX").string();
    m_path = mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  [[nodiscard]] const std::string& path() const { return m_path; }

 private:
  std::string m_path;
};

}  // namespace poppyway::test
