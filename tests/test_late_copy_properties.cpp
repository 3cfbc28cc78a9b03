// Property tests of late copies of requests over random histories of starts, ends, moves,
// cancellations and short absences of controllers and machines. The number of cases and the seed
// are fixed, so that every CI run plays the same histories. If the environment variable RC_PARAMS
// is set, its value replaces both.
#include <cstdlib>
#include <vector>

#include <rapidcheck.h>

#include "late_copy_history.h"

static std::vector<uint32_t> history_steps() {
  return *rc::gen::resize(80, rc::gen::container<std::vector<uint32_t>>(rc::gen::resize(
                                  1000000, rc::gen::inRange<uint32_t>(0, 1u << 24))));
}

int main() {
  setenv("RC_PARAMS", "seed=48 max_success=30", 0);
  setenv("LOG_LEVEL", "error", 0);
  bool ok = rc::check("late copies start nothing, whoever was away in between", [] {
    const std::vector<uint32_t> steps = history_steps();
    const late_copy_report report = run_late_copy_history(steps.data(), steps.size());
    RC_TAG(report.starts > 0 ? "tasks started" : "no task started");
    RC_CLASSIFY(report.moves > 0, "a task moved");
    RC_CLASSIFY(report.cancellations > 0, "a job was cancelled");
    RC_CLASSIFY(report.controller_returns > 0, "a controller returned");
    RC_CLASSIFY(report.machine_returns > 0, "a machine returned");
    RC_CLASSIFY(report.late_requests > 0, "a request was executed late");
    RC_CLASSIFY(report.copies > 0, "a copy arrived");
    RC_ASSERT(report.started_by_copy == 0u);
    RC_ASSERT(report.ran_twice == 0u);
    RC_ASSERT(report.ran_cancelled == 0u);
    RC_ASSERT(report.ran_done == 0u);
    RC_ASSERT(report.log_differs == 0u);
  });
  return ok ? 0 : 1;
}
