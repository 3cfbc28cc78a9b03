// Property tests of admission over random histories of submissions, placements, ends and
// cancellations. The number of cases and the seed are fixed, so that every CI run gives the same
// result. If the environment variable RC_PARAMS is set, its value replaces both.
#include <cstdlib>
#include <vector>

#include <rapidcheck.h>

#include "admission_history.h"

static std::vector<uint32_t> long_history() {
  return *rc::gen::resize(300, rc::gen::arbitrary<std::vector<uint32_t>>());
}

static admission_report play(const std::vector<uint32_t> &steps) {
  const size_t load_step = steps.empty() ? 0 : steps[0] % steps.size();
  return run_admission_history(steps.data(), steps.size(), load_step);
}

int main() {
  setenv("RC_PARAMS", "seed=20 max_success=200", 0);
  bool ok = rc::check("replicas that followed, loaded or read a fold keep the same accounts", [] {
    const admission_report report = play(long_history());
    RC_ASSERT(report.live_replica_differs == 0u);
    RC_ASSERT(report.loaded_replica_differs == 0u);
    RC_ASSERT(report.compacted_replica_differs == 0u);
  });
  ok &= rc::check("a newcomer is admitted, and nothing is refused without load", [] {
    const admission_report report = play(long_history());
    RC_CLASSIFY(report.refused > 0, "overload");
    RC_ASSERT(report.first_submissions_refused == 0u);
    RC_ASSERT(report.refused_without_load == 0u);
  });
  ok &= rc::check("the sum stays under the bound, first jobs of accounts aside", [] {
    const admission_report report = play(long_history());
    RC_ASSERT(report.bound_violations == 0u);
  });
  return ok ? 0 : 1;
}
