/* What the files of the scripted peers share. */
#ifndef TMX_FAKE_INTERNAL_H
#define TMX_FAKE_INTERNAL_H
#include "fake.h"

struct fake_waiting {
  bool done;
  struct fake_worker *w;
  int status;
  char state[16];
};
bool fake_is_done(void *waiting); /* for pump */
void fake_state_open(void);
void fake_state_close(void);
void fake_cloud_request(void *arg, struct tmx_http_request *request);
#endif
