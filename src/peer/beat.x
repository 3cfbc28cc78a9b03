/* What controllers tell one another, over TCP, one record a message: a length of four bytes,
 * then this. Advice only: nothing here decides what the rules depend on. */
const TMX_BEAT_NAME = 64;
const TMX_BEAT_MACHINES = 4096;

struct tmx_heard {
  string id<TMX_BEAT_NAME>;
  unsigned int age_ms;      /* since its last report, at the sender */
  unsigned int session;
  bool running;             /* took part in this run of the sender */
  bool notice;              /* the cloud is about to take it */
  bool faulty;
};

struct tmx_beat {
  string node<TMX_BEAT_NAME>;
  unsigned hyper run;
  unsigned hyper revision;
  unsigned int state_age_ms; /* since state was last confirmed */
  bool leading;
  tmx_heard heard<TMX_BEAT_MACHINES>;
};
