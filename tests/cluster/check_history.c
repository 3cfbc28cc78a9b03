/* check_history FILE: judges a history that the load program wrote; exit code 1 if a rule broke. */
#include <stdio.h>

#include "cluster/history.h"

int main(int argc, char **argv) {
  FILE *in = argc == 2 ? fopen(argv[1], "r") : NULL;
  if (!in) {
    fprintf(stderr, "usage: check_history FILE\n");
    return 2;
  }
  struct history_findings f = history_check(in, stdout);
  fclose(in);
  printf(
      "%u lines: unreadable %u, lost %u, overlaps %u, two owners %u, unplanned %u, went back "
      "%u, not done %u\n",
      f.lines, f.unreadable, f.lost, f.overlaps, f.two_owners, f.unplanned, f.went_back,
      f.not_done);
  return !f.lines || history_broken(&f) ? 1 : 0;
}
