/* Giving machines up that are dead, and returning those that are not needed: by the leader. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cloud/cloud_internal.h"
#include "base/log.h"
#include "tmx/wire.h"
#include "base/clock.h"
#include "base/memory.h"

struct scale_in_call {
  struct tmx_cloud *cloud;
  char ids[TMX_SCALE_IN_MAX][TMX_ID_MAX];
  size_t n;
};

/* Deleted machines are gone, with all that was on them: that is the proof to record. */
static void on_deleted(void *arg, int status, const uint8_t *body, size_t len) {
  struct scale_in_call *call = arg;
  struct tmx_cloud *cloud = call->cloud;
  (void)body;
  (void)len;
  cloud->delete_in_flight = false;
  if (status == 200) {
    for (size_t i = 0; i < call->n; i++) {
      char line[TMX_LINE_MAX];
      /* lists lag: it stays marked until none has shown it for long, and is not deleted again */
      tmx_cloud_find_instance(cloud, call->ids[i])->deleting = true;
      if (!tmx_machine_find(cloud->replica, call->ids[i])) continue;
      snprintf(line, sizeof line, "%c %s", TMX_LINE_MACHINE_REMOVED, call->ids[i]);
      tmx_scheduler_append_line(cloud->scheduler, line);
    }
  } else {
    for (size_t i = 0; i < call->n; i++) {
      struct tmx_instance *instance;
      HASH_FIND_STR(cloud->instances, call->ids[i], instance);
      if (instance) instance->deleting = false;
    }
  }
  free(call);
}

/* A machine marked so gets no new work, and is returned when it is empty. */
static void set_draining(struct tmx_cloud *cloud, struct tmx_machine *machine, bool on) {
  char line[TMX_LINE_MAX];
  snprintf(line, sizeof line, "%c %s %d", TMX_LINE_MACHINE_DRAINING, machine->id, on);
  tmx_log(TMX_LOG_INFO, "cloud: %s is %s needed", machine->id, on ? "no longer" : "again");
  tmx_scheduler_append_line(cloud->scheduler, line);
}

/* Every controller keeps the peak of what is in use or asked for, so that one that comes to lead
 * knows it: else nothing would be returned for TMX_PEAK_DEMAND_S after every change of leader. */
void tmx_cloud_record_demand(struct tmx_cloud *cloud, double now) {
  int sec = (int)now;
  if (!cloud->replica->loaded || now - tmx_store_fresh_as_of(cloud->store) > TMX_STORE_LOST_S)
    return;
  if (sec - cloud->demand_second > TMX_DEMAND_GAP_S) { /* it did not see what came in between */
    memset(cloud->demand_by_second, 0, sizeof cloud->demand_by_second);
    cloud->demand_since = now;
    cloud->demand_second = sec;
  }
  while (cloud->demand_second < sec)
    cloud->demand_by_second[++cloud->demand_second % TMX_PEAK_DEMAND_S] = 0;
  double *b = &cloud->demand_by_second[sec % TMX_PEAK_DEMAND_S];
  *b = fmax(*b, cloud->replica->booked_cpus + cloud->replica->waiting_cpus);
}

static double peak_demand(const struct tmx_cloud *cloud) {
  double most = 0;
  for (int i = 0; i < TMX_PEAK_DEMAND_S; i++) most = fmax(most, cloud->demand_by_second[i]);
  return most;
}

struct drain_candidate {
  struct tmx_machine *machine;
  double cost;
};
static int compare_by_cost(const void *a, const void *b) {
  const struct drain_candidate *x = a, *y = b;
  return x->cost == y->cost ? strcmp(x->machine->id, y->machine->id) : x->cost > y->cost ? -1 : 1;
}

/* Returns the dearest machines that the peak of the last while would not have needed, a few at a
 * time. Their arrays run to their end; their replicas move, so room for them must be free in the
 * same zone. */
static void drain_surplus(struct tmx_cloud *cloud, bool waiting) {
  struct tmx_replica *replica = cloud->replica;
  double now = tmx_clock_steady(), peak = peak_demand(cloud), have = 0;
  double zone_free[TMX_ZONES_MAX] = {0};
  struct tmx_machine *machine, *next_machine;
  size_t n = 0, known = 0;
  double draining = 0, returning = 0;
  if (now - cloud->drain_chosen_at < TMX_DRAIN_SPACING_S) return;
  cloud->drain_chosen_at = now;
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (!machine->registered || !type) continue;
    known++;
    if (machine->draining) {
      /* work waits: what is about to be returned is nearer than anything that must boot */
      if (waiting && machine->tasks &&
          !(machine->consecutive_errors >= TMX_FAULTY_MACHINE_ERRORS &&
            machine->errors_of_several_jobs))
        set_draining(cloud, machine, false);
      else if (machine->service_cpus > 0) /* arrays that run out hold up nothing else */
        draining += type->cpus;
      continue;
    }
    have += type->cpus;
    if (machine->zone >= 0 && !machine->spot)
      zone_free[machine->zone] += type->cpus - machine->booked_cpus;
  }
  double step = TMX_DRAIN_SHARE * have;
  /* the more machines, the less a chance arrival is beside the rest */
  double over = fmin(TMX_PEAK_MARGIN, 1 / sqrt(fmax(known, 1)));
  double after = fmin(TMX_MOVE_ROOM_SHARE, 2 * over);
  /* One that has just started does not know the peak yet; what is about to be returned it takes
   * back at once. */
  if (waiting || now - cloud->leading_since < TMX_LEADER_SETTLE_S ||
      now - cloud->demand_since < TMX_PEAK_DEMAND_S)
    return;
  struct drain_candidate *v = tmx_allocate(known + 1, sizeof *v);
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (!machine->registered || !type || machine->draining || machine->zone < 0) continue;
    double services = machine->service_cpus;
    double spare = zone_free[machine->zone] - (type->cpus - machine->booked_cpus);
    if (services > 0 &&
        spare < TMX_MOVE_ROOM_FACTOR * services + after * peak / (double)cloud->settings->n_zones)
      continue;
    /* price of a CPU, less for work under way and for replicas that must move */
    v[n++] = (struct drain_candidate){
        machine, (machine->spot ? type->spot_price : type->price) / type->cpus *
                     (1.2 - machine->booked_cpus / type->cpus) * (1 - 0.8 * services / type->cpus)};
  }
  qsort(v, n, sizeof *v, compare_by_cost);
  /* Machines with replicas go a few at a time: every one of them is a restart for somebody. */
  for (size_t i = 0; i < n && returning < step; i++) {
    struct tmx_machine *other = v[i].machine;
    double cpus = tmx_machine_catalog_find(cloud->catalog, other->type)->cpus;
    bool holds = other->service_cpus > 0;
    if (have - cpus < peak * (1 + over)) continue;
    if (holds && draining > 0 && draining + cpus > TMX_DRAINING_SHARE_MAX * have) continue;
    if (holds) draining += cpus;
    have -= cpus;
    returning += cpus;
    set_draining(cloud, other, true);
  }
  free(v);
}

/* What an operator wants to see over a day: what is rented and what of it is used. */
void tmx_cloud_log_usage(struct tmx_cloud *cloud, double now) {
  double cpus[2] = {0, 0}, booked[2] = {0, 0}, drain = 0, services = 0;
  size_t n = 0, unusable = 0;
  struct tmx_machine *machine, *next_machine;
  if (!tmx_log_enabled(TMX_LOG_INFO) || now - cloud->usage_logged_at < TMX_USAGE_LOG_S) return;
  cloud->usage_logged_at = now;
  HASH_ITER(hh, cloud->replica->machines, machine, next_machine) {
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (!machine->registered || !type) continue;
    n++;
    unusable += !machine->usable;
    cpus[machine->spot] += type->cpus;
    booked[machine->spot] += machine->booked_cpus;
    if (machine->draining) drain += type->cpus;
    services += machine->service_cpus;
  }
  tmx_log(
      TMX_LOG_INFO,
      "use: %zu machines (%zu not usable), CPUs booked %.0f of %.0f, spot %.0f of %.0f, services "
      "%.0f, being returned %.0f, waiting %.0f",
      n, unusable, booked[0], cpus[0], booked[1], cpus[1], services, drain,
      cloud->replica->waiting_cpus);
}

void tmx_cloud_reclaim(struct tmx_cloud *cloud) {
  struct tmx_replica *replica = cloud->replica;
  double now = tmx_clock_steady();
  if (cloud->delete_in_flight) return;
  struct scale_in_call *call = tmx_allocate(1, sizeof *call);
  call->cloud = cloud;
  size_t max = TMX_SCALE_IN_MAX;
  double silent = cloud->settings->operators.silent_s > 0 ? cloud->settings->operators.silent_s
                                                          : TMX_MACHINE_SILENCE_S;
  bool settled = now - cloud->leading_since > TMX_LEADER_SETTLE_S;
  struct tmx_machine *machine, *next_machine;
  struct tmx_zone_liveness signs[TMX_ZONES_MAX] = {{0}};
  double room = 0, services = 0;
  bool heard[TMX_MEMBERS_MAX];
  unsigned n_heard = 0;
  for (size_t i = 0; i < replica->view.n_members; i++) {
    const char *n = replica->view.members[i].name;
    bool self = !strcmp(n, cloud->settings->node_name);
    heard[i] = self ? !tmx_workers_are_unreachable(cloud->workers)
                    : tmx_peers_silence(cloud->peers, n) < TMX_HEARTBEAT_DEAD_S &&
                          !tmx_peers_reports_no_workers(cloud->peers, n);
    n_heard += heard[i];
    const struct tmx_zone_liveness *said =
        self ? tmx_workers_zone_liveness(cloud->workers) : tmx_peers_zone_liveness(cloud->peers, n);
    for (size_t z = 0; heard[i] && said && z < cloud->settings->n_zones; z++) {
      signs[z].machines += said[z].machines;
      signs[z].lost += said[z].lost;
      signs[z].alive += said[z].alive;
    }
  }
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    if (!machine->registered) continue;
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    if (type && !machine->draining) room += type->cpus - machine->booked_cpus;
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
  for (size_t z = 0; z < cloud->settings->n_zones; z++) {
    /* when a cut is over its machines are asked one after the other again, the last ones late */
    spare[z] = TMX_ZONE_PARTITION_S + TMX_PROBE_TIMEOUT_S * (1 << TMX_PROBE_DOUBLINGS) +
               signs[z].machines / (TMX_SUSPECT_PROBES_SHARE * fmax(1, n_heard) *
                                    tmx_workers_probe_rate(cloud->settings));
    if (tmx_zone_is_partitioned(&signs[z])) {
      cloud->zone_partitioned_until[z] = now + TMX_ZONE_PARTITION_S;
      cloud->zone_spared_until[z] = now + spare[z];
    }
    cut |= cloud->zone_partitioned_until[z] > now;
  }
  double given_up = cloud->settings->cancel_s +
                    cloud->settings->lease_s; /* twice, where replicas would only wait */
  HASH_ITER(hh, replica->machines, machine, next_machine) {
    if (!machine->registered || call->n == max) continue;
    struct tmx_instance *instance;
    HASH_FIND_STR(cloud->instances, machine->id, instance);
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, machine->type);
    struct tmx_suspicion suspicion = {.silence_s = 0};
    /* its owner's word, if that reaches its other machines */
    bool doubt = machine->owner >= 0 && heard[machine->owner] &&
                 tmx_workers_find_suspicion(cloud->workers, machine, &suspicion);
    bool lost = doubt && suspicion.probes_lost >= TMX_PROBES_LOST;
    /* The leader before would have given up what was silent for so long, unless it spared it: a new
     * one does as much, as it cannot know of a cut that has just ended. */
    double led = now - cloud->leading_since;
    bool spared =
        machine->zone >= 0 &&
        (now < cloud->zone_spared_until[machine->zone] ||
         (led < spare[machine->zone] && suspicion.silence_s > led + TMX_INHERITED_SILENCE_S));
    const char *why = NULL;
    if (instance && instance->state == TMX_INSTANCE_FAILED)
      why = "failed";
    else if (settled && lost && suspicion.silence_s > silent &&
             (!spared || suspicion.silence_s > given_up * (machine->service_cpus > 0 ? 2 : 1)))
      why = "silent";
    else if (settled && doubt && !spared &&
             suspicion.silence_s < cloud->settings->report_s * 1.25 + TMX_REPORT_LATE_S &&
             suspicion.unacknowledged_s > cloud->settings->lease_s * TMX_UNACKNOWLEDGED_LEASES)
      why = "not both heard and reached";
    else if (machine->draining && !machine->tasks)
      why = "drained";
    else if (machine->consecutive_errors >= TMX_FAULTY_MACHINE_ERRORS &&
             machine->errors_of_several_jobs && !machine->tasks)
      why = "faulty";
    if (why) {
      tmx_log(TMX_LOG_INFO, "cloud: deleting %s: %s", machine->id, why);
      snprintf(call->ids[call->n++], TMX_ID_MAX, "%s", machine->id);
      continue;
    }
    struct idle_machine *idle;
    HASH_FIND_STR(cloud->idle_machines, machine->id, idle);
    if (!idle) {
      idle = tmx_allocate(1, sizeof *idle);
      snprintf(idle->id, sizeof idle->id, "%s", machine->id);
      idle->since = now;
      HASH_ADD_STR(cloud->idle_machines, id, idle);
    }
    idle->sweep_pass = cloud->list_pass;
    if (machine->tasks || waiting || cut) idle->since = now;
    if (type && !machine->draining && !machine->tasks &&
        now - idle->since > cloud->settings->operators.idle_return_s &&
        room - type->cpus > services * cloud->settings->operators.headroom) {
      room -= type->cpus;
      set_draining(cloud, machine, true);
      idle->since = now;
    }
  }
  /* what is out of reach is no room: nothing else is returned for it */
  drain_surplus(cloud, waiting || cut);
  struct idle_machine *idle, *next_idle;
  HASH_ITER(hh, cloud->idle_machines, idle, next_idle) {
    if (tmx_machine_find(replica, idle->id)) continue;
    HASH_DEL(cloud->idle_machines, idle);
    free(idle);
  }
  struct tmx_instance *instance, *next_instance;
  HASH_ITER(hh, cloud->instances, instance, next_instance) {
    if (call->n == max || instance->deleting) continue;
    if (!instance->type[0]) continue;
    machine = tmx_machine_find(replica, instance->id);
    if (machine && machine->registered) {
      instance->unheard_since = 0;
      continue;
    }
    const struct tmx_machine_type *type = tmx_machine_catalog_find(cloud->catalog, instance->type);
    double age = fmax(instance->age_s + (now - instance->age_as_of),
                      instance->rented_at ? now - instance->rented_at : 0);
    const char *why = NULL;
    if (instance->state == TMX_INSTANCE_FAILED)
      why = "failed";
    else if (instance->state == TMX_INSTANCE_BOOTING && type &&
             age > type->boot_s * TMX_BOOT_LATE + 10)
      why = "boots too long";
    else if (instance->state == TMX_INSTANCE_RUNNING) {
      /* in a zone that is cut off it may well be up */
      if (!instance->unheard_since ||
          (instance->zone >= 0 && now < cloud->zone_spared_until[instance->zone]))
        instance->unheard_since = now;
      if (settled &&
          now - instance->unheard_since > TMX_NEVER_HEARD_S + 2 * cloud->settings->report_s)
        why = "never heard";
    }
    if (!why) continue;
    tmx_log(TMX_LOG_INFO, "cloud: deleting %s: %s", instance->id, why);
    instance->deleting = true;
    snprintf(call->ids[call->n++], TMX_ID_MAX, "%s", instance->id);
  }
  if (call->n && tmx_cloud_may_call(cloud)) {
    struct tmx_buffer buffer = {0};
    tmx_cbor_put_map(&buffer, 1);
    tmx_cbor_put_text(&buffer, W_MACHINES);
    tmx_cbor_put_list(&buffer, call->n);
    for (size_t i = 0; i < call->n; i++) tmx_cbor_put_text(&buffer, call->ids[i]);
    cloud->delete_in_flight = tmx_http_client_call(cloud->http, "POST", WP_DELETE, &buffer,
                                                   TMX_CLOUD_TIMEOUT_S, on_deleted, call);
    tmx_buffer_free(&buffer);
  }
  if (!cloud->delete_in_flight) {
    for (size_t i = 0; i < call->n; i++) {
      HASH_FIND_STR(cloud->instances, call->ids[i], instance);
      if (instance) instance->deleting = false;
    }
    free(call);
  }
}
