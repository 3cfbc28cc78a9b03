/* Giving machines up that are dead, and returning those that are not needed: by the leader. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cloud/cloud.h"
#include "net/log.h"
#include "tmx/wire.h"

struct delete_call {
  struct tmx_cloud *k;
  char ids[TMX_DELETE_MAX][TMX_ID_MAX];
  size_t n;
};

/* Deleted machines are gone, with all that was on them: that is the proof to record. */
static void on_deleted(void *arg, int status, const uint8_t *body, size_t len) {
  struct delete_call *d = arg;
  struct tmx_cloud *k = d->k;
  (void)body;
  (void)len;
  k->delete_busy = false;
  if (status == 200) {
    for (size_t i = 0; i < d->n; i++) {
      char line[TMX_LINE_MAX];
      /* lists lag: it stays marked until none has shown it for long, and is not deleted again */
      tmx_cloud_listed(k, d->ids[i])->deleting = true;
      if (!tmx_machine_find(&k->c->rep, d->ids[i])) continue;
      snprintf(line, sizeof line, "%c %s", TMX_LINE_MACHINE_REMOVED, d->ids[i]);
      tmx_scheduler_append_line(k->c->rounds, line);
    }
  } else {
    for (size_t i = 0; i < d->n; i++) {
      struct listed *l;
      HASH_FIND_STR(k->listed, d->ids[i], l);
      if (l) l->deleting = false;
    }
  }
  free(d);
}

/* A machine marked so gets no new work, and is returned when it is empty. */
static void drain(struct tmx_cloud *k, struct tmx_machine *machine, bool on) {
  char line[TMX_LINE_MAX];
  snprintf(line, sizeof line, "%c %s %d", TMX_LINE_MACHINE_DRAINING, machine->id, on);
  tmx_log(TMX_LOG_INFO, "cloud: %s is %s needed", machine->id, on ? "no longer" : "again");
  tmx_scheduler_append_line(k->c->rounds, line);
}

/* Every controller keeps the peak of what is in use or asked for, so that one that comes to lead
 * knows it: else nothing would be returned for TMX_PEAK_S after every change of leader. */
void tmx_cloud_note_demand(struct tmx_cloud *k, double now) {
  const struct tmx_ctl *c = k->c;
  int sec = (int)now;
  if (!c->rep.loaded || now - tmx_store_fresh_as_of(c->link) > TMX_STATE_LOST_S) return;
  if (sec - k->booked_at > TMX_DEMAND_GAP_S) { /* it did not see what came in between */
    memset(k->booked, 0, sizeof k->booked);
    k->demand_since = now;
    k->booked_at = sec;
  }
  while (k->booked_at < sec) k->booked[++k->booked_at % TMX_PEAK_S] = 0;
  double *b = &k->booked[sec % TMX_PEAK_S];
  *b = fmax(*b, c->rep.booked_cpus + c->rep.waiting_cpus);
}

static double peak_booked(const struct tmx_cloud *k) {
  double most = 0;
  for (int i = 0; i < TMX_PEAK_S; i++) most = fmax(most, k->booked[i]);
  return most;
}

struct choice {
  struct tmx_machine *m;
  double v;
};
static int dearest(const void *a, const void *b) {
  const struct choice *x = a, *y = b;
  return x->v == y->v ? strcmp(x->m->id, y->m->id) : x->v > y->v ? -1 : 1;
}

/* Returns the dearest machines that the peak of the last while would not have needed, a few at a
 * time. Their arrays run to their end; their replicas move, so room for them must be free in the
 * same zone. */
static void shrink(struct tmx_cloud *k, bool waiting) {
  struct tmx_ctl *c = k->c;
  struct tmx_replica *replica = &c->rep;
  double now = tmx_clock_steady(), peak = peak_booked(k), have = 0;
  double zone_free[TMX_ZONES_MAX] = {0};
  struct tmx_machine *machine, *next_machine;
  size_t n = 0, known = 0;
  double draining = 0, returning = 0;
  if (now - k->drain_at < TMX_DRAIN_SPACING_S) return;
  k->drain_at = now;
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    const struct tmx_type *t = tmx_cloud_type(k, machine->type);
    if (!machine->registered || !t) continue;
    known++;
    if (machine->draining) {
      /* work waits: what is about to be returned is nearer than anything that must boot */
      if (waiting && machine->tasks &&
          !(machine->consecutive_errors >= TMX_SICK_ERRORS && machine->errors_of_several_jobs))
        drain(k, machine, false);
      else if (machine->service_cpus > 0) /* arrays that run out hold up nothing else */
        draining += t->cpus;
      continue;
    }
    have += t->cpus;
    if (machine->zone >= 0 && !machine->spot)
      zone_free[machine->zone] += t->cpus - machine->booked_cpus;
  }
  double step = TMX_DRAIN_SHARE * have;
  /* the more machines, the less a chance arrival is beside the rest */
  double over = fmin(TMX_ROOM_OVER_PEAK, 1 / sqrt(fmax(known, 1)));
  double after = fmin(TMX_ROOM_AFTER, 2 * over);
  /* One that has just started does not know the peak yet; what is about to be returned it takes
   * back at once. */
  if (waiting || now - k->led_since < TMX_SETTLE_S || now - k->demand_since < TMX_PEAK_S) return;
  struct choice *v = calloc(known + 1, sizeof *v);
  if (!v) abort();
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    const struct tmx_type *t = tmx_cloud_type(k, machine->type);
    if (!machine->registered || !t || machine->draining || machine->zone < 0) continue;
    double services = machine->service_cpus;
    double spare = zone_free[machine->zone] - (t->cpus - machine->booked_cpus);
    if (services > 0 && spare < TMX_ROOM_TO_MOVE * services + after * peak / (double)c->set.n_zones)
      continue;
    /* price of a CPU, less for work under way and for replicas that must move */
    v[n++] = (struct choice){machine, (machine->spot ? t->spot_price : t->price) / t->cpus *
                                          (1.2 - machine->booked_cpus / t->cpus) *
                                          (1 - 0.8 * services / t->cpus)};
  }
  qsort(v, n, sizeof *v, dearest);
  /* Machines with replicas go a few at a time: every one of them is a restart for somebody. */
  for (size_t i = 0; i < n && returning < step; i++) {
    struct tmx_machine *other = v[i].m;
    double cpus = tmx_cloud_type(k, other->type)->cpus;
    bool holds = other->service_cpus > 0;
    if (have - cpus < peak * (1 + over)) continue;
    if (holds && draining > 0 && draining + cpus > TMX_DRAIN_HELD * have) continue;
    if (holds) draining += cpus;
    have -= cpus;
    returning += cpus;
    drain(k, other, true);
  }
  free(v);
}

/* What an operator wants to see over a day: what is rented and what of it is used. */
void tmx_cloud_log_use(struct tmx_cloud *k, double now) {
  double cpus[2] = {0, 0}, booked[2] = {0, 0}, drain = 0, services = 0;
  size_t n = 0, unusable = 0;
  struct tmx_machine *machine, *next_machine;
  if (!tmx_log_enabled(TMX_LOG_INFO) || now - k->use_at < TMX_USE_LOG_S) return;
  k->use_at = now;
  HASH_ITER(hh, k->c->rep.machines, machine, next_machine) {
    const struct tmx_type *t = tmx_cloud_type(k, machine->type);
    if (!machine->registered || !t) continue;
    n++;
    unusable += !machine->usable;
    cpus[machine->spot] += t->cpus;
    booked[machine->spot] += machine->booked_cpus;
    if (machine->draining) drain += t->cpus;
    services += machine->service_cpus;
  }
  tmx_log(
      TMX_LOG_INFO,
      "use: %zu machines (%zu not usable), CPUs booked %.0f of %.0f, spot %.0f of %.0f, services "
      "%.0f, being returned %.0f, waiting %.0f",
      n, unusable, booked[0], cpus[0], booked[1], cpus[1], services, drain, k->c->rep.waiting_cpus);
}

void tmx_cloud_sweep(struct tmx_cloud *k) {
  struct tmx_ctl *c = k->c;
  struct tmx_replica *replica = &c->rep;
  double now = tmx_clock_steady();
  if (k->delete_busy) return;
  struct delete_call *d = calloc(1, sizeof *d);
  if (!d) abort();
  d->k = k;
  size_t max = TMX_DELETE_MAX;
  double silent = c->set.op.silent_s > 0 ? c->set.op.silent_s : TMX_SILENT_S;
  bool settled = now - k->led_since > TMX_SETTLE_S;
  struct tmx_machine *machine, *next_machine;
  struct tmx_zone_liveness signs[TMX_ZONES_MAX] = {{0}};
  double room = 0, services = 0;
  bool heard[TMX_MEMBERS_MAX];
  unsigned n_heard = 0;
  for (size_t i = 0; i < replica->view.n_members; i++) {
    const char *n = replica->view.members[i].name;
    bool self = !strcmp(n, c->set.node);
    heard[i] =
        self ? !tmx_ctl_no_workers(c)
             : tmx_peers_silence(c->peers, n) < TMX_BEAT_DEAD_S && !tmx_peers_cut(c->peers, n);
    n_heard += heard[i];
    const struct tmx_zone_liveness *said =
        self ? tmx_workers_zone_liveness(c->workers) : tmx_peers_zones(c->peers, n);
    for (size_t z = 0; heard[i] && said && z < c->set.n_zones; z++) {
      signs[z].machines += said[z].machines;
      signs[z].lost += said[z].lost;
      signs[z].alive += said[z].alive;
    }
  }
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    if (!machine->registered) continue;
    const struct tmx_type *t = tmx_cloud_type(k, machine->type);
    if (t && !machine->draining) room += t->cpus - machine->booked_cpus;
    services += machine->service_cpus;
  }
  /* among thousands of tasks some always wait for a moment */
  bool waiting = replica->waiting_cpus > TMX_WAITING_SHARE * (room + replica->booked_cpus);
  /* A zone that is silent as a whole is cut off from us, or we from it, and its work may go on.
   * Machines that died show as failed in the list soon; the others come back with what they have,
   * and what they hold could hardly run elsewhere. So nothing of it is given up for silence before
   * all its work must be gone, and a lease more. */
  bool cut = false;
  double spare[TMX_ZONES_MAX];
  for (size_t z = 0; z < c->set.n_zones; z++) {
    /* when a cut is over its machines are asked one after the other again, the last ones late */
    spare[z] =
        TMX_ZONE_CUT_S + TMX_PROBE_S * (1 << TMX_PROBE_DOUBLINGS) +
        signs[z].machines / (TMX_SUSPECTS_SHARE * fmax(1, n_heard) * tmx_workers_probe_rate(c));
    if (tmx_zone_is_partitioned(&signs[z])) {
      k->cut_until[z] = now + TMX_ZONE_CUT_S;
      k->spared_until[z] = now + spare[z];
    }
    cut |= k->cut_until[z] > now;
  }
  double given_up = c->set.cancel_s + c->set.lease_s; /* twice, where replicas would only wait */
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    if (!machine->registered || d->n == max) continue;
    struct listed *l;
    HASH_FIND_STR(k->listed, machine->id, l);
    const struct tmx_type *t = tmx_cloud_type(k, machine->type);
    struct tmx_suspicion suspicion = {.silence_s = 0};
    /* its owner's word, if that reaches its other machines */
    bool doubt = machine->owner >= 0 && heard[machine->owner] &&
                 tmx_workers_find_suspicion(c->workers, machine, &suspicion);
    bool lost = doubt && suspicion.probes_lost >= TMX_PROBES_LOST;
    /* The leader before would have given up what was silent for so long, unless it spared it: a new
     * one does as much, as it cannot know of a cut that has just ended. */
    double led = now - k->led_since;
    bool spared = machine->zone >= 0 &&
                  (now < k->spared_until[machine->zone] ||
                   (led < spare[machine->zone] && suspicion.silence_s > led + TMX_INHERIT_S));
    const char *why = NULL;
    if (l && l->state == LS_FAILED)
      why = "failed";
    else if (settled && lost && suspicion.silence_s > silent &&
             (!spared || suspicion.silence_s > given_up * (machine->service_cpus > 0 ? 2 : 1)))
      why = "silent";
    else if (settled && doubt && !spared &&
             suspicion.silence_s < c->set.report_s * 1.25 + TMX_REPORT_LATE_S &&
             suspicion.unacknowledged_s > c->set.lease_s * TMX_UNREACHED_LEASES)
      why = "not both heard and reached";
    else if (machine->draining && !machine->tasks)
      why = "drained";
    else if (machine->consecutive_errors >= TMX_SICK_ERRORS && machine->errors_of_several_jobs &&
             !machine->tasks)
      why = "faulty";
    if (why) {
      tmx_log(TMX_LOG_INFO, "cloud: deleting %s: %s", machine->id, why);
      snprintf(d->ids[d->n++], TMX_ID_MAX, "%s", machine->id);
      continue;
    }
    struct empty *e;
    HASH_FIND_STR(k->empties, machine->id, e);
    if (!e) {
      e = calloc(1, sizeof *e);
      if (!e) abort();
      snprintf(e->id, sizeof e->id, "%s", machine->id);
      e->since = now;
      HASH_ADD_STR(k->empties, id, e);
    }
    e->pass = k->pass;
    if (machine->tasks || waiting || cut) e->since = now;
    if (t && !machine->draining && !machine->tasks && now - e->since > c->set.op.idle_return_s &&
        room - t->cpus > services * c->set.op.headroom) {
      room -= t->cpus;
      drain(k, machine, true);
      e->since = now;
    }
  }
  /* what is out of reach is no room: nothing else is returned for it */
  shrink(k, waiting || cut);
  struct empty *e, *et;
  HASH_ITER(hh, k->empties, e, et) {
    if (tmx_machine_find(replica, e->id)) continue;
    HASH_DEL(k->empties, e);
    free(e);
  }
  struct listed *l, *lt;
  HASH_ITER(hh, k->listed, l, lt) {
    if (d->n == max || l->deleting) continue;
    if (!l->type[0]) continue;
    machine = tmx_machine_find(replica, l->id);
    if (machine && machine->registered) {
      l->unheard_since = 0;
      continue;
    }
    const struct tmx_type *t = tmx_cloud_type(k, l->type);
    double age = fmax(l->held + (now - l->at), l->rented_at ? now - l->rented_at : 0);
    const char *why = NULL;
    if (l->state == LS_FAILED)
      why = "failed";
    else if (l->state == LS_BOOTING && t && age > t->boot_s * TMX_BOOT_LATE + 10)
      why = "boots too long";
    else if (l->state == LS_RUNNING) {
      /* in a zone that is cut off it may well be up */
      if (!l->unheard_since || (l->zone >= 0 && now < k->spared_until[l->zone]))
        l->unheard_since = now;
      if (settled && now - l->unheard_since > TMX_NEVER_HEARD_S + 2 * c->set.report_s)
        why = "never heard";
    }
    if (!why) continue;
    tmx_log(TMX_LOG_INFO, "cloud: deleting %s: %s", l->id, why);
    l->deleting = true;
    snprintf(d->ids[d->n++], TMX_ID_MAX, "%s", l->id);
  }
  if (d->n && tmx_cloud_may_call(k)) {
    struct tmx_buffer buffer = {0};
    tmx_cbor_put_map(&buffer, 1);
    tmx_cbor_put_text(&buffer, W_MACHINES);
    tmx_cbor_put_list(&buffer, d->n);
    for (size_t i = 0; i < d->n; i++) tmx_cbor_put_text(&buffer, d->ids[i]);
    k->delete_busy = tmx_http_client_call(k->http, "POST", WP_DELETE, &buffer, TMX_CLOUD_TIMEOUT_S,
                                          on_deleted, d);
    tmx_buffer_free(&buffer);
  }
  if (!k->delete_busy) {
    for (size_t i = 0; i < d->n; i++) {
      HASH_FIND_STR(k->listed, d->ids[i], l);
      if (l) l->deleting = false;
    }
    free(d);
  }
}
