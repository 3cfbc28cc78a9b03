#include "core/outlook.h"

#include "tmx/constants.h"

bool tmx_zones_apart(const struct tmx_outlook *o) {
  return o->far >= 2 && !o->far_heard && o->mine >= 1 && o->mine_heard == o->mine;
}

bool tmx_seems_lost(const struct tmx_outlook *o, const struct tmx_sign *s) {
  if (s->refused) return s->wrote > TMX_WROTE_ALIVE_S;
  if (s->cut) return true;
  if (tmx_zones_apart(o)) return false;
  return o->others >= 2 && o->heard * 2 >= o->others && s->silence > TMX_SILENT_PEER_S &&
         s->watched > TMX_SILENT_PEER_S;
}

bool tmx_zone_seems_cut(const struct tmx_zone_signs *z) {
  if (z->lost >= 3) return z->lost > z->alive;
  return z->lost && !z->alive && z->machines > 1;
}
