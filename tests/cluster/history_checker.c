/* history_checker FILE: checks a history that cluster_load wrote. The exit code is 1 if a rule is
 * violated, a line is unreadable or the file is empty. It is 2 if the file cannot be opened or
 * there is not exactly one argument. */
#include <stdio.h>

#include "cluster/history.h"

int main(int argc, char **argv) {
  FILE *input = argc == 2 ? fopen(argv[1], "r") : NULL;
  if (!input) {
    fprintf(stderr, "usage: history_checker FILE\n");
    return 2;
  }
  struct history_findings findings = history_check(input, stdout);
  fclose(input);
  printf(
      "%u lines: unreadable %u, lost %u, overlaps %u, restarts %u, two owners %u, unplanned %u, "
      "went back %u, not done %u\n",
      findings.lines, findings.unreadable, findings.lost, findings.overlaps, findings.restarts,
      findings.two_owners, findings.unplanned, findings.went_back, findings.not_done);
  return !findings.lines || history_count_violations(&findings) ? 1 : 0;
}
