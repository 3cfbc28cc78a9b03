// The operators' own settings are TOML. Debian has no TOML library for C, so toml11 is used
// here behind one C function.
#include <cstdio>
#include <string>
#include <toml.hpp>

extern "C" {
#include "config/settings.h"
}

namespace {

// One line about the key at fault.
struct invalid_key {
  std::string key, why;
};

double number(const std::string &key, const toml::value &v, double lo, double hi) {
  double d = 0;
  if (v.is_floating())
    d = v.as_floating();
  else if (v.is_integer())
    d = static_cast<double>(v.as_integer());
  else
    throw invalid_key{key, "not a number"};
  if (!(d >= lo && d <= hi)) throw invalid_key{key, "out of range"};
  return d;
}

void read_team_shares(const toml::value &v, tmx_admission_settings *a) {
  const std::string prefix = "admission.team_shares";
  if (!v.is_table()) throw invalid_key{prefix, "not a table"};
  for (const auto &kv : v.as_table()) {
    const std::string key = prefix + "." + kv.first;
    if (a->n_named == TMX_TEAMS_MAX) throw invalid_key{key, "too many teams"};
    if (kv.first.size() >= TMX_NAME_MAX) throw invalid_key{key, "too long"};
    tmx_team_share &named = a->named[a->n_named++];
    snprintf(named.team, sizeof named.team, "%s", kv.first.c_str());
    named.share = number(key, kv.second, 0.001, 1);
  }
}

void read_admission(const toml::value &v, tmx_admission_settings *a) {
  if (!v.is_table()) throw invalid_key{"admission", "not a table"};
  for (const auto &kv : v.as_table()) {
    const std::string key = "admission." + kv.first;
    if (kv.first == "enabled") {
      if (!kv.second.is_boolean()) throw invalid_key{key, "not a boolean"};
      a->enabled = kv.second.as_boolean();
    } else if (kv.first == "backlog_s") {
      a->backlog_s = number(key, kv.second, 10, 86400);
    } else if (kv.first == "reserve") {
      a->reserve = number(key, kv.second, 0.05, 0.95);
    } else if (kv.first == "capacity_cpus") {
      a->capacity_cpus = number(key, kv.second, 0, 1e9);
    } else if (kv.first == "start_s") {
      a->start_s = number(key, kv.second, 1, 3600);
    } else if (kv.first == "team_shares") {
      read_team_shares(kv.second, a);
    } else {
      throw invalid_key{key, "unknown key"};
    }
  }
  if (!v.as_table().count("enabled")) throw invalid_key{"admission.enabled", "missing"};
}

void read_all(const toml::value &root, tmx_operator_settings *o) {
  for (const auto &kv : root.as_table()) {
    if (kv.first == "idle_return_s")
      o->idle_return_s = number(kv.first, kv.second, 10, 86400);
    else if (kv.first == "headroom")
      o->headroom = number(kv.first, kv.second, 0, 1);
    else if (kv.first == "silent_s")
      o->silent_s = number(kv.first, kv.second, 0, 3600);
    else if (kv.first == "admission")
      read_admission(kv.second, &o->admission);
    else
      throw invalid_key{kv.first, "unknown key"};
  }
}

}  // namespace

extern "C" bool tmx_operator_load(struct tmx_operator_settings *o, const char *path, char *err, size_t cap) {
  try {
    read_all(toml::parse(path), o);
    return true;
  } catch (const invalid_key &e) {
    snprintf(err, cap, "operator settings: %s: %s", e.key.c_str(), e.why.c_str());
  } catch (const std::exception &e) {
    std::string m = e.what();
    for (char &c : m)
      if (c == '\n') c = ' ';
    snprintf(err, cap, "operator settings: %s: %.300s", path, m.c_str());
  }
  return false;
}
