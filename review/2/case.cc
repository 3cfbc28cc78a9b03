// Case 2: after the end of a controller, a late copy of a command that it sent starts a task a
// second time.
#include "../standin/world.hpp"

static const double COPY_AFTER_S = 0.8;  // from the end of the controller to the late copy

// A task that runs with a later attempt on one machine, and the command that started an earlier
// attempt of it on another machine, which holds that attempt no longer.
struct Candidate {
  std::string load, at, old_machine, command;
  uint64_t old_attempt = 0;
};

static bool find_candidate(World &w, Candidate &found) {
  for (auto &p : w.on) {
    if (p.second.size() != 1) continue;
    const std::string &at = *p.second.begin();
    uint64_t attempt = 0;
    for (auto &l : w.machines[at].worker->loads)
      if (l.load == p.first && l.standing == "running" && l.until < 1e17) attempt = l.attempt;
    for (auto &m : w.machines) {
      if (m.first == at || !m.second.worker) continue;
      Worker &k = *m.second.worker;
      bool held = false;
      double cpus = 0;
      for (auto &l : k.loads) {
        held |= l.load == p.first;
        if (l.standing != "ended") cpus += w.jobs[l.job].cpus;
      }
      if (held || cpus + w.jobs[p.first.substr(0, p.first.rfind('/'))].cpus > k.cpus) continue;
      for (auto &r : k.received) {
        V v = cbor_parse(r.second);
        const V *orders = v.get("orders");
        if (v.num("baton") != k.baton || v.num("shift") != k.shift || !orders) continue;
        for (auto &o : orders->a)
          if (o.text("verb") == "start" && o.text("load") == p.first && o.num("try") < attempt) {
            found = {p.first, at, m.first, r.second, o.num("try")};
            return true;
          }
      }
    }
  }
  return false;
}

int main(int argc, char **argv) {
  Case c(argc, argv, regina());
  World &w = c.w;
  w.add_machine("quarter", "regina-dc", false, 0);
  w.add_machine("quarter", "regina-dc", false, 0);
  for (auto &m : w.machines) m.second.rented_at = -1000;
  w.add_machine("quarter", "regina-dc", false, 35);  // rented just before, boots as long as usual
  c.start_all();
  run_until(15, [&] { return c.all_healthy(); });
  if (!c.all_healthy()) c.finish(2, "the controllers do not become healthy");
  run_until(now() + 4);

  Job j;  // fills the two machines that are up
  j.id = "wk-000200";
  j.crew = "offer-refresh";
  j.team = "script-desk";
  j.rank = "idle";
  j.kit = "img-02";
  j.image_gb = 0.9;
  j.tasks = 16;
  j.cpus = 2;
  j.mem = 7.5;
  j.run_s = j.reckon = 100;
  w.submit(j);
  run_until(now() + 15, [&] { return w.starts == 16; });
  if (w.starts != 16) c.finish(2, "the array does not start");
  run_until(now() + 4);
  Job s;  // preempts a task on each of them
  s.id = "wk-000100";
  s.crew = "script-live";
  s.team = "floor-ops";
  s.sort = "service";
  s.rank = "prod";
  s.kit = "img-02";
  s.image_gb = 0.9;
  s.tasks = 2;
  s.cpus = 2;
  s.mem = 7.4;
  s.reckon = 0;
  w.submit(s);
  run_until(now() + 15, [&] { return w.on[s.id + "/0"].size() + w.on[s.id + "/1"].size() == 2; });
  if (w.on[s.id + "/0"].empty() || w.on[s.id + "/1"].empty())
    c.finish(2, "the service does not start");
  // the third machine comes up and takes the preempted tasks; then the service is withdrawn
  auto all_run = [&] {
    unsigned n = 0;
    for (int i = 0; i < 16; i++) n += w.on[j.id + "/" + std::to_string(i)].size() == 1;
    return n == 16;
  };
  run_until(now() + 55, all_run);
  if (!all_run()) c.finish(2, "the preempted tasks do not start again");
  run_until(now() + 1);
  w.withdraw(s.id);
  run_until(now() + 10, [&] {
    return w.jobs[s.id].withdrawn && w.on[s.id + "/0"].empty() && w.on[s.id + "/1"].empty();
  });
  run_until(now() + 5);  // the preempted attempts are forgotten by now
  Candidate x;
  if (!find_candidate(w, x)) c.finish(2, "no preempted task runs on another machine");
  auto old = w.machines[x.old_machine].worker;
  record("%s runs on %s; %s was told to start attempt %llu of it before, and holds it no longer",
         x.load.c_str(), x.at.c_str(), x.old_machine.c_str(), (unsigned long long)x.old_attempt);
  if (c.trouble) {
    w.kill_node(old->node, w.site.back_s, "crash; it drives that machine");
    run_until(now() + COPY_AFTER_S);
    record("network: a late copy of that command reaches %s: %s", x.old_machine.c_str(),
           json(cbor_parse(x.command)).substr(0, 400).c_str());
    call(old->server->port, "POST", "/commands", cbor_parse(x.command), 3,
         [](int status, const V &, int) { record("network: the copy is answered %d", status); });
  }
  run_until(now() + 15);
  c.finish(w.violations.empty() ? 0 : 1,
           w.violations.empty() ? "no task was on two machines" : w.violations[0]);
}
