/* Reads the operators' settings from TOML. Debian has no TOML library for C, so this file uses the
 * C++ library toml11 and exports one C function, which throws no exceptions. */
#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <exception>
#include <string>
#include <toml.hpp>

#include "config/settings.h"
#include "config/settings_error_internal.h"

namespace {

/* Thrown for the first invalid key. */
struct invalid_key {
  std::string key; /* full path, including the names of the enclosing tables */
  std::string reason;
};

/* A numeric setting: its key, its valid range and the member of `Settings` that stores it. */
template <typename Settings>
struct number_field {
  const char *key;
  double min, max;
  double Settings::*member;
};

const number_field<tmx_operator_settings> operator_fields[] = {
    {"idle_return_s", 10, 86400, &tmx_operator_settings::idle_return_s},
    {"headroom", 0, 1, &tmx_operator_settings::headroom},
    {"silent_s", 0, 3600, &tmx_operator_settings::silent_s},
};

const number_field<tmx_admission_settings> admission_fields[] = {
    {"backlog_s", 10, 86400, &tmx_admission_settings::backlog_s},
    {"reserve", 0.05, 0.95, &tmx_admission_settings::reserve},
    {"capacity_cpus", 0, 1e9, &tmx_admission_settings::capacity_cpus},
    {"start_s", 1, 3600, &tmx_admission_settings::start_s},
};

const double TEAM_SHARE_MIN = 0.001, TEAM_SHARE_MAX = 1;
/* Maximum number of bytes of a message of the TOML library that an error message includes. */
const std::size_t LIBRARY_MESSAGE_MAX = 300;

double read_number(const std::string &path, const toml::value &value, double min, double max) {
  double number = 0;
  if (value.is_floating())
    number = value.as_floating();
  else if (value.is_integer())
    number = static_cast<double>(value.as_integer());
  else
    throw invalid_key{path, "not a number"};
  if (!(number >= min && number <= max)) throw invalid_key{path, "out of range"};
  return number;
}

/* Reads `value` if `key` is the key of one of the fields. Returns false if it is not. */
template <typename Settings, std::size_t Count>
bool read_field(const number_field<Settings> (&fields)[Count], const std::string &key,
                const std::string &path, const toml::value &value, Settings *settings) {
  const auto *const end = std::end(fields);
  const auto *const field =
      std::find_if(std::begin(fields), end, [&](const auto &known) { return key == known.key; });
  if (field == end) return false;
  settings->*(field->member) = read_number(path, value, field->min, field->max);
  return true;
}

void read_team_shares(const std::string &path, const toml::value &table,
                      tmx_admission_settings *admission) {
  if (!table.is_table()) throw invalid_key{path, "not a table"};
  const std::string prefix = path + ".";
  for (const auto &[team, value] : table.as_table()) {
    const std::string team_path = prefix + team;
    if (admission->n_team_shares == TMX_TEAMS_MAX) throw invalid_key{team_path, "too many teams"};
    if (team.size() >= TMX_NAME_BYTES) throw invalid_key{team_path, "too long"};
    tmx_team_share &team_share = admission->team_shares[admission->n_team_shares++];
    std::snprintf(team_share.team, sizeof team_share.team, "%s", team.c_str());
    team_share.share = read_number(team_path, value, TEAM_SHARE_MIN, TEAM_SHARE_MAX);
  }
}

void read_admission(const toml::value &table, tmx_admission_settings *admission) {
  if (!table.is_table()) throw invalid_key{"admission", "not a table"};
  for (const auto &[key, value] : table.as_table()) {
    const std::string path = "admission." + key;
    if (key == "enabled") {
      if (!value.is_boolean()) throw invalid_key{path, "not a boolean"};
      admission->enabled = value.as_boolean();
    } else if (key == "team_shares") {
      read_team_shares(path, value, admission);
    } else if (!read_field(admission_fields, key, path, value, admission)) {
      throw invalid_key{path, "unknown key"};
    }
  }
  if (table.as_table().count("enabled") == 0) throw invalid_key{"admission.enabled", "missing"};
}

void read_root(const toml::value &root, tmx_operator_settings *operators) {
  for (const auto &[key, value] : root.as_table()) {
    if (key == "admission")
      read_admission(value, &operators->admission);
    else if (!read_field(operator_fields, key, key, value, operators))
      throw invalid_key{key, "unknown key"};
  }
}

/* Joins the lines of a message of the TOML library, which quotes the source, because an error
 * message must be a single line. */
std::string one_line(std::string message) {
  std::replace(message.begin(), message.end(), '\n', ' ');
  return message.substr(0, LIBRARY_MESSAGE_MAX);
}

}  // namespace

bool tmx_operator_settings_load(tmx_operator_settings *operators, const char *path, char *error,
                                std::size_t error_capacity) {
  settings_error first_error = {"operator settings", error, error_capacity, false};
  try {
    read_root(toml::parse(path), operators);
  } catch (const invalid_key &fault) {
    tmx_settings_set_error(&first_error, "", fault.key.c_str(), fault.reason.c_str());
  } catch (const std::exception &fault) {
    tmx_settings_set_error(&first_error, "", path, one_line(fault.what()).c_str());
  }
  return !first_error.is_set;
}
