/* How long the tasks of a class run, against what their owners estimate. Pure. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "state/replica.h"

static const struct tmx_class *class_of(const struct tmx_replica *r, const char *name) {
  for (size_t i = 0; i < r->n_classes; i++)
    if (!strcmp(r->classes[i].name, name)) return &r->classes[i];
  return NULL;
}

double tmx_expected_run(const struct tmx_replica *r, const struct tmx_spec *s) {
  const struct tmx_class *c = class_of(r, s->class);
  if (!c || c->n < TMX_LEARN_LEAST) return s->estimate_s;
  return s->estimate_s * exp(c->log_ratio);
}

void tmx_learn_run(struct tmx_replica *r, const struct tmx_spec *s, double ran) {
  if (s->estimate_s <= 0 || ran <= 0) return;
  struct tmx_class *c = (struct tmx_class *)class_of(r, s->class);
  if (!c) {
    if (r->n_classes == TMX_CLASSES_MAX) return;
    c = &r->classes[r->n_classes++];
    memset(c, 0, sizeof *c);
    snprintf(c->name, sizeof c->name, "%s", s->class);
  }
  double x = log(ran / s->estimate_s);
  x = fmax(-TMX_LEARN_BOUND,
           fmin(TMX_LEARN_BOUND, x)); /* a hung machine tells nothing of the class */
  if (c->n < TMX_LEARN_LAST) c->n++;
  c->log_ratio += (x - c->log_ratio) / c->n;
}
