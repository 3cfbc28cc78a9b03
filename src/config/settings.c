#include "config/settings.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct rd {
  char *err;
  size_t cap;
  bool bad;
};

static void fail(struct rd *r, const char *where, const char *key, const char *what) {
  if (r->bad) return;
  r->bad = true;
  snprintf(r->err, r->cap, "settings: %s%s: %s", where, key, what);
}
static void get_str(struct rd *r, json_t *o, const char *where, const char *key, char *out) {
  json_t *v = json_object_get(o, key);
  if (!json_is_string(v) || !json_string_length(v))
    fail(r, where, key, "missing or not a text");
  else if (json_string_length(v) >= TMX_NAME_MAX)
    fail(r, where, key, "too long");
  else
    strcpy(out, json_string_value(v));
}
static void get_addr(struct rd *r, json_t *o, const char *where, const char *key, char *out) {
  struct in_addr a;
  char host[TMX_NAME_MAX], *c;
  get_str(r, o, where, key, out);
  if (r->bad) return;
  strcpy(host, out);
  c = strrchr(host, ':');
  if (c) *c++ = 0;
  if (!c || inet_pton(AF_INET, host, &a) != 1 || atoi(c) < 0 || atoi(c) > 65535 || !*c)
    fail(r, where, key, "not an address of the form 10.0.0.1:8080");
}
static double get_num(struct rd *r, json_t *o, const char *where, const char *key, double lo,
                      double hi) {
  json_t *v = json_object_get(o, key);
  double d = json_is_number(v) ? json_number_value(v) : 0;
  if (!json_is_number(v))
    fail(r, where, key, "missing or not a number");
  else if (!(d >= lo && d <= hi))
    fail(r, where, key, "out of range");
  return d;
}
static json_t *get_obj(struct rd *r, json_t *o, const char *where, const char *key) {
  json_t *v = json_object_get(o, key);
  if (!json_is_object(v)) fail(r, where, key, "missing or not a map");
  return v;
}
static json_t *get_list(struct rd *r, json_t *o, const char *where, const char *key, size_t max) {
  json_t *v = json_object_get(o, key);
  if (!json_is_array(v))
    fail(r, where, key, "missing or not a list");
  else if (json_array_size(v) > max)
    fail(r, where, key, "too long a list");
  return v;
}
static double opt_num(json_t *o, const char *key) {
  json_t *v = json_object_get(o, key);
  return json_is_number(v) ? json_number_value(v) : 0;
}

/* The limits of the state service; a field that `next` leaves out stays as it is. */
#define RATE_MAX 1e6 /* requests or puts a second */
#define VALUE_KB_MIN 1
#define VALUE_KB_MAX 60 /* below PROTOCOL's 64 KiB for a transaction */
#define TXN_OPS_MIN 4   /* a value, head and the final states of two jobs */
#define TXN_OPS_MAX 1000

static void read_state_limits(struct rd *r, json_t *state, struct tmx_settings *s) {
  s->state_rps = get_num(r, state, "cluster.state.", "rps", 1, RATE_MAX);
  s->write_rps = get_num(r, state, "cluster.state.", "write_rps", 1, RATE_MAX);
  s->value_kb = get_num(r, state, "cluster.state.", "value_kb", VALUE_KB_MIN, VALUE_KB_MAX);
  s->txn_ops = (int)get_num(r, state, "cluster.state.", "txn_ops", TXN_OPS_MIN, TXN_OPS_MAX);
}

static double smaller_limit(struct rd *r, json_t *next, const char *key, double now, double lo,
                            double hi) {
  json_t *v = json_object_get(next, key);
  if (!v || json_is_null(v)) return now;
  double d = get_num(r, next, "cluster.state.next.", key, lo, hi);
  return d < now ? d : now;
}

/* The limits to come hold from some moment without notice, so what is written keeps within the
 * smaller ones from the start. */
static void read_next_limits(struct rd *r, json_t *state, struct tmx_settings *s) {
  json_t *next = json_object_get(state, "next");
  if (!next || json_is_null(next)) return;
  if (!json_is_object(next)) {
    fail(r, "cluster.state.", "next", "not a map");
    return;
  }
  s->state_rps = smaller_limit(r, next, "rps", s->state_rps, 1, RATE_MAX);
  s->write_rps = smaller_limit(r, next, "write_rps", s->write_rps, 1, RATE_MAX);
  s->value_kb = smaller_limit(r, next, "value_kb", s->value_kb, VALUE_KB_MIN, VALUE_KB_MAX);
  s->txn_ops = (int)smaller_limit(r, next, "txn_ops", s->txn_ops, TXN_OPS_MIN, TXN_OPS_MAX);
}

static void read_all(struct rd *r, json_t *o, struct tmx_settings *s) {
  size_t i;
  json_t *e;
  get_str(r, o, "", "host_name", s->node);
  get_str(r, o, "", "location", s->zone);
  get_addr(r, o, "", "listen", s->listen);
  get_addr(r, o, "", "peer_listen", s->peer_listen);
  json_t *peers = get_list(r, o, "", "peers", TMX_MEMBERS_MAX - 1);
  json_array_foreach(peers, i, e) {
    if (r->bad) return;
    get_str(r, e, "peers.", "host_name", s->peers[i].name);
    get_str(r, e, "peers.", "location", s->peers[i].zone);
    get_addr(r, e, "peers.", "address", s->peers[i].addr);
    s->n_peers = i + 1;
  }
  json_t *sv = get_obj(r, o, "", "services");
  get_addr(r, sv, "services.", "cloud", s->cloud);
  get_addr(r, sv, "services.", "state", s->state);
  json_t *c = get_obj(r, o, "", "cluster");
  json_t *zones = get_list(r, c, "cluster.", "zones", TMX_ZONES_MAX);
  if (!r->bad && !json_array_size(zones)) fail(r, "cluster.", "zones", "empty");
  json_array_foreach(zones, i, e) {
    if (!json_is_string(e) || json_string_length(e) >= TMX_NAME_MAX) {
      fail(r, "cluster.", "zones", "not a list of texts");
      return;
    }
    strcpy(s->zones[i], json_string_value(e));
    s->n_zones = i + 1;
  }
  json_t *teams = get_list(r, c, "cluster.", "teams", TMX_TEAMS_MAX);
  json_array_foreach(teams, i, e) {
    if (r->bad) return;
    struct tmx_team_conf *team = &s->teams[i];
    get_str(r, e, "cluster.teams.", "name", team->name);
    team->cpus = opt_num(e, "cpus");
    team->cpus_max = opt_num(e, "cpus_max");
    team->gpus = opt_num(e, "gpus");
    team->gpus_max = opt_num(e, "gpus_max");
    s->n_teams = i + 1;
  }
  json_t *obj = json_object_get(c, "objectives");
  if (json_array_size(obj) > TMX_OBJECTIVES_MAX)
    fail(r, "cluster.", "objectives", "too long a list");
  json_array_foreach(obj, i, e) {
    if (r->bad) return;
    struct tmx_objective *t = &s->objectives[s->n_objectives];
    const char *k = json_string_value(json_object_get(e, "kind"));
    const char *cl = json_string_value(json_object_get(e, "class"));
    snprintf(t->kind, sizeof t->kind, "%s", k ? k : "");
    snprintf(t->class_name, sizeof t->class_name, "%s", cl ? cl : "");
    t->within_s = opt_num(e, "within_s");
    s->n_objectives++;
  }
  json_t *w = get_obj(r, c, "cluster.", "workers");
  s->report_s = get_num(r, w, "cluster.workers.", "report_s", 0.1, 600);
  s->lease_s = get_num(r, w, "cluster.workers.", "lease_s", 1, 3600);
  s->cancel_s = get_num(r, w, "cluster.workers.", "cancel_s", 1, 7200);
  /* The freshness bound is what lies between them: it must leave time for a read of the state. */
  if (!r->bad && tmx_fresh_bound(s) < TMX_FRESH_LEAST_S)
    fail(
        r, "cluster.workers.", "cancel_s",
        "exceeds lease_s by too little to renew leases safely: 3 s are needed, more for long ones");
  json_t *st = get_obj(r, c, "cluster.", "state");
  read_state_limits(r, st, s);
  if (!r->bad) read_next_limits(r, st, s);
  json_t *cl = get_obj(r, c, "cluster.", "cloud");
  s->cloud_rps = get_num(r, cl, "cluster.cloud.", "rps", 0.1, 1e6);
  s->list_lag_s = get_num(r, cl, "cluster.cloud.", "list_lag_s", 0, 600);
  json_t *q = get_obj(r, c, "cluster.", "quota");
  s->core_share = get_num(r, q, "cluster.quota.", "core_share", 0.01, 1024);
  s->ram_mb = get_num(r, q, "cluster.quota.", "ram_mb", 32, 1e7);
  s->sockets = (int)get_num(r, q, "cluster.quota.", "sockets", 64, 1e6);
  s->clock_off_ms = get_num(r, c, "cluster.", "clock_off_ms", 0, 1e6);
}

bool tmx_settings_parse(struct tmx_settings *s, const char *text, char *err, size_t cap) {
  struct rd r = {.err = err, .cap = cap};
  json_error_t je;
  memset(s, 0, sizeof *s);
  tmx_operator_defaults(&s->op);
  json_t *o = json_loads(text, 0, &je);
  if (!json_is_object(o)) {
    snprintf(err, cap, "settings: not a JSON map: %s", o ? "another kind of value" : je.text);
    json_decref(o);
    return false;
  }
  read_all(&r, o, s);
  json_decref(o);
  return !r.bad;
}

bool tmx_settings_load(struct tmx_settings *s, const char *path, char *err, size_t cap) {
  FILE *f = fopen(path, "r");
  if (!f) {
    snprintf(err, cap, "settings: %s: cannot be opened", path);
    return false;
  }
  char *text = calloc(1, 1 << 20);
  size_t n = text ? fread(text, 1, (1 << 20) - 1, f) : 0;
  fclose(f);
  bool ok = text && n && tmx_settings_parse(s, text, err, cap);
  if (!n) snprintf(err, cap, "settings: %s: empty", path);
  free(text);
  return ok;
}

void tmx_operator_defaults(struct tmx_operator *o) {
  o->idle_return_s = TMX_IDLE_RETURN_S;
  o->headroom = TMX_HEADROOM;
  o->silent_s = 0;
  o->admission = (struct tmx_admission_settings){.backlog_s = TMX_ADMISSION_BACKLOG_S,
                                                 .reserve = TMX_ADMISSION_RESERVE,
                                                 .start_s = TMX_ADMISSION_START_S};
}

static int to_share(const struct tmx_settings *s) {
  return s->sockets - (s->sockets < 2 * TMX_OWN_SOCKETS ? s->sockets / 2 : TMX_OWN_SOCKETS);
}
int tmx_sockets_out(const struct tmx_settings *s) { return (int)(to_share(s) * TMX_WORKER_CONNS); }
int tmx_sockets_in(const struct tmx_settings *s) { return to_share(s) - tmx_sockets_out(s); }

size_t tmx_value_room(const struct tmx_settings *s) {
  return (size_t)(s->value_kb * 1024 * TMX_VALUE_SHARE) - TMX_JSON_FRAME;
}

double tmx_fresh_bound(const struct tmx_settings *s) {
  double margin = TMX_DRIFT * s->cancel_s + TMX_FRESH_MARGIN_S / 2;
  return s->cancel_s - s->lease_s - (margin > TMX_FRESH_MARGIN_S ? margin : TMX_FRESH_MARGIN_S);
}

int tmx_node_zone(const struct tmx_settings *s, const char *node) {
  if (!strcmp(node, s->node)) return tmx_zone_index(s, s->zone);
  for (size_t i = 0; i < s->n_peers; i++)
    if (!strcmp(node, s->peers[i].name)) return tmx_zone_index(s, s->peers[i].zone);
  return -1;
}

int tmx_zone_index(const struct tmx_settings *s, const char *zone) {
  for (size_t i = 0; i < s->n_zones; i++)
    if (!strcmp(s->zones[i], zone)) return (int)i;
  return -1;
}

int tmx_team_index(const struct tmx_settings *s, const char *team) {
  for (size_t i = 0; i < s->n_teams; i++)
    if (!strcmp(s->teams[i].name, team)) return (int)i;
  return -1;
}
