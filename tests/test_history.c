/* Tests the history checker. They guard against a checker that overlooks a violation, or reports
 * one in a valid history. The checker must find no violation in the valid histories, and exactly
 * one in each of the others. */
#include "test.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "cluster/history.h"
#include "tmx/constants.h"

#define ACCEPTED                                                                         \
  "{\"what\":\"answer\",\"ask\":\"submit\",\"job\":\"wk-1\",\"tasks\":1,\"status\":201," \
  "\"state\":\"pending\",\"final\":false}\n"
#define POLLED(status, state, final)                                                      \
  "{\"what\":\"answer\",\"ask\":\"poll\",\"job\":\"wk-1\",\"tasks\":1,\"status\":" status \
  ",\"state\":\"" state "\",\"final\":" final "}\n"
#define PLACED(machine, attempt)                                                            \
  "{\"what\":\"placed\",\"task\":\"wk-1/0\",\"attempt\":" attempt ",\"machine\":\"" machine \
  "\"}"                                                                                     \
  "\n"
#define ORDER(node, token)                                                     \
  "{\"what\":\"order\",\"machine\":\"n-1\",\"node\":" node ",\"token\":" token \
  ",\"verb\":\"start\",\"task\":\"wk-1/0\",\"attempt\":1}\n"
#define BEGIN(machine, attempt) \
  "{\"what\":\"begin\",\"machine\":\"" machine "\",\"task\":\"wk-1/0\",\"attempt\":" attempt "}\n"
#define END(how) \
  "{\"what\":\"end\",\"machine\":\"n-1\",\"task\":\"wk-1/0\",\"attempt\":1,\"how\":\"" how "\"}\n"
#define TERM_2 "33554432" /* 2 << TMX_TOKEN_SEQUENCE_BITS */
#define TERM_2_RAISED "33554433"
#define TERM_1 "16777216"

static struct history_findings check(const char *text) {
  char copy[4096];
  snprintf(copy, sizeof copy, "%s", text);
  FILE *input = fmemopen(copy, strlen(copy), "r"), *out = fopen("/dev/null", "w");
  assert_non_null(input);
  assert_non_null(out);
  struct history_findings findings = history_check(input, out);
  fclose(input);
  fclose(out);
  return findings;
}

static void a_valid_history_has_no_violations(void **state) {
  (void)state;
  struct history_findings findings =
      check(ACCEPTED PLACED("n-1", "1") ORDER("0", TERM_1) BEGIN("n-1", "1")
                POLLED("200", "running", "false") END("done") ORDER("1", TERM_2)
                    ORDER("1", TERM_2_RAISED) POLLED("200", "done", "false")
                        POLLED("503", "", "false") POLLED("200", "done", "true"));
  assert_int_equal(findings.lines, 11);
  assert_int_equal(history_count_violations(&findings), 0);
  /* A task that ended without a result is started again where the log placed its next attempt. */
  findings = check(ACCEPTED PLACED("n-1", "1") BEGIN("n-1", "1") END("lease") PLACED("n-2", "2")
                       BEGIN("n-2", "2") POLLED("200", "running", "true"));
  assert_int_equal(history_count_violations(&findings), 0);
  /* An attempt whose end was not recorded is started again after its worker's session has ended. */
  findings = check(ACCEPTED PLACED("n-1", "1") BEGIN("n-1", "1") END("error") END("lease")
                       BEGIN("n-1", "1") POLLED("200", "running", "true"));
  assert_int_equal(history_count_violations(&findings), 0);
}

static void each_violation_is_found_alone(void **state) {
  (void)state;
  static const struct {
    size_t rule;
    const char *text;
  } violations[] = {
      {offsetof(struct history_findings, unreadable), "{\n"},
      {offsetof(struct history_findings, lost), ACCEPTED POLLED("503", "", "true")},
      {offsetof(struct history_findings, overlaps),
       PLACED("n-1", "1") BEGIN("n-1", "1") PLACED("n-2", "2") BEGIN("n-2", "2")},
      {offsetof(struct history_findings, restarts),
       PLACED("n-1", "1") BEGIN("n-1", "1") END("stopped") BEGIN("n-1", "1")},
      {offsetof(struct history_findings, two_owners), ORDER("0", TERM_1) ORDER("1", TERM_1)},
      {offsetof(struct history_findings, two_owners), ORDER("0", TERM_2) ORDER("1", TERM_1)},
      {offsetof(struct history_findings, unplanned), BEGIN("n-1", "1")},
      {offsetof(struct history_findings, unplanned), PLACED("n-2", "1") BEGIN("n-1", "1")},
      {offsetof(struct history_findings, unplanned), PLACED("n-1", "2") BEGIN("n-1", "1")},
      {offsetof(struct history_findings, went_back),
       ACCEPTED POLLED("404", "", "false") POLLED("200", "pending", "true")},
      {offsetof(struct history_findings, went_back),
       ACCEPTED PLACED("n-1", "1") BEGIN("n-1", "1") END("done") POLLED("200", "done", "true")
           POLLED("200", "running", "true")},
      {offsetof(struct history_findings, not_done),
       ACCEPTED PLACED("n-1", "1") BEGIN("n-1", "1") POLLED("200", "done", "true")},
      {offsetof(struct history_findings, not_done), ACCEPTED POLLED("200", "withdrawn", "true")},
  };
  for (size_t i = 0; i < sizeof violations / sizeof *violations; i++) {
    struct history_findings findings = check(violations[i].text);
    assert_int_equal(*(unsigned *)((char *)&findings + violations[i].rule), 1);
    assert_int_equal(history_count_violations(&findings), 1);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(a_valid_history_has_no_violations),
                                     cmocka_unit_test(each_violation_is_found_alone)};
  return RUN_TESTS(tests);
}
