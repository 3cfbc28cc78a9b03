/* What controllers tell one another, over TCP, one record a message: a length of four bytes,
 * then this. Advice only: nothing here decides what the rules depend on. */
const TMX_BEAT_NAME = 64;
const TMX_BEAT_MACHINES = 4096;

struct tmx_heard {
  string id<TMX_BEAT_NAME>;
  unsigned int age_ms;       /* since its last report, at the sender */
  bool notice;               /* the cloud is about to take it */
};

struct tmx_beat {
  string node<TMX_BEAT_NAME>;
  unsigned hyper revision;   /* of the sender's replica */
  unsigned int state_age_ms; /* since state was last confirmed */
  tmx_heard heard<TMX_BEAT_MACHINES>;
};
