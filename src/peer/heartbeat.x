/* What controllers tell one another, over TCP, one record a message: a length of four bytes,
 * then this. Advice only: nothing here decides what the rules depend on. */
const TMX_HEARTBEAT_NAME_MAX = 64;
const TMX_HEARTBEAT_SUSPICIONS_MAX = 2048;
const TMX_HEARTBEAT_ZONES_MAX = 16;

struct tmx_heartbeat_suspicion {    /* a machine of the sender's with which something is wrong */
  string id<TMX_HEARTBEAT_NAME_MAX>;
  unsigned int silence_ms;   /* since its last sign of life, at the sender */
  unsigned int lost;         /* probes in a row */
  unsigned int unreached_ms; /* nothing has shown that it hears the sender; 0: it does */
  bool notice;               /* the cloud is about to take it */
};

struct tmx_heartbeat_zone {       /* signs of life from the sender's machines in one zone */
  string name<TMX_HEARTBEAT_NAME_MAX>;
  unsigned int machines;
  unsigned int lost;
  unsigned int alive;
};

struct tmx_heartbeat {
  string node<TMX_HEARTBEAT_NAME_MAX>;
  unsigned hyper revision;   /* of the sender's replica */
  unsigned hyper term;       /* of the view by which it owns its machines */
  unsigned int state_age_ms; /* since state was last confirmed */
  bool no_workers;           /* the sender reaches hardly any of its machines */
  tmx_heartbeat_suspicion suspects<TMX_HEARTBEAT_SUSPICIONS_MAX>;
  tmx_heartbeat_zone zones<TMX_HEARTBEAT_ZONES_MAX>;
};
