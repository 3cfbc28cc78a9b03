/* How the other controllers look from one of them, and what to make of it: pure. */
#ifndef TMX_FAILURE_DETECTOR_H
#define TMX_FAILURE_DETECTOR_H
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tmx/constants.h"

struct tmx_peer_census { /* registered controllers other than this one */
  size_t others, heard;
  size_t same_zone, same_zone_heard, other_zones,
      other_zones_heard; /* of this one's zone, and of other zones */
};
struct tmx_peer_evidence {  /* of one of them */
  bool refuses_connections; /* its process refuses connections */
  bool reports_no_workers;  /* it says that it reaches hardly any of its workers */
  double silence_s;         /* s since its last heartbeat */
  double last_batch_age_s;  /* s since its last batch in the log */
  double observed_for_s;    /* s that this one has been in a position to hear it */
};
/* All of another zone is silent and this one is whole: the zones cannot reach each other, and each
 * must drive its own machines. */
bool tmx_zones_are_partitioned(const struct tmx_peer_census *census);
/* Should others do its work. Being wrong is safe, as terms order the tokens, but leaving out
 * healthy ones puts their work on the rest: a refused connection alone is no proof of death, and
 * silence may be this controller's own trouble. */
bool tmx_peer_is_suspected(const struct tmx_peer_census *census,
                           const struct tmx_peer_evidence *evidence);

struct tmx_zone_liveness { /* of one zone's machines, as their owners tell */
  unsigned machines;
  unsigned lost;  /* several probes in a row were lost */
  unsigned alive; /* live, as far as signs of life within TMX_ALIVE_S tell */
};
/* Does the zone seem cut off, rather than its machines dead. Those that nobody asked of late say
 * nothing: when a zone falls silent its machines are asked one after the other, and the first ones
 * are lost while most have not been asked. So the lost are weighed against those that live. */
bool tmx_zone_is_partitioned(const struct tmx_zone_liveness *zone);

/* What a machine's owner says when something is wrong with the machine. */
struct tmx_suspicion {
  char id[TMX_ID_MAX];
  double silence_s;        /* since its last sign of life */
  int probes_lost;         /* in a row */
  double unacknowledged_s; /* nothing has shown that it hears its owner; 0: it does */
  bool spot_notice;        /* the cloud is about to take it back */
};
typedef void (*tmx_suspicion_cb)(void *arg, const struct tmx_suspicion *suspicion);
#endif
