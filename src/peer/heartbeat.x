/* The heartbeat that controllers send to one another: over TCP, each record after its length in
 * four bytes, big-endian. Heartbeats are advice only; nothing that safety depends on is decided by
 * them. XDR records tolerate no change of the order or of the types of their fields. */
const TMX_HEARTBEAT_NAME_MAX = 64;
const TMX_HEARTBEAT_SUSPICIONS_MAX = 2048;
const TMX_HEARTBEAT_ZONES_MAX = 16;

struct tmx_heartbeat_suspicion {  /* a machine of the sender's that the sender suspects */
  string id<TMX_HEARTBEAT_NAME_MAX>;
  unsigned int silence_ms;        /* since its last sign of life, at the sender */
  unsigned int probes_lost;       /* in a row */
  unsigned int unacknowledged_ms; /* for so long nothing has shown that it hears the sender; 0: it does */
  bool spot_notice;               /* the cloud is about to take it back */
};

struct tmx_heartbeat_zone {       /* liveness of the sender's machines in one zone */
  string name<TMX_HEARTBEAT_NAME_MAX>;
  unsigned int machines;
  unsigned int lost;
  unsigned int alive;
};

struct tmx_heartbeat {
  string node<TMX_HEARTBEAT_NAME_MAX>; /* the sender */
  unsigned hyper revision;             /* of the sender's replica */
  unsigned hyper term;                 /* of the view by which it owns its machines */
  unsigned int replica_age_ms;         /* since its replica was last known to be fresh */
  bool reaches_no_workers;             /* it reaches hardly any of its machines */
  tmx_heartbeat_suspicion suspicions<TMX_HEARTBEAT_SUSPICIONS_MAX>;
  tmx_heartbeat_zone zones<TMX_HEARTBEAT_ZONES_MAX>;
};
