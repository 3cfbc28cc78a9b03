// The operators' own settings are TOML. Debian has no TOML library for C, so toml11 is used
// here behind one C function.
#include <cstdio>
#include <string>
#include <toml.hpp>

extern "C" {
#include "config/settings.h"
}

static bool take(const std::string &key, const toml::value &v, const char *name, double lo,
                 double hi, double *out, std::string &why) {
  if (key != name) return false;
  double d = 0;
  if (v.is_floating())
    d = v.as_floating();
  else if (v.is_integer())
    d = static_cast<double>(v.as_integer());
  else
    why = "not a number";
  if (why.empty() && !(d >= lo && d <= hi)) why = "out of range";
  if (why.empty()) *out = d;
  return true;
}

extern "C" bool tmx_operator_load(struct tmx_operator *o, const char *path, char *err, size_t cap) {
  try {
    const toml::value root = toml::parse(path);
    for (const auto &kv : root.as_table()) {
      std::string why;
      if (!take(kv.first, kv.second, "idle_return_s", 10, 86400, &o->idle_return_s, why) &&
          !take(kv.first, kv.second, "headroom", 0, 1, &o->headroom, why) &&
          !take(kv.first, kv.second, "silent_s", 0, 3600, &o->silent_s, why))
        why = "unknown key";
      if (!why.empty()) {
        snprintf(err, cap, "operator settings: %s: %s", kv.first.c_str(), why.c_str());
        return false;
      }
    }
    return true;
  } catch (const std::exception &e) {
    std::string m = e.what();
    for (char &c : m)
      if (c == '\n') c = ' ';
    snprintf(err, cap, "operator settings: %s: %.300s", path, m.c_str());
    return false;
  }
}
