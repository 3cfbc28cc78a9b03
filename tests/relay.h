/* Raw bytes on the loop of the test: a relay between the program and a scripted peer, which keeps
 * every request and its answer as they were sent, and a client that sends what it is given. */
#ifndef TMX_RELAY_H
#define TMX_RELAY_H
#include "fake.h"

struct exchange { /* one request, and the answer to it */
  struct tmx_buffer request, answer;
  struct exchange *next;
};
struct relay {
  int fd, target; /* the listening socket; the port of the scripted peer */
  char address[32];
  ev_io accept;
  struct exchange *first, *last;
  struct relay_link *links;
};

void relay_open(struct relay *relay, int target_port);
void relay_close(struct relay *relay);
/* The first answered exchange from `after` on (NULL: of all) whose request begins with `start` and
 * holds the text `part` (NULL: anything) within; waits for it, and fails the test if none comes. */
const struct exchange *relay_wait(struct relay *relay, const struct exchange *after,
                                  const char *start, const char *part);
/* Sends a request on a connection of its own and waits for the whole answer. */
void raw_call(const char *address, const void *request, size_t length, struct tmx_buffer *answer);
/* Sends a request with this request line and a body of CBOR, which may be NULL, and waits for the
 * whole answer. Both are returned; the caller frees them by exchange_free. */
void raw_request(const char *address, const char *line, const struct tmx_buffer *body,
                 struct exchange *out);
void exchange_free(struct exchange *exchange);
bool http_complete(const struct tmx_buffer *message);
#endif
