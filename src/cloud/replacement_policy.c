#include "cloud/replacement_policy.h"

/* s. A machine may take TMX_BOOT_LATE_FACTOR times the usual boot time of its type, plus this time,
 * to boot. */
static const double BOOT_GRACE_S = 10;

const char *tmx_deletion_reason_text(enum tmx_deletion_reason reason) {
  switch (reason) {
    case TMX_DELETE_NONE:
      return "";
    case TMX_DELETE_FAILED:
      return "failed";
    case TMX_DELETE_SILENT:
      return "silent";
    case TMX_DELETE_UNACKNOWLEDGED:
      return "not both heard and reached";
    case TMX_DELETE_DRAINED:
      return "drained";
    case TMX_DELETE_FAULTY:
      return "faulty";
    case TMX_DELETE_BOOT_TIMEOUT:
      return "boots too long";
    case TMX_DELETE_NO_HEARTBEAT:
      return "never heard";
  }
  return "";
}

struct tmx_machine_deadlines tmx_machine_deadlines(const struct tmx_settings *settings) {
  double no_contact_s = settings->operators.silent_s;
  return (struct tmx_machine_deadlines){
      .no_contact_s = no_contact_s > 0 ? no_contact_s : TMX_MACHINE_CONTACT_TIMEOUT_S,
      .leases_expired_s = settings->cancel_s + settings->lease_s,
      .heartbeat_late_s = tmx_heartbeat_timeout(settings),
      .unacknowledged_s = settings->lease_s * TMX_UNACKNOWLEDGED_LEASES};
}

/* A machine that left several consecutive probes unanswered counts as dead, unless its zone is in a
 * grace period. In the grace period, the machine may reconnect with its tasks still running, and
 * the other machines are unlikely to have enough capacity for them. The machine is therefore kept
 * until its leases have expired, and twice as long if it holds replicas of services, as their
 * replacements would be pending for lack of capacity. */
static bool is_dead(const struct tmx_machine_evidence *evidence,
                    const struct tmx_machine_deadlines *deadlines) {
  double no_contact_s = evidence->suspicion.no_contact_s;
  if (!evidence->leader_settled || !evidence->suspected) return false;
  if (evidence->suspicion.consecutive_probes_lost < TMX_PROBES_LOST_MIN) return false;
  if (no_contact_s <= deadlines->no_contact_s) return false;
  return !evidence->partition_grace ||
         no_contact_s > deadlines->leases_expired_s * (evidence->has_services ? 2 : 1);
}

/* Heartbeats of the machine arrive, but it acknowledges no commands, so tasks can be neither
 * started nor cancelled on it. */
static bool is_unreachable(const struct tmx_machine_evidence *evidence,
                           const struct tmx_machine_deadlines *deadlines) {
  return evidence->leader_settled && evidence->suspected && !evidence->partition_grace &&
         evidence->suspicion.no_contact_s < deadlines->heartbeat_late_s &&
         evidence->suspicion.unacknowledged_s > deadlines->unacknowledged_s;
}

enum tmx_deletion_reason tmx_machine_deletion_reason(
    const struct tmx_machine_evidence *evidence, const struct tmx_machine_deadlines *deadlines) {
  if (evidence->listed_as_failed) return TMX_DELETE_FAILED;
  if (is_dead(evidence, deadlines)) return TMX_DELETE_SILENT;
  if (is_unreachable(evidence, deadlines)) return TMX_DELETE_UNACKNOWLEDGED;
  if (evidence->draining && !evidence->has_tasks) return TMX_DELETE_DRAINED;
  if (evidence->faulty && !evidence->has_tasks) return TMX_DELETE_FAULTY;
  return TMX_DELETE_NONE;
}

enum tmx_deletion_reason tmx_instance_deletion_reason(
    const struct tmx_instance_evidence *evidence) {
  switch (evidence->state) {
    case TMX_INSTANCE_FAILED:
      return TMX_DELETE_FAILED;
    case TMX_INSTANCE_BOOTING:
      return evidence->type_known &&
                     evidence->age_s > evidence->boot_s * TMX_BOOT_LATE_FACTOR + BOOT_GRACE_S
                 ? TMX_DELETE_BOOT_TIMEOUT
                 : TMX_DELETE_NONE;
    case TMX_INSTANCE_RUNNING:
      return evidence->leader_settled && evidence->no_heartbeat_s > evidence->no_heartbeat_max_s
                 ? TMX_DELETE_NO_HEARTBEAT
                 : TMX_DELETE_NONE;
  }
  return TMX_DELETE_NONE;
}
