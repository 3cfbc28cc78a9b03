// Case 3: two arrays that were submitted with a mistake are withdrawn, and from then on nothing is
// placed.
#include "../standin/world.hpp"

static const uint64_t TASKS = 60;    // tasks of each array with a mistake
static const double MISTAKE_S = 8;   // until their user withdraws them
static const double WAITING_S = 90;  // longest wait for a free machine that the page allows

static Job service(int i) {
  Job s;
  s.id = "wk-" + std::to_string(300100 + i);
  s.crew = "script-live";
  s.team = "floor-ops";
  s.sort = "service";
  s.rank = "prod";
  s.tasks = 2;
  s.cpus = 2;
  s.mem = 7.4;
  s.kit = "img-01";
  s.image_gb = 1.2;
  s.reckon = 0;
  return s;
}
static Job array(const std::string &id, uint64_t tasks, const char *kit) {
  Job j;
  j.id = id;
  j.crew = "offer-refresh";
  j.team = "script-desk";
  j.kit = kit;
  j.image_gb = 0.9;
  j.tasks = tasks;
  j.cpus = 2;
  j.mem = 7.5;
  return j;
}

int main(int argc, char **argv) {
  Case c(argc, argv, regina());
  World &w = c.w;
  for (int i = 0; i < 8; i++) w.add_machine("quarter", "regina-dc", false, 0);
  for (auto &m : w.machines) m.second.rented_at = -1000;
  c.start_all();
  run_until(15, [&] { return c.all_healthy(); });
  if (!c.all_healthy()) c.finish(2, "the controllers do not become healthy");
  run_until(now() + 3);
  for (int i = 0; i < 12; i++) w.submit(service(i));
  run_until(now() + 15, [&] {
    size_t up = 0;
    for (auto &p : w.on) up += !p.second.empty();
    return up == 24;
  });
  for (auto &p : w.on)
    if (p.second.empty()) c.finish(2, "a replica does not start before the disruption");
  if (w.on.size() != 24) c.finish(2, "not all replicas start before the disruption");

  const char *mistakes[] = {"wk-000300", "wk-000301"};
  double began = now();
  if (c.trouble)
    for (const char *id : mistakes) {  // its tasks end with `error` on every machine after 0.5 s
      Job j = array(id, TASKS, id == mistakes[0] ? "img-04" : "img-05");
      j.run_s = 0.5;
      j.reckon = 1;
      j.mistake = true;
      w.submit(j);
    }
  run_until(began + MISTAKE_S);
  if (c.trouble) {
    for (const char *id : mistakes) w.withdraw(id);
    run_until(now() + 10,
              [&] { return w.jobs[mistakes[0]].withdrawn && w.jobs[mistakes[1]].withdrawn; });
    if (!w.jobs[mistakes[0]].withdrawn || !w.jobs[mistakes[1]].withdrawn)
      c.finish(2, "the arrays with a mistake are not withdrawn");
  }
  run_until(now() + 2);

  Job &replicas = w.submit(service(50));
  Job j = array("wk-000200", 8, "img-02");
  j.run_s = j.reckon = 10;
  Job &job = w.submit(j);
  run_until(now() + 10, [&] { return job.accepted && replicas.accepted; });
  if (!job.accepted || !replicas.accepted) c.finish(2, "the later jobs are not accepted");
  unsigned rentals = w.rentals, starts = w.starts;
  double since = now();
  auto replicas_up = [&] {
    return !w.on[replicas.id + "/0"].empty() && !w.on[replicas.id + "/1"].empty();
  };
  run_until(since + WAITING_S + 1, [&] { return job.done && replicas_up(); });
  double used = 0;
  for (auto &p : w.on)
    if (!p.second.empty()) used += 2;
  char text[400];
  snprintf(text, sizeof text,
           "%.0f s after they were accepted: %s (array) %s, %s (service, rank prod) %s; tasks "
           "started since: %u; machines rented since: %u; CPUs in use: %.0f of %zu",
           now() - since, job.id.c_str(), job.last_standing.c_str(), replicas.id.c_str(),
           replicas.last_standing.c_str(), w.starts - starts, w.rentals - rentals, used,
           16 * w.machines.size());
  // Slow is not broken: only if neither was started and no machine was rented for them.
  bool nothing = w.starts == starts && w.rentals == rentals;
  c.finish(job.done && replicas_up() ? 0 : nothing ? 1 : 2, text);
}
