/* The heartbeat that controllers send to each other over TCP. Each record is preceded by its length
 * as four bytes in big-endian order. Heartbeats are advisory: no decision that safety depends on
 * uses them. The order and the types of the fields must not change, because XDR records do not
 * describe their layout. */
const TMX_HEARTBEAT_NAME_MAX = 64;
const TMX_HEARTBEAT_SUSPICIONS_MAX = 2048;
const TMX_HEARTBEAT_ZONES_MAX = 16;

struct tmx_heartbeat_suspicion {  /* a fault that the sender suspects in one of its machines */
  string id<TMX_HEARTBEAT_NAME_MAX>;
  unsigned int silence_ms;        /* time since the sender received the machine's last sign of
                                     life */
  unsigned int probes_lost;       /* consecutive probes without an answer */
  unsigned int unacknowledged_ms; /* time without evidence that the worker receives the
                                     sender's messages; 0: it receives them */
  bool spot_notice;               /* the cloud has announced that it will reclaim the machine */
};

struct tmx_heartbeat_zone {       /* tmx_zone_liveness of the sender's machines in one zone */
  string name<TMX_HEARTBEAT_NAME_MAX>;
  unsigned int machines;
  unsigned int lost;
  unsigned int alive;
};

struct tmx_heartbeat {
  string node<TMX_HEARTBEAT_NAME_MAX>; /* node name of the sender */
  unsigned hyper revision;             /* revision of the sender's replica */
  unsigned hyper term;                 /* term of the view that determines the sender's machines */
  unsigned int replica_age_ms;         /* time since that replica was last known to be up to date */
  bool reaches_no_workers;             /* the sender reaches almost none of its workers */
  tmx_heartbeat_suspicion suspicions<TMX_HEARTBEAT_SUSPICIONS_MAX>;
  tmx_heartbeat_zone zones<TMX_HEARTBEAT_ZONES_MAX>;
};
