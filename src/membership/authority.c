#include "membership/authority.h"

#include "base/clock.h"

bool tmx_authority_may_act(const struct tmx_authority *authority) {
  double fresh_as_of = tmx_store_fresh_as_of(authority->store);
  return authority->replica->loaded && fresh_as_of > 0 &&
         tmx_clock_steady() - fresh_as_of < tmx_renewal_replica_age_max(authority->settings);
}

bool tmx_authority_may_start_tasks(const struct tmx_authority *authority) {
  return tmx_authority_may_act(authority) &&
         tmx_clock_steady() - tmx_store_fresh_as_of(authority->store) < TMX_START_REPLICA_AGE_MAX_S;
}

int tmx_authority_member_index(const struct tmx_authority *authority) {
  return tmx_member_index(authority->replica, authority->settings->node_name);
}

uint64_t tmx_authority_fencing_token(const struct tmx_authority *authority, uint32_t sequence) {
  return (authority->replica->view.term << TMX_TOKEN_SEQUENCE_BITS) + sequence;
}
